//! Cuts the bytes of an event stream into whole events.

use bytes::{Bytes, BytesMut};

const ID_FIELD: &[u8] = b"id:";

/// Collects bytes of an event stream, and gives whole events.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    buf: BytesMut,
}

/// Whole events.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Events {
    /// Their bytes.
    pub(crate) bytes: Bytes,
    /// The id of the last of them that has one.
    pub(crate) last_id: Option<u64>,
}

impl EventBuffer {
    /// Adds bytes and takes the events that are whole by now.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Option<Events> {
        self.buf.extend_from_slice(chunk);
        let end = last_event_end(&self.buf)?;
        let bytes = self.buf.split_to(end).freeze();
        let last_id = last_event_id(&bytes);
        Some(Events { bytes, last_id })
    }

    /// What stands after the last whole event.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Drops a part of an event whose rest will not come.
    pub(crate) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// The position after the last blank line.
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
