//! The life of groups: joined, opened, serving, closed, ended.

mod forming;
mod group;
mod host_use;
mod outcome;
mod reconcile;
mod staging;

pub(crate) use group::Group;
pub use group::Phase;
pub use host_use::HostUse;
pub use outcome::{OrderOutcome, OrderResult};

use crate::{Limits, Registry, loads::LoadLimiter};
use fleet::{Engine, Epoch, GroupChange, GroupName, GroupRecord, HostOrder, OrderKind};
use model::ids::{DomainId, HostId, ModelId, ServiceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// What the planner looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// What hosts have reported.
    pub registry: &'a Registry,
    /// The engine's parameters.
    pub engine: &'a Engine,
    /// Failure domains that operators have taken out.
    pub domains_out: &'a BTreeSet<DomainId>,
    /// The work that callers asked for lately, by model, in groups that it would fill; empty
    /// until enough has been asked for.
    pub demand: &'a BTreeMap<ModelId, f64>,
    /// Groups whose head an entry has seen working lately.
    pub progressing: &'a BTreeSet<GroupName>,
    /// Groups whose head has stood still with work to do.
    pub stalled: &'a BTreeSet<GroupName>,
    /// Whether loads are free of limits, as they are until callers send requests.
    pub loads_unlimited: bool,
    /// The time.
    pub now: Instant,
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
    closed_groups: BTreeSet<GroupName>,
    pending: BTreeSet<HostId>,
    /// No order goes to a host before this time.
    backoff: BTreeMap<HostId, Instant>,
    /// What is being staged, and until when that takes at most.
    staging: BTreeMap<HostId, (ModelId, Instant)>,
    /// Since when hosts belong to no group and nothing is staged on them.
    idle_since: BTreeMap<HostId, Instant>,
    load_limiter: LoadLimiter,
    engine_service: Option<ServiceId>,
}

impl Planner {
    /// A planner for a leader's term, with the groups in the log.
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

    /// Groups by phase, for reports.
    pub fn phases(&self) -> impl Iterator<Item = (&GroupName, &ModelId, Phase)> {
        self.groups.iter().map(|(name, group)| (name, &group.model, group.phase))
    }

    /// Whether replicas of the service serve without a group.
    pub(crate) fn is_plain(&self, service: &ServiceId) -> bool {
        self.engine_service.as_ref() != Some(service)
    }

    /// The service that has engines, if the manifest names one.
    pub fn engine_service(&self) -> Option<&ServiceId> {
        self.engine_service.as_ref()
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
        self.release_orphans(input, &mut orders);
        let names: Vec<GroupName> = self.groups.keys().cloned().collect();
        for name in names {
            self.reconcile(&name, input, &mut orders);
        }
        let hosts = input.registry.hosts();
        let silence = self.limits.member_timeout;
        self.staging.retain(|host, (model, until)| {
            let loads = hosts.get(host).is_some_and(|seen| {
                seen.is_present(silence, input.now) && !seen.report.staged.contains(model)
            });
            loads && *until > input.now
        });
        let mut free = self.free_hosts(input);
        let mut spread = self.spread(input);
        let formed = self.form(input, &mut free, &mut spread);
        self.note_idle(&free, input.now);
        self.stage(input, &free, &spread, &mut orders);
        let ended = std::mem::take(&mut self.ended).into_iter();
        let changes = ended.map(|name| GroupChange::Ended { name }).chain(formed).collect();
        Step { changes, orders }
    }

    fn group_mut(&mut self, name: &GroupName, epoch: Epoch) -> Option<&mut Group> {
        self.groups.get_mut(name).filter(|group| group.epoch == epoch)
    }

    /// Ends a group whose head certainly serves no more.
    fn end_closed(&mut self, name: &GroupName) {
        self.closed_groups.insert(name.clone());
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
}
