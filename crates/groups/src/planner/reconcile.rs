//! Reconciles each group with the reports of its members.

use super::{
    Phase, Planner, PlannerInput,
    group::{Group, MemberStatus},
};
use fleet::{GroupName, HostOrder, MemberState, OrderKind};
use std::time::Instant;

impl Planner {
    pub(super) fn reconcile(
        &mut self,
        name: &GroupName,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(group) = self.groups.get(name).cloned() else {
            return;
        };
        let members: Vec<MemberStatus> = (0..group.members.len())
            .map(|rank| self.member_status(name, &group, rank, input))
            .collect();
        match group.phase {
            Phase::Proposed => {}
            Phase::Resumed => self.reconcile_resumed(name, &group, &members, input),
            Phase::Forming => self.reconcile_forming(name, &group, &members, input, orders),
            Phase::Opening => self.reconcile_opening(name, &group, &members, input),
            Phase::Serving => self.reconcile_serving(name, &group, &members, input, orders),
            Phase::Closing { cut } => {
                self.reconcile_closing(name, &group, &members, cut, input, orders);
            }
        }
    }

    /// Continues a group of an earlier leader from the state that its members report.
    fn reconcile_resumed(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[MemberStatus],
        input: &PlannerInput<'_>,
    ) {
        let all_joined = members.iter().all(|member| matches!(member, MemberStatus::Joined(_)));
        let phase = match members[0] {
            MemberStatus::Joined(MemberState::Open) if all_joined => Phase::Serving,
            MemberStatus::Joined(MemberState::Ready | MemberState::Joining) if all_joined => {
                Phase::Forming
            }
            _ if input.now < group.deadline => return,
            // The group works; only control has lost contact with its members.
            _ if input.progressing.contains(name) => Phase::Serving,
            _ => Phase::Closing { cut: true },
        };
        self.set_phase(name, phase);
        if let Some(current) = self.groups.get_mut(name) {
            current.deadline =
                input.now + input.engine.formation_time + self.limits.formation_slack;
        }
    }

    fn reconcile_forming(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[MemberStatus],
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let lost = members
            .iter()
            .any(|member| matches!(member, MemberStatus::Terminated | MemberStatus::Silent));
        if lost || input.now >= group.deadline || self.any_leaving(group, input) {
            if group.open_sent.is_some() {
                self.set_phase(name, Phase::Closing { cut: true });
            } else {
                // The head was never ordered to open, so it cannot be serving.
                self.end_closed(name);
            }
            return;
        }
        let is_ready = |member: &MemberStatus| {
            matches!(member, MemberStatus::Joined(MemberState::Ready | MemberState::Open))
        };
        if members.iter().all(is_ready) {
            let kind = OrderKind::Open { group: name.clone(), epoch: group.epoch };
            if self.order(&group.members[0], kind, input, orders)
                && let Some(current) = self.groups.get_mut(name)
            {
                current.open_sent = Some(input.now);
            }
            return;
        }
        for host in group.members.iter().filter(|host| !group.acked.contains(*host)) {
            let kind = group.join_order(name);
            self.order(host, kind, input, orders);
        }
    }

    fn reconcile_opening(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[MemberStatus],
        input: &PlannerInput<'_>,
    ) {
        let lost = members.iter().any(|member| !matches!(member, MemberStatus::Joined(_)));
        if lost || input.now >= group.deadline {
            self.set_phase(name, Phase::Closing { cut: true });
        } else if members[0] == MemberStatus::Joined(MemberState::Open) {
            self.set_phase(name, Phase::Serving);
        }
    }

    fn reconcile_serving(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[MemberStatus],
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let is_progressing = input.progressing.contains(name);
        if !is_progressing && input.stalled.contains(name) {
            self.probe_members(name, group, input, orders);
        }
        let lost = members.iter().any(|member| match member {
            // While the head makes progress, the member runs: only control has lost contact.
            MemberStatus::Silent | MemberStatus::Unconfirmed => !is_progressing,
            MemberStatus::Terminated | MemberStatus::NotJoined => true,
            MemberStatus::Joined(state) => *state == MemberState::Broken,
        });
        if lost {
            self.set_phase(name, Phase::Closing { cut: true });
        } else if self.any_leaving(group, input) || input.engine.model(&group.model).is_none() {
            self.set_phase(name, Phase::Closing { cut: false });
        }
    }

    fn reconcile_closing(
        &mut self,
        name: &GroupName,
        group: &Group,
        members: &[MemberStatus],
        cut: bool,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let head = &group.members[0];
        match members[0] {
            MemberStatus::Terminated | MemberStatus::NotJoined => self.end_closed(name),
            MemberStatus::Joined(MemberState::Broken) if !group.open_unconfirmed => {
                self.end_closed(name);
            }
            MemberStatus::Joined(_) | MemberStatus::Unconfirmed => {
                if !group.closed {
                    let cut = cut || self.has_lost_member(group, members, input);
                    let kind = OrderKind::Close { group: name.clone(), epoch: group.epoch, cut };
                    if self.is_close_due(group, members[0], input)
                        && self.order(head, kind, input, orders)
                    {
                        self.record_close(name, input.now);
                    }
                } else if group.open_unconfirmed {
                    // Once the head has left the group, a delayed order to open has no effect.
                    let kind = OrderKind::Leave { group: name.clone(), epoch: group.epoch };
                    self.order(head, kind, input, orders);
                } else {
                    self.end_closed(name);
                }
            }
            // The head may still be running. After the end of the group its members are
            // ordered to leave one by one, and without them the head makes no progress.
            MemberStatus::Silent => self.end(name),
        }
    }

    /// Whether a member is lost, so that the head cannot finish its work. A member that has
    /// said that it ends reports no more, but stays while the head has work.
    fn has_lost_member(
        &self,
        group: &Group,
        members: &[MemberStatus],
        input: &PlannerInput<'_>,
    ) -> bool {
        let hosts = input.registry.hosts();
        group.members.iter().zip(members).any(|(host, member)| match member {
            MemberStatus::Joined(_) | MemberStatus::Unconfirmed => false,
            MemberStatus::Silent => !hosts.get(host).is_some_and(|status| status.departed),
            MemberStatus::Terminated | MemberStatus::NotJoined => true,
        })
    }

    /// Whether to order the head to close, again if it has not confirmed that it has. A report of a
    /// head that has closed may be older than the order, but shows that it is time to ask.
    fn is_close_due(&self, group: &Group, head: MemberStatus, input: &PlannerInput<'_>) -> bool {
        let Some(sent_at) = group.close_sent else {
            return true;
        };
        let status = input.registry.hosts().get(&group.members[0]);
        let has_reported = status.is_some_and(|status| status.last_report > sent_at);
        let reports_closed = head == MemberStatus::Joined(MemberState::Ready) && has_reported;
        reports_closed || input.now >= sent_at + self.limits.resend_delay
    }

    fn record_close(&mut self, name: &GroupName, now: Instant) {
        if let Some(group) = self.groups.get_mut(name) {
            group.close_sent = Some(now);
        }
    }

    /// Probes all members of a group whose head makes no progress.
    fn probe_members(
        &mut self,
        name: &GroupName,
        group: &Group,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        if group.last_probe.is_some_and(|at| input.now < at + self.limits.probe_interval) {
            return;
        }
        for host in &group.members {
            self.order(host, OrderKind::Probe, input, orders);
        }
        if let Some(current) = self.groups.get_mut(name) {
            current.last_probe = Some(input.now);
        }
    }

    fn set_phase(&mut self, name: &GroupName, phase: Phase) {
        if let Some(group) = self.groups.get_mut(name) {
            group.phase = phase;
        }
    }

    fn any_leaving(&self, group: &Group, input: &PlannerInput<'_>) -> bool {
        let hosts = input.registry.hosts();
        group.members.iter().any(|host| hosts.get(host).is_some_and(|status| status.report.leaving))
    }

    fn member_status(
        &self,
        name: &GroupName,
        group: &Group,
        rank: usize,
        input: &PlannerInput<'_>,
    ) -> MemberStatus {
        let Some(status) = input.registry.hosts().get(&group.members[rank]) else {
            return MemberStatus::Silent;
        };
        if status.replaced || status.report.incarnation != group.incarnations[rank] {
            return MemberStatus::Terminated;
        }
        if !status.is_present(self.limits.member_timeout, input.now) {
            return MemberStatus::Silent;
        }
        match &status.report.membership {
            Some(part) if part.group == *name && part.epoch == group.epoch => {
                MemberStatus::Joined(part.state)
            }
            // Epochs only rise, so a later group is proof.
            Some(part) if part.epoch > group.epoch => MemberStatus::NotJoined,
            _ if status.is_certain() => MemberStatus::NotJoined,
            _ => MemberStatus::Unconfirmed,
        }
    }
}
