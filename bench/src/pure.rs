//! Measures single operations of planning, routing and state in process, for a given size.

use crate::sim_cluster::host_specs;
use fastrand::Rng;
use model::{
    manifest::{Manifest, Model, Team, TeamSelector},
    view::{EntryStanding, EntryView, GroupView, View},
};
use plan::{EntryReport, Observations, OrderTracker, Planner, PlannerInput, Policy, build_view};
use route::{Admission, BalancingPolicy, Evidence, HostTable, Outcome, Router, Submission, Target};
use state::{Command, State};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};
use testbed::FakeHost;

/// Inputs of control in a steady state: all groups serve.
#[derive(Debug)]
pub struct SteadyState {
    /// The replicated state.
    pub state: State,
    /// The manifest.
    pub manifest: Manifest,
    /// The reports of entries.
    pub observations: Observations,
    hosts: Vec<FakeHost>,
    now: Instant,
}

fn hosts_address() -> SocketAddr {
    SocketAddr::from(([127, 9, 0, 1], 8000))
}

/// Returns a manifest in which `groups` replicas of one host each are divided among `models`
/// models.
pub fn manifest(groups: usize, models: usize) -> Manifest {
    let model = |number: usize| Model {
        name: format!("model-{number}").into(),
        accelerators_per_host: 4,
        replicas: (groups / models) as u32 + u32::from(number < groups % models),
        warm_slots: 16,
        cold_slots: 2,
        ..Model::default()
    };
    let mark = TeamSelector::Address { prefix: [127, 0, 0, 0].into(), bits: 8 };
    let team = Team {
        name: "team".into(),
        max_running: 100_000,
        selectors: vec![mark],
        ..Team::default()
    };
    Manifest {
        number: 1,
        failure_domains: (0..3).map(|domain| format!("domain-{domain}").into()).collect(),
        models: (0..models).map(model).collect(),
        teams: vec![team],
        weight_store: model::manifest::WeightStore { concurrent_loads: 100_000 },
        ..Manifest::default()
    }
}

impl SteadyState {
    /// Runs the planner until `groups` groups of one host each serve. 2% of the hosts are spare.
    ///
    /// # Panics
    ///
    /// Panics if not all groups serve after six planning passes.
    pub fn new(groups: usize) -> SteadyState {
        let count = groups + groups / 50 + 3;
        let hosts = host_specs(count, 32, hosts_address()).into_iter().map(FakeHost::new).collect();
        let now = Instant::now();
        let mut steady = SteadyState {
            state: State::default(),
            manifest: manifest(groups, (groups / 100).clamp(1, 40)),
            observations: Observations::default(),
            hosts,
            now,
        };
        let all_hosts: Vec<usize> = (0..count).collect();
        steady.report(&all_hosts);
        let mut planner = Planner::new(Policy::BestFitWithSpares);
        let mut order_tracker = OrderTracker::default();
        for _ in 0..6 {
            steady.now += Duration::from_secs(1);
            steady.run_pass(&mut planner, &mut order_tracker);
        }
        let serving = steady.view().groups.len();
        assert_eq!(serving, groups, "not all groups serve");
        steady
    }

    fn report(&mut self, numbers: &[usize]) {
        let hosts = &mut self.hosts;
        let announcements =
            numbers.iter().map(|number| hosts[*number].next_announcement(u64::MAX)).collect();
        let report =
            EntryReport { announcements, manifest: 1, active: true, ..EntryReport::default() };
        self.observations.report(&"entry".into(), hosts_address(), report, self.now);
    }

    fn run_pass(&mut self, planner: &mut Planner, order_tracker: &mut OrderTracker) {
        for command in planner.plan(&self.planner_input(), order_tracker) {
            let index = self.state.applied + 1;
            self.state.apply(index, command);
        }
        let mut ordered = Vec::new();
        for due in order_tracker.due(&self.state, &self.observations, 0, self.now) {
            let number: usize =
                due.order.host[5..].parse().expect("a host name that ends in a number");
            self.hosts[number].execute(&due.order, 0, 0);
            ordered.push(number);
        }
        self.report(&ordered);
    }

    /// Returns the current input of the planner.
    pub fn planner_input(&self) -> PlannerInput<'_> {
        PlannerInput {
            state: &self.state,
            manifest: &self.manifest,
            observations: &self.observations,
            now: self.now,
            wall_s: 0,
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> View {
        build_view(&self.state, &self.manifest, &self.observations, self.now, 0)
    }

    /// Reports the loss of `count` hosts at once, as when a rack fails.
    pub fn lose_hosts(&mut self, count: usize) {
        let lost = self.hosts.iter().take(count).map(|host| host.spec.host.clone()).collect();
        let report = EntryReport { lost, manifest: 1, active: true, ..EntryReport::default() };
        self.observations.report(&"entry".into(), hosts_address(), report, self.now);
        self.now += Duration::from_secs(2);
        let empty_report = EntryReport { manifest: 1, active: true, ..EntryReport::default() };
        self.observations.report(&"entry".into(), hosts_address(), empty_report, self.now);
    }
}

/// Returns the time of a call in microseconds, as the median of nine calls.
pub fn micros_of(mut call: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..9)
        .map(|_| {
            let start = Instant::now();
            call();
            start.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Returns the time of a planning pass in microseconds.
pub fn plan_micros(steady: &SteadyState) -> f64 {
    let mut planner = Planner::new(Policy::BestFitWithSpares);
    let order_tracker = OrderTracker::default();
    micros_of(|| {
        planner.plan(&steady.planner_input(), &order_tracker);
    })
}

/// Returns the time in microseconds to record an announcement at an entry that holds `hosts`
/// hosts.
pub fn announce_micros(hosts: usize) -> f64 {
    let now = Instant::now();
    let mut table = HostTable::default();
    let mut fake_hosts: Vec<FakeHost> =
        host_specs(hosts, 32, hosts_address()).into_iter().map(FakeHost::new).collect();
    let mut announce_all = |table: &mut HostTable| {
        for host in &mut fake_hosts {
            let result = table.announce(host.next_announcement(0), now);
            assert!(result.is_ok());
        }
    };
    announce_all(&mut table);
    micros_of(|| announce_all(&mut table)) / hosts as f64
}

/// Returns a view with `groups` groups of one model.
fn router_view(groups: usize) -> View {
    let mut view = View::default();
    for group in 1..=groups as u64 {
        let group_view = GroupView {
            group,
            model: "model-0".into(),
            domain: "domain-0".into(),
            fence: group,
            head: format!("host-{group}").into(),
            address: hosts_address(),
            cold: false,
        };
        view.groups.insert(group, group_view);
    }
    let entry = EntryView {
        entry: "entry".into(),
        address: hosts_address(),
        standing: EntryStanding::Active,
    };
    view.entries.insert("entry".into(), entry);
    view
}

/// Returns the time in microseconds to admit and finish a request at an entry that knows
/// `groups` groups, half of whose slots are in use.
pub fn route_micros(groups: usize, choice: BalancingPolicy) -> f64 {
    let now = Instant::now();
    let mut router = Router::new("entry".into(), choice, Rng::with_seed(1));
    router.set_view(&router_view(groups), Some(Arc::new(manifest(groups, 1))), now);
    let mut rng = Rng::with_seed(2);
    let mut running = std::collections::VecDeque::new();
    let mut submit = |router: &mut Router| {
        let submission = Submission {
            target: Target::Model("model-0".into()),
            team: "team".into(),
            prefix: Some(rng.u64(..1000)),
            deadline: now + Duration::from_secs(60),
            avoid: None,
        };
        let admission = router.submit(submission, now);
        assert!(matches!(admission, Admission::Accepted(_)), "{admission:?}");
        match router.take_outcomes().pop() {
            Some(Outcome::Dispatch { dispatch, .. }) => dispatch,
            other => panic!("{other:?}"),
        }
    };
    for _ in 0..groups * 8 {
        running.push_back(submit(&mut router));
    }
    let calls = 200;
    let run_calls = || {
        for _ in 0..calls {
            running.push_back(submit(&mut router));
            if let Some(dispatch) = running.pop_front() {
                let first_byte = Duration::from_millis(1);
                router.finish(dispatch, Evidence::Answered { first_byte }, now);
            }
        }
    };
    micros_of(run_calls) / f64::from(calls)
}

/// Returns the encoded size of the replicated state in bytes.
pub fn state_bytes(steady: &SteadyState) -> usize {
    bincode::serde::encode_to_vec(&steady.state, bincode::config::standard())
        .map_or(0, |bytes| bytes.len())
}

/// Returns the encoded size of the complete view in bytes.
pub fn view_bytes(steady: &SteadyState) -> usize {
    bincode::serde::encode_to_vec(steady.view(), bincode::config::standard())
        .map_or(0, |bytes| bytes.len())
}

/// Returns the time in microseconds to apply a claim to a state of this size.
pub fn apply_micros(steady: &SteadyState) -> f64 {
    let mut state = steady.state.clone();
    micros_of(|| {
        for _ in 0..100 {
            let index = state.applied + 1;
            let key = state::ClaimKey { service: "s".into(), key: index.to_string().into() };
            let claim =
                Command::Claim { key, entry: "e".into(), token: 1, request_digest: 1, now_s: 1 };
            state.apply(index, claim);
        }
    }) / 100.0
}
