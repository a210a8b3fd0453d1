//! Types of the replicated state.

use crate::command::ClaimKey;
use model::{
    ids::{
        Digest, DomainId, EntryId, FabricId, Fence, GroupId, HostId, Incarnation, ManifestNumber,
        ModelId,
    },
    order::{Member, OrderAction},
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The index of the last applied log entry.
    pub applied: u64,
    /// The current manifest.
    pub manifest: Option<AcceptedManifest>,
    /// Failure domains that operators have taken out of service.
    pub domains_out: BTreeMap<DomainId, DomainOut>,
    /// The groups that are forming or serving.
    pub groups: BTreeMap<GroupId, Group>,
    /// The hosts that are not free.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// The hosts in `hosts` that have an unsettled order.
    pub hosts_with_orders: BTreeSet<HostId>,
    /// The hosts in `hosts` that are leaving.
    pub leaving: BTreeSet<HostId>,
    /// The claims of requests that have a key.
    pub claims: BTreeMap<ClaimKey, Claim>,
}

/// An accepted manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedManifest {
    /// The manifest's number.
    pub number: ManifestNumber,
    /// The manifest's digest.
    pub digest: Digest,
    /// The manifest as canonical JSON.
    pub body: Box<str>,
    /// The log index at which it was accepted.
    pub index: u64,
}

/// A failure domain that is out of service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOut {
    /// When work stops there, in seconds since the Unix epoch. Until then replacement groups
    /// are formed.
    pub stop_at_s: u64,
    /// The log index of the command.
    pub index: u64,
}

/// A group of hosts that together serve one replica of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The model.
    pub model: ModelId,
    /// The failure domain.
    pub domain: DomainId,
    /// The fabric domain.
    pub fabric: FabricId,
    /// The members, the head first.
    pub members: Vec<Member>,
    /// The fence that every member must report back.
    pub fence: Fence,
}

/// A host that is assigned to a group or is leaving one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host's role.
    pub role: HostRole,
    /// The host's latest fence. It only increases.
    pub fence: Fence,
    /// The unsettled order, if any.
    pub order: Option<OutstandingOrder>,
}

/// The role of a host that is not free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// A member of a group.
    Assigned(GroupId),
    /// Removed from its group and not yet free.
    Leaving,
}

/// A committed order that has not been settled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingOrder {
    /// The fence of the order.
    pub fence: Fence,
    /// The incarnation of the backend server that the order is for.
    pub incarnation: Incarnation,
    /// The action to carry out.
    pub action: OrderAction,
}

/// The claim of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry that dispatches the request.
    pub entry: EntryId,
    /// Identifies the claiming request, so that a resent claim is recognised.
    pub token: u64,
    /// The digest of the request, which distinguishes a resend from another request with the
    /// same key.
    pub request_digest: u64,
    /// The state of the request.
    pub state: ClaimState,
    /// When the claim was made, in seconds since the Unix epoch.
    pub claimed_at_s: u64,
}

/// The state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request may be running.
    Open,
    /// The request ran and was answered.
    Done(KeptAnswer),
    /// The answer was lost, so it will never be known whether the request ran.
    Unknown,
}

/// An answer stored for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: Box<str>,
    /// The body, or `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}
