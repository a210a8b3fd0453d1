//! The life of groups under single faults, each of which once broke a promise.

mod world;

use engine::FieldPlan;
use fleet::GroupName;
use googletest::prelude::*;
use groups::{HostStatus, HostUse};
use model::ids::{DomainId, FabricId, HostId, ModelId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use world::World;

/// A group with the given number of members that serves.
fn group_of(world: &World, size: usize) -> GroupName {
    let serving = world.serving();
    serving.into_iter().find(|name| world.members_of(name).len() == size).expect("such a group")
}

/// The fabric domain of a group's head.
fn fabric_of(world: &World, name: &GroupName) -> FabricId {
    world.registry.hosts()[&world.members_of(name)[0]].report.fabric.clone()
}

fn kill(world: &mut World, host: &HostId) {
    world.field.host_mut(host).expect("a host").alive = false;
}

#[gtest]
fn step_first_start_forms_groups_of_both_models() {
    let world = World::formed(1);
    let whole = world.field.whole_groups();
    expect_that!(whole["large"], ge(6));
    expect_that!(whole["small"], ge(4));
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn step_member_dies_repairs_with_a_staged_spare() {
    let mut world = World::formed(2);
    let before = world.whole();
    let name = group_of(&world, 4);
    let member = world.members_of(&name)[1].clone();
    kill(&mut world, &member);
    world.stalled.insert(name.clone());
    world.run_ms(5000);
    expect_that!(world.whole(), ge(before), "no group less within 5 s of a member's death");
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn step_head_dies_frees_its_members_without_waiting() {
    let mut world = World::formed(3);
    let before = world.whole();
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    kill(&mut world, &head);
    world.stalled.insert(name.clone());
    world.run_ms(5000);
    expect_that!(world.whole(), ge(before));
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn step_head_out_of_touch_members_leave_first() {
    let mut world = World::formed(4);
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    world.field.host_mut(&head).expect("a host").reachable = false;
    world.run_ms(8000);
    expect_that!(world.serving(), not(contains(eq(&name))));
    expect_that!(world.field.breaches, is_empty());
    world.field.host_mut(&head).expect("a host").reachable = true;
    world.run_ms(8000);
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn step_head_out_of_touch_goes_on_while_entries_see_it_work() {
    let mut world = World::formed(5);
    let name = group_of(&world, 3);
    let head = world.members_of(&name)[0].clone();
    world.field.host_mut(&head).expect("a host").reachable = false;
    world.alive.insert(name.clone());
    world.run_ms(8000);
    expect_that!(world.serving(), contains(eq(&name)));
}

#[gtest]
fn step_host_that_leaves_first_stays_until_its_head_closed() {
    let mut world = World::formed(6);
    let name = group_of(&world, 4);
    // The backend server serves on for seconds after it said that it ends.
    let head = world.members_of(&name)[0].clone();
    world.registry.mark_departed(&head);
    world.run_ms(3000);
    expect_that!(world.serving(), not(contains(eq(&name))));
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn step_member_that_leaves_cuts_off_no_work() {
    let mut world = World::formed(13);
    let name = group_of(&world, 4);
    let members = world.members_of(&name);
    world.field.host_mut(&members[0]).expect("a host").busy = true;
    // It says that it ends, is heard no more, and stays while the head has work.
    world.registry.mark_departed(&members[2]);
    world.field.host_mut(&members[2]).expect("a host").reachable = false;
    world.run_ms(8000);
    let head = &world.field.hosts()[&members[0]];
    expect_that!(head.cuts, eq(0));
    expect_true!(head.serves(), "it finishes its work");
    world.field.host_mut(&members[0]).expect("a host").busy = false;
    world.run_ms(2000);
    expect_false!(world.records.contains_key(&name), "the group ends with its work");
}

#[gtest]
fn resume_new_leader_keeps_groups_whose_hosts_report_late() {
    let mut world = World::formed(7);
    let before = world.serving();
    world.change_leader();
    // A third of a report interval: most hosts have not reported yet.
    world.run_ms(400);
    expect_that!(world.field.breaches, is_empty());
    world.run_ms(2600);
    expect_that!(world.serving(), eq(&before));
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn resume_new_leader_in_the_middle_of_forming_breaks_nothing() {
    let mut world = World::formed(8);
    let name = group_of(&world, 4);
    let member = world.members_of(&name)[2].clone();
    kill(&mut world, &member);
    world.stalled.insert(name);
    for _ in 0..12 {
        world.run_ms(180);
        world.change_leader();
    }
    world.run_ms(12_000);
    expect_that!(world.field.breaches, is_empty());
    expect_that!(world.whole(), ge(9));
}

#[gtest]
fn step_domain_out_forms_nothing_there() {
    let mut world = World::new(&FieldPlan { domains: 2, fabrics: 1, hosts: 8 }, 9);
    world.domains_out.insert("d0".into());
    world.run_ms(6000);
    for name in world.serving() {
        let head = &world.members_of(&name)[0];
        let seen = &world.registry.hosts()[head];
        expect_that!(&*seen.report.domain, eq("d1"));
    }
}

#[gtest]
fn step_orders_answered_late_break_nothing() {
    for seed in 0..8 {
        let mut world = World::formed(100 + seed);
        world.late_percent = 35;
        let name = group_of(&world, 4);
        let member = world.members_of(&name)[(seed % 4) as usize].clone();
        kill(&mut world, &member);
        world.stalled.insert(name);
        world.run_ms(30_000);
        expect_that!(world.field.breaches, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn step_stage_gives_a_lone_spare_the_model_of_its_neighbours() {
    let mut world = World::new(&FieldPlan { domains: 1, fabrics: 1, hosts: 9 }, 10);
    world.run_ms(8000);
    let groups = world.field.whole_groups();
    let spares: Vec<_> = world
        .registry
        .hosts()
        .values()
        .filter(|seen| seen.report.membership.is_none())
        .map(|seen| seen.report.staged.clone())
        .collect();
    expect_that!(spares, not(is_empty()));
    for staged in spares {
        expect_that!(staged, len(eq(1)));
        expect_true!(groups.contains_key(&staged[0]), "{staged:?} is spare for no group");
    }
}

#[gtest]
fn take_report_of_an_earlier_life_is_refused() {
    let mut world = World::formed(11);
    let id: HostId = "h000".into();
    let old = world.field.report(&id).expect("it is reachable");
    world.field.restart(&id);
    let new = world.field.report(&id).expect("it is reachable");
    expect_true!(world.registry.record_report(new, world.now));
    expect_false!(world.registry.record_report(old, world.now + Duration::from_secs(1)));
}

#[gtest]
fn take_address_used_again_ends_the_earlier_host() {
    let mut world = World::formed(12);
    let mut other = world.field.report("h001").expect("it is reachable");
    let first = world.field.report("h000").expect("it is reachable");
    other.host = "newcomer".into();
    other.address = first.address;
    other.born = first.born + 1000;
    expect_true!(world.registry.record_report(other, world.now));
    expect_true!(world.registry.hosts()["h000"].replaced);
}

/// Kills a member of a group, and the spare hosts of its fabric domain; returns that domain
/// and the number of spares.
fn kill_with_spares(world: &mut World, name: &GroupName) -> (FabricId, usize) {
    let member = world.members_of(name)[1].clone();
    let fabric = world.registry.hosts()[&member].report.fabric.clone();
    let lone =
        |seen: &&HostStatus| seen.report.fabric == fabric && seen.report.membership.is_none();
    let spares = world.registry.hosts().values().filter(lone);
    let spares: Vec<HostId> = spares.map(|seen| seen.report.host.clone()).collect();
    for host in spares.iter().chain([&member]) {
        kill(world, host);
    }
    world.stalled.insert(name.clone());
    (fabric, spares.len())
}

#[gtest]
fn step_stage_completes_a_group_before_it_begins_another() {
    let mut world = World::new(&FieldPlan { domains: 1, fabrics: 3, hosts: 9 }, 14);
    world.run_ms(6000);
    world.field.traffic = true;
    // One load at a time: the store is what everybody waits for.
    world.field.engine.loads_at_once = 1;
    let before = world.whole();
    let last =
        world.serving().into_iter().max_by_key(|name| fabric_of(&world, name)).expect("a group");
    let (fabric, _) = kill_with_spares(&mut world, &last);
    expect_that!(&*fabric, eq("d0f2"));
    world.run_ms(5000);
    // New hosts: a whole group's worth in the first domain, the one that lacks in the last.
    world.field.add(0, 2);
    for _ in 0..4 {
        world.field.add(0, 0);
    }
    world.run_ms(20_000);
    expect_that!(world.whole(), ge(before), "the group that lacked one host is whole again");
}

#[gtest]
fn host_uses_names_what_each_host_waits_for() {
    let mut world = World::formed(15);
    let name = group_of(&world, 4);
    let uses = |world: &World| {
        let uses = world.planner.host_uses(&world.registry, &world.domains_out, world.now);
        HostUse::ALL.map(|what| uses.values().filter(|other| **other == what).count())
    };
    let [serving, starting, _, _, partnerless, ..] = uses(&world);
    expect_that!(serving + starting + partnerless, eq(54));
    let (_, spares) = kill_with_spares(&mut world, &name);
    world.run_ms(5000);
    let after = uses(&world);
    expect_that!(after[0], eq(serving - 4));
    expect_that!(after[4], eq(partnerless + 3 - spares), "three survivors instead of spares");
    expect_that!(after[8], eq(1 + spares), "silent");
}

#[gtest]
fn step_fabric_domains_keep_to_one_model_each() {
    let world = World::formed(16);
    let hosts = world.registry.hosts();
    let mut models: BTreeMap<FabricId, BTreeSet<ModelId>> = BTreeMap::new();
    let mut domains: BTreeMap<ModelId, BTreeSet<DomainId>> = BTreeMap::new();
    for record in world.records.values() {
        let head = &hosts[&record.members[0].host].report;
        models.entry(head.fabric.clone()).or_default().insert(record.model.clone());
        domains.entry(record.model.clone()).or_default().insert(head.domain.clone());
    }
    expect_that!(models.len(), eq(6));
    expect_that!(models.values().map(BTreeSet::len).collect::<Vec<_>>(), each(eq(&1)));
    // No loss of one failure domain takes a whole model away.
    expect_that!(domains.values().map(BTreeSet::len).collect::<Vec<_>>(), each(ge(&2)));
    expect_that!(world.whole(), ge(13));
}

#[gtest]
fn step_survivors_of_two_groups_make_one_without_a_load() {
    let mut world = World::formed(17);
    let first = group_of(&world, 4);
    let fabric = fabric_of(&world, &first);
    let pair: Vec<GroupName> =
        world.serving().into_iter().filter(|name| fabric_of(&world, name) == fabric).collect();
    let before = world.whole();
    for name in &pair {
        let member = world.members_of(name)[1].clone();
        kill(&mut world, &member);
        world.stalled.insert(name.clone());
    }
    world.run_ms(6000);
    expect_that!(pair.len(), eq(2));
    expect_that!(world.whole(), ge(before - 1), "seven hosts are left, of one model");
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn take_state_lets_a_new_leader_go_on_before_hosts_report() {
    let mut world = World::formed(18);
    let before = world.serving();
    world.change_leader();
    world.ask_members();
    world.run_ms(60);
    expect_that!(world.serving(), eq(&before));
    expect_that!(world.field.breaches, is_empty());
}

#[gtest]
fn take_state_yields_to_a_report() {
    let mut world = World::formed(19);
    let name = group_of(&world, 4);
    let member = world.records[&name].members[0].clone();
    let mut report = world.field.report(&member.host).expect("it is reachable");
    world.change_leader();
    report.leaving = true;
    report.sequence += 1;
    let now = world.now;
    expect_true!(world.registry.record_report(report, now));
    world.ask_members();
    expect_true!(world.registry.hosts()[&member.host].report.leaving, "its own report says more");
}

#[gtest]
fn step_head_that_opened_unheard_blocks_its_members_until_it_closed() {
    let mut world = World::formed(20);
    let first = group_of(&world, 3);
    let fabric = fabric_of(&world, &first);
    let broken: Vec<GroupName> = world
        .serving()
        .into_iter()
        .filter(|name| fabric_of(&world, name) == fabric)
        .take(2)
        .collect();
    for name in &broken {
        let member = world.members_of(name)[1].clone();
        kill(&mut world, &member);
        world.registry.suspect(&member);
    }
    // What is left of both forms a group; its head opens, and is not heard.
    world.opens.clear();
    world.late_open = Some(Duration::from_millis(20));
    for _ in 0..400 {
        world.step();
        if !world.opens.is_empty() {
            break;
        }
    }
    let head = world.opens.first().cloned().expect("an order to open");
    world.field.host_mut(&head).expect("a host").reachable = false;
    let members = world.records.values().find(|record| record.members[0].host == head);
    let lost = members.expect("its group").members[1].host.clone();
    world.run_ms(60);
    kill(&mut world, &lost);
    world.registry.suspect(&lost);
    world.late_open = None;
    world.run_ms(10_000);
    expect_that!(world.field.breaches, is_empty());
    expect_false!(world.records.values().any(|record| record.members[0].host == lost));
}
