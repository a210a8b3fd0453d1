//! The lifecycle of groups: joining, opening, serving, closing, ended.

mod formation;
mod group;
mod host_use;
mod outcome;
mod reconcile;
mod staging;

pub(crate) use group::Group;
pub use group::Phase;
pub use host_use::HostUse;
pub use outcome::{OrderOutcome, OrderResult};

use crate::{HostStatus, Limits, Registry, loads::LoadLimiter};
use fleet::{Engine, Epoch, GroupChange, GroupName, GroupRecord, HostOrder, OrderKind};
use model::ids::{DomainId, HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Instant,
};

/// The input of one pass of the planner.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The reports of hosts.
    pub registry: &'a Registry,
    /// The engine's parameters.
    pub engine: &'a Engine,
    /// Failure domains that operators have taken out.
    pub domains_out: &'a BTreeSet<DomainId>,
    /// Recent demand of callers by model, as a number of fully used groups; empty until there
    /// has been enough of it.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Groups whose head made progress lately, as reported by an entry.
    pub progressing: &'a BTreeSet<GroupName>,
    /// Groups whose head has work but makes no progress.
    pub stalled: &'a BTreeSet<GroupName>,
    /// Whether loads are unlimited, as they are until callers send requests.
    pub loads_unlimited: bool,
    /// The current time.
    pub now: Instant,
}

/// The output of one pass of the planner.
#[derive(Debug, Default)]
pub struct Step {
    /// Changes to commit, in this order.
    pub changes: Vec<GroupChange>,
    /// Orders to send.
    pub orders: Vec<HostOrder>,
}

/// Plans the groups during one leader's term.
#[derive(Debug)]
pub struct Planner {
    term: u64,
    /// Number of groups formed in this term.
    formed: u64,
    limits: Limits,
    groups: BTreeMap<GroupName, Group>,
    /// Groups that ended since the last pass.
    ended: Vec<GroupName>,
    /// Groups that ended in this term and whose head has certainly stopped serving.
    closed_groups: BTreeSet<GroupName>,
    /// Hosts with an order in flight.
    pending: BTreeSet<HostId>,
    /// No order is sent to a host before this time.
    backoff: BTreeMap<HostId, Instant>,
    /// The model that is being staged on each host, and the deadline for it.
    staging: BTreeMap<HostId, (ModelId, Instant)>,
    /// Since when hosts have been free: in no group, and without staging in progress.
    idle_since: BTreeMap<HostId, Instant>,
    load_limiter: LoadLimiter,
    engine_service: Option<ServiceId>,
}

impl Planner {
    /// Creates a planner for a leader's term from the groups in the log.
    pub fn resume(
        term: u64,
        limits: Limits,
        records: &BTreeMap<GroupName, GroupRecord>,
        now: Instant,
    ) -> Planner {
        let deadline = now + limits.discovery_period;
        let resumed = |record: &GroupRecord| Group::resumed(record, deadline, now);
        let groups = records.iter().map(|(name, record)| (name.clone(), resumed(record))).collect();
        Planner {
            term,
            formed: 0,
            limits,
            groups,
            ended: Vec::new(),
            closed_groups: BTreeSet::new(),
            pending: BTreeSet::new(),
            backoff: BTreeMap::new(),
            staging: BTreeMap::new(),
            idle_since: BTreeMap::new(),
            load_limiter: LoadLimiter::default(),
            engine_service: None,
        }
    }

    /// Groups that serve.
    pub(crate) fn serving(&self) -> impl Iterator<Item = (&GroupName, &Group)> {
        self.groups.iter().filter(|(_, group)| group.phase == Phase::Serving)
    }

    /// The name, model and phase of each group, for reports.
    pub fn phases(&self) -> impl Iterator<Item = (&GroupName, &ModelId, Phase)> {
        self.groups.iter().map(|(name, group)| (name, &group.model, group.phase))
    }

    /// Whether replicas of the service serve without a group.
    pub(crate) fn is_plain(&self, service: &ServiceId) -> bool {
        self.engine_service.as_ref() != Some(service)
    }

    /// The service that runs on engines, if the manifest names one.
    pub fn engine_service(&self) -> Option<&ServiceId> {
        self.engine_service.as_ref()
    }

    /// Sets the service that runs on engines, or none if the manifest names none.
    pub fn set_engine_service(&mut self, service: Option<ServiceId>) {
        self.engine_service = service;
    }

    /// Starts to form a group whose record has been committed.
    pub fn committed(&mut self, name: &GroupName) {
        if let Some(group) = self.groups.get_mut(name)
            && group.phase == Phase::Proposed
        {
            group.phase = Phase::Forming;
        }
    }

    /// Runs one pass; returns the changes and orders that are due.
    pub fn step(&mut self, input: &PlannerInput<'_>) -> Step {
        let mut orders = Vec::new();
        self.release_orphans(input, &mut orders);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.reconcile(&name, input, &mut orders);
        }
        let hosts = input.registry.hosts();
        let timeout = self.limits.member_timeout;
        self.staging.retain(|host, (model, deadline)| {
            let is_loading = hosts.get(host).is_some_and(|status| {
                status.is_present(timeout, input.now) && !status.report.staged.contains(model)
            });
            is_loading && *deadline > input.now
        });
        let mut free = self.free_hosts(input);
        let mut spread = self.spread(input);
        let formed = self.form_groups(input, &mut free, &mut spread);
        self.update_idle_since(&free, input.now);
        self.stage(input, &free, &spread, &mut orders);
        let ended = std::mem::take(&mut self.ended).into_iter();
        let changes = ended.map(|name| GroupChange::Ended { name }).chain(formed).collect();
        Step { changes, orders }
    }

    /// The engine hosts whose membership must be known for certain and isn't, with their addresses:
    /// their state has to be queried.
    pub fn unconfirmed_hosts(
        &self,
        registry: &Registry,
        now: Instant,
    ) -> Vec<(HostId, SocketAddr)> {
        let timeout = self.limits.member_timeout;
        let is_due = |(host, status): &(&HostId, &HostStatus)| {
            !status.is_certain()
                && status.may_be_queried(now)
                && status.is_present(timeout, now)
                && !self.is_plain(&status.report.service)
                && !self.pending.contains(*host)
        };
        let due = registry.hosts().iter().filter(is_due);
        due.map(|(host, status)| (host.clone(), status.report.address)).collect()
    }

    fn group_mut(&mut self, name: &GroupName, epoch: Epoch) -> Option<&mut Group> {
        self.groups.get_mut(name).filter(|group| group.epoch == epoch)
    }

    /// Ends a group whose head has certainly stopped serving.
    fn end_closed(&mut self, name: &GroupName) {
        self.closed_groups.insert(name.clone());
        self.end(name);
    }

    /// Ends a group. Unless its head has closed, each member must leave it before it joins
    /// another one.
    fn end(&mut self, name: &GroupName) {
        if self.groups.remove(name).is_some() {
            self.ended.push(name.clone());
        }
    }

    /// Adds an order to a host, unless another one is in flight or the host is in backoff;
    /// returns whether it was added.
    fn order(
        &mut self,
        host: &HostId,
        kind: OrderKind,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) -> bool {
        let Some(status) = input.registry.hosts().get(host) else {
            return false;
        };
        let in_backoff = self.backoff.get(host).is_some_and(|until| *until > input.now);
        if in_backoff || !self.pending.insert(host.clone()) {
            return false;
        }
        self.backoff.remove(host);
        orders.push(HostOrder {
            host: host.clone(),
            address: status.report.address,
            fence: self.term,
            kind,
        });
        true
    }
}
