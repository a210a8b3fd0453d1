//! What each group needs in its phase.

use super::{
    Phase, Planner, PlannerInput,
    group::{Group, Member},
};
use fleet::{GroupName, HostOrder, MemberState, OrderKind};
use std::time::Instant;

impl Planner {
    pub(super) fn tend(
        &mut self,
        name: &GroupName,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(group) = self.groups.get(name).cloned() else {
            return;
        };
        let members: Vec<Member> =
            (0..group.members.len()).map(|rank| self.member(name, &group, rank, input)).collect();
        match group.phase {
            Phase::Proposed => {}
            Phase::Resumed => self.tend_resumed(name, &group, &members, input),
            Phase::Forming => self.tend_forming(name, &group, &members, input, orders),
            Phase::Opening => self.tend_opening(name, &group, &members, input),
            Phase::Serving => self.tend_serving(name, &group, &members, input, orders),
            Phase::Closing { cut } => {
                self.tend_closing(name, &group, &members, cut, input, orders);
            }
        }
    }

    /// Goes on with a group of an earlier leader as far as its members' reports say.
    fn tend_resumed(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[Member],
        input: &PlannerInput<'_>,
    ) {
        let all_in = members.iter().all(|member| matches!(member, Member::In(_)));
        let phase = match members[0] {
            Member::In(MemberState::Open) if all_in => Phase::Serving,
            Member::In(MemberState::Ready | MemberState::Joining) if all_in => Phase::Forming,
            _ if input.now < group.deadline => return,
            // Only control has lost touch with it.
            _ if input.progressing.contains(name) => Phase::Serving,
            _ => Phase::Closing { cut: true },
        };
        self.set_phase(name, phase);
        if let Some(current) = self.groups.get_mut(name) {
            current.deadline = input.now + input.engine.form + self.limits.formation_slack;
        }
    }

    fn tend_forming(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[Member],
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let lost = members.iter().any(|member| matches!(member, Member::Dead | Member::Silent));
        if lost || input.now >= group.deadline || self.any_leaves(group, input) {
            if group.open_asked.is_some() {
                self.set_phase(name, Phase::Closing { cut: true });
            } else {
                // Its head was never told to open.
                self.end_closed(name);
            }
            return;
        }
        let ready =
            |member: &Member| matches!(member, Member::In(MemberState::Ready | MemberState::Open));
        if members.iter().all(ready) {
            let kind = OrderKind::Open { group: name.clone(), epoch: group.epoch };
            if self.order(&group.members[0], kind, input, orders)
                && let Some(current) = self.groups.get_mut(name)
            {
                current.open_asked = Some(input.now);
            }
            return;
        }
        for host in group.members.iter().filter(|host| !group.acked.contains(*host)) {
            let kind = group.join_order(name);
            self.order(host, kind, input, orders);
        }
    }

    fn tend_opening(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[Member],
        input: &PlannerInput<'_>,
    ) {
        let lost = members.iter().any(|member| !matches!(member, Member::In(_)));
        if lost || input.now >= group.deadline {
            self.set_phase(name, Phase::Closing { cut: true });
        } else if members[0] == Member::In(MemberState::Open) {
            self.set_phase(name, Phase::Serving);
        }
    }

    fn tend_serving(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[Member],
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let works = input.progressing.contains(name);
        if !works && input.stalled.contains(name) {
            self.probe_members(name, group, input, orders);
        }
        let lost = members.iter().any(|member| match member {
            // A member that only control can't hear does no harm while its head works.
            Member::Silent => !works,
            Member::Dead | Member::Elsewhere => true,
            Member::In(state) => *state == MemberState::Broken,
        });
        if lost {
            self.set_phase(name, Phase::Closing { cut: true });
        } else if self.any_leaves(group, input) || input.engine.model(&group.model).is_none() {
            self.set_phase(name, Phase::Closing { cut: false });
        }
    }

    fn tend_closing(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[Member],
        cut: bool,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let head = &group.members[0];
        match members[0] {
            Member::Dead | Member::Elsewhere => self.end_closed(name),
            Member::In(MemberState::Broken) if !group.open_unsure => self.end_closed(name),
            Member::In(state) => {
                let heard = input.registry.hosts().get(head).map(|seen| seen.last_report);
                let seen_closed = state == MemberState::Ready
                    && group.close_sent.is_some_and(|at| heard.is_some_and(|heard| heard > at));
                if !(group.closed || seen_closed) {
                    let cut = cut || self.lacks_member(group, members, input);
                    let kind = OrderKind::Close { group: name.clone(), epoch: group.epoch, cut };
                    let due = group.close_again.is_none_or(|at| at <= input.now);
                    if due && self.order(head, kind, input, orders) {
                        let serves = matches!(state, MemberState::Open | MemberState::Closing);
                        self.note_close(name, serves, input.now);
                    }
                } else if group.open_unsure {
                    // An order to open that comes late finds no such group then.
                    let kind = OrderKind::Leave { group: name.clone(), epoch: group.epoch };
                    self.order(head, kind, input, orders);
                } else {
                    self.end_closed(name);
                }
            }
            // Its members leave one by one, so that it stands still if it lives.
            Member::Silent => self.end(name),
        }
    }

    /// Whether a member is lost, so that the head's work can't go on. One that leaves is
    /// heard no more, but stays while the head has work.
    fn lacks_member(&self, group: &Group, members: &[Member], input: &PlannerInput<'_>) -> bool {
        let hosts = input.registry.hosts();
        group.members.iter().zip(members).any(|(host, member)| match member {
            Member::In(_) => false,
            Member::Silent => !hosts.get(host).is_some_and(|seen| seen.departed),
            Member::Dead | Member::Elsewhere => true,
        })
    }

    fn note_close(&mut self, name: &GroupName, serves: bool, now: Instant) {
        let again = now + self.limits.resend_delay;
        if let Some(group) = self.groups.get_mut(name) {
            group.close_again = Some(again);
            if serves {
                group.close_sent.get_or_insert(now);
            }
        }
    }

    /// Asks all members whether they live, since their head has stood still.
    fn probe_members(
        &mut self,
        name: &GroupName,
        group: &Group,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        if group.probed.is_some_and(|at| input.now < at + self.limits.probe_interval) {
            return;
        }
        for host in &group.members {
            self.order(host, OrderKind::Probe, input, orders);
        }
        if let Some(current) = self.groups.get_mut(name) {
            current.probed = Some(input.now);
        }
    }

    fn set_phase(&mut self, name: &GroupName, phase: Phase) {
        if let Some(group) = self.groups.get_mut(name) {
            group.phase = phase;
        }
    }

    fn any_leaves(&self, group: &Group, input: &PlannerInput<'_>) -> bool {
        let hosts = input.registry.hosts();
        group.members.iter().any(|host| hosts.get(host).is_some_and(|seen| seen.report.leaving))
    }

    fn member(
        &self,
        name: &GroupName,
        group: &Group,
        rank: usize,
        input: &PlannerInput<'_>,
    ) -> Member {
        let Some(seen) = input.registry.hosts().get(&group.members[rank]) else {
            return Member::Silent;
        };
        if seen.replaced || seen.report.born != group.lives[rank] {
            return Member::Dead;
        }
        if !seen.is_present(self.limits.member_timeout, input.now) {
            return Member::Silent;
        }
        match &seen.report.membership {
            Some(part) if part.group == *name && part.epoch == group.epoch => {
                Member::In(part.state)
            }
            _ => Member::Elsewhere,
        }
    }
}
