//! The data that kingcup's processes exchange with each other, with callers and with backend
//! servers: ids, manifest, announcements, orders, view, status and verdict.
//!
//! The crate `fleet` holds the corresponding types of the users' platform.

pub mod announce;
pub mod ids;
pub mod manifest;
pub mod order;
pub mod request;
pub mod status;
pub mod verdict;
pub mod view;
