//! Messages between control processes, and between entries and control.

use crate::{GroupName, Manifest, RoutingView};
use model::ids::{ControlId, EntryId, ModelId};
use replog::Envelope;
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The path of conversations between control processes.
pub const LOG_SESSION_PATH: &str = "/control/log";
/// The path of conversations of an entry with control.
pub const ENTRY_SESSION_PATH: &str = "/control/entry";

/// One control process introduces itself to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlGossip {
    /// The identity of its data folder.
    pub id: ControlId,
    /// Its name.
    pub name: Box<str>,
    /// Where it takes conversations.
    pub peer_address: SocketAddr,
    /// Where operators and backend servers reach it.
    pub public_address: SocketAddr,
    /// Whether it was started with the whole system and its log has never held anything.
    pub may_bootstrap: bool,
    /// Addresses for conversations of other control processes that it has heard of.
    pub known: Vec<SocketAddr>,
}

/// A message from one control process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogMessage {
    /// Introduces the sender.
    Gossip(ControlGossip),
    /// A message of the replicated log.
    Log(Envelope),
}

/// How an entry is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: EntryId,
    /// Where it takes callers.
    pub address: SocketAddr,
    /// Whether it takes new callers.
    pub accepts: bool,
    /// Requests that it has passed on since it started.
    pub forwarded: u64,
    /// The work that callers asked for lately, by model, in groups that it would fill.
    pub demand: Vec<(ModelId, f64)>,
    /// Requests a second that callers asked for lately, refused ones included.
    pub request_rate: f64,
    /// Groups whose head produced something lately.
    pub progressing: Vec<GroupName>,
    /// Groups whose head has stood still with work to do.
    pub stalled: Vec<GroupName>,
}

/// A message from an entry to control.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryMessage {
    /// Reports how the entry is, at short intervals.
    Status(EntryStatus),
}

/// A message from control to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// The sender does not lead; it knows the leader's address or not.
    NotLeader {
        /// Where the leader takes conversations.
        leader: Option<SocketAddr>,
        /// Addresses for conversations of control processes.
        known: Vec<SocketAddr>,
    },
    /// The manifest in force.
    Manifest(Arc<Manifest>),
    /// What may be sent to.
    View(RoutingView),
    /// The entry's part of the places at each backend server, between 0 and 1.
    Share(f64),
    /// The sender leads, and nothing has changed.
    Keepalive {
        /// Addresses for conversations of control processes.
        known: Vec<SocketAddr>,
    },
}
