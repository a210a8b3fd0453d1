//! Randomised simulations of a replicated log under message loss, delay, duplication and
//! reordering, process pauses, network partitions, restarts that lose unsynced writes, and
//! disk loss.
//!
//! `KINGCUP_CASES=N` overrides the number of cases per test.

mod world;

use googletest::prelude::*;
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use std::env;
use world::{Fault, Plan, World};

const DEFAULT_CASES: u32 = 48;
const SEED: [u8; 32] = *b"kingcuparch replog random runs 1";

fn cases() -> u32 {
    env::var("KINGCUP_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_CASES)
}

fn faults(nodes: usize) -> impl Strategy<Value = Vec<Fault>> {
    let at_ms = 0..20_000_u64;
    let duration_ms = 50..4_000_u64;
    let node = 0..nodes;
    let fault = prop_oneof![
        (at_ms.clone(), node.clone(), duration_ms.clone())
            .prop_map(|(at_ms, node, duration_ms)| Fault::Crash { at_ms, node, duration_ms }),
        (at_ms.clone(), node.clone(), duration_ms.clone())
            .prop_map(|(at_ms, node, duration_ms)| Fault::Pause { at_ms, node, duration_ms }),
        (at_ms.clone(), node.clone(), duration_ms.clone())
            .prop_map(|(at_ms, node, duration_ms)| Fault::Isolate { at_ms, node, duration_ms }),
        (at_ms.clone(), node.clone(), node.clone(), duration_ms).prop_map(
            |(at_ms, from, to, duration_ms)| Fault::CutOneWay { at_ms, from, to, duration_ms }
        ),
        (at_ms, node).prop_map(|(at_ms, node)| Fault::LoseDisk { at_ms, node }),
    ];
    vec(fault, 0..60)
}

fn run_cases(voters: usize, nodes: usize) -> (u32, u64) {
    let config = Config { cases: cases(), failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = std::cell::Cell::new(0);
    let proposals = prop_oneof![Just(2_u32), Just(100)];
    let strategy = (any::<u64>(), 0..30_u32, proposals, faults(nodes));
    let outcome = runner.run(&strategy, |(seed, loss_percent, proposals_per_mille, faults)| {
        let plan = Plan { voters, nodes, seed, loss_percent, proposals_per_mille, faults };
        steps.set(steps.get() + World::run(plan));
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
    (cases(), steps.get())
}

#[googletest::test]
fn log_three_voters_random_faults() {
    let (cases, steps) = run_cases(3, 4);
    println!("3 voters: {cases} cases, {steps} steps");
    expect_that!(steps, gt(0));
}

#[googletest::test]
fn log_five_voters_random_faults() {
    let (cases, steps) = run_cases(5, 6);
    println!("5 voters: {cases} cases, {steps} steps");
    expect_that!(steps, gt(0));
}

/// Guards against a log whose voters tolerate fewer lost disks than the deployment.
#[googletest::test]
fn log_lost_with_two_disks() {
    for wiped in [[0, 1], [0, 2], [1, 2], [2, 3], [4, 5]] {
        World::run(Plan {
            voters: 3,
            nodes: 6,
            seed: 1,
            loss_percent: 0,
            proposals_per_mille: 100,
            faults: vec![Fault::LosePower {
                at_ms: 10_000,
                wiped: wiped.to_vec(),
                duration_ms: 1200,
            }],
        });
    }
}
