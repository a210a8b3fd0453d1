//! A planner before a field of engines, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of it")]

use engine::{Field, FieldPlan, sample_engine};
use fastrand::Rng;
use fleet::{GroupChange, GroupName, GroupRecord, HostOrder, HostReport, HostState, OrderKind};
use groups::{Limits, OrderOutcome, OrderResult, Phase, Planner, PlannerInput, Registry};
use model::ids::{DomainId, HostId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

pub const STEP: Duration = Duration::from_millis(20);
pub const REPORT_EVERY: Duration = Duration::from_millis(1200);
/// How long an order that is not answered takes until its sender gives up.
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);

pub struct World {
    pub field: Field,
    pub planner: Planner,
    pub registry: Registry,
    pub records: BTreeMap<GroupName, GroupRecord>,
    pub domains_out: BTreeSet<DomainId>,
    pub stalled: BTreeSet<GroupName>,
    pub alive: BTreeSet<GroupName>,
    pub now: Instant,
    pub start: Instant,
    pub limits: Limits,
    pub term: u64,
    /// Part of the orders, in hundredths, that get no answer and are carried out late.
    pub late_percent: u8,
    /// Orders to open that get no answer are carried out after this time.
    pub late_open: Option<Duration>,
    /// Orders to open that were sent, with their heads.
    pub opens: Vec<HostId>,
    pub rng: Rng,
    report_at: BTreeMap<HostId, Instant>,
    answers: Vec<(Instant, OrderOutcome)>,
    late: Vec<(Instant, HostOrder)>,
}

impl World {
    pub fn new(plan: &FieldPlan, seed: u64) -> World {
        let now = Instant::now();
        let limits = Limits::new(REPORT_EVERY);
        let mut world = World {
            field: Field::new(plan, sample_engine()),
            planner: Planner::resume(1, limits.clone(), &BTreeMap::new(), now),
            registry: Registry::default(),
            records: BTreeMap::new(),
            domains_out: BTreeSet::new(),
            stalled: BTreeSet::new(),
            alive: BTreeSet::new(),
            now,
            start: now,
            limits,
            term: 1,
            late_percent: 0,
            late_open: None,
            opens: Vec::new(),
            rng: Rng::with_seed(seed),
            report_at: BTreeMap::new(),
            answers: Vec::new(),
            late: Vec::new(),
        };
        world.planner.set_engine_service(Some(world.field.service.clone()));
        world.report_all();
        world
    }

    /// A field of six fabric domains of nine hosts that has formed its groups.
    pub fn formed(seed: u64) -> World {
        let mut world = World::new(&FieldPlan { domains: 3, fabrics: 2, hosts: 9 }, seed);
        world.run_ms(6000);
        world.field.traffic = true;
        world
    }

    pub fn run_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.step();
        }
    }

    /// Lets hosts report at once.
    pub fn report_all(&mut self) {
        let ids: Vec<HostId> = self.field.hosts().keys().cloned().collect();
        for id in ids {
            let offset = REPORT_EVERY.mul_f64(self.rng.f64());
            self.report_at.insert(id.clone(), self.now + offset);
            if let Some(report) = self.field.report(&id) {
                self.registry.record_report(report, self.now);
            }
        }
    }

    /// Another leader takes over: it knows the log, and hears hosts as they report.
    pub fn change_leader(&mut self) {
        self.term += 1;
        self.registry = Registry::default();
        self.answers.clear();
        self.planner = Planner::resume(self.term, self.limits.clone(), &self.records, self.now);
        self.planner.set_engine_service(Some(self.field.service.clone()));
    }

    /// The new leader asks the members of all groups how they are.
    pub fn ask_members(&mut self) {
        for member in self.records.values().flat_map(|record| &record.members) {
            let Some(report) = self.field.report(&member.host) else {
                continue;
            };
            let state = HostState {
                born: report.born,
                staged: report.staged,
                loaded: report.loaded,
                membership: report.membership,
            };
            self.registry.record_state(member, &self.field.service, state, self.now);
        }
    }

    /// The members of the group whose head is or was `head`.
    pub fn members_of(&self, name: &GroupName) -> Vec<HostId> {
        self.records[name].members.iter().map(|member| member.host.clone()).collect()
    }

    /// Names of groups that serve, in the planner's eyes.
    pub fn serving(&self) -> Vec<GroupName> {
        let serving = self.planner.phases().filter(|(.., phase)| *phase == Phase::Serving);
        serving.map(|(name, ..)| name.clone()).collect()
    }

    /// All groups that serve and are whole, in the field.
    pub fn whole(&self) -> usize {
        self.field.whole_groups().values().sum()
    }

    pub fn step(&mut self) {
        self.now += STEP;
        self.field.tick(self.now);
        self.carry_out_late();
        self.report_due();
        for report in self.field.take_reports() {
            self.registry.record_report(report, self.now);
        }
        let (done, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, _)| *at <= self.now);
        self.answers = waiting;
        for (_, outcome) in done {
            let unanswered = outcome.result == OrderResult::NoAnswer;
            if outcome.order.kind == OrderKind::Probe && unanswered {
                self.registry.suspect(&outcome.order.host);
            }
            self.planner.record_outcome(&outcome, self.now);
        }
        self.plan();
    }

    pub fn plan(&mut self) {
        let demand = BTreeMap::new();
        let input = PlannerInput {
            registry: &self.registry,
            engine: &self.field.engine,
            domains_out: &self.domains_out,
            demand: &demand,
            progressing: &self.alive,
            stalled: &self.stalled,
            loads_unlimited: !self.field.traffic,
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
                        assert!(!taken, "{host} is in two groups of the log");
                    }
                    self.records.insert(name.clone(), record);
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
        let late_open = self.late_open.filter(|_| is_open);
        if late_open.is_some() || self.rng.u8(0..100) < self.late_percent {
            let random = Duration::from_millis(self.rng.u64(2000..12_000));
            let late = self.now + late_open.unwrap_or(random);
            self.late.push((late, order.clone()));
            let outcome = OrderOutcome { order, result: OrderResult::NoAnswer };
            self.answers.push((self.now + ORDER_TIMEOUT, outcome));
            return;
        }
        let result = self.field.order(&order, self.now);
        let took = match result {
            OrderResult::NoAnswer => ORDER_TIMEOUT,
            _ => STEP,
        };
        self.answers.push((self.now + took, OrderOutcome { order, result }));
    }

    fn carry_out_late(&mut self) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.late).into_iter().partition(|(at, _)| *at <= self.now);
        self.late = waiting;
        for (_, order) in due {
            self.field.carry_out(&order, self.now);
        }
    }

    fn report_due(&mut self) {
        let ids: Vec<HostId> = self.field.hosts().keys().cloned().collect();
        for id in ids {
            let at = self.report_at.entry(id.clone()).or_insert(self.now);
            if *at > self.now {
                continue;
            }
            *at = self.now + REPORT_EVERY;
            if let Some(report) = self.field.report(&id) {
                self.take(report);
            }
        }
    }

    fn take(&mut self, report: HostReport) {
        self.registry.record_report(report, self.now);
    }
}
