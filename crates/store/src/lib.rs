//! Durable storage of one node's log in a data folder.
//!
//! The folder holds `identity`, the random identity of the node, and `log`, a file of
//! framed records. A snapshot starts a new file, which replaces the old one by a
//! rename. A write counts only after the sync of the file; a new file counts only
//! after the sync of the folder.

mod error;
mod folder;
mod frame;
mod full;

pub use error::StoreError;
pub use folder::{Loaded, Store};
pub use full::retry_while_full;
