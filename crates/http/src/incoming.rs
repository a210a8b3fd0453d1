//! Bodies that a peer sends.

use crate::body::ByteBudget;
use base::limits::BODY_TIMEOUT;
use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use net::{Allowance, NoProgress, Pool, Stream, with_timeout};
use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

/// Bytes that a peer may send for each byte of a body, as chunks have heads. A chunk of one byte
/// takes six.
const BYTES_PER_BODY_BYTE: usize = 16;
/// Maximum number of bytes to discard from the body of a refused request.
const DISCARD_MAX: usize = 64 << 20;
/// Bytes that a peer may send without progress, as a multiple of the size of the read buffer: the
/// buffer and the parts of a body that were read from it may all be full of bytes that the reader
/// has not taken yet.
const BUFFERS_WITHOUT_PROGRESS: usize = 4;

/// The body of a request or response that a peer sends. The connection fails if the peer sends many
/// bytes that are neither a head nor part of a body, such as interim responses without end.
#[derive(Debug)]
pub struct Incoming {
    body: hyper::body::Incoming,
    allowance: Arc<Allowance>,
    budget: Arc<ByteBudget>,
    pool: Pool,
}

impl Incoming {
    /// Wraps the body of a message whose head has been read. `allowance` is that of its connection,
    /// `budget` that of all bodies.
    pub(crate) fn new(
        body: hyper::body::Incoming,
        allowance: Arc<Allowance>,
        budget: Arc<ByteBudget>,
        pool: Pool,
    ) -> Incoming {
        allowance.reset();
        Incoming { body, allowance, budget, pool }
    }

    /// Reads and discards the rest of the body in a task of its own, up to limits, so that the
    /// request can be refused at once. Closing the connection with unread data would reset it, and
    /// the sender might never see the refusal.
    pub(crate) fn discard(mut self) {
        let pool = self.pool;
        let discard = async move {
            let mut discarded = 0;
            while let Some(Ok(frame)) = self.frame().await {
                discarded += frame.data_ref().map_or(0, Buf::remaining);
                if discarded > DISCARD_MAX {
                    return;
                }
            }
        };
        pool.spawn(with_timeout(BODY_TIMEOUT, discard)).detach();
    }

    /// The budget in which the bytes of the body count while they are held.
    pub fn budget(&self) -> Arc<ByteBudget> {
        self.budget.clone()
    }
}

impl HttpBody for Incoming {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Buf::remaining);
            self.allowance.refill(bytes.saturating_mul(BYTES_PER_BODY_BYTE));
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Limits the bytes without progress on a connection whose read buffer holds `buffer_bytes`.
pub(crate) fn limit_unproductive(stream: &Stream, buffer_bytes: usize) -> Arc<Allowance> {
    stream.limit_unproductive(BUFFERS_WITHOUT_PROGRESS * buffer_bytes)
}

/// Whether a connection failed because its peer sent many bytes that were no part of a message. The
/// peer has not closed it, and may still run what it was sent.
pub fn is_unproductive(e: &hyper::Error) -> bool {
    NoProgress::caused(e)
}
