//! What the log remembers of groups.

use crate::{Epoch, GroupName, Incarnation};
use model::ids::{DomainId, FabricId, HostId, ModelId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A group whose members may have been told to join.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The number of the membership.
    pub epoch: Epoch,
    /// The model.
    pub model: ModelId,
    /// The members, the head first.
    pub members: Vec<GroupMember>,
}

/// A host that may belong to a group: enough to ask it before it reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMember {
    /// The host.
    pub host: HostId,
    /// The life that it was in.
    pub incarnation: Incarnation,
    /// Where it takes requests and orders.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its fabric domain.
    pub fabric: FabricId,
    /// Requests that it runs at once as a head.
    pub slots: u32,
}

/// A change of the groups.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupChange {
    /// Members may be told to join a new group.
    Formed {
        /// The group.
        name: GroupName,
        /// What it consists of.
        record: GroupRecord,
    },
    /// The members belong to the group no longer.
    Ended {
        /// The group.
        name: GroupName,
    },
}
