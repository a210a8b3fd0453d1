//! What a pass of the planner costs as fields grow.

mod world;

use engine::FieldPlan;
use googletest::prelude::*;
use std::time::{Duration, Instant};
use world::World;

/// The shortest of some passes over a field that has formed its groups: other work on the
/// machine makes a pass longer, never shorter.
fn shortest_pass(fabrics: usize) -> Duration {
    let mut world = World::new(&FieldPlan { domains: 3, fabrics, hosts: 9 }, 1);
    world.run_ms(3000);
    world.field.traffic = true;
    let pass = |world: &mut World| {
        let began = Instant::now();
        world.plan();
        began.elapsed()
    };
    (0..40).map(|_| pass(&mut world)).min().unwrap_or_default()
}

#[gtest]
fn step_cost_grows_about_as_hosts_do() {
    let (few, many) = (shortest_pass(8), shortest_pass(64));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    // Eight times the hosts; the square would be 64 times the cost.
    expect_that!(growth, lt(32.0), "216 hosts: {few:?}, 1,728 hosts: {many:?}");
}
