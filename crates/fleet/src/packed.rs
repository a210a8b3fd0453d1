//! Manifests in the form in which they are sent.

use crate::Manifest;
use bincode::{config::standard, error::DecodeError};
use lz4_flex::block::{DecompressError, compress_prepend_size, decompress_size_prepended};
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use std::{fmt, sync::Arc};

/// A manifest that was encoded and compressed once, for any number of receivers.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedManifest {
    number: u64,
    #[serde_as(as = "Arc<Bytes>")]
    data: Arc<Vec<u8>>,
}

/// The error from unpacking a manifest.
#[derive(Debug)]
pub enum UnpackError {
    /// The data can't be decompressed.
    Compression(DecompressError),
    /// The data is not a manifest.
    Encoding(DecodeError),
}

impl fmt::Display for UnpackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            UnpackError::Compression(e) => write!(f, "can't decompress the manifest: {e}"),
            UnpackError::Encoding(e) => write!(f, "can't decode the manifest: {e}"),
        }
    }
}

impl std::error::Error for UnpackError {}

impl PackedManifest {
    /// Encodes and compresses a manifest.
    ///
    /// # Panics
    ///
    /// Panics if the encoding does not support the type, which the first use shows.
    pub fn pack(manifest: &Manifest) -> PackedManifest {
        let encoded = bincode::serde::encode_to_vec(manifest, standard())
            .expect("encoding into memory fails only for unsupported types");
        PackedManifest { number: manifest.number, data: Arc::new(compress_prepend_size(&encoded)) }
    }

    /// Decompresses and decodes the manifest.
    ///
    /// # Errors
    ///
    /// Fails if the data is damaged or was packed by another version.
    pub fn unpack(&self) -> Result<Manifest, UnpackError> {
        let encoded = decompress_size_prepended(&self.data).map_err(UnpackError::Compression)?;
        let (manifest, _) = bincode::serde::decode_from_slice(&encoded, standard())
            .map_err(UnpackError::Encoding)?;
        Ok(manifest)
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
