//! What the log remembers of groups.

use crate::{BornMs, Epoch, GroupName};
use model::ids::{HostId, ModelId};
use serde::{Deserialize, Serialize};

/// A group whose members may have been told to join.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRecord {
    /// The number of the membership.
    pub epoch: Epoch,
    /// The model.
    pub model: ModelId,
    /// The members, the head first, each with the life that it was in.
    pub members: Vec<(HostId, BornMs)>,
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
