//! A group as the planner knows it.

use fleet::{Epoch, GroupName, GroupRecord, MemberState, OrderKind};
use model::ids::{HostId, ModelId};
use std::{collections::BTreeSet, time::Instant};

/// How far a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its record is on its way into the log.
    Proposed,
    /// An earlier leader formed it; its members have not all reported yet.
    Resumed,
    /// Its members join.
    Forming,
    /// Its head was told to serve.
    Opening,
    /// It serves.
    Serving,
    /// Its head is told to stop; running work is cut off, or awaited.
    Closing {
        /// Whether running work is cut off.
        cut: bool,
    },
}

/// A group.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(super) epoch: Epoch,
    pub(crate) model: ModelId,
    pub(crate) members: Vec<HostId>,
    /// The life that each member was in when it joined.
    pub(super) lives: Vec<u64>,
    pub(super) acked: BTreeSet<HostId>,
    pub(super) phase: Phase,
    pub(super) deadline: Instant,
    /// When the head was last told to open, if it was or may have been.
    pub(super) open_asked: Option<Instant>,
    /// Whether an order to open may still be carried out later.
    pub(super) open_unsure: bool,
    /// When the head was last told to close while it served.
    pub(super) close_sent: Option<Instant>,
    /// No further order to close is sent before this time.
    pub(super) close_again: Option<Instant>,
    /// Whether the head has certainly closed.
    pub(super) closed: bool,
    pub(super) probed: Option<Instant>,
}

/// What a member's reports say about its part in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Member {
    /// It belongs to the group, in this state.
    In(MemberState),
    /// It takes part, but not in this group.
    Elsewhere,
    /// It has not been heard for too long.
    Silent,
    /// It ended, or began a new life.
    Dead,
}

impl Group {
    /// The order to join the group.
    pub(super) fn join_order(&self, name: &GroupName) -> OrderKind {
        OrderKind::Join {
            group: name.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.clone(),
        }
    }

    /// A group of an earlier leader, of which only the record is known.
    pub(super) fn resumed(record: &GroupRecord, deadline: Instant, now: Instant) -> Group {
        Group {
            epoch: record.epoch,
            model: record.model.clone(),
            members: record.members.iter().map(|member| member.host.clone()).collect(),
            lives: record.members.iter().map(|member| member.born).collect(),
            acked: BTreeSet::new(),
            phase: Phase::Resumed,
            deadline,
            // An order of the earlier leader to open it may be on its way.
            open_asked: Some(now),
            open_unsure: true,
            close_sent: None,
            close_again: None,
            closed: false,
            probed: None,
        }
    }
}
