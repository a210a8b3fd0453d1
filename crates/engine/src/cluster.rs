//! The simulated hosts, with checks of the safety rules.

use crate::host::{Assignment, Host};
use fleet::{Engine, Epoch, HostOrder, HostReport, MemberState, OrderKind};
use groups::OrderResult;
use model::ids::{HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// How long a head with a missing member stalls before it enters the state `Broken`.
const STALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The topology of the simulated hosts.
#[derive(Debug, Clone)]
pub struct SimConfig {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of fabric domains in each failure domain.
    pub fabrics: usize,
    /// Number of hosts in each fabric domain.
    pub hosts: usize,
}

/// A violation of a safety rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A host joined a group while the head of its previous group was serving.
    ConcurrentGroups {
        /// The host.
        host: HostId,
        /// The previous group.
        old: Box<str>,
    },
    /// A head opened although a member had never become ready with the head's member list.
    IncompleteGroup {
        /// The head.
        head: HostId,
    },
    /// More weight loads started within five seconds than the weight store supports.
    LoadRate {
        /// The number of loads.
        started: usize,
    },
}

/// The simulated engine hosts.
#[derive(Debug)]
pub struct SimCluster {
    /// The engine parameters.
    pub engine: Engine,
    /// The service that the hosts offer.
    pub service: ServiceId,
    /// The violations detected so far.
    pub violations: Vec<Violation>,
    /// Whether callers send requests. Loads then take their full time, and their rate is limited.
    pub has_traffic: bool,
    hosts: BTreeMap<HostId, Host>,
    reports: VecDeque<HostReport>,
    loads: VecDeque<Instant>,
    last_incarnation: u64,
    /// The members that have been ready, with the epochs of their groups.
    have_been_ready: BTreeSet<(HostId, Epoch)>,
}

impl SimCluster {
    /// Creates the hosts of the given topology, without any weights.
    pub fn new(config: &SimConfig, engine: Engine) -> SimCluster {
        let mut cluster = SimCluster {
            engine,
            service: "engines".into(),
            violations: Vec::new(),
            has_traffic: false,
            hosts: BTreeMap::new(),
            reports: VecDeque::new(),
            loads: VecDeque::new(),
            last_incarnation: 1,
            have_been_ready: BTreeSet::new(),
        };
        for domain in 0..config.domains {
            for fabric in 0..config.fabrics {
                for _ in 0..config.hosts {
                    cluster.add(domain, fabric);
                }
            }
        }
        cluster
    }

    /// Adds a host without any weights.
    pub fn add(&mut self, domain: usize, fabric: usize) -> HostId {
        let number = self.hosts.len() as u16;
        let id: HostId = format!("h{number:03}").into();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + number));
        self.last_incarnation += 1;
        let domain_id = format!("d{domain}").into();
        let fabric_id = format!("d{domain}f{fabric}").into();
        let host = Host::new(id.clone(), self.last_incarnation, address, domain_id, fabric_id);
        self.hosts.insert(id.clone(), host);
        id
    }

    /// The hosts by ID.
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// A host, for fault injection.
    pub fn host_mut(&mut self, id: &str) -> Option<&mut Host> {
        self.hosts.get_mut(id)
    }

    /// Restarts a host under the same name.
    pub fn restart(&mut self, id: &str) {
        self.last_incarnation += 1;
        if let Some(host) = self.hosts.get_mut(id) {
            host.restart(self.last_incarnation);
        }
    }

    /// The number of serving heads with a complete group, by model.
    pub fn complete_groups(&self) -> BTreeMap<ModelId, usize> {
        let mut groups = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.alive && host.serves()) {
            let assignment = host.assignment.as_ref().expect("a serving head has an assignment");
            if self.is_complete(assignment) {
                *groups.entry(assignment.model.clone()).or_default() += 1;
            }
        }
        groups
    }

    /// Takes the reports that hosts have made since the last call because of a state change.
    pub fn take_reports(&mut self) -> Vec<HostReport> {
        self.reports.drain(..).collect()
    }

    /// The periodic report of a host, if it reaches control.
    pub fn report(&mut self, id: &str) -> Option<HostReport> {
        let service = self.service.clone();
        let host = self.hosts.get_mut(id)?;
        (host.alive && host.reachable).then(|| host.report(&service))
    }

    /// Advances all hosts to the time `now`.
    pub fn tick(&mut self, now: Instant) {
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.tick_host(&id, now);
        }
    }

    /// Executes an order if the host is reachable; returns the result that the sender would see.
    pub fn send_order(&mut self, order: &HostOrder, now: Instant) -> OrderResult {
        match self.hosts.get(&order.host) {
            Some(host) if host.alive && host.reachable && host.refuses_connections => {
                return OrderResult::Unreachable;
            }
            Some(host) if host.alive && host.reachable => {}
            _ => return OrderResult::NoAnswer,
        }
        self.execute_order(order, now)
    }

    /// Executes a delayed order, even if the host has since become unreachable.
    pub fn execute_order(&mut self, order: &HostOrder, now: Instant) -> OrderResult {
        let Some(host) = self.hosts.get_mut(&order.host).filter(|host| host.alive) else {
            return OrderResult::NoAnswer;
        };
        if order.fence < host.highest_fence {
            return OrderResult::Conflict;
        }
        host.highest_fence = order.fence;
        match &order.kind {
            OrderKind::Probe => OrderResult::Done,
            OrderKind::Stage { model } => self.stage(&order.host, model, now),
            OrderKind::Join { group, epoch, model, members } => {
                let assignment = Assignment {
                    group: group.clone(),
                    epoch: *epoch,
                    model: model.clone(),
                    members: members.clone(),
                    state: MemberState::Joining,
                    due_at: None,
                };
                self.join(&order.host, assignment, now)
            }
            OrderKind::Open { group, epoch }
            | OrderKind::Close { group, epoch, .. }
            | OrderKind::Leave { group, epoch } => {
                let matches = host
                    .assignment
                    .as_ref()
                    .is_some_and(|p| p.group == *group && p.epoch == *epoch);
                match matches {
                    true => self.change_assignment(&order.host, &order.kind, now),
                    false => OrderResult::Conflict,
                }
            }
        }
    }

    fn join(&mut self, id: &HostId, mut assignment: Assignment, now: Instant) -> OrderResult {
        let host = &self.hosts[id];
        if let Some(current) = &host.assignment
            && current.epoch == assignment.epoch
            && current.members == assignment.members
        {
            return OrderResult::Done;
        }
        if assignment.epoch <= host.highest_epoch {
            return OrderResult::Conflict;
        }
        if let Some(old) = host.assignment.clone() {
            self.check_old_head_closed(id, &old);
        }
        let (time, loads) = self.hosts[id].join_time(&self.engine, &assignment.model);
        if loads {
            self.record_load(now);
        }
        let time = if self.has_traffic { time } else { time / 10 };
        assignment.due_at = Some(now + time);
        let host = self.hosts.get_mut(id).expect("read above");
        host.highest_epoch = assignment.epoch;
        if loads {
            host.staged = Some(assignment.model.clone());
        }
        host.assignment = Some(assignment);
        self.queue_report(id);
        OrderResult::Begun
    }

    /// Records a violation if a member joins another group while the head of its old one serves.
    fn check_old_head_closed(&mut self, id: &HostId, old: &Assignment) {
        let head = &self.hosts[&old.members[0]];
        let same_epoch = head.assignment.as_ref().is_some_and(|current| current.epoch == old.epoch);
        if head.alive && same_epoch && head.serves() {
            self.violations
                .push(Violation::ConcurrentGroups { host: id.clone(), old: old.group.clone() });
        }
    }

    fn change_assignment(&mut self, id: &HostId, kind: &OrderKind, now: Instant) -> OrderResult {
        let form = self.engine.formation_time;
        let host = self.hosts.get_mut(id).expect("found by the caller");
        let assignment = host.assignment.as_mut().expect("compared by the caller");
        let result = match (kind, assignment.state) {
            (OrderKind::Leave { .. }, _) => {
                host.assignment = None;
                OrderResult::Done
            }
            (OrderKind::Open { .. }, MemberState::Ready) if assignment.members[0] == *id => {
                assignment.due_at = Some(now + form);
                return OrderResult::Begun;
            }
            (OrderKind::Open { .. }, MemberState::Open) => OrderResult::Done,
            (OrderKind::Close { cut: false, .. }, MemberState::Open | MemberState::Closing)
                if host.busy =>
            {
                assignment.state = MemberState::Closing;
                OrderResult::Begun
            }
            (OrderKind::Close { .. }, MemberState::Open | MemberState::Closing) => {
                host.cut_requests += usize::from(host.busy);
                assignment.state = MemberState::Ready;
                assignment.due_at = None;
                OrderResult::Begun
            }
            (OrderKind::Close { .. }, MemberState::Ready) => {
                assignment.due_at = None;
                OrderResult::Done
            }
            _ => OrderResult::Conflict,
        };
        self.queue_report(id);
        result
    }

    fn stage(&mut self, id: &HostId, model: &ModelId, now: Instant) -> OrderResult {
        let load = self.engine.model(model).map_or(Duration::ZERO, |model| model.load);
        let time = if self.has_traffic { load } else { load / 10 };
        let host = self.hosts.get_mut(id).expect("found by the caller");
        if host.staged.as_ref() == Some(model) {
            return OrderResult::Done;
        }
        host.staging = Some((model.clone(), now + time));
        self.record_load(now);
        OrderResult::Begun
    }

    fn record_load(&mut self, now: Instant) {
        if !self.has_traffic {
            return;
        }
        let window = Duration::from_secs(5);
        self.loads.retain(|at| now.saturating_duration_since(*at) < window);
        self.loads.push_back(now);
        // 10 % and three loads of tolerance.
        let limit = self.engine.loads_per_s * window.as_secs_f64() * 1.1 + 3.0;
        if self.loads.len() as f64 > limit {
            self.violations.push(Violation::LoadRate { started: self.loads.len() });
        }
    }

    fn tick_host(&mut self, id: &HostId, now: Instant) {
        let host = self.hosts.get_mut(id).expect("the ID is from the table");
        if !host.alive {
            return;
        }
        if let Some((model, at)) = host.staging.clone()
            && at <= now
        {
            host.staging = None;
            host.staged = Some(model);
            self.queue_report(id);
        }
        let Some(assignment) = self.hosts[id].assignment.clone() else {
            return;
        };
        let due = assignment.due_at.is_some_and(|at| at <= now);
        match assignment.state {
            MemberState::Joining if due => {
                self.set_state(id, MemberState::Ready, None);
                self.have_been_ready.insert((id.clone(), assignment.epoch));
                if let Some(host) = self.hosts.get_mut(id) {
                    host.last_model = Some(assignment.model);
                }
                self.queue_report(id);
            }
            MemberState::Ready if due => {
                if self.has_unready_members(&assignment) {
                    self.violations.push(Violation::IncompleteGroup { head: id.clone() });
                }
                self.set_state(id, MemberState::Open, None);
                self.queue_report(id);
            }
            MemberState::Closing if !self.hosts[id].busy => {
                self.set_state(id, MemberState::Ready, None);
                self.queue_report(id);
            }
            MemberState::Open if due => {
                self.set_state(id, MemberState::Broken, None);
                self.queue_report(id);
            }
            MemberState::Open if !self.is_complete(&assignment) && assignment.due_at.is_none() => {
                self.set_state(id, MemberState::Open, Some(now + STALL_TIMEOUT));
            }
            _ => {}
        }
    }

    fn set_state(&mut self, id: &HostId, state: MemberState, due_at: Option<Instant>) {
        if let Some(assignment) = self.hosts.get_mut(id).and_then(|host| host.assignment.as_mut()) {
            assignment.state = state;
            assignment.due_at = due_at;
        }
    }

    /// Whether the member list is too short, or a member is joining that has not been ready in this
    /// epoch. One that was ready and is now lost does not count, since nothing runs without it.
    fn has_unready_members(&self, assignment: &Assignment) -> bool {
        let size = self.engine.model(&assignment.model).map_or(0, |model| model.hosts_per_group);
        let joining = |id: &HostId| {
            let other = self.hosts[id].assignment.as_ref();
            other.is_some_and(|other| {
                other.epoch == assignment.epoch
                    && other.state == MemberState::Joining
                    && !self.have_been_ready.contains(&(id.clone(), other.epoch))
            })
        };
        assignment.members.len() != size || assignment.members.iter().any(joining)
    }

    fn is_complete(&self, assignment: &Assignment) -> bool {
        let size = self.engine.model(&assignment.model).map_or(0, |model| model.hosts_per_group);
        assignment.members.len() == size
            && assignment.members.iter().all(|id| {
                let host = &self.hosts[id];
                let is_ready = host.assignment.as_ref().is_some_and(|other| {
                    other.epoch == assignment.epoch && other.state != MemberState::Joining
                });
                host.alive && is_ready
            })
    }

    /// Queues the report that a host sends immediately after a state change.
    fn queue_report(&mut self, id: &HostId) {
        if let Some(report) = self.report(id) {
            self.reports.push_back(report);
        }
    }
}
