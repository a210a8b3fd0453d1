//! Request and response bodies.

use crate::{
    client::with_causes,
    incoming::{Incoming, is_unproductive},
};
use base::limits::BODY_TIMEOUT;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::Body as HttpBody,
    header::{CONTENT_TYPE, HeaderValue},
};
use model::status::ErrorBody;
use net::with_timeout;
use serde::Serialize;
use std::{
    fmt, io,
    sync::atomic::{AtomicUsize, Ordering},
};

/// Maximum number of bytes to discard from an oversized body before responding.
const DISCARD_MAX: usize = 64 << 20;

/// The body of a server's response or of a client's request.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// The error from reading a body.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
    /// The connection failed before the end of the body.
    Broken(hyper::Error),
    /// The peer sent many bytes that were no part of the body.
    Unproductive(hyper::Error),
    /// The body did not arrive in time.
    TimedOut,
}

impl From<hyper::Error> for BodyError {
    fn from(e: hyper::Error) -> BodyError {
        if is_unproductive(&e) { BodyError::Unproductive(e) } else { BodyError::Broken(e) }
    }
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLong { limit } => write!(f, "the body is longer than {limit} bytes"),
            BodyError::Broken(e) => write!(f, "the body was truncated: {}", with_causes(e)),
            BodyError::Unproductive(e) => write!(f, "the body has no end: {}", with_causes(e)),
            BodyError::TimedOut => {
                write!(f, "the body did not arrive within {} s", BODY_TIMEOUT.as_secs())
            }
        }
    }
}

/// A body with the given content.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// An empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// A limit on the bytes of all response bodies that are being collected at the same time.
#[derive(Debug)]
pub struct ByteBudget {
    limit: usize,
    taken: AtomicUsize,
}

impl ByteBudget {
    /// A budget of `limit` bytes.
    pub fn new(limit: usize) -> ByteBudget {
        ByteBudget { limit, taken: AtomicUsize::new(0) }
    }
}

/// The bytes that one body has taken from a budget, returned on drop.
struct Reservation<'a> {
    budget: &'a ByteBudget,
    bytes: usize,
}

impl Reservation<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.bytes += bytes;
        let taken = self.budget.taken.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let limit = self.budget.limit;
        if taken > limit { Err(BodyError::TooLong { limit }) } else { Ok(()) }
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads the whole body of a request, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is longer or truncated, or takes longer than `BODY_TIMEOUT`. The rest of a
/// body that is too long is read and discarded, up to a limit.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let budget = ByteBudget::new(limit);
    let collected = async {
        let collected = collect_up_to(&mut body, limit, &budget).await;
        if matches!(collected, Err(BodyError::TooLong { .. })) {
            discard(body).await;
        }
        collected
    };
    with_timeout(BODY_TIMEOUT, collected).await.unwrap_or(Err(BodyError::TimedOut))
}

/// Reads the whole body of a response, of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is longer or truncated. The rest of a body that is too long is not read, as
/// it may have no end: the caller must close the connection.
pub async fn collect_response(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    collect_up_to(&mut body, limit, &ByteBudget::new(limit)).await
}

/// Like [`collect_response`], with a limit on all bodies that share the budget.
///
/// # Errors
///
/// Fails if the body is longer than `limit` or truncated, or if the budget is used up.
pub async fn collect_response_within(
    mut body: Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError> {
    collect_up_to(&mut body, limit, budget).await
}

async fn collect_up_to(
    body: &mut Incoming,
    limit: usize,
    budget: &ByteBudget,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLong { limit });
    }
    let mut bytes = BytesMut::new();
    let mut reservation = Reservation { budget, bytes: 0 };
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if bytes.len() + chunk.remaining() > limit {
            return Err(BodyError::TooLong { limit });
        }
        reservation.grow(chunk.remaining())?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.freeze())
}

/// Reads and discards the rest of a body. Closing a connection with unread data would reset it, and
/// the sender might never see the error response.
async fn discard(mut body: Incoming) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Buf::remaining);
        if discarded > DISCARD_MAX {
            return;
        }
    }
}

/// A response with a JSON body.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    typed_response(status, "application/json", text)
}

/// A response with a text body.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    typed_response(status, "text/plain; charset=utf-8", text)
}

/// An error response with a machine-readable code and a human-readable message.
pub fn error_response(
    status: StatusCode,
    code: &str,
    message: impl Into<Box<str>>,
) -> Response<Body> {
    let body = ErrorBody { error: code.into(), message: message.into() };
    json_response(status, &body)
}

fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
