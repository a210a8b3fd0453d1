//! How the end of a response body is marked.

use crate::incoming::Incoming;
use hyper::{HeaderMap, body::Body, header};

/// What marks the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// Its length is known in advance.
    Length,
    /// Its last chunk.
    Chunks,
    /// Only the end of the connection, so that a body that was cut off looks complete.
    Connection,
}

impl Framing {
    /// The framing of a response with these headers.
    pub fn of(headers: &HeaderMap, body: &Incoming) -> Framing {
        let coding = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
        let last = coding.map(|value| value.as_bytes().to_ascii_lowercase());
        if last.is_some_and(|value| value.trim_ascii().ends_with(b"chunked")) {
            Framing::Chunks
        } else if body.size_hint().exact().is_some() {
            Framing::Length
        } else {
            Framing::Connection
        }
    }

    /// The value in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length => "length",
            Framing::Chunks => "chunks",
            Framing::Connection => "connection",
        }
    }
}
