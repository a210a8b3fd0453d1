//! The form of records and states in the log.

use bincode::{config::standard, error::DecodeError};
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a record or a state.
///
/// # Panics
///
/// Panics if the type can't be encoded at all, which its first use shows.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, standard())
        .expect("encoding into memory fails only for unsupported types")
}

/// Decodes a record.
///
/// # Errors
///
/// Fails if it is of another version.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(data, standard()).map(|(value, _)| value)
}

/// Decodes the state in a snapshot; a log that never had one begins with the default.
///
/// # Panics
///
/// Panics if the snapshot is of another version of the state: its checksum was right.
pub fn decode_state<T: DeserializeOwned + Default>(data: &[u8]) -> T {
    if data.is_empty() {
        return T::default();
    }
    decode(data).expect("a snapshot that passed its checksum is readable")
}
