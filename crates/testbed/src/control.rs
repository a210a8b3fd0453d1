//! Control with its hosts and two entries, without network or log: the real state,
//! planner, order desk, observations and tables of announcements, in simulated time.

use crate::{
    host::FakeHost,
    world::{
        Fault, Figures, WorldPlan, address, domain_name, entry_name, make_hosts, make_manifest,
    },
};
use base::limits::{ENTRY_REPORT, LEARN_TIME, ORDER_TIMEOUT, PLAN_EVERY, VIEW_LEASE};
use fastrand::Rng;
use model::{
    ids::HostId,
    manifest::Manifest,
    order::{Order, OrderAction},
    verdict::Verdict,
    view::View,
};
use plan::{
    EntryReport, Observations, OrderOutcome, OrderTracker, Planner, PlannerInput, Policy,
    build_view,
};
use route::HostTable;
use state::{Command, State};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

const STEP_MS: u64 = 50;
const ANNOUNCE_MS: u64 = 400;
const COMMIT_MS: u64 = 10;
/// Wall-clock seconds at the start of a run.
const WALL_START_S: u64 = 1_000_000;

struct Leader {
    since_ms: u64,
    own_from: u64,
    observations: Observations,
    planner: Planner,
    desk: OrderTracker,
    learned: bool,
    /// Commands that are proposed and not applied.
    open: usize,
}

struct InFlight {
    arrives_ms: u64,
    incarnation: u64,
    order: Order,
}

/// One run.
pub struct ControlWorld {
    plan: WorldPlan,
    rng: Rng,
    base: Instant,
    now_ms: u64,
    manifest: Manifest,
    state: State,
    index: u64,
    proposals: VecDeque<(u64, Command)>,
    leader: Leader,
    hosts: Vec<FakeHost>,
    entries: Vec<HostTable>,
    orders: Vec<InFlight>,
    view: View,
    /// When a host was last named by a published view, and for which group.
    in_view: BTreeMap<HostId, (u64, u64)>,
    back_at: BTreeMap<usize, u64>,
    figures: Figures,
}

impl std::fmt::Debug for ControlWorld {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlWorld").field("now_ms", &self.now_ms).finish_non_exhaustive()
    }
}

impl Leader {
    fn new(since_ms: u64, own_from: u64, policy: Policy) -> Leader {
        Leader {
            since_ms,
            own_from,
            observations: Observations::default(),
            planner: Planner::new(policy),
            desk: OrderTracker::default(),
            learned: false,
            open: 0,
        }
    }
}

impl ControlWorld {
    /// A world in which nothing runs yet.
    pub fn new(plan: WorldPlan) -> ControlWorld {
        let mut rng = Rng::with_seed(plan.seed);
        let manifest = make_manifest(&plan);
        let hosts = make_hosts(&plan, &mut rng);
        let leader = Leader::new(0, 0, plan.policy);
        ControlWorld {
            plan,
            rng,
            base: Instant::now(),
            now_ms: 0,
            manifest,
            state: State::default(),
            index: 0,
            proposals: VecDeque::new(),
            leader,
            hosts,
            entries: vec![HostTable::default(), HostTable::default()],
            orders: Vec::new(),
            view: View::default(),
            in_view: BTreeMap::new(),
            back_at: BTreeMap::new(),
            figures: Figures::default(),
        }
    }

    /// Runs until `end_ms` of simulated time.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// What the run has cost so far.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// The groups that serve, and the groups wanted.
    pub fn serving_and_wanted(&self) -> (usize, usize) {
        let wanted: u32 = self.manifest.models.iter().map(|model| model.replicas).sum();
        (self.view.groups.len(), wanted as usize)
    }

    /// Hosts with a record in the replicated state.
    pub fn recorded_hosts(&self) -> usize {
        self.state.hosts.len()
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn wall_s(&self) -> u64 {
        WALL_START_S + self.now_ms / 1000
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject();
        self.deliver_orders();
        self.announce();
        self.report();
        self.commit();
        self.lead();
        self.measure();
    }

    fn inject(&mut self) {
        let due = self.now_ms - STEP_MS..self.now_ms;
        for fault in self.plan.faults.clone() {
            match fault {
                Fault::Kill { at_ms, host, for_ms } if due.contains(&at_ms) => {
                    self.hosts[host].kill(self.now_ms + for_ms);
                }
                Fault::Pause { at_ms, host, for_ms } if due.contains(&at_ms) => {
                    self.hosts[host].paused_until_ms = self.now_ms + for_ms;
                }
                Fault::DarkFabric { at_ms, fabric, for_ms } if due.contains(&at_ms) => {
                    let first = fabric * self.plan.hosts;
                    for host in &mut self.hosts[first..first + self.plan.hosts] {
                        host.paused_until_ms = self.now_ms + for_ms;
                    }
                }
                Fault::DomainOut { at_ms, domain, notice_s, for_ms } if due.contains(&at_ms) => {
                    let stop_at_s = self.wall_s() + notice_s;
                    self.propose(Command::DomainOut { domain: domain_name(domain), stop_at_s });
                    self.back_at.insert(domain, self.now_ms + for_ms);
                }
                Fault::NewLeader { at_ms } if due.contains(&at_ms) => self.change_leader(),
                Fault::Replicas { at_ms, model, replicas } if due.contains(&at_ms) => {
                    self.manifest.models[model].replicas = replicas;
                    self.manifest.models[model].floor = replicas / 2;
                }
                _ => {}
            }
        }
        let back: Vec<usize> = self
            .back_at
            .iter()
            .filter(|(_, at)| **at <= self.now_ms)
            .map(|(domain, _)| *domain)
            .collect();
        for domain in back {
            self.back_at.remove(&domain);
            self.propose(Command::DomainBack { domain: domain_name(domain) });
        }
    }

    fn change_leader(&mut self) {
        // Commands under way are lost from some point on.
        let kept = self.rng.usize(..=self.proposals.len());
        let operators = |command: &Command| {
            matches!(command, Command::DomainOut { .. } | Command::DomainBack { .. })
        };
        let lost = self.proposals.split_off(kept);
        // Operators send their commands again until they are answered.
        self.proposals.extend(lost.into_iter().filter(|(_, command)| operators(command)));
        self.leader = Leader::new(self.now_ms, self.index + 1, self.plan.policy);
        self.leader.open = self.proposals.len();
        for number in 0..self.entries.len() {
            self.report_of(number, true);
        }
    }

    fn propose(&mut self, command: Command) {
        self.proposals.push_back((self.now_ms + COMMIT_MS, command));
        self.leader.open += 1;
    }

    fn commit(&mut self) {
        while let Some((at, _)) = self.proposals.front() {
            if *at > self.now_ms {
                return;
            }
            let Some((_, command)) = self.proposals.pop_front() else {
                return;
            };
            self.index += 1;
            self.state.apply(self.index, command);
            self.state.assert_invariants();
            self.figures.records += 1;
            self.leader.open = self.leader.open.saturating_sub(1);
        }
    }

    fn announce(&mut self) {
        let now = self.now();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let due = (self.now_ms + number as u64 * STEP_MS).is_multiple_of(ANNOUNCE_MS);
            if !due || !host.is_up(self.now_ms) || self.rng.u32(..100) < 3 {
                continue;
            }
            // Hosts change between entries now and then.
            let entry = usize::from(self.rng.u32(..100) < 10) ^ (number % 2);
            let taken = self.entries[entry].announce(host.announce(self.now_ms), now);
            assert!(taken.is_ok(), "an announcement was refused: {taken:?}");
        }
        for entry in &mut self.entries {
            entry.expire(now);
        }
    }

    fn report(&mut self) {
        if self.now_ms.is_multiple_of(ENTRY_REPORT.as_millis() as u64) {
            for number in 0..self.entries.len() {
                self.report_of(number, false);
            }
        }
    }

    fn report_of(&mut self, number: usize, full: bool) {
        let table = &mut self.entries[number];
        let (seen, lost) = if full { (table.take_all(), Vec::new()) } else { table.take_changes() };
        let report = EntryReport {
            full,
            announcements: seen,
            lost,
            manifest: 1,
            active: true,
            ..EntryReport::default()
        };
        let now = self.now();
        self.leader.observations.report(&entry_name(number), address(60_000 + number), report, now);
    }

    fn lead(&mut self) {
        let now = self.now();
        self.leader.observations.expire(now);
        let waited = self.now_ms - self.leader.since_ms;
        self.leader.learned |= waited >= LEARN_TIME.as_millis() as u64;
        if !self.leader.learned {
            return;
        }
        let wall_s = self.wall_s();
        let seen = &self.leader.observations;
        self.view = build_view(&self.state, &self.manifest, seen, now, wall_s);
        self.check_view();
        let due = self.now_ms.is_multiple_of(PLAN_EVERY.as_millis() as u64);
        if due && self.leader.open == 0 {
            let situation = PlannerInput {
                state: &self.state,
                manifest: &self.manifest,
                observations: &self.leader.observations,
                now,
                wall_s,
            };
            let commands = self.leader.planner.plan(&situation, &self.leader.desk);
            for command in commands {
                self.propose(command);
            }
        }
        self.send_orders(now);
    }

    fn send_orders(&mut self, now: Instant) {
        let leader = &mut self.leader;
        let due = leader.desk.due(&self.state, &leader.observations, leader.own_from, now);
        for order in due {
            self.figures.orders += 1;
            let number = self.number_of(&order.order.host);
            self.check_order(number, &order.order);
            let incarnation = self.hosts[number].incarnation;
            let fate = self.rng.u32(..100);
            if fate < 5 {
                // The connection failed: nothing was sent.
                let verdict = Verdict::NotRun;
                let (host, fence) = (order.order.host, order.order.fence);
                self.leader.desk.record_outcome(&OrderOutcome { host, fence, verdict });
                continue;
            }
            let slow = fate < 15;
            // The sender closes the connection after its time limit.
            let longest = ORDER_TIMEOUT.as_millis() as u64;
            let delay = if slow { self.rng.u64(..longest) } else { self.rng.u64(..100) };
            let arrives_ms = self.now_ms + delay;
            if fate >= 10 {
                self.orders.push(InFlight { arrives_ms, incarnation, order: order.order });
            }
        }
    }

    fn deliver_orders(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|flight| flight.arrives_ms <= now_ms);
        self.orders = later;
        for mut flight in due {
            let number = self.number_of(&flight.order.host);
            let host = &mut self.hosts[number];
            // A connection ends with the process that accepted it.
            if host.incarnation != flight.incarnation {
                continue;
            }
            if !host.is_up(now_ms) {
                flight.arrives_ms = now_ms + STEP_MS;
                self.orders.push(flight);
                continue;
            }
            host.obey(&flight.order, now_ms, self.plan.load_ms);
        }
    }

    fn number_of(&self, host: &HostId) -> usize {
        self.hosts.iter().position(|known| known.site.host == *host).expect("a known host")
    }

    /// A host that ignores fences has no other order under way; and no host is taken from
    /// a group that an entry's view may still name.
    fn check_order(&self, number: usize, order: &Order) {
        let host = &self.hosts[number];
        if !host.site.checks_fence {
            let other = self.orders.iter().find(|flight| {
                flight.order.host == order.host && flight.incarnation == host.incarnation
            });
            assert!(
                other.is_none_or(|flight| flight.order.fence == order.fence),
                "two orders under way to {}, which ignores fences",
                order.host
            );
        }
        let own_group = match &order.action {
            OrderAction::Load { group, .. } => Some(*group),
            OrderAction::Unload => None,
        };
        if let Some((group, at)) = self.in_view.get(&order.host)
            && Some(*group) != own_group
        {
            let since = self.now_ms - at;
            let lease = VIEW_LEASE.as_millis() as u64;
            assert!(since >= lease, "{} reused {since} ms after group {group}", order.host);
        }
    }

    fn check_view(&mut self) {
        let mut used = BTreeSet::new();
        for id in self.view.groups.keys() {
            let group = &self.state.groups[id];
            for member in &group.members {
                assert!(used.insert(&member.host), "{} serves in two groups", member.host);
                let announced = self.leader.observations.fresh(&member.host);
                let runs = announced.and_then(|announcement| announcement.membership.as_ref());
                let echoes =
                    runs.is_some_and(|runs| runs.group == *id && runs.fence == group.fence);
                assert!(echoes, "group {id} serves without {}", member.host);
                self.in_view.insert(member.host.clone(), (*id, self.now_ms));
            }
        }
    }

    fn measure(&mut self) {
        let seconds = STEP_MS as f64 / 1000.0;
        let mut short = 0;
        for model in &self.manifest.models {
            let serving =
                self.view.groups.values().filter(|group| group.model == model.name).count();
            short += (model.replicas as usize).saturating_sub(serving);
        }
        self.figures.down_group_seconds += short as f64 * seconds;
        if short == 0 {
            return;
        }
        let serving: u32 =
            self.view.groups.keys().map(|id| self.state.groups[id].members.len() as u32 * 8).sum();
        let usable = self.hosts.iter().filter(|host| {
            host.is_up(self.now_ms) && !self.state.domains_out.contains_key(&host.site.domain)
        });
        let usable = usable.count() as u32 * 8;
        let idle = usable.saturating_sub(serving);
        self.figures.stranded_accelerator_seconds += f64::from(idle) * seconds;
    }
}
