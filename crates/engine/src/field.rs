//! All engine hosts, and the rules that they see broken.

use crate::host::{Host, Part};
use fleet::{Engine, HostOrder, HostReport, MemberState, OrderKind};
use groups::OrderResult;
use model::ids::{HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// How long a head stands still before it breaks.
const STALL: Duration = Duration::from_secs(4);

/// The shape of a field.
#[derive(Debug, Clone)]
pub struct FieldPlan {
    /// Failure domains.
    pub domains: usize,
    /// Fabric domains in each failure domain.
    pub fabrics: usize,
    /// Hosts in each fabric domain.
    pub hosts: usize,
}

/// Something that must never happen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// A host joined a group while the head of its old one served.
    TwoGroups {
        /// The host.
        host: HostId,
        /// The group that it was in.
        old: Box<str>,
    },
    /// A head opened although a member had never been ready under its list.
    Partial {
        /// The head.
        head: HostId,
    },
    /// More loads started in five seconds than the weight store bears.
    Loads {
        /// How many.
        started: usize,
    },
}

/// All engine hosts.
#[derive(Debug)]
pub struct Field {
    /// The engine's parameters.
    pub engine: Engine,
    /// The service that the hosts offer.
    pub service: ServiceId,
    /// What must never happen, and did.
    pub breaches: Vec<Breach>,
    /// Whether loads are limited, as they are while callers send requests.
    pub traffic: bool,
    hosts: BTreeMap<HostId, Host>,
    reports: VecDeque<HostReport>,
    loads: VecDeque<Instant>,
    born: u64,
}

impl Field {
    /// Hosts of the given number and places, without any weights.
    pub fn new(plan: &FieldPlan, engine: Engine) -> Field {
        let mut field = Field {
            engine,
            service: "engines".into(),
            breaches: Vec::new(),
            traffic: false,
            hosts: BTreeMap::new(),
            reports: VecDeque::new(),
            loads: VecDeque::new(),
            born: 1,
        };
        for domain in 0..plan.domains {
            for fabric in 0..plan.fabrics {
                for _ in 0..plan.hosts {
                    field.add(domain, fabric);
                }
            }
        }
        field
    }

    /// Adds a host without any weights.
    pub fn add(&mut self, domain: usize, fabric: usize) -> HostId {
        let number = self.hosts.len() as u16;
        let id: HostId = format!("h{number:03}").into();
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + number));
        self.born += 1;
        let domain_id = format!("d{domain}").into();
        let fabric_id = format!("d{domain}f{fabric}").into();
        let host = Host::new(id.clone(), self.born, address, domain_id, fabric_id);
        self.hosts.insert(id.clone(), host);
        id
    }

    /// The hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, Host> {
        &self.hosts
    }

    /// A host, to be harmed.
    pub fn host_mut(&mut self, id: &str) -> Option<&mut Host> {
        self.hosts.get_mut(id)
    }

    /// Starts a host again, under its name.
    pub fn restart(&mut self, id: &str) {
        self.born += 1;
        if let Some(host) = self.hosts.get_mut(id) {
            host.restart(self.born);
        }
    }

    /// The heads that serve a whole group now, by model.
    pub fn whole_groups(&self) -> BTreeMap<ModelId, usize> {
        let mut whole = BTreeMap::new();
        for host in self.hosts.values().filter(|host| host.alive && host.serves()) {
            let part = host.part.as_ref().expect("a head that serves has a part");
            if self.is_whole(part) {
                *whole.entry(part.model.clone()).or_default() += 1;
            }
        }
        whole
    }

    /// Takes the reports that hosts made since the last call because something changed.
    pub fn take_reports(&mut self) -> Vec<HostReport> {
        self.reports.drain(..).collect()
    }

    /// The report that a host makes at its interval, if control hears it.
    pub fn report(&mut self, id: &str) -> Option<HostReport> {
        let service = self.service.clone();
        let host = self.hosts.get_mut(id)?;
        (host.alive && host.reachable).then(|| host.report(&service))
    }

    /// Lets time pass until `now`.
    pub fn tick(&mut self, now: Instant) {
        let ids: Vec<HostId> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.tick_host(&id, now);
        }
    }

    /// Carries an order out; the result is what the sender would see.
    pub fn order(&mut self, order: &HostOrder, now: Instant) -> OrderResult {
        match self.hosts.get(&order.host) {
            Some(host) if host.alive && host.reachable => {}
            _ => return OrderResult::NoAnswer,
        }
        self.carry_out(order, now)
    }

    /// Carries an order out that was on its way for long.
    pub fn carry_out(&mut self, order: &HostOrder, now: Instant) -> OrderResult {
        let Some(host) = self.hosts.get_mut(&order.host).filter(|host| host.alive) else {
            return OrderResult::NoAnswer;
        };
        if order.fence < host.fence_seen {
            return OrderResult::Conflict;
        }
        host.fence_seen = order.fence;
        match &order.kind {
            OrderKind::Probe => OrderResult::Done,
            OrderKind::Stage { model } => self.stage(&order.host, model, now),
            OrderKind::Join { group, epoch, model, members } => {
                let part = Part {
                    group: group.clone(),
                    epoch: *epoch,
                    model: model.clone(),
                    members: members.clone(),
                    state: MemberState::Joining,
                    until: None,
                };
                self.join(&order.host, part, now)
            }
            OrderKind::Open { group, epoch }
            | OrderKind::Close { group, epoch, .. }
            | OrderKind::Leave { group, epoch } => {
                let matches =
                    host.part.as_ref().is_some_and(|p| p.group == *group && p.epoch == *epoch);
                match matches {
                    true => self.change_part(&order.host, &order.kind, now),
                    false => OrderResult::Conflict,
                }
            }
        }
    }

    fn join(&mut self, id: &HostId, mut part: Part, now: Instant) -> OrderResult {
        let host = &self.hosts[id];
        if let Some(current) = &host.part
            && current.epoch == part.epoch
            && current.members == part.members
        {
            return OrderResult::Done;
        }
        if part.epoch <= host.epoch_seen {
            return OrderResult::Conflict;
        }
        if let Some(old) = host.part.clone() {
            self.check_two(id, &old);
        }
        let (time, loads) = self.hosts[id].join_time(&self.engine, &part.model);
        if loads {
            self.note_load(now);
        }
        let time = if self.traffic { time } else { time / 10 };
        part.until = Some(now + time);
        let host = self.hosts.get_mut(id).expect("it was just read");
        host.epoch_seen = part.epoch;
        if loads {
            host.staged = Some(part.model.clone());
        }
        host.part = Some(part);
        self.changed(id);
        OrderResult::Begun
    }

    /// A member may not join another group while the head of its old one serves.
    fn check_two(&mut self, id: &HostId, old: &Part) {
        let head = &self.hosts[&old.members[0]];
        let same = head.part.as_ref().is_some_and(|part| part.epoch == old.epoch);
        if head.alive && same && head.serves() {
            self.breaches.push(Breach::TwoGroups { host: id.clone(), old: old.group.clone() });
        }
    }

    fn change_part(&mut self, id: &HostId, kind: &OrderKind, now: Instant) -> OrderResult {
        let form = self.engine.formation_time;
        let host = self.hosts.get_mut(id).expect("the caller found it");
        let part = host.part.as_mut().expect("the caller compared it");
        let result = match (kind, part.state) {
            (OrderKind::Leave { .. }, _) => {
                host.part = None;
                OrderResult::Done
            }
            (OrderKind::Open { .. }, MemberState::Ready) if part.members[0] == *id => {
                part.until = Some(now + form);
                return OrderResult::Begun;
            }
            (OrderKind::Open { .. }, MemberState::Open) => OrderResult::Done,
            (OrderKind::Close { cut: false, .. }, MemberState::Open | MemberState::Closing)
                if host.busy =>
            {
                part.state = MemberState::Closing;
                OrderResult::Begun
            }
            (OrderKind::Close { .. }, MemberState::Open | MemberState::Closing) => {
                host.cuts += usize::from(host.busy);
                part.state = MemberState::Ready;
                part.until = None;
                OrderResult::Begun
            }
            (OrderKind::Close { .. }, MemberState::Ready) => {
                part.until = None;
                OrderResult::Done
            }
            _ => OrderResult::Conflict,
        };
        self.changed(id);
        result
    }

    fn stage(&mut self, id: &HostId, model: &ModelId, now: Instant) -> OrderResult {
        let load = self.engine.model(model).map_or(Duration::ZERO, |model| model.load);
        let time = if self.traffic { load } else { load / 10 };
        let host = self.hosts.get_mut(id).expect("the caller found it");
        if host.staged.as_ref() == Some(model) {
            return OrderResult::Done;
        }
        host.staging = Some((model.clone(), now + time));
        self.note_load(now);
        OrderResult::Begun
    }

    fn note_load(&mut self, now: Instant) {
        if !self.traffic {
            return;
        }
        let window = Duration::from_secs(5);
        self.loads.retain(|at| now.saturating_duration_since(*at) < window);
        self.loads.push_back(now);
        let most = self.engine.loads_per_s * window.as_secs_f64() * 1.1 + 3.0;
        if self.loads.len() as f64 > most {
            self.breaches.push(Breach::Loads { started: self.loads.len() });
        }
    }

    fn tick_host(&mut self, id: &HostId, now: Instant) {
        let host = self.hosts.get_mut(id).expect("ids come from the table");
        if !host.alive {
            return;
        }
        if let Some((model, at)) = host.staging.clone()
            && at <= now
        {
            host.staging = None;
            host.staged = Some(model);
            self.changed(id);
        }
        let Some(part) = self.hosts[id].part.clone() else {
            return;
        };
        let due = part.until.is_some_and(|at| at <= now);
        match part.state {
            MemberState::Joining if due => {
                self.set_state(id, MemberState::Ready, None);
                if let Some(host) = self.hosts.get_mut(id) {
                    host.last_model = Some(part.model);
                }
                self.changed(id);
            }
            MemberState::Ready if due => {
                if self.was_never_ready(&part) {
                    self.breaches.push(Breach::Partial { head: id.clone() });
                }
                self.set_state(id, MemberState::Open, None);
                self.changed(id);
            }
            MemberState::Closing if !self.hosts[id].busy => {
                self.set_state(id, MemberState::Ready, None);
                self.changed(id);
            }
            MemberState::Open if due => {
                self.set_state(id, MemberState::Broken, None);
                self.changed(id);
            }
            MemberState::Open if !self.is_whole(&part) && part.until.is_none() => {
                self.set_state(id, MemberState::Open, Some(now + STALL));
            }
            _ => {}
        }
    }

    fn set_state(&mut self, id: &HostId, state: MemberState, until: Option<Instant>) {
        if let Some(part) = self.hosts.get_mut(id).and_then(|host| host.part.as_mut()) {
            part.state = state;
            part.until = until;
        }
    }

    /// Whether the list is short, or a member is still joining under it. One that was ready
    /// and is lost excuses: nothing runs without it.
    fn was_never_ready(&self, part: &Part) -> bool {
        let size = self.engine.model(&part.model).map_or(0, |model| model.hosts_per_group);
        let joining = |id: &HostId| {
            let other = self.hosts[id].part.as_ref();
            other.is_some_and(|other| {
                other.epoch == part.epoch && other.state == MemberState::Joining
            })
        };
        part.members.len() != size || part.members.iter().any(joining)
    }

    fn is_whole(&self, part: &Part) -> bool {
        let size = self.engine.model(&part.model).map_or(0, |model| model.hosts_per_group);
        part.members.len() == size
            && part.members.iter().all(|id| {
                let host = &self.hosts[id];
                let same = host.part.as_ref().is_some_and(|other| {
                    other.epoch == part.epoch && other.state != MemberState::Joining
                });
                host.alive && same
            })
    }

    /// A host reports at once what has changed.
    fn changed(&mut self, id: &HostId) {
        if let Some(report) = self.report(id) {
            self.reports.push_back(report);
        }
    }
}
