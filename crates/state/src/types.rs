//! The types of the replicated state.

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

/// All that the log replicates.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The index of the last applied record.
    pub applied: u64,
    /// The manifest in force.
    pub manifest: Option<AcceptedManifest>,
    /// Failure domains that operators have taken out.
    pub domains_out: BTreeMap<DomainId, DomainOut>,
    /// The groups that are forming or serving.
    pub groups: BTreeMap<GroupId, Group>,
    /// The hosts that are not free.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// The hosts among them whose order has not been settled.
    pub hosts_with_orders: BTreeSet<HostId>,
    /// The hosts among them that are leaving.
    pub leaving: BTreeSet<HostId>,
    /// Claims of requests with a key.
    pub claims: BTreeMap<ClaimKey, Claim>,
}

/// A manifest that was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedManifest {
    /// Its number.
    pub number: ManifestNumber,
    /// Its digest.
    pub digest: Digest,
    /// Its canonical JSON text.
    pub body: Box<str>,
    /// The log index of its acceptance.
    pub index: u64,
}

/// A failure domain that is out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainOut {
    /// Seconds since the Unix epoch at which work stops; until then replacements form.
    pub stop_at_s: u64,
    /// The log index of the order.
    pub index: u64,
}

/// A group of hosts that serves one replica of a model.
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
    /// The fence that every member must echo.
    pub fence: Fence,
}

/// A host that belongs to a group or is leaving one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// What the host is for.
    pub role: HostRole,
    /// The last fence given to the host; it only grows.
    pub fence: Fence,
    /// The order whose outcome has not been seen.
    pub order: Option<OutstandingOrder>,
}

/// What a host is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostRole {
    /// A member of a group.
    Assigned(GroupId),
    /// On its way to be free.
    Leaving,
}

/// An order that was committed and whose outcome has not been seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingOrder {
    /// The fence of the order.
    pub fence: Fence,
    /// The incarnation of the backend server that the order is for.
    pub incarnation: Incarnation,
    /// What the order asks for.
    pub action: OrderAction,
}

/// The claim of one request key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The entry that dispatches the request.
    pub entry: EntryId,
    /// Identifies the claiming request, so that a resent claim is recognised.
    pub token: u64,
    /// Digest of the request, to tell a resend from another request.
    pub request_digest: u64,
    /// How far the request is.
    pub state: ClaimState,
    /// Seconds since the Unix epoch at which the claim was made.
    pub at_s: u64,
}

/// How far a claimed request is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request may be running.
    Open,
    /// The request ran; its answer may be kept.
    Done(KeptAnswer),
    /// The answer was lost; whether the request ran is unknown for good.
    Unknown,
}

/// An answer kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub content_type: Box<str>,
    /// The body, or nothing if it was too large to keep.
    pub body: Option<Vec<u8>>,
}
