//! Simulation of control with its hosts and two entries. It runs the real replicated state,
//! planner, order tracker, observations and host tables in simulated time, without network or
//! log.

use crate::{
    config::{
        Fault, SimConfig, SimStats, address, domain_name, entry_name, make_hosts, make_manifest,
    },
    host::FakeHost,
};
use base::limits::{
    DISCOVERY_PERIOD, ENTRY_REPORT_INTERVAL, ORDER_TIMEOUT, PLAN_INTERVAL, VIEW_LEASE,
};
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
const ANNOUNCE_INTERVAL_MS: u64 = 400;
const COMMIT_DELAY_MS: u64 = 10;
/// Wall-clock time in seconds at the start of a simulation.
const WALL_START_S: u64 = 1_000_000;

struct Leader {
    since_ms: u64,
    /// First log index of this leader.
    first_index: u64,
    observations: Observations,
    planner: Planner,
    order_tracker: OrderTracker,
    /// Whether the leader has collected reports for `DISCOVERY_PERIOD`. It plans only after that.
    has_learned: bool,
    /// Number of commands proposed but not yet applied.
    pending_commands: usize,
}

struct OrderInFlight {
    arrives_ms: u64,
    incarnation: u64,
    order: Order,
}

/// A simulation of control.
pub struct ControlSim {
    config: SimConfig,
    rng: Rng,
    start: Instant,
    now_ms: u64,
    manifest: Manifest,
    state: State,
    index: u64,
    proposals: VecDeque<(u64, Command)>,
    leader: Leader,
    hosts: Vec<FakeHost>,
    entries: Vec<HostTable>,
    orders: Vec<OrderInFlight>,
    view: View,
    /// For each host, the group that last named it in a published view, and when.
    last_in_view: BTreeMap<HostId, (u64, u64)>,
    /// For each failure domain that is out, the time at which it is put back.
    domain_back_at: BTreeMap<usize, u64>,
    stats: SimStats,
}

impl std::fmt::Debug for ControlSim {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlSim").field("now_ms", &self.now_ms).finish_non_exhaustive()
    }
}

impl Leader {
    fn new(since_ms: u64, first_index: u64, policy: Policy) -> Leader {
        Leader {
            since_ms,
            first_index,
            observations: Observations::default(),
            planner: Planner::new(policy),
            order_tracker: OrderTracker::default(),
            has_learned: false,
            pending_commands: 0,
        }
    }
}

impl ControlSim {
    /// Creates a simulation in which nothing runs yet.
    pub fn new(config: SimConfig) -> ControlSim {
        let mut rng = Rng::with_seed(config.seed);
        let manifest = make_manifest(&config);
        let hosts = make_hosts(&config, &mut rng);
        let leader = Leader::new(0, 0, config.policy);
        ControlSim {
            config,
            rng,
            start: Instant::now(),
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
            last_in_view: BTreeMap::new(),
            domain_back_at: BTreeMap::new(),
            stats: SimStats::default(),
        }
    }

    /// Runs the simulation until the simulated time `end_ms`.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Returns the totals so far.
    pub fn stats(&self) -> SimStats {
        self.stats
    }

    /// Returns the number of groups that serve, and the number that the manifest requires.
    pub fn serving_and_wanted(&self) -> (usize, usize) {
        let wanted: u32 = self.manifest.models.iter().map(|model| model.replicas).sum();
        (self.view.groups.len(), wanted as usize)
    }

    /// Returns the number of hosts with a record in the replicated state.
    pub fn recorded_hosts(&self) -> usize {
        self.state.hosts.len()
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn wall_s(&self) -> u64 {
        WALL_START_S + self.now_ms / 1000
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_faults();
        self.deliver_orders();
        self.announce_hosts();
        self.send_due_reports();
        self.commit();
        self.run_leader();
        self.update_stats();
    }

    fn inject_faults(&mut self) {
        let due = self.now_ms - STEP_MS..self.now_ms;
        for fault in self.config.faults.clone() {
            match fault {
                Fault::Kill { at_ms, host, duration_ms } if due.contains(&at_ms) => {
                    self.hosts[host].kill(self.now_ms + duration_ms);
                }
                Fault::Pause { at_ms, host, duration_ms } if due.contains(&at_ms) => {
                    self.hosts[host].paused_until_ms = self.now_ms + duration_ms;
                }
                Fault::FabricOutage { at_ms, fabric, duration_ms } if due.contains(&at_ms) => {
                    let first = fabric * self.config.hosts_per_fabric;
                    for host in &mut self.hosts[first..first + self.config.hosts_per_fabric] {
                        host.paused_until_ms = self.now_ms + duration_ms;
                    }
                }
                Fault::DomainOut { at_ms, domain, notice_s, duration_ms }
                    if due.contains(&at_ms) =>
                {
                    let stop_at_s = self.wall_s() + notice_s;
                    self.propose(Command::DomainOut { domain: domain_name(domain), stop_at_s });
                    self.domain_back_at.insert(domain, self.now_ms + duration_ms);
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
            .domain_back_at
            .iter()
            .filter(|(_, at)| **at <= self.now_ms)
            .map(|(domain, _)| *domain)
            .collect();
        for domain in back {
            self.domain_back_at.remove(&domain);
            self.propose(Command::DomainBack { domain: domain_name(domain) });
        }
    }

    fn change_leader(&mut self) {
        // The new leader lacks all proposals after a random position.
        let kept = self.rng.usize(..=self.proposals.len());
        let is_from_operator = |command: &Command| {
            matches!(command, Command::DomainOut { .. } | Command::DomainBack { .. })
        };
        let lost = self.proposals.split_off(kept);
        // Operators retry their commands until they receive a response.
        self.proposals.extend(lost.into_iter().filter(|(_, command)| is_from_operator(command)));
        self.leader = Leader::new(self.now_ms, self.index + 1, self.config.policy);
        self.leader.pending_commands = self.proposals.len();
        for number in 0..self.entries.len() {
            self.send_report(number, true);
        }
    }

    fn propose(&mut self, command: Command) {
        self.proposals.push_back((self.now_ms + COMMIT_DELAY_MS, command));
        self.leader.pending_commands += 1;
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
            self.stats.records += 1;
            self.leader.pending_commands = self.leader.pending_commands.saturating_sub(1);
        }
    }

    fn announce_hosts(&mut self) {
        let now = self.now();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let due = (self.now_ms + number as u64 * STEP_MS).is_multiple_of(ANNOUNCE_INTERVAL_MS);
            if !due || !host.is_up(self.now_ms) || self.rng.u32(..100) < 3 {
                continue;
            }
            // In 10% of the announcements the host uses the other entry.
            let entry = usize::from(self.rng.u32(..100) < 10) ^ (number % 2);
            let announcement = host.next_announcement(self.now_ms);
            let result = self.entries[entry].announce(announcement, now);
            assert!(result.is_ok(), "an announcement was refused: {result:?}");
        }
        for entry in &mut self.entries {
            entry.expire(now);
        }
    }

    fn send_due_reports(&mut self) {
        if self.now_ms.is_multiple_of(ENTRY_REPORT_INTERVAL.as_millis() as u64) {
            for number in 0..self.entries.len() {
                self.send_report(number, false);
            }
        }
    }

    fn send_report(&mut self, number: usize, full: bool) {
        let table = &mut self.entries[number];
        let (announcements, lost) =
            if full { (table.take_all(), Vec::new()) } else { table.take_changes() };
        let report = EntryReport {
            full,
            announcements,
            lost,
            manifest: 1,
            active: true,
            ..EntryReport::default()
        };
        let now = self.now();
        self.leader.observations.report(&entry_name(number), address(60_000 + number), report, now);
    }

    fn run_leader(&mut self) {
        let now = self.now();
        self.leader.observations.expire(now);
        let waited = self.now_ms - self.leader.since_ms;
        self.leader.has_learned |= waited >= DISCOVERY_PERIOD.as_millis() as u64;
        if !self.leader.has_learned {
            return;
        }
        let wall_s = self.wall_s();
        let observations = &self.leader.observations;
        self.view = build_view(&self.state, &self.manifest, observations, now, wall_s);
        self.check_view();
        let due = self.now_ms.is_multiple_of(PLAN_INTERVAL.as_millis() as u64);
        if due && self.leader.pending_commands == 0 {
            let input = PlannerInput {
                state: &self.state,
                manifest: &self.manifest,
                observations: &self.leader.observations,
                now,
                wall_s,
            };
            let commands = self.leader.planner.plan(&input, &self.leader.order_tracker);
            for command in commands {
                self.propose(command);
            }
        }
        self.send_orders(now);
    }

    fn send_orders(&mut self, now: Instant) {
        let leader = &mut self.leader;
        let due =
            leader.order_tracker.due(&self.state, &leader.observations, leader.first_index, now);
        for order in due {
            self.stats.orders += 1;
            let number = self.index_of(&order.order.host);
            self.check_order(number, &order.order);
            let incarnation = self.hosts[number].incarnation;
            let delivery = self.rng.u32(..100);
            if delivery < 5 {
                // The connection failed, so the order was not sent.
                let verdict = Verdict::NotRun;
                let (host, fence) = (order.order.host, order.order.fence);
                self.leader.order_tracker.record_outcome(&OrderOutcome { host, fence, verdict });
                continue;
            }
            let is_slow = delivery < 15;
            // The sender closes the connection after the order timeout.
            let max_delay = ORDER_TIMEOUT.as_millis() as u64;
            let delay = if is_slow { self.rng.u64(..max_delay) } else { self.rng.u64(..100) };
            let arrives_ms = self.now_ms + delay;
            // Orders with a delivery of 5 to 9 are lost without a response.
            if delivery >= 10 {
                self.orders.push(OrderInFlight { arrives_ms, incarnation, order: order.order });
            }
        }
    }

    fn deliver_orders(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<OrderInFlight>, Vec<OrderInFlight>) =
            std::mem::take(&mut self.orders)
                .into_iter()
                .partition(|order| order.arrives_ms <= now_ms);
        self.orders = later;
        for mut in_flight in due {
            let number = self.index_of(&in_flight.order.host);
            let host = &mut self.hosts[number];
            // The connection closes when the process that accepted it ends.
            if host.incarnation != in_flight.incarnation {
                continue;
            }
            if !host.is_up(now_ms) {
                in_flight.arrives_ms = now_ms + STEP_MS;
                self.orders.push(in_flight);
                continue;
            }
            host.execute(&in_flight.order, now_ms, self.config.load_ms);
        }
    }

    fn index_of(&self, host: &HostId) -> usize {
        self.hosts
            .iter()
            .position(|known| known.spec.host == *host)
            .expect("the order names an unknown host")
    }

    /// Checks that a host that ignores fences has no other order in flight, and that no host is
    /// taken from a group that an entry's view may still name.
    fn check_order(&self, number: usize, order: &Order) {
        let host = &self.hosts[number];
        if !host.spec.checks_fence {
            let other = self.orders.iter().find(|in_flight| {
                in_flight.order.host == order.host && in_flight.incarnation == host.incarnation
            });
            assert!(
                other.is_none_or(|in_flight| in_flight.order.fence == order.fence),
                "two orders in flight to {}, which ignores fences",
                order.host
            );
        }
        let own_group = match &order.action {
            OrderAction::Load { group, .. } => Some(*group),
            OrderAction::Unload => None,
        };
        if let Some((group, at)) = self.last_in_view.get(&order.host)
            && Some(*group) != own_group
        {
            let since = self.now_ms - at;
            let lease = VIEW_LEASE.as_millis() as u64;
            assert!(
                since >= lease,
                "{} reused {since} ms after a view named it in group {group}",
                order.host
            );
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
                let is_current =
                    runs.is_some_and(|runs| runs.group == *id && runs.fence == group.fence);
                assert!(is_current, "group {id} serves without {}", member.host);
                self.last_in_view.insert(member.host.clone(), (*id, self.now_ms));
            }
        }
    }

    fn update_stats(&mut self) {
        let seconds = STEP_MS as f64 / 1000.0;
        let mut missing = 0;
        for model in &self.manifest.models {
            let serving =
                self.view.groups.values().filter(|group| group.model == model.name).count();
            missing += (model.replicas as usize).saturating_sub(serving);
        }
        self.stats.down_group_seconds += missing as f64 * seconds;
        if missing == 0 {
            return;
        }
        let serving: u32 =
            self.view.groups.keys().map(|id| self.state.groups[id].members.len() as u32 * 8).sum();
        let usable = self.hosts.iter().filter(|host| {
            host.is_up(self.now_ms) && !self.state.domains_out.contains_key(&host.spec.domain)
        });
        let usable = usable.count() as u32 * 8;
        let idle = usable.saturating_sub(serving);
        self.stats.stranded_accelerator_seconds += f64::from(idle) * seconds;
    }
}
