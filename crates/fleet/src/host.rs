//! Reports of backend servers, and the orders that they carry out.

use crate::{Epoch, GroupName, Incarnation};
use model::ids::{DomainId, FabricId, HostId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// A periodic report of a backend server to control. Its counterpart in `model` is `Announcement`,
/// which goes to an entry. A host of this report always offers a service; it can join groups if the
/// service has an engine in the manifest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// The incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Increases with each report of one incarnation.
    pub sequence: u64,
    /// The service that it offers.
    pub service: ServiceId,
    /// The address on which it takes requests and orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its fabric domain; empty for plain services.
    pub fabric: FabricId,
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// The remaining time of its cold start.
    pub cold_remaining: Duration,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Models whose weights are staged on the host.
    pub staged: Vec<ModelId>,
    /// The model of the last group that it joined since its start, if it reports one.
    pub last_model: Option<ModelId>,
    /// The group that it belongs to.
    pub membership: Option<Membership>,
}

impl HostReport {
    /// Whether this report is newer than `other` of the same host.
    pub fn supersedes(&self, other: &HostReport) -> bool {
        (self.incarnation, self.sequence) > (other.incarnation, other.sequence)
    }
}

/// The state of an engine, as its backend server returns it when queried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    /// The incarnation of the backend server.
    pub incarnation: Incarnation,
    /// Models whose weights are staged on the host.
    pub staged: Vec<ModelId>,
    /// The model of the last group that it joined since its start.
    pub last_model: Option<ModelId>,
    /// The group that it belongs to.
    pub membership: Option<Membership>,
}

/// The membership of a host in a group. Its counterpart of the same name in `model` has a fence in
/// place of the epoch, and no rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupName,
    /// The number of the membership.
    pub epoch: Epoch,
    /// The position in the list of members. The head has rank 0.
    pub rank: usize,
    /// The state of the member.
    pub state: MemberState,
}

impl Membership {
    /// Whether the member is a head that takes new requests or finishes running ones.
    pub fn serves(&self) -> bool {
        self.rank == 0 && matches!(self.state, MemberState::Open | MemberState::Closing)
    }
}

/// The state of a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Joining the group, which includes loading the weights unless they are loaded already.
    Joining,
    /// Ready to serve. A head in this state takes no requests.
    Ready,
    /// A head that takes requests.
    Open,
    /// A head that takes no new requests and finishes running ones.
    Closing,
    /// A head that has lost a member of its group.
    Broken,
}

/// An order to one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostId,
    /// The address on which it takes orders.
    pub address: SocketAddr,
    /// The leader's term. Engines refuse an order with a lower term than they have seen.
    pub fence: u64,
    /// The operation.
    pub kind: OrderKind,
}

/// The operation of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Join a group.
    Join {
        /// The group.
        group: GroupName,
        /// The number of the membership.
        epoch: Epoch,
        /// The model.
        model: ModelId,
        /// All members, the head first.
        members: Vec<HostId>,
    },
    /// Start to serve as the head.
    Open {
        /// The group.
        group: GroupName,
        /// The number of the membership.
        epoch: Epoch,
    },
    /// Stop serving as the head.
    Close {
        /// The group.
        group: GroupName,
        /// The number of the membership.
        epoch: Epoch,
        /// Whether to cancel running requests instead of waiting for them.
        cut: bool,
    },
    /// Leave a group.
    Leave {
        /// The group.
        group: GroupName,
        /// The number of the membership.
        epoch: Epoch,
    },
    /// Respond, to show that the backend server is reachable.
    Probe,
    /// Load weights onto the host, in parallel with other work.
    Stage {
        /// The model.
        model: ModelId,
    },
}

impl OrderKind {
    /// The name of the operation in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            OrderKind::Join { .. } => "join",
            OrderKind::Open { .. } => "open",
            OrderKind::Close { .. } => "close",
            OrderKind::Leave { .. } => "leave",
            OrderKind::Probe => "probe",
            OrderKind::Stage { .. } => "stage",
        }
    }
}
