//! Storage errors, each with the affected path.

use std::{fmt, io, path::PathBuf};

/// A storage error.
#[derive(Debug)]
pub enum StoreError {
    /// A file system operation failed.
    Io {
        /// The operation.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The file contains damaged data, other than a torn last record.
    Damaged {
        /// The file.
        path: PathBuf,
        /// The byte offset at which the record begins.
        offset: u64,
        /// What is wrong with the record.
        cause: &'static str,
    },
    /// Another process is using the folder.
    Locked {
        /// The folder.
        path: PathBuf,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Io { operation, path, cause } => {
                write!(f, "can't {operation} {}: {cause}", path.display())
            }
            StoreError::Damaged { path, offset, cause } => write!(
                f,
                "{}: the record at byte {offset} is damaged ({cause}): do not edit the file; \
                 start with an empty data folder, so that the process rejoins as a new follower",
                path.display()
            ),
            StoreError::Locked { path } => write!(
                f,
                "{}: another process is using this data folder: stop it or choose another folder",
                path.display()
            ),
        }
    }
}

impl std::error::Error for StoreError {}
