//! The condition of a group's member, from its record and its announcement.

use crate::observations::Observations;
use base::limits::REPAIR_AFTER;
use model::{
    announce::{Announcement, RunPhase},
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
    /// Has obeyed its order and is loading.
    Loading,
    /// Has not been seen to obey its order yet, and still may.
    Ordered,
    /// Has just become silent.
    Missing,
    /// Has been silent for long, or is leaving, or failed to load.
    Gone,
    /// Is there but idle, or runs something else: another order would bring it back.
    Astray,
}

/// The condition of a member of a group.
pub fn member_condition(
    state: &State,
    seen: &Observations,
    id: GroupId,
    group: &Group,
    member: &Member,
    now: Instant,
) -> MemberCondition {
    let Some(host) = seen.hosts().get(&member.host) else {
        return MemberCondition::Gone;
    };
    if let Some(since) = host.lost_since {
        let long = now.saturating_duration_since(since) >= REPAIR_AFTER;
        return if long { MemberCondition::Gone } else { MemberCondition::Missing };
    }
    let announcement = &host.announcement;
    if announcement.leaving || announcement.address != member.address {
        return MemberCondition::Gone;
    }
    if let Some(phase) = echoed_phase(announcement, id, group) {
        return match phase {
            RunPhase::Ready => MemberCondition::Ready,
            RunPhase::Loading => MemberCondition::Loading,
            RunPhase::Failed => MemberCondition::Gone,
        };
    }
    let awaited = state
        .hosts
        .get(&member.host)
        .and_then(|record| record.order.as_ref())
        .is_some_and(|order| order.incarnation == announcement.incarnation);
    if awaited { MemberCondition::Ordered } else { MemberCondition::Astray }
}

fn echoed_phase(announcement: &Announcement, id: GroupId, group: &Group) -> Option<RunPhase> {
    announcement
        .runs
        .as_ref()
        .filter(|runs| runs.group == id && runs.fence == group.fence)
        .map(|runs| runs.phase)
}
