//! The condition of a group's member, derived from its record and its announcement.

use crate::observations::Observations;
use base::limits::REPAIR_DELAY;
use model::{
    announce::{Announcement, LoadPhase},
    ids::GroupId,
    order::Member,
};
use state::{Group, State};
use std::time::Instant;

/// The condition of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberCondition {
    /// Announces its group and fence, and can serve.
    Ready,
    /// Has accepted its order and is loading.
    Loading,
    /// Does not show the effect of its order yet, but still may.
    Ordered,
    /// Has stopped announcing a short time ago.
    Silent,
    /// Has been silent for long, is leaving, or failed to load.
    Lost,
    /// Announces that it is idle or runs something else; a new order would bring it back.
    OutOfSync,
}

/// The condition of a member of a group.
pub fn member_condition(
    state: &State,
    observations: &Observations,
    id: GroupId,
    group: &Group,
    member: &Member,
    now: Instant,
) -> MemberCondition {
    let Some(host) = observations.hosts().get(&member.host) else {
        return MemberCondition::Lost;
    };
    if let Some(since) = host.lost_since {
        let is_lost = now.saturating_duration_since(since) >= REPAIR_DELAY;
        return if is_lost { MemberCondition::Lost } else { MemberCondition::Silent };
    }
    let announcement = &host.announcement;
    if announcement.leaving || announcement.address != member.address {
        return MemberCondition::Lost;
    }
    if let Some(phase) = announced_phase(announcement, id, group) {
        return match phase {
            LoadPhase::Ready => MemberCondition::Ready,
            LoadPhase::Loading => MemberCondition::Loading,
            LoadPhase::Failed => MemberCondition::Lost,
        };
    }
    let is_ordered = state
        .hosts
        .get(&member.host)
        .and_then(|record| record.order.as_ref())
        .is_some_and(|order| order.incarnation == announcement.incarnation);
    if is_ordered { MemberCondition::Ordered } else { MemberCondition::OutOfSync }
}

/// The phase that the host announces for this group and fence, if it announces them.
fn announced_phase(announcement: &Announcement, id: GroupId, group: &Group) -> Option<LoadPhase> {
    announcement
        .membership
        .as_ref()
        .filter(|runs| runs.group == id && runs.fence == group.fence)
        .map(|runs| runs.phase)
}
