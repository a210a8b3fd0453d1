//! A planner with simulated engine hosts, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use engine::{SimCluster, SimConfig, sample_engine};
use fastrand::Rng;
use fleet::{GroupChange, GroupName, GroupRecord, HostOrder, HostReport, HostState, OrderKind};
use groups::{
    HostHistory, Limits, OrderOutcome, OrderResult, Phase, Planner, PlannerInput, Registry,
};
use model::ids::{DomainId, HostId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub const STEP: Duration = Duration::from_millis(20);
pub const REPORT_EVERY: Duration = Duration::from_millis(1200);
/// How long the sender of an order waits for the answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

pub struct World {
    pub cluster: SimCluster,
    pub planner: Planner,
    pub registry: Registry,
    /// What the log says of hosts.
    pub history: HostHistory,
    pub records: BTreeMap<GroupName, GroupRecord>,
    pub domains_out: BTreeSet<DomainId>,
    pub stalled: BTreeSet<GroupName>,
    pub progressing: BTreeSet<GroupName>,
    pub now: Instant,
    pub start: Instant,
    pub limits: Limits,
    pub term: u64,
    /// Percentage of orders that get no answer and are executed after a delay.
    pub delayed_percent: u8,
    /// If set, orders to open get no answer and are executed after this delay.
    pub open_delay: Option<Duration>,
    /// The heads that orders to open were sent to.
    pub opens: Vec<HostId>,
    pub rng: Rng,
    next_reports: BTreeMap<HostId, Instant>,
    outcomes: Vec<(Instant, OrderOutcome)>,
    delayed_orders: Vec<(Instant, HostOrder)>,
    /// Answers to queries, with the times at which they arrive and at which the queries were sent.
    answers: Vec<(Instant, Instant, HostId, HostState)>,
    /// All reports so far, if they are kept.
    pub sent_reports: Option<Vec<(Instant, HostReport)>>,
}

impl World {
    pub fn new(config: &SimConfig, seed: u64) -> World {
        let now = Instant::now();
        let limits = Limits::new(REPORT_EVERY);
        let mut world = World {
            cluster: SimCluster::new(config, sample_engine()),
            planner: Planner::resume(1, limits.clone(), &BTreeMap::new(), now),
            registry: Registry::default(),
            history: HostHistory::default(),
            records: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            stalled: BTreeSet::new(),
            progressing: BTreeSet::new(),
            now,
            start: now,
            limits,
            term: 1,
            delayed_percent: 0,
            open_delay: None,
            opens: Vec::new(),
            rng: Rng::with_seed(seed),
            next_reports: BTreeMap::new(),
            outcomes: Vec::new(),
            delayed_orders: Vec::new(),
            answers: Vec::new(),
            sent_reports: None,
        };
        world.planner.set_engine_service(Some(world.cluster.service.clone()));
        world.report_all();
        world
    }

    /// Six fabric domains of nine hosts each, after the groups have formed.
    pub fn formed(seed: u64) -> World {
        let mut world = World::new(&SimConfig { domains: 3, fabrics: 2, hosts: 9 }, seed);
        world.run_ms(6000);
        world.cluster.has_traffic = true;
        world
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// Records a report of each host now, and schedules the next ones at random offsets.
    pub fn report_all(&mut self) {
        let ids: Vec<HostId> = self.cluster.hosts().keys().cloned().collect();
        for id in ids {
            let offset = REPORT_EVERY.mul_f64(self.rng.f64());
            self.next_reports.insert(id.clone(), self.now + offset);
            if let Some(report) = self.cluster.report(&id) {
                self.record_report(report);
            }
        }
    }

    /// A host says that it ends.
    pub fn depart(&mut self, host: &HostId) {
        let Some(report) = self.cluster.report(host) else {
            return;
        };
        self.registry.mark_departed(host, report.incarnation);
        self.history.departures.record(host.clone(), report.incarnation);
    }

    /// Replaces the leader. The new one knows the log, and each host only from its next report.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.registry = Registry::new(self.history.clone());
        self.outcomes.clear();
        self.answers.clear();
        self.planner = Planner::resume(self.term, self.limits.clone(), &self.records, self.now);
        self.planner.set_engine_service(Some(self.cluster.service.clone()));
    }

    /// Lets the new leader query the state of the members of all groups.
    pub fn query_members(&mut self) {
        for member in self.records.values().flat_map(|record| &record.members) {
            let Some(state) = state_of(&mut self.cluster, &member.host) else {
                continue;
            };
            let place = Some((member, &self.cluster.service));
            self.registry.record_state(&member.host, place, state, self.now, self.now);
        }
    }

    /// Delivers the reports that were sent before `until`, the latest of each host first or last.
    pub fn deliver_late_reports(&mut self, until: Instant, latest_first: bool) {
        let sent = self.sent_reports.clone().unwrap_or_default();
        let mut late: Vec<_> = sent.into_iter().filter(|(at, _)| *at < until).collect();
        if latest_first {
            late.reverse();
        }
        for (_, report) in late {
            self.registry.record_report(report, self.now);
        }
    }

    fn record_report(&mut self, report: HostReport) {
        if let Some(sent) = &mut self.sent_reports {
            sent.push((self.now, report.clone()));
        }
        self.registry.record_report(report, self.now);
    }

    /// Sends the queries that are due, and delivers answers.
    fn query(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, ..)| *at <= self.now);
        self.answers = later;
        for (_, queried_at, host, state) in due {
            self.registry.record_state(&host, None, state, queried_at, self.now);
        }
        for (host, _) in self.planner.unconfirmed_hosts(&self.registry, self.now) {
            self.registry.record_query(&host, self.now);
            if let Some(state) = state_of(&mut self.cluster, &host) {
                self.answers.push((self.now + 2 * STEP, self.now, host, state));
            }
        }
    }

    /// The members of a group, the head first.
    pub fn members_of(&self, name: &GroupName) -> Vec<HostId> {
        self.records[name].members.iter().map(|member| member.host.clone()).collect()
    }

    /// The groups that serve according to the planner.
    pub fn serving(&self) -> Vec<GroupName> {
        let serving = self.planner.phases().filter(|(.., phase)| *phase == Phase::Serving);
        serving.map(|(name, ..)| name.clone()).collect()
    }

    /// The number of complete groups that serve according to the simulated hosts.
    pub fn complete_groups(&self) -> usize {
        self.cluster.complete_groups().values().sum()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.cluster.tick(self.now);
        self.execute_delayed_orders();
        self.record_due_reports();
        for report in self.cluster.take_reports() {
            self.record_report(report);
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.outcomes).into_iter().partition(|(at, _)| *at <= self.now);
        self.outcomes = later;
        for (_, outcome) in due {
            let unanswered = outcome.result == OrderResult::NoAnswer;
            if outcome.order.kind == OrderKind::Probe && unanswered {
                self.registry.suspect(&outcome.order.host);
            }
            self.registry.record_order(&outcome.order.host, outcome.left(), self.now);
            self.planner.record_outcome(&outcome, &self.registry, self.now);
        }
        self.query();
        self.plan();
    }

    pub fn plan(&mut self) {
        let demand = BTreeMap::new();
        let input = PlannerInput {
            registry: &self.registry,
            engine: &self.cluster.engine,
            domains_out: &self.domains_out,
            demand: &demand,
            progressing: &self.progressing,
            stalled: &self.stalled,
            loads_unlimited: !self.cluster.has_traffic,
            now: self.now,
        };
        let step = self.planner.step(&input);
        for change in step.changes {
            match change {
                GroupChange::Formed { name, record } => {
                    for host in record.members.iter().map(|member| &member.host) {
                        let taken = self
                            .records
                            .values()
                            .any(|other| other.members.iter().any(|member| member.host == *host));
                        assert!(!taken, "the log has {host} in two groups");
                    }
                    self.records.insert(name.clone(), record);
                    self.history.has_formed_groups = true;
                    self.planner.committed(&name);
                }
                GroupChange::Ended { name } => {
                    self.records.remove(&name);
                }
            }
        }
        for order in step.orders {
            self.send(order);
        }
    }

    fn send(&mut self, order: HostOrder) {
        let is_open = matches!(order.kind, OrderKind::Open { .. });
        if is_open {
            self.opens.push(order.host.clone());
        }
        let open_delay = self.open_delay.filter(|_| is_open);
        if open_delay.is_some() || self.rng.u8(0..100) < self.delayed_percent {
            let random = Duration::from_millis(self.rng.u64(2000..12_000));
            let execute_at = self.now + open_delay.unwrap_or(random);
            self.delayed_orders.push((execute_at, order.clone()));
            let outcome = OrderOutcome { order, result: OrderResult::NoAnswer };
            self.outcomes.push((self.now + ORDER_TIMEOUT, outcome));
            return;
        }
        let result = self.cluster.send_order(&order, self.now);
        let duration = match result {
            OrderResult::NoAnswer => ORDER_TIMEOUT,
            _ => STEP,
        };
        self.outcomes.push((self.now + duration, OrderOutcome { order, result }));
    }

    fn execute_delayed_orders(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.delayed_orders)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.delayed_orders = later;
        for (_, order) in due {
            self.cluster.execute_order(&order, self.now);
        }
    }

    fn record_due_reports(&mut self) {
        let ids: Vec<HostId> = self.cluster.hosts().keys().cloned().collect();
        for id in ids {
            let at = self.next_reports.entry(id.clone()).or_insert(self.now);
            if *at > self.now {
                continue;
            }
            *at = self.now + REPORT_EVERY;
            if let Some(report) = self.cluster.report(&id) {
                self.record_report(report);
            }
        }
    }
}

/// What a host answers to a query, if it reaches control.
fn state_of(cluster: &mut SimCluster, host: &HostId) -> Option<HostState> {
    let report = cluster.report(host)?;
    Some(HostState {
        incarnation: report.incarnation,
        staged: report.staged,
        last_model: report.last_model,
        membership: report.membership,
    })
}
