//! What hosts report of their backend servers, and the orders that engines take.

use crate::{Epoch, GroupName, Incarnation};
use model::ids::{DomainId, FabricId, HostId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostReport {
    /// The host.
    pub host: HostId,
    /// When this life of the backend server began.
    pub incarnation: Incarnation,
    /// Grows with each report of one life.
    pub sequence: u64,
    /// The service that it offers.
    pub service: ServiceId,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its fabric domain; empty for plain services.
    pub fabric: FabricId,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// How long its cold start lasts on.
    pub cold: Duration,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Models whose weights are on the host.
    pub staged: Vec<ModelId>,
    /// The model of its last group since its start, as far as it tells.
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

/// What a backend server answers when it is asked how its engine is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostState {
    /// When this life of the backend server began.
    pub incarnation: Incarnation,
    /// Models whose weights are on the host.
    pub staged: Vec<ModelId>,
    /// The model of its last group since its start.
    pub last_model: Option<ModelId>,
    /// The group that it belongs to.
    pub membership: Option<Membership>,
}

/// The part of a host in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupName,
    /// The number of the membership.
    pub epoch: Epoch,
    /// The position among the members; 0 is the head.
    pub rank: usize,
    /// How far the member is.
    pub state: MemberState,
}

impl Membership {
    /// Whether the member is a head that takes or finishes work.
    pub fn serves(&self) -> bool {
        self.rank == 0 && matches!(self.state, MemberState::Open | MemberState::Closing)
    }
}

/// How far a member of a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Joining, perhaps loading weights.
    Joining,
    /// Ready, not serving.
    Ready,
    /// A head that serves.
    Open,
    /// A head that finishes its work.
    Closing,
    /// A head that lost a member.
    Broken,
}

/// An order to one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostOrder {
    /// The host.
    pub host: HostId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The leader's term: engines refuse a lower one than they have seen.
    pub fence: u64,
    /// What it must do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Become a member of a group.
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
    /// Begin to serve as the head.
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
        /// Whether running work is cut off instead of awaited.
        cut: bool,
    },
    /// Leave a group.
    Leave {
        /// The group.
        group: GroupName,
        /// The number of the membership.
        epoch: Epoch,
    },
    /// Answer, to show that the backend server lives.
    Probe,
    /// Load weights beside all other work.
    Stage {
        /// The model.
        model: ModelId,
    },
}

impl OrderKind {
    /// A word for logs and metrics.
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
