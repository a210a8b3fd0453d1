//! Relays event streams to callers as they arrive.

use crate::{
    dispatch::{ForwardRequest, PendingResponse},
    entry_state::{Attempt, EntryState},
};
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::{Body, Incoming};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame, header::CONTENT_TYPE};
use net::with_timeout;
use route::Evidence;
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// Longest time without data before a stream counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The line that ends a complete event stream.
const END_MARK: &[u8] = b"data: [DONE]";

/// The number of bytes at the end of a stream that are searched for its end mark.
const TAIL_BYTES: usize = 32;

/// A stream that is being relayed.
struct StreamRelay {
    state: Arc<EntryState>,
    request: Arc<ForwardRequest>,
    attempt: Attempt,
    body: Incoming,
    /// The last bytes received.
    tail: Vec<u8>,
    first_byte: Option<Duration>,
    sent_at: Instant,
    // Dropping the connection would end the body.
    _connection: http::Connection,
}

/// Relays a stream to the caller. If it breaks before its end mark, the caller's connection is
/// aborted, so that the caller cannot take a truncated stream for a complete one.
pub fn relay(
    state: Arc<EntryState>,
    request: Arc<ForwardRequest>,
    attempt: Attempt,
    pending: PendingResponse,
) -> Response<Body> {
    let content_type = pending.response.headers().get(CONTENT_TYPE).cloned();
    let relay = StreamRelay {
        state,
        request,
        attempt,
        body: pending.response.into_body(),
        tail: Vec::new(),
        first_byte: None,
        sent_at: pending.sent_at,
        _connection: pending.connection,
    };
    let frames = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next_chunk().await {
            Chunk::Data(bytes) => Some((Ok(Frame::data(bytes)), Some(relay))),
            Chunk::End => None,
            Chunk::Truncated => Some((Err(io::ErrorKind::UnexpectedEof.into()), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    if let Some(content_type) = content_type {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}

/// The next part of a stream.
enum Chunk {
    Data(Bytes),
    /// The stream ended after its end mark.
    End,
    /// The stream broke off or timed out.
    Truncated,
}

impl StreamRelay {
    async fn next_chunk(&mut self) -> Chunk {
        loop {
            let frame = match with_timeout(EVENT_TIMEOUT, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if self.has_ended() => return self.end(),
                _ => return self.truncate(),
            };
            if let Ok(bytes) = frame.into_data() {
                self.record_chunk(&bytes);
                return Chunk::Data(bytes);
            }
        }
    }

    fn record_chunk(&mut self, bytes: &Bytes) {
        let now = self.state.clock.now();
        self.first_byte.get_or_insert(now.saturating_duration_since(self.sent_at));
        self.tail.extend_from_slice(bytes);
        let surplus = self.tail.len().saturating_sub(TAIL_BYTES);
        self.tail.drain(..surplus);
    }

    fn has_ended(&self) -> bool {
        self.tail.windows(END_MARK.len()).any(|window| window == END_MARK)
    }

    fn end(&mut self) -> Chunk {
        let first_byte = self.first_byte.unwrap_or_default();
        self.attempt.record(Evidence::Answered { first_byte });
        self.state.metrics.answered.inc();
        Chunk::End
    }

    fn truncate(&mut self) -> Chunk {
        log::debug!("event=stream_cut target={:?}", self.request.target);
        self.attempt.record(Evidence::Broken);
        self.state.metrics.broken_answers.inc();
        Chunk::Truncated
    }
}
