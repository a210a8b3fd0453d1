//! A group in the planner.

use fleet::{Epoch, GroupName, GroupRecord, MemberState, OrderKind};
use model::ids::{HostId, ModelId};
use std::{collections::BTreeSet, time::Instant};

/// The phase of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Its record is being committed to the log.
    Proposed,
    /// An earlier leader formed it, and not all members have reported yet.
    Resumed,
    /// Its members are joining.
    Forming,
    /// Its head has been ordered to serve.
    Opening,
    /// It serves.
    Serving,
    /// Its head has to stop serving.
    Closing {
        /// Whether running work is cut off instead of awaited.
        cut: bool,
    },
}

/// A group.
#[derive(Debug, Clone)]
pub(crate) struct Group {
    pub(super) epoch: Epoch,
    pub(crate) model: ModelId,
    /// The members, the head first.
    pub(crate) members: Vec<HostId>,
    /// The start time of each member's process when it was chosen.
    pub(super) incarnations: Vec<u64>,
    /// Members that have accepted the order to join.
    pub(super) acked: BTreeSet<HostId>,
    pub(super) phase: Phase,
    pub(super) deadline: Instant,
    /// When the head was last ordered to open, if that was or may have been done.
    pub(super) open_sent: Option<Instant>,
    /// Whether an order to open may still take effect later.
    pub(super) open_unconfirmed: bool,
    /// When the head was last ordered to close.
    pub(super) close_sent: Option<Instant>,
    /// Whether the head has certainly closed.
    pub(super) closed: bool,
    pub(super) last_probe: Option<Instant>,
}

/// The relation of a member to its group, from its reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberStatus {
    /// It reports this group, in the given state.
    Joined(MemberState),
    /// It is certainly in another group or none.
    NotJoined,
    /// It reported another group or none, which may be long past.
    Unconfirmed,
    /// It has not reported for too long, or left a probe unanswered.
    Silent,
    /// It was replaced, or a later incarnation of it has reported.
    Terminated,
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
            incarnations: record.members.iter().map(|member| member.incarnation).collect(),
            acked: BTreeSet::new(),
            phase: Phase::Resumed,
            deadline,
            // The earlier leader's order to open it may still be in flight.
            open_sent: Some(now),
            open_unconfirmed: true,
            close_sent: None,
            closed: false,
            last_probe: None,
        }
    }
}
