//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};
use std::fmt;

const ID_FIELD: &[u8] = b"id:";
/// How lines begin that belong to no event: comments, and the delay before a reconnection.
const NO_EVENT: [&[u8]; 2] = [b":", b"retry:"];
/// Maximum size, in bytes, of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// The length of the longest end of an event.
const MAX_END_BYTES: usize = 4;

/// Buffers the bytes of an event stream and returns complete events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buf: BytesMut,
}

/// One or more complete events.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Events {
    /// The bytes of the events.
    pub(crate) bytes: Bytes,
    /// The id of the last event that has one.
    pub(crate) last_id: Option<u64>,
    /// Whether the last event has an id. `None` if these are comments only.
    pub(crate) ends_with_id: Option<bool>,
}

/// The error for an event that exceeds `MAX_EVENT_BYTES`.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

impl fmt::Display for EventTooLong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an event is longer than {MAX_EVENT_BYTES} bytes")
    }
}

impl EventBuffer {
    /// Appends bytes and returns the events that are complete, if any.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Result<Option<Events>, EventTooLong> {
        let searched = self.buf.len().saturating_sub(MAX_END_BYTES - 1);
        self.buf.extend_from_slice(chunk);
        let Some(end) = last_event_end(&self.buf[searched..]) else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(EventTooLong) } else { Ok(None) };
        };
        let bytes = self.buf.split_to(searched + end).freeze();
        let (last_id, ends_with_id) = (last_event_id(&bytes), last_event_has_id(&bytes));
        Ok(Some(Events { bytes, last_id, ends_with_id }))
    }

    /// The number of bytes after the last complete event.
    pub(crate) fn partial_len(&self) -> usize {
        self.buf.len()
    }

    /// Whether there are bytes after the last complete event.
    pub(crate) fn is_partial(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Removes and returns the bytes after the last complete event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards an incomplete event, whose remainder will not arrive.
    pub(crate) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// The position after the last blank line, which ends an event.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let lf = buf.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_event_id(events: &[u8]) -> Option<u64> {
    events.rsplit(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(ID_FIELD)?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}

/// Whether the last event has an id, or `None` if there is no event.
fn last_event_has_id(events: &[u8]) -> Option<bool> {
    let mut has_id = None;
    for line in events.rsplit(|byte| *byte == b'\n').map(<[u8]>::trim_ascii_end) {
        if line.is_empty() && has_id.is_some() {
            break;
        }
        if !line.is_empty() && !NO_EVENT.iter().any(|begin| line.starts_with(begin)) {
            has_id = Some(has_id.unwrap_or_default() || line.starts_with(ID_FIELD));
        }
    }
    has_id
}
