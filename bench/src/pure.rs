//! The cost of single decisions of the pure crates at a size.

use crate::field::sites;
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

/// Control with groups that all serve.
#[derive(Debug)]
pub struct Settled {
    /// The replicated state.
    pub state: State,
    /// The manifest.
    pub manifest: Manifest,
    /// What entries report.
    pub seen: Observations,
    hosts: Vec<FakeHost>,
    now: Instant,
}

fn field_address() -> SocketAddr {
    SocketAddr::from(([127, 9, 0, 1], 8000))
}

/// A manifest with `models` models that share `groups` replicas of one host.
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

impl Settled {
    /// Runs the planner until `groups` groups of one host serve; 2% of the hosts are spare.
    pub fn new(groups: usize) -> Settled {
        let count = groups + groups / 50 + 3;
        let hosts = sites(count, 32, field_address()).into_iter().map(FakeHost::new).collect();
        let now = Instant::now();
        let mut settled = Settled {
            state: State::default(),
            manifest: manifest(groups, (groups / 100).clamp(1, 40)),
            seen: Observations::default(),
            hosts,
            now,
        };
        let everyone: Vec<usize> = (0..count).collect();
        settled.report(&everyone);
        let mut planner = Planner::new(Policy::BestFitWithSpares);
        let mut desk = OrderTracker::default();
        for _ in 0..6 {
            settled.now += Duration::from_secs(1);
            settled.round(&mut planner, &mut desk);
        }
        let serving = settled.view().groups.len();
        assert_eq!(serving, groups, "not all groups serve");
        settled
    }

    fn report(&mut self, numbers: &[usize]) {
        let hosts = &mut self.hosts;
        let seen = numbers.iter().map(|number| hosts[*number].announce(u64::MAX)).collect();
        let report = EntryReport {
            announcements: seen,
            manifest: 1,
            active: true,
            ..EntryReport::default()
        };
        self.seen.report(&"entry".into(), field_address(), report, self.now);
    }

    fn round(&mut self, planner: &mut Planner, desk: &mut OrderTracker) {
        for command in planner.plan(&self.situation(), desk) {
            let index = self.state.applied + 1;
            self.state.apply(index, command);
        }
        let mut ordered = Vec::new();
        for due in desk.due(&self.state, &self.seen, 0, self.now) {
            let number: usize = due.order.host[5..].parse().expect("a numbered host");
            self.hosts[number].obey(&due.order, 0, 0);
            ordered.push(number);
        }
        self.report(&ordered);
    }

    /// The situation now.
    pub fn situation(&self) -> PlannerInput<'_> {
        PlannerInput {
            state: &self.state,
            manifest: &self.manifest,
            observations: &self.seen,
            now: self.now,
            wall_s: 0,
        }
    }

    /// The view now.
    pub fn view(&self) -> View {
        build_view(&self.state, &self.manifest, &self.seen, self.now, 0)
    }

    /// Loses `count` hosts, as a rack would.
    pub fn lose(&mut self, count: usize) {
        let lost = self.hosts.iter().take(count).map(|host| host.site.host.clone()).collect();
        let report = EntryReport { lost, manifest: 1, active: true, ..EntryReport::default() };
        self.seen.report(&"entry".into(), field_address(), report, self.now);
        self.now += Duration::from_secs(2);
        let alive = EntryReport { manifest: 1, active: true, ..EntryReport::default() };
        self.seen.report(&"entry".into(), field_address(), alive, self.now);
    }
}

/// The time of one call, in microseconds: the median of several.
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

/// The time of one planning pass.
pub fn plan_micros(settled: &Settled) -> f64 {
    let mut planner = Planner::new(Policy::BestFitWithSpares);
    let desk = OrderTracker::default();
    micros_of(|| {
        planner.plan(&settled.situation(), &desk);
    })
}

/// The time to take one announcement at an entry that holds `hosts` hosts.
pub fn announce_micros(hosts: usize) -> f64 {
    let now = Instant::now();
    let mut table = HostTable::default();
    let mut all: Vec<FakeHost> =
        sites(hosts, 32, field_address()).into_iter().map(FakeHost::new).collect();
    let mut round = |table: &mut HostTable| {
        for host in &mut all {
            let taken = table.announce(host.announce(0), now);
            assert!(taken.is_ok());
        }
    };
    round(&mut table);
    micros_of(|| round(&mut table)) / hosts as f64
}

/// The view of an entry that knows `groups` groups of one model.
fn router_view(groups: usize) -> View {
    let mut view = View::default();
    for group in 1..=groups as u64 {
        let group_view = GroupView {
            group,
            model: "model-0".into(),
            domain: "domain-0".into(),
            fence: group,
            head: format!("host-{group}").into(),
            address: field_address(),
            cold: false,
        };
        view.groups.insert(group, group_view);
    }
    let entry = EntryView {
        entry: "entry".into(),
        address: field_address(),
        standing: EntryStanding::Active,
    };
    view.entries.insert("entry".into(), entry);
    view
}

/// The time to admit and finish one request at an entry that knows `groups` groups, half
/// of whose slots are taken.
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
    let round = || {
        for _ in 0..calls {
            running.push_back(submit(&mut router));
            if let Some(dispatch) = running.pop_front() {
                let first_byte = Duration::from_millis(1);
                router.finish(dispatch, Evidence::Answered { first_byte }, now);
            }
        }
    };
    micros_of(round) / f64::from(calls)
}

/// The size of the replicated state in bytes.
pub fn state_bytes(settled: &Settled) -> usize {
    bincode::serde::encode_to_vec(&settled.state, bincode::config::standard())
        .map_or(0, |bytes| bytes.len())
}

/// The size of the whole view in bytes.
pub fn view_bytes(settled: &Settled) -> usize {
    bincode::serde::encode_to_vec(settled.view(), bincode::config::standard())
        .map_or(0, |bytes| bytes.len())
}

/// The time to apply one command that forms a group to a state of this size.
pub fn apply_micros(settled: &Settled) -> f64 {
    let mut state = settled.state.clone();
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
