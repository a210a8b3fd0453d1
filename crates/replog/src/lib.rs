//! A replicated log: Raft with pre-vote, check-quorum, a leader lease, learners and
//! single-server membership changes.
//!
//! Reference: D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3
//! to 6 and section 9.6.
//!
//! The crate performs no I/O and does not read the clock. [`Node`] receives messages
//! and the current time as inputs, and [`Node::take_output`] returns the writes,
//! messages and committed entries for the caller to handle. The caller must sync the
//! writes to storage before sending the messages, and then call [`Node::mark_synced`].

mod election;
mod log;
mod membership;
mod message;
mod node;
mod replication;

pub use log::{Entry, Payload, Snapshot, Voters};
pub use message::{Envelope, Message};
pub use node::{
    HardState, Node, NotLeader, Output, Progress, Restored, Role, Timing, Tolerance, Write,
};

/// A node's identifier: the random identity of its data folder.
pub type NodeId = u64;
/// The name of a failure domain.
pub type Domain = Box<str>;
/// The position of an entry in the log, starting at 1.
pub type Index = u64;
/// A Raft term. Each term has at most one leader.
pub type Term = u64;
