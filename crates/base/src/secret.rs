//! Secrets that are read from files and compared in constant time.

use std::{fmt, fs, io, path::Path};

/// A shared secret or bearer token. `Debug` does not print its value.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Box<str>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: &str) -> Secret {
        Secret(text.into())
    }

    /// Reads a secret from a file and trims surrounding whitespace.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or the secret is shorter than 8 characters.
    pub fn read(path: &Path) -> io::Result<Secret> {
        let text = fs::read_to_string(path)?;
        let text = text.trim();
        if text.len() < MIN_SECRET_BYTES {
            let reason = format!("the secret is shorter than {MIN_SECRET_BYTES} characters");
            return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
        }
        Ok(Secret::new(text))
    }

    /// The plain text, for sending to a process that shares the secret.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Compares `candidate` with the secret; the running time depends only on the lengths.
    pub fn matches(&self, candidate: &[u8]) -> bool {
        let expected = self.0.as_bytes();
        let mut difference = expected.len() ^ candidate.len();
        for (a, b) in expected.iter().zip(candidate) {
            difference |= usize::from(a ^ b);
        }
        difference == 0
    }
}

const MIN_SECRET_BYTES: usize = 8;
