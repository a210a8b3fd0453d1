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
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

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
    /// All bodies together exceed the limit.
    OverBudget {
        /// The limit in bytes.
        limit: usize,
    },
}

impl BodyError {
    /// The status of the response to a request with such a body.
    pub fn status(&self) -> StatusCode {
        match self {
            BodyError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            BodyError::OverBudget { .. } => StatusCode::SERVICE_UNAVAILABLE,
            BodyError::Broken(_) | BodyError::Unproductive(_) | BodyError::TimedOut => {
                StatusCode::BAD_REQUEST
            }
        }
    }
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
            BodyError::OverBudget { limit } => {
                write!(f, "all bodies together are longer than {limit} bytes")
            }
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

/// Size, in bytes, up to which a body counts as small. Large bodies leave a part of a budget to small
/// ones.
const SMALL_BODY: usize = 64 << 10;
/// Capacity, in bytes, of the buffer of a body whose length is unknown.
const FIRST_CAPACITY: usize = 8 << 10;

/// A limit on the bytes of all bodies that a process holds at the same time.
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

    fn take(&self, bytes: usize, limit: usize) -> Result<(), BodyError> {
        let taken = |taken: usize| taken.checked_add(bytes).filter(|taken| *taken <= limit);
        match self.taken.fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken) {
            Ok(_) => Ok(()),
            Err(_) => Err(BodyError::OverBudget { limit: self.limit }),
        }
    }
}

/// The bytes that one body has taken from a budget, returned on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<ByteBudget>,
    bytes: usize,
}

impl Reservation {
    /// An empty reservation.
    pub fn new(budget: Arc<ByteBudget>) -> Reservation {
        Reservation { budget, bytes: 0 }
    }

    /// Makes the reservation at least `bytes`.
    fn grow_to(&mut self, bytes: usize) -> Result<(), BodyError> {
        if bytes > self.bytes { self.resize(bytes) } else { Ok(()) }
    }

    /// Changes the reservation to `bytes`.
    ///
    /// # Errors
    ///
    /// Fails if the budget is used up; the reservation is as before then.
    pub fn resize(&mut self, bytes: usize) -> Result<(), BodyError> {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            let all = self.budget.limit;
            self.budget.take(more, if bytes > SMALL_BODY { all / 4 * 3 } else { all })?;
        } else {
            self.budget.taken.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.taken.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// The bytes of a body, which keep their reservation for as long as any part of them is in use.
struct Reserved {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the whole body of a request, of at most `limit` bytes. They count in the budget of the
/// server until the last copy of them is dropped.
///
/// # Errors
///
/// Fails if the body is longer or truncated, takes longer than `BODY_TIMEOUT`, or if the budget is
/// used up. The rest of a body that is too long or exceeds the budget is discarded meanwhile.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let collected = async {
        // A request that doesn't fit is refused before it has arrived.
        let length = length_of(&body).filter(|length| *length <= limit);
        let mut reservation = Reservation::new(body.budget());
        reservation.resize(length.unwrap_or(0))?;
        collect_up_to(&mut body, limit, reservation).await
    };
    let collected = with_timeout(BODY_TIMEOUT, collected).await.unwrap_or(Err(BodyError::TimedOut));
    if matches!(collected, Err(BodyError::TooLong { .. } | BodyError::OverBudget { .. })) {
        body.discard();
    }
    collected
}

/// Reads the whole body of a response, of at most `limit` bytes. They count in the budget of the
/// client until the last copy of them is dropped.
///
/// # Errors
///
/// Fails if the body is longer or truncated, or if the budget is used up. The rest of a body that is
/// too long is not read, as it may have no end: the caller must close the connection.
pub async fn collect_response(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    // A server may announce more than it sends.
    let reservation = Reservation::new(body.budget());
    collect_up_to(&mut body, limit, reservation).await
}

/// The length of a body, if it is known in advance.
fn length_of(body: &Incoming) -> Option<usize> {
    usize::try_from(body.size_hint().exact()?).ok()
}

async fn collect_up_to(
    body: &mut Incoming,
    limit: usize,
    mut reservation: Reservation,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLong { limit });
    }
    let most = length_of(body).unwrap_or(limit);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let needed = bytes.len() + chunk.remaining();
        if needed > limit {
            return Err(BodyError::TooLong { limit });
        }
        if needed > bytes.capacity() {
            let doubled = needed.max(2 * bytes.capacity()).max(FIRST_CAPACITY);
            let capacity = doubled.min(most).max(needed);
            reservation.grow_to(capacity)?;
            bytes.reserve(capacity - bytes.len());
        }
        bytes.extend_from_slice(&chunk);
    }
    Ok(Bytes::from_owner(Reserved { bytes, _reservation: reservation }))
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
