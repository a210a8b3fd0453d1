//! Cost of a planner pass as the number of hosts grows.

mod world;

use engine::SimConfig;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use world::World;

/// The shortest of several passes after the groups have formed. Other load on the machine can
/// only lengthen a pass, so the minimum is the least disturbed sample.
fn shortest_pass(fabrics: usize) -> Duration {
    let mut world = World::new(&SimConfig { domains: 3, fabrics, hosts: 9 }, 1);
    world.run_ms(3000);
    world.cluster.has_traffic = true;
    let pass = |world: &mut World| {
        let began = Instant::now();
        world.plan();
        began.elapsed()
    };
    (0..40).map(|_| pass(&mut world)).min().unwrap_or_default()
}

#[gtest]
fn step_cost_grows_less_than_quadratically() {
    let (few, many) = (shortest_pass(8), shortest_pass(64));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    // For eight times the hosts, a quadratic pass would cost 64 times as much.
    expect_that!(growth, lt(32.0), "216 hosts: {few:?}, 1,728 hosts: {many:?}");
}
