//! Randomised planner runs with failed, restarted, unreachable and leaving hosts, leader
//! changes, delayed orders, late reports, and failure domains taken out and put back.
//!
//! `KINGCUP_CASES=N` runs N cases instead of the default number.

mod world;

use engine::SimConfig;
use fastrand::Rng;
use model::ids::HostId;
use std::{env, time::Duration};
use world::World;

const DEFAULT_CASES: u64 = 40;
const FAULTS: usize = 24;

fn cases() -> u64 {
    env::var("KINGCUP_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_CASES)
}

#[test]
fn step_random_faults_no_violation_and_service_returns() {
    for seed in 0..cases() {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut rng = Rng::with_seed(seed);
    let config = SimConfig { domains: rng.usize(1..=3), fabrics: rng.usize(1..=2), hosts: 9 };
    let mut world = World::new(&config, seed);
    world.sent_reports = Some(Vec::new());
    world.run_ms(6000);
    world.cluster.has_traffic = true;
    world.delayed_percent = if rng.bool() { 0 } else { rng.u8(1..40) };
    for _ in 0..FAULTS {
        inject_fault(&mut world, &mut rng);
        world.run_ms(rng.u64(20..2500));
        assert!(world.cluster.violations.is_empty(), "seed {seed}: {:?}", world.cluster.violations);
    }
    end_faults(&mut world);
    world.run_ms(45_000);
    assert!(world.cluster.violations.is_empty(), "seed {seed}: {:?}", world.cluster.violations);
    // Each fabric domain of nine hosts has room for groups of two models. The check asks for
    // one group per fabric domain, because loads after the faults are slow.
    let fabrics = config.domains * config.fabrics;
    let complete = world.complete_groups();
    assert!(complete >= fabrics, "seed {seed}: {complete} groups serve");
}

fn inject_fault(world: &mut World, rng: &mut Rng) {
    let ids: Vec<HostId> = world.cluster.hosts().keys().cloned().collect();
    let id = ids[rng.usize(..ids.len())].clone();
    match rng.u8(0..14) {
        0..=2 => world.cluster.host_mut(&id).expect("a host").alive = false,
        3 => world.cluster.restart(&id),
        4 | 5 => {
            let host = world.cluster.host_mut(&id).expect("a host");
            host.reachable = !host.reachable;
        }
        6 => {
            let host = world.cluster.host_mut(&id).expect("a host");
            (host.leaving, host.busy) = (true, rng.bool());
        }
        10 | 11 => {
            // Hosts that leave stop listening before they end.
            for id in &ids {
                let host = world.cluster.host_mut(id).expect("a host");
                host.refuses_connections |= host.leaving;
            }
        }
        7 => {
            world.depart(&id);
        }
        8 => world.change_leader(),
        12 => {
            world.change_leader();
            if rng.bool() {
                world.query_members();
                world.run_ms(rng.u64(20..100));
            }
            deliver_late_reports(world, rng);
        }
        13 => deliver_late_reports(world, rng),
        _ => {
            let domain = world.cluster.hosts().len() % 3;
            world.domains_out = [format!("d{domain}").into()].into();
        }
    }
    // Entries report groups whose head makes no progress.
    let stalled = world.serving().into_iter().filter(|name| {
        world.members_of(name).iter().any(|host| !world.cluster.hosts()[host].alive)
    });
    world.stalled = stalled.collect();
}

/// Delivers reports that were sent up to eight seconds ago.
fn deliver_late_reports(world: &mut World, rng: &mut Rng) {
    let age = Duration::from_millis(rng.u64(500..8000));
    if let Some(until) = world.now.checked_sub(age) {
        world.deliver_late_reports(until, rng.bool());
    }
}

fn end_faults(world: &mut World) {
    world.delayed_percent = 0;
    world.domains_out.clear();
    world.stalled.clear();
    let ids: Vec<HostId> = world.cluster.hosts().keys().cloned().collect();
    for id in ids {
        let host = world.cluster.host_mut(&id).expect("a host");
        host.reachable = true;
        host.busy = false;
        if !host.alive || host.leaving {
            world.cluster.restart(&id);
        }
    }
    world.report_all();
}
