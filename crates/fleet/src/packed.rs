//! Compressed encoding of large values: manifests as they are sent, and commands in the log.

use crate::Manifest;
use bincode::{config::standard, error::DecodeError};
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress_size_prepended};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{Bytes, serde_as};
use std::{fmt, sync::Arc};

/// Encodes and compresses a value.
///
/// # Panics
///
/// Panics if the encoding does not support the type, which the first use of the type shows.
pub fn pack(value: &impl Serialize) -> Vec<u8> {
    let encoded = bincode::serde::encode_to_vec(value, standard())
        .expect("encoding into memory fails only for unsupported types");
    compress_prepend_size(&encoded)
}

/// Decompresses and decodes a value.
///
/// # Errors
///
/// Fails if the data is damaged or was packed as another type, for example by another version.
pub fn unpack<T: DeserializeOwned>(data: &[u8]) -> Result<T, UnpackError> {
    let encoded = decompress_size_prepended(data).map_err(UnpackError::Compression)?;
    let decoded = bincode::serde::decode_from_slice(&encoded, standard());
    decoded.map(|(value, _)| value).map_err(UnpackError::Encoding)
}

/// A manifest that was encoded and compressed once, for any number of receivers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedManifest {
    number: u64,
    #[serde_as(as = "Arc<Bytes>")]
    data: Arc<Vec<u8>>,
}

/// The error from unpacking a value.
#[derive(Debug)]
pub enum UnpackError {
    /// The data can't be decompressed.
    Compression(DecompressError),
    /// The data does not encode the type.
    Encoding(DecodeError),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnpackError::Compression(e) => write!(f, "can't decompress: {e}"),
            UnpackError::Encoding(e) => write!(f, "can't decode: {e}"),
        }
    }
}

impl std::error::Error for UnpackError {}

impl PackedManifest {
    /// Encodes and compresses a manifest.
    pub fn new(manifest: &Manifest) -> PackedManifest {
        PackedManifest { number: manifest.number, data: Arc::new(pack(manifest)) }
    }

    /// Decompresses and decodes the manifest.
    ///
    /// # Errors
    ///
    /// Fails if the data is damaged or was packed by another version.
    pub fn unpack(&self) -> Result<Manifest, UnpackError> {
        unpack(&self.data)
    }

    /// The number of the manifest.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The size in bytes.
    pub fn size(&self) -> usize {
        self.data.len()
    }
}
