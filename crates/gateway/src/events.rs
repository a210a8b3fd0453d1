//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

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
}

impl EventBuffer {
    /// Appends bytes and returns the events that are complete, if any.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Option<Events> {
        self.buf.extend_from_slice(chunk);
        let end = last_event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let last_id = last_event_id(&bytes);
        Some(Events { bytes, last_id })
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
