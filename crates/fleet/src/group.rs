//! Groups as the replicated log records them.

use crate::{Epoch, GroupName, Incarnation};
use model::ids::{DomainId, FabricId, HostId, ModelId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A group whose members may have been ordered to join.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The number of its membership.
    pub epoch: Epoch,
    /// Its model.
    pub model: ModelId,
    /// Its members, the head first.
    pub members: Vec<GroupMember>,
}

/// A host that may belong to a group, with all that a new leader needs to query its state before
/// it reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The host.
    pub host: HostId,
    /// Its incarnation when the group was formed.
    pub incarnation: Incarnation,
    /// The address on which it takes requests and orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// The number of requests that it runs concurrently as a head.
    pub slots: u32,
}

/// A change to the groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupChange {
    /// A new group: its members may be ordered to join.
    Formed {
        /// The group.
        name: GroupName,
        /// Its model and members.
        record: GroupRecord,
    },
    /// A group has ended: its members no longer belong to it.
    Ended {
        /// The group.
        name: GroupName,
    },
}
