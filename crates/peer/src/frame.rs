//! Message framing: a 4-byte little-endian length, followed by the message in bincode.

use base::limits::MESSAGE_MAX;
use bytes::{Buf, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

const LENGTH_BYTES: usize = 4;

/// The error from decoding a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FrameError {
    /// The length exceeds [`MESSAGE_MAX`].
    TooLong,
    /// The body is not a valid message of the expected type.
    Malformed,
}

/// Appends a framed message to a buffer.
pub(crate) fn encode<M: Serialize>(message: &M, buf: &mut Vec<u8>) {
    let start = buf.len();
    buf.extend_from_slice(&[0; LENGTH_BYTES]);
    bincode::serde::encode_into_std_write(message, buf, bincode::config::standard())
        .expect("encoding into memory fails only for unsupported types");
    let length = (buf.len() - start - LENGTH_BYTES) as u32;
    buf[start..start + LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
}

/// Removes the first message from a buffer; `None` if it is not complete yet.
pub(crate) fn decode<M: DeserializeOwned>(buf: &mut BytesMut) -> Result<Option<M>, FrameError> {
    let Some(prefix) = buf.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MESSAGE_MAX {
        return Err(FrameError::TooLong);
    }
    if buf.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buf.advance(LENGTH_BYTES);
    let body = buf.split_to(length);
    match bincode::serde::decode_from_slice(&body, bincode::config::standard()) {
        Ok((message, used)) if used == length => Ok(Some(message)),
        _ => Err(FrameError::Malformed),
    }
}
