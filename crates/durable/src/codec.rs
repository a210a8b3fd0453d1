//! Encoding of commands and states in the log.

use bincode::{config::standard, error::DecodeError};
use serde::{Serialize, de::DeserializeOwned};

/// Encodes a command or a state.
///
/// # Panics
///
/// Panics if the encoding does not support the type, which the first use of the type shows.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, standard())
        .expect("encoding into memory fails only for unsupported types")
}

/// Decodes a command.
///
/// # Errors
///
/// Fails if the data was not encoded as this type, for example by another version.
pub fn decode<T: DeserializeOwned>(data: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(data, standard()).map(|(value, _)| value)
}

/// Decodes the state in a snapshot. Empty data, as in a log without a snapshot, gives the
/// default state.
///
/// # Panics
///
/// Panics if the data can't be decoded. Its checksum has been verified, so it can only have
/// been written by another version.
pub fn decode_state<T: DeserializeOwned + Default>(data: &[u8]) -> T {
    if data.is_empty() {
        return T::default();
    }
    decode(data).expect("a snapshot with a valid checksum can be decoded")
}
