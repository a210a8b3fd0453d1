//! Commands in the replicated log, and their replies.

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

/// Identifies one booking of a service across resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: ServiceId,
    /// The key chosen by the caller.
    pub key: Box<str>,
}

/// A host chosen for a group, as last reported to the planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The host and its address.
    pub member: Member,
    /// The incarnation of the backend server that the order is for.
    pub incarnation: Incarnation,
    /// Whether the backend server rejects orders with an old fence.
    pub checks_fence: bool,
}

/// A change to the replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Makes a manifest the current one.
    ApplyManifest {
        /// The manifest's number.
        number: ManifestNumber,
        /// The manifest's digest.
        digest: Digest,
        /// The manifest as canonical JSON.
        body: Box<str>,
    },
    /// Takes a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
        /// When work stops there, in seconds since the Unix epoch.
        stop_at_s: u64,
    },
    /// Returns a failure domain to service.
    DomainBack {
        /// The failure domain.
        domain: DomainId,
    },
    /// Forms a group of free hosts and orders them to load the model.
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
    /// Replaces the members of a group under a new fence. Members not in `placements` become
    /// leaving hosts.
    Regroup {
        /// The group.
        group: GroupId,
        /// The group's fence when the planner decided.
        fence: Fence,
        /// The size of the weights, in bytes.
        load_size: u64,
        /// The members, the head first.
        placements: Vec<Placement>,
    },
    /// Dissolves a group. Its members become leaving hosts.
    DissolveGroup {
        /// The group.
        group: GroupId,
    },
    /// Orders a leaving host to unload its model.
    Unload {
        /// The host.
        host: HostId,
        /// The incarnation of the backend server that the order is for.
        incarnation: Incarnation,
        /// Whether the backend server rejects orders with an old fence.
        checks_fence: bool,
    },
    /// Marks an order as settled: its outcome has been reported, or it can no longer have one.
    SettleOrder {
        /// The host.
        host: HostId,
        /// The fence of the order.
        fence: Fence,
    },
    /// Frees an idle leaving host. Rejected while an order is outstanding.
    FreeHost {
        /// The host.
        host: HostId,
        /// The host's latest fence.
        fence: Fence,
    },
    /// Claims a request key for one dispatch.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The entry that dispatches the request.
        entry: EntryId,
        /// Identifies the claiming request.
        token: u64,
        /// The digest of the request.
        request_digest: u64,
        /// The time of the claim, in seconds since the Unix epoch.
        now_s: u64,
    },
    /// Closes a claim with the answer to its request.
    CloseClaim {
        /// The key.
        key: ClaimKey,
        /// Identifies the claiming request.
        token: u64,
        /// The answer, or `None` if it was lost.
        answer: Option<KeptAnswer>,
    },
    /// Releases a claim whose request has not run.
    ReleaseClaim {
        /// The key.
        key: ClaimKey,
        /// Identifies the claiming request.
        token: u64,
    },
}

/// The result of an applied command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command took effect.
    Done,
    /// The key is now claimed for this request.
    Claimed,
    /// The key is already claimed. Carries the existing claim.
    AlreadyClaimed(Claim),
    /// The command had no effect.
    Rejected(Rejection),
}

/// Why a command was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The manifest's number is not higher than that of the current manifest.
    StaleManifest {
        /// The number of the current manifest.
        number: ManifestNumber,
        /// The digest of the current manifest.
        digest: Digest,
    },
    /// The failure domain is not in the manifest.
    UnknownDomain,
    /// The group does not exist or has another fence.
    StaleGroup,
    /// A host is not free, or does not have the expected role.
    HostBusy(HostId),
    /// A host has an unsettled order that blocks the command.
    OrderOutstanding(HostId),
    /// The placements are empty or contain a host twice.
    BadPlacement,
    /// The claim belongs to another request, is already closed, or does not exist.
    StaleClaim,
    /// The command could not be decoded by this version.
    Unreadable,
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::StaleManifest { number, digest } => {
                write!(f, "manifest {number} with digest {digest} is in force: use a higher number")
            }
            Rejection::UnknownDomain => {
                f.write_str("the failure domain is not in the manifest: check its name")
            }
            Rejection::StaleGroup => f.write_str("the group does not exist or has another fence"),
            Rejection::HostBusy(host) => {
                write!(f, "host {host} is not free or does not have the expected role")
            }
            Rejection::OrderOutstanding(host) => {
                write!(f, "host {host} has an order whose outcome is not known yet")
            }
            Rejection::BadPlacement => {
                f.write_str("the placements are empty or contain a host twice")
            }
            Rejection::StaleClaim => {
                f.write_str("the claim belongs to another request, is closed, or does not exist")
            }
            Rejection::Unreadable => {
                f.write_str("the command could not be decoded by this version")
            }
        }
    }
}
