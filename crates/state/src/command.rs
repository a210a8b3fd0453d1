//! The commands that the log carries, and their replies.

use crate::types::{Claim, KeptAnswer};
use model::{
    ids::{
        Digest, DomainId, EntryId, FabricId, Fence, GroupId, HostId, Incarnation, ManifestNumber,
        ModelId, ServiceId,
    },
    order::Member,
};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Names one booking of a service across resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceId,
    /// The key that the caller gave.
    pub key: Box<str>,
}

/// A host chosen for a group, with what the planner saw of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The host and its address.
    pub member: Member,
    /// The incarnation that the order is for.
    pub incarnation: Incarnation,
    /// Whether the backend server refuses orders with an old fence.
    pub checks_fence: bool,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a manifest in force.
    ApplyManifest {
        /// Its number.
        number: ManifestNumber,
        /// Its digest.
        digest: Digest,
        /// Its canonical JSON text.
        body: Box<str>,
    },
    /// Takes a failure domain out.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
        /// Seconds since the Unix epoch at which work stops.
        stop_at_s: u64,
    },
    /// Brings a failure domain back.
    DomainBack {
        /// The failure domain.
        domain: DomainId,
    },
    /// Forms a group of free hosts and orders them to load.
    FormGroup {
        /// The model.
        model: ModelId,
        /// The failure domain.
        domain: DomainId,
        /// The fabric domain.
        fabric: FabricId,
        /// The size of the weights, in bytes.
        load_size: u64,
        /// The members, the head first.
        placements: Vec<Placement>,
    },
    /// Gives a group new members under a new fence; members left out are leaving.
    Regroup {
        /// The group.
        group: GroupId,
        /// The fence that the planner saw.
        fence: Fence,
        /// The size of the weights, in bytes.
        load_size: u64,
        /// The members, the head first.
        placements: Vec<Placement>,
    },
    /// Dissolves a group; its members are leaving.
    DissolveGroup {
        /// The group.
        group: GroupId,
    },
    /// Orders a leaving host to drop its model.
    Unload {
        /// The host.
        host: HostId,
        /// The incarnation that the order is for.
        incarnation: Incarnation,
        /// Whether the backend server refuses orders with an old fence.
        checks_fence: bool,
    },
    /// Records that the outcome of an order has been seen, or that none can follow.
    SettleOrder {
        /// The host.
        host: HostId,
        /// The fence of the order.
        fence: Fence,
    },
    /// Frees a leaving host that is idle.
    FreeHost {
        /// The host.
        host: HostId,
        /// The last fence given to the host.
        fence: Fence,
    },
    /// Claims a request key for one dispatch.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The entry that dispatches.
        entry: EntryId,
        /// Identifies the claiming request.
        token: u64,
        /// Digest of the request.
        request_digest: u64,
        /// Seconds since the Unix epoch.
        now_s: u64,
    },
    /// Records the answer of a claimed request.
    CloseClaim {
        /// The key.
        key: ClaimKey,
        /// Identifies the claiming request.
        token: u64,
        /// The answer, or nothing if it was lost.
        answer: Option<KeptAnswer>,
    },
    /// Gives a claim back: the request has not run.
    ReleaseClaim {
        /// The key.
        key: ClaimKey,
        /// Identifies the claiming request.
        token: u64,
    },
}

/// The outcome of an applied command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command has taken effect.
    Done,
    /// The key is claimed for this request.
    Claimed,
    /// The key was claimed by an earlier request.
    AlreadyClaimed(Claim),
    /// The command has not taken effect.
    Rejected(Rejection),
}

/// Why a command has not taken effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The manifest's number is not above that in force.
    StaleManifest {
        /// The number in force.
        number: ManifestNumber,
        /// The digest in force.
        digest: Digest,
    },
    /// The failure domain is not in the manifest.
    UnknownDomain,
    /// The group does not exist or has another fence.
    StaleGroup,
    /// A host is not free, or not in the expected role.
    HostBusy(HostId),
    /// A host that ignores fences has an order whose outcome has not been seen.
    OrderOutstanding(HostId),
    /// The placements are empty, or name a host twice.
    BadPlacement,
    /// The claim belongs to another request or does not exist.
    StaleClaim,
    /// The record could not be read by this version.
    Unreadable,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::StaleManifest { number, digest } => write!(
                f,
                "manifest {number} with digest {digest} is in force: give a higher number"
            ),
            Rejection::UnknownDomain => {
                f.write_str("the failure domain is not in the manifest: check its name")
            }
            Rejection::StaleGroup => f.write_str("the group does not exist under this fence"),
            Rejection::HostBusy(host) => write!(f, "host {host} is not in the expected role"),
            Rejection::OrderOutstanding(host) => {
                write!(f, "host {host} has an order whose outcome has not been seen")
            }
            Rejection::BadPlacement => f.write_str("the placements are empty or repeat a host"),
            Rejection::StaleClaim => f.write_str("the claim belongs to another request"),
            Rejection::Unreadable => f.write_str("the record could not be read"),
        }
    }
}
