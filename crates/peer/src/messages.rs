//! The messages of each kind of session.

use model::{
    ids::{ControlId, EntryId},
    view::{View, ViewDelta, ViewVersion},
};
use plan::EntryReport;
use replog::Envelope;
use serde::{Deserialize, Serialize};
use state::{ClaimKey, KeptAnswer, Reply};
use std::net::SocketAddr;

/// The path of sessions between control processes.
pub const CONTROL_PATH: &str = "/peer/control";
/// The path of sessions between an entry and control.
pub const ENTRY_PATH: &str = "/peer/entry";
/// The path of sessions between entries about slots.
pub const SLOT_PATH: &str = "/peer/slots";

/// The introduction of one control process to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlHello {
    /// The identity stored in its data directory.
    pub id: ControlId,
    /// Its name.
    pub name: Box<str>,
    /// The address on which it accepts sessions.
    pub address: SocketAddr,
    /// Whether its log has never held an entry.
    pub log_is_empty: bool,
}

/// A message from one control process to another. Replies do not use the same stream, since each
/// process opens its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Introduces the sender.
    Hello(ControlHello),
    /// A message of the replicated log.
    Log(Envelope),
}

/// The introduction of an entry to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHello {
    /// Its name.
    pub entry: EntryId,
    /// The address on which it accepts callers' requests.
    pub address: SocketAddr,
    /// The version of the view that it holds.
    pub version: ViewVersion,
}

/// A message from an entry to control.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryToControl {
    /// The first message of a session.
    Hello(EntryHello),
    /// Reports changes and requests the view lease.
    Report {
        /// Sequence number of the report in this session.
        number: u64,
        /// The changes.
        report: EntryReport,
    },
    /// Claims a request key before dispatch.
    Claim {
        /// Identifies the claiming request.
        token: u64,
        /// The request key.
        key: ClaimKey,
        /// Digest of the request.
        request: u64,
    },
    /// Records the answer of a claimed request, or that the answer was lost.
    CloseClaim {
        /// Identifies the claiming request.
        token: u64,
        /// The request key.
        key: ClaimKey,
        /// The answer, or `None` if it was lost.
        answer: Option<KeptAnswer>,
    },
    /// Releases a claim, since the request has not run.
    ReleaseClaim {
        /// Identifies the claiming request.
        token: u64,
        /// The request key.
        key: ClaimKey,
    },
}

/// A message from control to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlToEntry {
    /// This control process is not the leader.
    NotLeader {
        /// The address on which the leader accepts sessions, if known.
        leader: Option<SocketAddr>,
    },
    /// The complete view.
    Snapshot {
        /// Its version.
        version: ViewVersion,
        /// The view.
        view: View,
    },
    /// The difference from the previous version of the view.
    Delta {
        /// The version that the delta applies to.
        base: ViewVersion,
        /// The resulting version.
        version: ViewVersion,
        /// The difference.
        delta: ViewDelta,
    },
    /// Grants the view lease, counted from the time at which the report was sent.
    Lease {
        /// The number of the report that is answered.
        number: u64,
        /// Whether the entry must send its full state instead of changes only.
        full_report_requested: bool,
    },
    /// Replies to a message about a claim.
    ClaimReply {
        /// Identifies the claiming request.
        token: u64,
        /// The outcome, or `None` if this process can't decide.
        reply: Option<Reply>,
    },
}
