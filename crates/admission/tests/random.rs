//! Random views, requests and failures: what the choice promises holds after each step.

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

/// What the test knows of a host in the view.
#[derive(Debug)]
struct Known {
    model: &'static str,
    group: Box<str>,
    cold_until: Instant,
    quiet_until: Instant,
}

struct World {
    rng: Rng,
    backends: Backends,
    now: Instant,
    entries: usize,
    share: Option<f64>,
    hosts: BTreeMap<HostId, Known>,
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
                Some(known) => (known.model, known.group.clone()),
                None => {
                    self.groups += 1;
                    (MODELS[self.rng.usize(0..2)], format!("g{}", self.groups).into())
                }
            };
            let cold = Duration::from_millis(self.rng.u64(0..4) / 3 * 3000);
            let quiet_until = old.map_or(self.now, |known| known.quiet_until);
            replicas.push(Replica {
                host: host.clone(),
                service: "engines".into(),
                address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000 + number)),
                domain: format!("d{}", number % 3).into(),
                slots: 26,
                cold,
                group: Some((group.clone(), model.into())),
            });
            if old.is_none() {
                self.running.remove(&host);
            }
            let cold_until = self.now + cold;
            self.hosts.insert(host, Known { model, group, cold_until, quiet_until });
        }
        self.running.retain(|host, _| self.hosts.contains_key(host));
        let view =
            RoutingView { replicas, entries: Vec::new(), senders: self.entries, is_complete: true };
        self.backends.set_view(view, self.now);
    }

    fn request(&mut self) {
        let avoid: Vec<HostId> =
            self.hosts.keys().filter(|_| self.rng.u8(0..10) < 2).cloned().collect();
        let model = MODELS[self.rng.usize(0..2)];
        let needs = Requirements {
            service: "engines".into(),
            model: Some(model.into()),
            prompt_tokens: self.rng.u64(1..4000),
            answer_tokens: self.rng.u64(1..400),
            avoid: avoid.clone(),
        };
        let offers = |host: &HostId, known: &Known| known.model == model && !avoid.contains(host);
        match self.backends.choose(&needs, self.now) {
            Ok(choice) => {
                let host = choice.replica.host;
                let known = self.hosts.get(&host).expect("a host of the view");
                assert!(offers(&host, known), "{host} was to be avoided, or has another model");
                assert!(known.quiet_until <= self.now, "{host} was out of reach or full just now");
                if known.cold_until > self.now {
                    self.cold_sent.push((host.clone(), self.now));
                }
                let limit = self.limit();
                let running = self.running.entry(host.clone()).or_default();
                running.insert(choice.slot);
                assert_eq!(running.len(), choice.running, "{host} counts its requests");
                assert!(running.len() <= limit, "{host} runs {} of {limit}", running.len());
            }
            Err(Refused::NoServer) => {
                let someone = self.hosts.iter().any(|(host, known)| offers(host, known));
                assert!(!someone, "nobody was found, but a host offers {model}");
            }
            Err(Refused::Full(after)) => {
                assert!(after >= Duration::from_millis(500), "callers come back too soon");
                let free = self.hosts.iter().find(|(host, known)| {
                    let running = self.running.get(*host).map_or(0, BTreeSet::len);
                    offers(host, known)
                        && running < self.limit()
                        && known.quiet_until <= self.now
                        && known.cold_until <= self.now
                });
                assert!(free.is_none(), "refused while {free:?} has a place");
            }
        }
    }

    fn finish(&mut self) {
        let all: Vec<(HostId, SlotId)> = self
            .running
            .iter()
            .flat_map(|(host, tickets)| tickets.iter().map(|ticket| (host.clone(), ticket.clone())))
            .collect();
        if let Some((host, ticket)) = self.rng.choice(all) {
            self.backends.release(&ticket);
            self.running.get_mut(&host).expect("it runs there").remove(&ticket);
        }
    }

    fn fail(&mut self) {
        let hosts: Vec<HostId> = self.hosts.keys().cloned().collect();
        let Some(host) = self.rng.choice(hosts) else {
            return;
        };
        let known = self.hosts.get_mut(&host).expect("a host of the view");
        if self.rng.bool() {
            self.backends.mark_unreachable(&host, self.now);
            known.quiet_until = self.now + Duration::from_millis(1000);
        } else {
            self.backends.mark_full(&host, self.now);
            known.quiet_until = self.now + Duration::from_millis(50);
        }
    }

    /// No cold host gets more in any second than this entry's part of what it bears.
    fn check_cold(&self, entries_min: usize) {
        let most = (COLD_PER_S / entries_min as f64).max(1.0).ceil() as usize;
        for (host, at) in &self.cold_sent {
            let second = self.cold_sent.iter().filter(|(other, sent)| {
                other == host && *sent >= *at && *sent < *at + Duration::from_secs(1)
            });
            assert!(second.count() <= most, "{host} got more than {most} in a second");
        }
    }
}

#[test]
fn choose_keeps_its_promises_in_random_runs() {
    for seed in 0..24 {
        let mut world = World::new(seed);
        let mut entries_min = usize::MAX;
        world.change_view();
        for _ in 0..STEPS {
            world.now += Duration::from_millis(world.rng.u64(0..20));
            match world.rng.u8(0..100) {
                0 => world.change_view(),
                1 => {
                    let share = world.rng.f64();
                    world.backends.set_share(share);
                    world.share = Some(share);
                    // A part that shrinks leaves what runs; the bound is for what is new.
                    let limit = world.limit();
                    while world.running.values().any(|running| running.len() > limit) {
                        world.finish();
                    }
                }
                2 => world.fail(),
                3..48 => world.finish(),
                _ => world.request(),
            }
            entries_min = entries_min.min(world.entries);
        }
        world.check_cold(entries_min);
    }
}
