//! Random views, requests and failures, with the invariants of `Backends::choose` checked after
//! each step.

mod sample;

use admission::{Backends, Refused, Requirements, SlotId};
use fastrand::Rng;
use fleet::{Replica, RoutingView};
use model::ids::HostId;
use sample::manifest;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

const STEPS: usize = 4000;
const COLD_PER_S: f64 = 12.0;
const MODELS: [&str; 2] = ["large", "small"];

/// Expected state of a host in the view.
#[derive(Debug)]
struct ExpectedHost {
    model: &'static str,
    group: Box<str>,
    cold_until: Instant,
    avoid_until: Instant,
    /// How often it was full since its last answer.
    full: u32,
}

struct World {
    rng: Rng,
    backends: Backends,
    now: Instant,
    entries: usize,
    share: Option<f64>,
    hosts: BTreeMap<HostId, ExpectedHost>,
    running: BTreeMap<HostId, BTreeSet<SlotId>>,
    cold_sent: Vec<(HostId, Instant)>,
    groups: u32,
}

impl World {
    fn new(seed: u64) -> World {
        let mut backends = Backends::new("d0".into(), 0.3);
        backends.set_manifest(manifest(COLD_PER_S));
        World {
            rng: Rng::with_seed(seed),
            backends,
            now: Instant::now(),
            entries: 1,
            share: None,
            hosts: BTreeMap::new(),
            running: BTreeMap::new(),
            cold_sent: Vec::new(),
            groups: 0,
        }
    }

    fn limit(&self) -> usize {
        let share = self.share.unwrap_or(1.0 / self.entries as f64);
        ((26.0 * share).ceil() as usize).max(1)
    }

    fn change_view(&mut self) {
        self.entries = self.rng.usize(1..7);
        let mut replicas = Vec::new();
        let before = std::mem::take(&mut self.hosts);
        for number in 0..8_u16 {
            let host: HostId = format!("h{number}").into();
            if self.rng.u8(0..10) < 3 {
                continue;
            }
            let old = before.get(&host).filter(|_| self.rng.u8(0..10) < 8);
            let (model, group) = match old {
                Some(expected) => (expected.model, expected.group.clone()),
                None => {
                    self.groups += 1;
                    (MODELS[self.rng.usize(0..2)], format!("g{}", self.groups).into())
                }
            };
            let cold = Duration::from_millis(self.rng.u64(0..4) / 3 * 3000);
            let avoid_until = old.map_or(self.now, |expected| expected.avoid_until);
            let full = old.map_or(0, |expected| expected.full);
            replicas.push(Replica {
                host: host.clone(),
                incarnation: 1,
                service: "engines".into(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + number)),
                domain: format!("d{}", number % 3).into(),
                slots: 26,
                cold_remaining: cold,
                group: Some((group.clone(), model.into())),
                limit: None,
            });
            if old.is_none() {
                self.running.remove(&host);
            }
            let cold_until = self.now + cold;
            self.hosts.insert(host, ExpectedHost { model, group, cold_until, avoid_until, full });
        }
        self.running.retain(|host, _| self.hosts.contains_key(host));
        let view = RoutingView {
            replicas,
            senders: self.entries,
            is_complete: true,
            ..RoutingView::default()
        };
        self.backends.set_view(view, self.now);
    }

    fn request(&mut self) {
        let avoid: Vec<HostId> =
            self.hosts.keys().filter(|_| self.rng.u8(0..10) < 2).cloned().collect();
        let model = MODELS[self.rng.usize(0..2)];
        let requirements = Requirements {
            service: "engines".into(),
            model: Some(model.into()),
            prompt_tokens: self.rng.u64(1..4000),
            answer_tokens: self.rng.u64(1..400),
            avoid: avoid.clone(),
            proven_since: None,
            origin: None,
        };
        let offers = |host: &HostId, expected: &ExpectedHost| {
            expected.model == model && !avoid.contains(host)
        };
        match self.backends.choose(&requirements, self.now) {
            Ok(choice) => {
                let host = choice.replica.host;
                let expected = self.hosts.get(&host).expect("the host is in the view");
                assert!(offers(&host, expected), "{host} was to be avoided, or has another model");
                assert!(
                    expected.avoid_until <= self.now,
                    "{host} was unreachable or full a moment ago"
                );
                if expected.cold_until > self.now {
                    self.cold_sent.push((host.clone(), self.now));
                }
                let limit = self.limit();
                let running = self.running.entry(host.clone()).or_default();
                running.insert(choice.slot);
                assert_eq!(
                    running.len(),
                    choice.running,
                    "wrong count of requests running on {host}"
                );
                assert!(running.len() <= limit, "{host} runs {} of {limit}", running.len());
            }
            Err(Refused::NoServer) => {
                let offered = self.hosts.iter().any(|(host, expected)| offers(host, expected));
                assert!(!offered, "refused with NoServer, but a host offers {model}");
            }
            Err(Refused::Full(after)) => {
                assert!(after >= Duration::from_millis(500), "refused callers retry too soon");
                let free = self.hosts.iter().find(|(host, expected)| {
                    let running = self.running.get(*host).map_or(0, BTreeSet::len);
                    offers(host, expected)
                        && running < self.limit()
                        && expected.avoid_until <= self.now
                        && expected.cold_until <= self.now
                });
                assert!(free.is_none(), "refused while {free:?} has a free slot");
            }
        }
    }

    fn release(&mut self) {
        let all: Vec<(HostId, SlotId)> = self
            .running
            .iter()
            .flat_map(|(host, slots)| slots.iter().map(|slot| (host.clone(), slot.clone())))
            .collect();
        if let Some((host, slot)) = self.rng.choice(all) {
            self.backends.release(&slot);
            self.running.get_mut(&host).expect("the host runs the request").remove(&slot);
        }
    }

    fn fail(&mut self) {
        let hosts: Vec<HostId> = self.hosts.keys().cloned().collect();
        let Some(host) = self.rng.choice(hosts) else {
            return;
        };
        let expected = self.hosts.get_mut(&host).expect("the host is in the view");
        if self.rng.bool() {
            self.backends.mark_unreachable(&host, self.now);
            expected.avoid_until = self.now + Duration::from_millis(1000);
        } else {
            self.backends.mark_full(&host, self.now);
            expected.avoid_until = self.now + Duration::from_millis(50 << expected.full.min(3));
            expected.full += 1;
        }
    }

    /// Checks that no cold host got more requests in any second than this entry's share of the
    /// limit.
    fn check_cold_limit(&self, min_entries: usize) {
        let limit = (COLD_PER_S / min_entries as f64).max(1.0).ceil() as usize;
        for (host, at) in &self.cold_sent {
            let second = self.cold_sent.iter().filter(|(other, sent)| {
                other == host && *sent >= *at && *sent < *at + Duration::from_secs(1)
            });
            assert!(second.count() <= limit, "{host} got more than {limit} requests in a second");
        }
    }
}

#[test]
fn choose_keeps_its_invariants_in_random_runs() {
    for seed in 0..24 {
        let mut world = World::new(seed);
        let mut min_entries = usize::MAX;
        world.change_view();
        for _ in 0..STEPS {
            world.now += Duration::from_millis(world.rng.u64(0..20));
            match world.rng.u8(0..100) {
                0 => world.change_view(),
                1 => {
                    let share = world.rng.f64();
                    world.backends.set_share(share);
                    world.share = Some(share);
                    // A smaller share doesn't end running requests: the limit holds for new ones.
                    let limit = world.limit();
                    while world.running.values().any(|running| running.len() > limit) {
                        world.release();
                    }
                }
                2 => world.fail(),
                3..48 => world.release(),
                _ => world.request(),
            }
            min_entries = min_entries.min(world.entries);
        }
        world.check_cold_limit(min_entries);
    }
}
