//! Request and response bodies.

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Full, combinators::UnsyncBoxBody};
use hyper::{
    Response, StatusCode,
    body::{Body as HttpBody, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
};
use model::status::ErrorBody;
use serde::Serialize;
use std::{fmt, io};

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
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyError::TooLong { limit } => write!(f, "the body is longer than {limit} bytes"),
            BodyError::Broken(e) => write!(f, "the body was truncated: {e}"),
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

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is longer or truncated.
pub async fn collect(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > limit as u64 {
        discard(body).await;
        return Err(BodyError::TooLong { limit });
    }
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::Broken)?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if bytes.len() + chunk.remaining() > limit {
            discard(body).await;
            return Err(BodyError::TooLong { limit });
        }
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
