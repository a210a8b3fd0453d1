//! Durable storage of one node's log in a data folder.
//!
//! The folder contains `identity`, the random identity of the node, and `log`, a file of
//! framed records. A snapshot is written to a new file, which replaces the old one by a
//! rename. A write is durable only after the file has been synced, and a new file only
//! after the folder has been synced as well.

mod error;
mod folder;
mod frame;
mod full;

pub use error::StoreError;
pub use folder::{Loaded, Store};
pub use full::{AppendFile, append_while_full, retry_while_full};
