//! The life of groups: joined, opened, serving, closed, ended.

use crate::{
    Limits, Registry,
    loads::LoadGate,
    placement::{Candidate, FreeHost, best_candidate, model_need},
};
use fleet::{
    Engine, EngineModel, Epoch, GroupChange, GroupName, GroupRecord, HostOrder, MemberState,
    Membership, OrderKind,
};
use model::ids::{DomainId, FabricId, HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Bits of an epoch below the leader's term.
const EPOCH_BITS: u32 = 20;

/// Most hosts whose weights are replaced for one group.
const STAGE_OVER_MAX: usize = 2;

/// What the planner looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// What hosts have reported.
    pub registry: &'a Registry,
    /// The service of the engines.
    pub service: &'a ServiceId,
    /// The engine's parameters.
    pub engine: &'a Engine,
    /// Failure domains that operators have taken out.
    pub domains_out: &'a BTreeSet<DomainId>,
    /// The work that callers asked for lately, by model, in groups that it would fill; empty
    /// until enough has been asked for.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Groups whose head an entry has seen working lately.
    pub alive: &'a BTreeSet<GroupName>,
    /// Groups whose head has stood still with work to do.
    pub stalled: &'a BTreeSet<GroupName>,
    /// Whether loads are free of limits, as they are until callers send requests.
    pub loads_unlimited: bool,
    /// The time.
    pub now: Instant,
}

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
    pub(crate) epoch: Epoch,
    pub(crate) model: ModelId,
    pub(crate) members: Vec<HostId>,
    /// The life that each member was in when it joined.
    lives: Vec<u64>,
    acked: BTreeSet<HostId>,
    pub(crate) phase: Phase,
    deadline: Instant,
    /// When the head was last told to open, if it was or may have been.
    open_asked: Option<Instant>,
    /// Whether an order to open may still be carried out later.
    open_unsure: bool,
    /// When the head was last told to close while it served.
    close_sent: Option<Instant>,
    /// No further order to close is sent before this time.
    close_again: Option<Instant>,
    /// Whether the head has certainly closed.
    closed: bool,
    probed: Option<Instant>,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// It has begun.
    Begun,
    /// It is done, or the state already held.
    Done,
    /// It doesn't fit the host's state, or the host has seen a newer one.
    Conflict,
    /// Another backend server has the address.
    WrongHost,
    /// No answer came: it may be carried out.
    NoAnswer,
    /// The connection was refused: the backend server has ended.
    Unreachable,
}

/// The end of an order.
#[derive(Debug, Clone)]
pub struct OrderOutcome {
    /// The order.
    pub order: HostOrder,
    /// How it ended.
    pub result: OrderResult,
}

/// What a pass of the planner asks for.
#[derive(Debug, Default)]
pub struct Step {
    /// To be committed, in this order.
    pub changes: Vec<GroupChange>,
    /// To be sent.
    pub orders: Vec<HostOrder>,
}

/// Decides about groups for one leader's term.
#[derive(Debug)]
pub struct Planner {
    term: u64,
    formed: u64,
    limits: Limits,
    groups: BTreeMap<GroupName, Group>,
    ended: Vec<GroupName>,
    /// Groups that ended in this term, and whose head certainly serves no more.
    closed: BTreeSet<GroupName>,
    pending: BTreeSet<HostId>,
    /// No order goes to a host before this time.
    backoff: BTreeMap<HostId, Instant>,
    /// What is being staged, and until when that takes at most.
    staging: BTreeMap<HostId, (ModelId, Instant)>,
    /// Since when hosts belong to no group and nothing is staged on them.
    idle_since: BTreeMap<HostId, Instant>,
    gate: LoadGate,
    engine_service: Option<ServiceId>,
}

/// What a member's reports say about its part in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Member {
    /// It belongs to the group, in this state.
    In(MemberState),
    /// It takes part, but not in this group.
    Elsewhere,
    /// It has not been heard for too long.
    Silent,
    /// It ended, or began a new life.
    Dead,
}

impl Planner {
    /// A planner for a leader's term, with the groups in the log.
    pub fn resume(
        term: u64,
        limits: Limits,
        records: &BTreeMap<GroupName, GroupRecord>,
        now: Instant,
    ) -> Planner {
        let deadline = now + limits.learn;
        let resumed = |record: &GroupRecord| resumed_group(record, deadline, now);
        let groups = records.iter().map(|(name, record)| (name.clone(), resumed(record))).collect();
        Planner {
            term,
            formed: 0,
            limits,
            groups,
            ended: Vec::new(),
            closed: BTreeSet::new(),
            pending: BTreeSet::new(),
            backoff: BTreeMap::new(),
            staging: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            gate: LoadGate::default(),
            engine_service: None,
        }
    }

    /// Groups that serve.
    pub(crate) fn serving(&self) -> impl Iterator<Item = (&GroupName, &Group)> {
        self.groups.iter().filter(|(_, group)| group.phase == Phase::Serving)
    }

    /// Groups by phase, for reports.
    pub fn phases(&self) -> impl Iterator<Item = (&GroupName, &ModelId, Phase)> {
        self.groups.iter().map(|(name, group)| (name, &group.model, group.phase))
    }

    /// Whether replicas of the service serve without a group.
    pub(crate) fn is_plain(&self, service: &ServiceId) -> bool {
        self.engine_service.as_ref() != Some(service)
    }

    /// Notes which service has engines; none if the manifest names none.
    pub fn set_engine_service(&mut self, service: Option<ServiceId>) {
        self.engine_service = service;
    }

    /// Notes that the record of a group is committed.
    pub fn committed(&mut self, name: &GroupName) {
        if let Some(group) = self.groups.get_mut(name)
            && group.phase == Phase::Proposed
        {
            group.phase = Phase::Forming;
        }
    }

    /// The changes and orders that are due.
    pub fn step(&mut self, input: &PlannerInput<'_>) -> Step {
        let mut orders = Vec::new();
        self.clear_strays(input, &mut orders);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.tend(&name, input, &mut orders);
        }
        let hosts = input.registry.hosts();
        self.staging.retain(|host, (model, until)| {
            let staged = hosts.get(host).is_some_and(|seen| seen.report.staged.contains(model));
            !staged && *until > input.now
        });
        let mut free = self.free_hosts(input);
        let formed = self.form(input, &mut free);
        self.note_idle(&free, input.now);
        self.stage(input, &free, &mut orders);
        let ended = std::mem::take(&mut self.ended).into_iter();
        let changes = ended.map(|name| GroupChange::Ended { name }).chain(formed).collect();
        Step { changes, orders }
    }

    /// Notes the end of an order.
    pub fn outcome(&mut self, outcome: &OrderOutcome, now: Instant) {
        let host = &outcome.order.host;
        self.pending.remove(host);
        let resend = now + self.limits.resend;
        let gone = matches!(outcome.result, OrderResult::Unreachable | OrderResult::WrongHost);
        let accepted = matches!(outcome.result, OrderResult::Begun | OrderResult::Done);
        if !accepted {
            self.backoff.insert(host.clone(), resend);
        }
        match &outcome.order.kind {
            OrderKind::Join { group, epoch, .. } => {
                self.join_ended(group, *epoch, host, outcome.result, now);
            }
            OrderKind::Open { group, epoch } => {
                if let Some(current) = self.group_mut(group, *epoch) {
                    current.open_unsure |= outcome.result == OrderResult::NoAnswer;
                    if accepted && current.phase == Phase::Forming {
                        current.phase = Phase::Opening;
                    }
                }
            }
            OrderKind::Close { group, .. } if gone => self.end_closed(group),
            OrderKind::Close { group, epoch, .. } => {
                let form_slack = self.limits.resend * 2;
                if let Some(current) = self.group_mut(group, *epoch) {
                    let opening = current.open_asked.is_some_and(|at| now < at + form_slack);
                    match outcome.result {
                        OrderResult::Done => current.closed = true,
                        OrderResult::Conflict => current.closed = !opening,
                        _ => {}
                    }
                }
            }
            OrderKind::Leave { group, epoch } => {
                let left = accepted || gone;
                let head = self
                    .group_mut(group, *epoch)
                    .is_some_and(|current| current.members[0] == *host);
                if left && head {
                    self.end_closed(group);
                }
            }
            OrderKind::Stage { .. } => {
                if !accepted {
                    self.staging.remove(host);
                }
            }
            OrderKind::Probe => {}
        }
    }

    fn join_ended(
        &mut self,
        group: &GroupName,
        epoch: Epoch,
        host: &HostId,
        result: OrderResult,
        now: Instant,
    ) {
        let pause = now + self.limits.form_slack;
        let Some(current) = self.group_mut(group, epoch) else {
            return;
        };
        match result {
            OrderResult::Begun | OrderResult::Done => {
                current.acked.insert(host.clone());
            }
            OrderResult::NoAnswer => {}
            OrderResult::Conflict | OrderResult::WrongHost | OrderResult::Unreachable => {
                current.deadline = now;
                self.backoff.insert(host.clone(), pause);
            }
        }
    }

    fn group_mut(&mut self, name: &GroupName, epoch: Epoch) -> Option<&mut Group> {
        self.groups.get_mut(name).filter(|group| group.epoch == epoch)
    }

    /// Ends a group whose head certainly serves no more.
    fn end_closed(&mut self, name: &GroupName) {
        self.closed.insert(name.clone());
        self.end(name);
    }

    /// Ends a group. Unless its head has closed, each member leaves it before it joins
    /// another one.
    fn end(&mut self, name: &GroupName) {
        if self.groups.remove(name).is_some() {
            self.ended.push(name.clone());
        }
    }

    /// Orders a host, unless another order to it is under way or was not answered lately.
    fn order(
        &mut self,
        host: &HostId,
        kind: OrderKind,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) -> bool {
        let Some(seen) = input.registry.hosts().get(host) else {
            return false;
        };
        let waits = self.backoff.get(host).is_some_and(|until| *until > input.now);
        if waits || !self.pending.insert(host.clone()) {
            return false;
        }
        self.backoff.remove(host);
        orders.push(HostOrder {
            host: host.clone(),
            address: seen.report.address,
            fence: self.term,
            kind,
        });
        true
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
        if seen.gone || seen.report.born != group.lives[rank] {
            return Member::Dead;
        }
        if !seen.is_present(self.limits.member_silence, input.now) {
            return Member::Silent;
        }
        match &seen.report.membership {
            Some(part) if part.group == *name && part.epoch == group.epoch => {
                Member::In(part.state)
            }
            _ => Member::Elsewhere,
        }
    }

    fn tend(&mut self, name: &GroupName, input: &PlannerInput<'_>, orders: &mut Vec<HostOrder>) {
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
            _ if input.alive.contains(name) => Phase::Serving,
            _ => Phase::Closing { cut: true },
        };
        self.set_phase(name, phase);
        if let Some(current) = self.groups.get_mut(name) {
            current.deadline = input.now + input.engine.form + self.limits.form_slack;
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
            let kind = join_order(name, group);
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
        let works = input.alive.contains(name);
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
                let heard = input.registry.hosts().get(head).map(|seen| seen.heard);
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
            Member::Silent => !hosts.get(host).is_some_and(|seen| seen.left),
            Member::Dead | Member::Elsewhere => true,
        })
    }

    fn note_close(&mut self, name: &GroupName, serves: bool, now: Instant) {
        let again = now + self.limits.resend;
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
        if group.probed.is_some_and(|at| input.now < at + self.limits.probe_pause) {
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

    /// Takes hosts out of groups that have ended: their heads were out of touch then, or
    /// are still, and may serve.
    fn clear_strays(&mut self, input: &PlannerInput<'_>, orders: &mut Vec<HostOrder>) {
        for (host, seen) in input.registry.hosts() {
            let Some(part) = &seen.report.membership else {
                continue;
            };
            let present = seen.is_present(self.limits.member_silence, input.now);
            if !present || !self.is_stray(part) {
                continue;
            }
            let (group, epoch) = (part.group.clone(), part.epoch);
            let kind = match part.serves() {
                true => OrderKind::Close { group, epoch, cut: true },
                false => OrderKind::Leave { group, epoch },
            };
            self.order(host, kind, input, orders);
        }
    }

    /// Whether a host must leave the group that it reports before it joins another one.
    fn is_stray(&self, part: &Membership) -> bool {
        let ended = !self.groups.contains_key(&part.group);
        ended && (part.serves() || !self.closed.contains(&part.group))
    }

    fn free_hosts(&self, input: &PlannerInput<'_>) -> BTreeMap<FabricId, Vec<FreeHost>> {
        let taken: BTreeSet<&HostId> =
            self.groups.values().flat_map(|group| &group.members).collect();
        let mut free: BTreeMap<FabricId, Vec<FreeHost>> = BTreeMap::new();
        for (host, seen) in input.registry.hosts() {
            let report = &seen.report;
            let stray = report.membership.as_ref().is_some_and(|part| self.is_stray(part));
            let usable = report.service == *input.service
                && !stray
                && seen.is_present(self.limits.member_silence, input.now)
                && !report.leaving
                && !input.domains_out.contains(&report.domain)
                && !taken.contains(host)
                && !self.pending.contains(host)
                && !self.staging.contains_key(host)
                && self.backoff.get(host).is_none_or(|until| *until <= input.now);
            if usable {
                free.entry(report.fabric.clone()).or_default().push(FreeHost {
                    host: host.clone(),
                    last_model: report.loaded.clone(),
                    staged: report.staged.clone(),
                });
            }
        }
        free
    }

    fn form(
        &mut self,
        input: &PlannerInput<'_>,
        free: &mut BTreeMap<FabricId, Vec<FreeHost>>,
    ) -> Vec<GroupChange> {
        let mut formed = Vec::new();
        loop {
            let counts = self.counts();
            // A join that loads would hold its hosts for long; weights are staged instead.
            let room = if input.loads_unlimited { usize::MAX } else { 0 };
            let Some(candidate) = best_candidate(input, free, &counts, room) else {
                return formed;
            };
            if let Some(hosts) = free.get_mut(&candidate.fabric) {
                hosts.retain(|host| !candidate.hosts.contains(&host.host));
            }
            formed.push(self.start_group(candidate, input));
        }
    }

    fn start_group(&mut self, candidate: Candidate, input: &PlannerInput<'_>) -> GroupChange {
        self.formed += 1;
        let epoch = (self.term << EPOCH_BITS) + self.formed;
        let name: GroupName = format!("g{epoch}").into();
        let hosts = input.registry.hosts();
        let born = |host: &HostId| hosts.get(host).map_or(0, |seen| seen.report.born);
        let group = Group {
            epoch,
            model: candidate.model,
            lives: candidate.hosts.iter().map(born).collect(),
            members: candidate.hosts,
            acked: BTreeSet::new(),
            phase: Phase::Proposed,
            deadline: input.now + candidate.time + input.engine.form + self.limits.form_slack,
            open_asked: None,
            open_unsure: false,
            close_sent: None,
            close_again: None,
            closed: false,
            probed: None,
        };
        let record = GroupRecord {
            epoch,
            model: group.model.clone(),
            members: group.members.iter().cloned().zip(group.lives.iter().copied()).collect(),
        };
        self.groups.insert(name.clone(), group);
        GroupChange::Formed { name, record }
    }

    /// Puts weights on hosts that have none, so that they can complete a group soon.
    fn stage(
        &mut self,
        input: &PlannerInput<'_>,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        orders: &mut Vec<HostOrder>,
    ) {
        for (fabric, hosts) in free {
            let mut ready = self.ready_hosts(fabric, hosts, input);
            for spare in hosts.iter().filter(|host| host.is_blank()) {
                let Some(model) = self.model_to_stage(fabric, &ready, input) else {
                    continue;
                };
                if self.stage_host(&spare.host, model, input, orders) {
                    *ready.entry(model.name.clone()).or_default() += 1;
                }
            }
        }
        for (fabric, hosts) in free {
            let ready = self.ready_hosts(fabric, hosts, input);
            self.stage_over(fabric, hosts, &ready, input, orders);
        }
    }

    fn note_idle(&mut self, free: &BTreeMap<FabricId, Vec<FreeHost>>, now: Instant) {
        let idle: BTreeSet<&HostId> = free.values().flatten().map(|host| &host.host).collect();
        self.idle_since.retain(|host, _| idle.contains(host));
        for host in idle {
            self.idle_since.entry(host.clone()).or_insert(now);
        }
    }

    /// Replaces the weights of hosts that have been idle for long, where that completes a
    /// group: hosts that together fit no model serve nobody. Loads are scarce, and a host
    /// that waits may complete a group with others soon, so that it is the last resort.
    fn stage_over(
        &mut self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        ready: &BTreeMap<ModelId, usize>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(model) = self.model_to_stage(fabric, ready, input) else {
            return;
        };
        let have = ready.get(&model.name).copied().unwrap_or(0);
        let missing = model.size.saturating_sub(have);
        let others: Vec<&FreeHost> =
            hosts.iter().filter(|host| host.needs_load(model) && !host.is_blank()).collect();
        let patient = |host: &&FreeHost| {
            let since = self.idle_since.get(&host.host);
            since.is_some_and(|at| input.now >= *at + self.limits.stage_over_after)
        };
        if missing > STAGE_OVER_MAX || !others.iter().all(patient) {
            return;
        }
        if missing == 0 || others.len() < missing {
            return;
        }
        for host in &others[..missing] {
            self.stage_host(&host.host, model, input, orders);
        }
    }

    fn stage_host(
        &mut self,
        host: &HostId,
        model: &EngineModel,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) -> bool {
        let kind = OrderKind::Stage { model: model.name.clone() };
        if self.load_room(input) == 0 || !self.order(host, kind, input, orders) {
            return false;
        }
        self.gate.note(model.load, input.now);
        let entry = (model.name.clone(), input.now + model.load * 2);
        self.staging.insert(host.clone(), entry);
        true
    }

    /// How many free hosts of a fabric domain have, or will have, the weights of each model.
    fn ready_hosts(
        &self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        input: &PlannerInput<'_>,
    ) -> BTreeMap<ModelId, usize> {
        let mut ready = BTreeMap::new();
        for model in &input.engine.models {
            let have = hosts.iter().filter(|host| !host.needs_load(model)).count();
            let coming = self.staging.iter().filter(|(host, (staged, _))| {
                let seen = input.registry.hosts().get(*host);
                *staged == model.name && seen.is_some_and(|seen| seen.report.fabric == *fabric)
            });
            ready.insert(model.name.clone(), have + coming.count());
        }
        ready
    }

    /// The model whose next group lacks the fewest hosts, weighed by how much it is needed.
    /// Models with groups in the fabric domain and without a spare host go first.
    fn model_to_stage<'a>(
        &self,
        fabric: &FabricId,
        ready: &BTreeMap<ModelId, usize>,
        input: &PlannerInput<'a>,
    ) -> Option<&'a EngineModel> {
        let counts = self.counts();
        let score = |model: &EngineModel| {
            let have = ready.get(&model.name).copied().unwrap_or(0);
            let missing = model.size - have % model.size;
            let unspared = if have == 0 { self.groups_in(fabric, model, input) } else { 0 };
            unspared as f64 + model_need(model, input.demand, &counts) / missing as f64
        };
        input.engine.models.iter().max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    fn groups_in(&self, fabric: &FabricId, model: &EngineModel, input: &PlannerInput<'_>) -> usize {
        let here = |group: &&Group| {
            let head = input.registry.hosts().get(&group.members[0]);
            group.model == model.name && head.is_some_and(|seen| seen.report.fabric == *fabric)
        };
        self.groups.values().filter(here).count()
    }

    /// The number of groups of each model.
    fn counts(&self) -> BTreeMap<ModelId, usize> {
        let mut counts = BTreeMap::new();
        for group in self.groups.values() {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        counts
    }

    fn load_room(&mut self, input: &PlannerInput<'_>) -> usize {
        if input.loads_unlimited { usize::MAX } else { self.gate.room(input.engine, input.now) }
    }
}

fn join_order(name: &GroupName, group: &Group) -> OrderKind {
    OrderKind::Join {
        group: name.clone(),
        epoch: group.epoch,
        model: group.model.clone(),
        members: group.members.clone(),
    }
}

/// A group of an earlier leader, of which only the record is known.
fn resumed_group(record: &GroupRecord, deadline: Instant, now: Instant) -> Group {
    Group {
        epoch: record.epoch,
        model: record.model.clone(),
        members: record.members.iter().map(|(host, _)| host.clone()).collect(),
        lives: record.members.iter().map(|(_, born)| *born).collect(),
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
