//! The lifecycle of groups under single faults. Each of the faults once violated a guarantee.

mod world;

use engine::SimConfig;
use fleet::{GroupName, MemberState};
use googletest::prelude::*;
use groups::{HostStatus, HostUse};
use model::ids::{DomainId, FabricId, HostId, ModelId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use world::World;

/// A serving group with the given number of members.
fn group_of(world: &World, size: usize) -> GroupName {
    let serving = world.serving();
    serving.into_iter().find(|name| world.members_of(name).len() == size).expect("such a group")
}

/// The fabric domain of a group's head.
fn fabric_of(world: &World, name: &GroupName) -> FabricId {
    world.registry.hosts()[&world.members_of(name)[0]].report.fabric.clone()
}

fn stop_host(world: &mut World, host: &HostId) {
    world.cluster.host_mut(host).expect("a host").alive = false;
}

#[gtest]
fn step_first_start_forms_groups_of_both_models() {
    let world = World::formed(1);
    let groups = world.cluster.complete_groups();
    expect_that!(groups["large"], ge(6));
    expect_that!(groups["small"], ge(4));
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn step_failed_member_is_replaced_with_a_staged_spare() {
    let mut world = World::formed(2);
    let before = world.complete_groups();
    let name = group_of(&world, 4);
    let member = world.members_of(&name)[1].clone();
    stop_host(&mut world, &member);
    world.stalled.insert(name.clone());
    world.run_ms(5000);
    expect_that!(
        world.complete_groups(),
        ge(before),
        "as many groups as before within 5 s of a member's failure"
    );
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn step_failed_head_frees_its_members_without_waiting() {
    let mut world = World::formed(3);
    let before = world.complete_groups();
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    stop_host(&mut world, &head);
    world.stalled.insert(name.clone());
    world.run_ms(5000);
    expect_that!(world.complete_groups(), ge(before));
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn step_unreachable_head_members_leave_before_they_join_another_group() {
    let mut world = World::formed(4);
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    world.cluster.host_mut(&head).expect("a host").reachable = false;
    world.run_ms(8000);
    expect_that!(world.serving(), not(contains(eq(&name))));
    expect_that!(world.cluster.violations, is_empty());
    world.cluster.host_mut(&head).expect("a host").reachable = true;
    world.run_ms(8000);
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn step_unreachable_head_keeps_its_group_while_it_makes_progress() {
    let mut world = World::formed(5);
    let name = group_of(&world, 3);
    let head = world.members_of(&name)[0].clone();
    world.cluster.host_mut(&head).expect("a host").reachable = false;
    world.progressing.insert(name.clone());
    world.run_ms(8000);
    expect_that!(world.serving(), contains(eq(&name)));
}

#[gtest]
fn step_departed_head_closes_before_its_members_join_another_group() {
    let mut world = World::formed(6);
    let name = group_of(&world, 4);
    // The backend server continues to serve for seconds after it has said that it ends.
    let head = world.members_of(&name)[0].clone();
    world.depart(&head);
    world.run_ms(3000);
    expect_that!(world.serving(), not(contains(eq(&name))));
    expect_that!(world.cluster.violations, is_empty());
}

/// Guards against a refused connection that is taken for the end of a head that leaves.
#[gtest]
fn step_leaving_head_that_refuses_connections_keeps_its_members() {
    let mut world = World::formed(14);
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    let host = world.cluster.host_mut(&head).expect("a host");
    (host.busy, host.leaving) = (true, true);
    world.report_all();
    world.run_ms(1000);
    // It has stopped listening, and finishes its work.
    world.cluster.host_mut(&head).expect("a host").refuses_connections = true;
    world.run_ms(4000);
    expect_that!(world.cluster.violations, is_empty());
    expect_true!(world.cluster.hosts()[&head].serves());
    stop_host(&mut world, &head);
    world.run_ms(4000);
    expect_false!(world.records.contains_key(&name), "the group ends with its head");
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn step_departed_member_cuts_off_no_work() {
    let mut world = World::formed(13);
    let name = group_of(&world, 4);
    let members = world.members_of(&name);
    world.cluster.host_mut(&members[0]).expect("a host").busy = true;
    // The member says that it ends and stops reporting, but stays while the head has work.
    world.depart(&members[2]);
    world.cluster.host_mut(&members[2]).expect("a host").reachable = false;
    world.run_ms(8000);
    let head = &world.cluster.hosts()[&members[0]];
    expect_that!(head.cut_requests, eq(0));
    expect_true!(head.serves(), "the head finishes its work");
    world.cluster.host_mut(&members[0]).expect("a host").busy = false;
    world.run_ms(2000);
    expect_false!(world.records.contains_key(&name), "the group ends when its work is done");
}

#[gtest]
fn resume_new_leader_keeps_groups_whose_hosts_report_late() {
    let mut world = World::formed(7);
    let before = world.serving();
    world.change_leader();
    // After a third of a report interval most hosts have not reported yet.
    world.run_ms(400);
    expect_that!(world.cluster.violations, is_empty());
    world.run_ms(2600);
    expect_that!(world.serving(), eq(&before));
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn resume_leader_changes_while_groups_form_cause_no_violation() {
    let mut world = World::formed(8);
    let name = group_of(&world, 4);
    let member = world.members_of(&name)[2].clone();
    stop_host(&mut world, &member);
    world.stalled.insert(name);
    for _ in 0..12 {
        world.run_ms(180);
        world.change_leader();
    }
    world.run_ms(12_000);
    expect_that!(world.cluster.violations, is_empty());
    expect_that!(world.complete_groups(), ge(9));
}

#[gtest]
fn step_forms_no_group_in_a_domain_that_is_out() {
    let mut world = World::new(&SimConfig { domains: 2, fabrics: 1, hosts: 8 }, 9);
    world.domains_out.insert("d0".into());
    world.run_ms(6000);
    for name in world.serving() {
        let head = &world.members_of(&name)[0];
        let status = &world.registry.hosts()[head];
        expect_that!(&*status.report.domain, eq("d1"));
    }
}

#[gtest]
fn step_delayed_orders_cause_no_violation() {
    for seed in 0..8 {
        let mut world = World::formed(100 + seed);
        world.delayed_percent = 35;
        let name = group_of(&world, 4);
        let member = world.members_of(&name)[(seed % 4) as usize].clone();
        stop_host(&mut world, &member);
        world.stalled.insert(name);
        world.run_ms(30_000);
        expect_that!(world.cluster.violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn step_stages_the_model_of_the_fabric_domain_on_a_single_spare() {
    let mut world = World::new(&SimConfig { domains: 1, fabrics: 1, hosts: 9 }, 10);
    world.run_ms(8000);
    let groups = world.cluster.complete_groups();
    let spares: Vec<_> = world
        .registry
        .hosts()
        .values()
        .filter(|status| status.report.membership.is_none())
        .map(|status| status.report.staged.clone())
        .collect();
    expect_that!(spares, not(is_empty()));
    for staged in spares {
        expect_that!(staged, len(eq(1)));
        expect_true!(
            groups.contains_key(&staged[0]),
            "{staged:?} matches no group of the fabric domain"
        );
    }
}

#[gtest]
fn record_report_refuses_an_earlier_incarnation() {
    let mut world = World::formed(11);
    let id: HostId = "h000".into();
    let old = world.cluster.report(&id).expect("a reachable host");
    world.cluster.restart(&id);
    let new = world.cluster.report(&id).expect("a reachable host");
    expect_true!(world.registry.record_report(new, world.now));
    expect_false!(world.registry.record_report(old, world.now + Duration::from_secs(1)));
}

#[gtest]
fn record_report_with_the_address_of_another_host_replaces_it() {
    let mut world = World::formed(12);
    let mut other = world.cluster.report("h001").expect("a reachable host");
    let first = world.cluster.report("h000").expect("a reachable host");
    other.host = "newcomer".into();
    other.address = first.address;
    other.incarnation = first.incarnation + 1000;
    expect_true!(world.registry.record_report(other, world.now));
    expect_true!(world.registry.hosts()["h000"].replaced);
}

/// Stops a member of a group and the spare hosts of its fabric domain; returns the fabric
/// domain and the number of spares.
fn stop_with_spares(world: &mut World, name: &GroupName) -> (FabricId, usize) {
    let member = world.members_of(name)[1].clone();
    let fabric = world.registry.hosts()[&member].report.fabric.clone();
    let is_spare =
        |status: &&HostStatus| status.report.fabric == fabric && status.report.membership.is_none();
    let spares = world.registry.hosts().values().filter(is_spare);
    let spares: Vec<HostId> = spares.map(|status| status.report.host.clone()).collect();
    for host in spares.iter().chain([&member]) {
        stop_host(world, host);
    }
    world.stalled.insert(name.clone());
    (fabric, spares.len())
}

#[gtest]
fn step_stage_completes_a_group_before_it_begins_another() {
    let mut world = World::new(&SimConfig { domains: 1, fabrics: 3, hosts: 9 }, 14);
    world.run_ms(6000);
    world.cluster.has_traffic = true;
    // With one load at a time, all hosts wait for the weight store.
    world.cluster.engine.loads_at_once = 1;
    let before = world.complete_groups();
    let last =
        world.serving().into_iter().max_by_key(|name| fabric_of(&world, name)).expect("a group");
    let (fabric, _) = stop_with_spares(&mut world, &last);
    expect_that!(&*fabric, eq("d0f2"));
    world.run_ms(5000);
    // Adds enough new hosts for a group to the first fabric domain, and the single missing
    // host to the last one.
    world.cluster.add(0, 2);
    for _ in 0..4 {
        world.cluster.add(0, 0);
    }
    world.run_ms(20_000);
    expect_that!(
        world.complete_groups(),
        ge(before),
        "the group that lacked one host is complete again"
    );
}

#[gtest]
fn host_uses_classifies_each_host() {
    let mut world = World::formed(15);
    let name = group_of(&world, 4);
    let count_uses = |world: &World| {
        let uses = world.planner.host_uses(&world.registry, &world.domains_out, world.now);
        HostUse::ALL.map(|host_use| uses.values().filter(|other| **other == host_use).count())
    };
    let [serving, starting, _, _, partnerless, ..] = count_uses(&world);
    expect_that!(serving + starting + partnerless, eq(54));
    let (_, spares) = stop_with_spares(&mut world, &name);
    world.run_ms(5000);
    let after = count_uses(&world);
    expect_that!(after[0], eq(serving - 4));
    expect_that!(after[4], eq(partnerless + 3 - spares), "three survivors instead of spares");
    expect_that!(after[8], eq(1 + spares), "silent");
}

#[gtest]
fn step_each_fabric_domain_has_one_model() {
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
    // The loss of one failure domain leaves groups of each model.
    expect_that!(domains.values().map(BTreeSet::len).collect::<Vec<_>>(), each(ge(&2)));
    expect_that!(world.complete_groups(), ge(13));
}

#[gtest]
fn step_survivors_of_two_groups_form_one_without_a_load() {
    let mut world = World::formed(17);
    let first = group_of(&world, 4);
    let fabric = fabric_of(&world, &first);
    let pair: Vec<GroupName> =
        world.serving().into_iter().filter(|name| fabric_of(&world, name) == fabric).collect();
    let before = world.complete_groups();
    for name in &pair {
        let member = world.members_of(name)[1].clone();
        stop_host(&mut world, &member);
        world.stalled.insert(name.clone());
    }
    world.run_ms(6000);
    expect_that!(pair.len(), eq(2));
    expect_that!(
        world.complete_groups(),
        ge(before - 1),
        "seven hosts with weights of the same model remain"
    );
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn record_state_keeps_groups_serving_before_hosts_report() {
    let mut world = World::formed(18);
    let before = world.serving();
    world.change_leader();
    world.query_members();
    world.run_ms(60);
    expect_that!(world.serving(), eq(&before));
    expect_that!(world.cluster.violations, is_empty());
}

#[gtest]
fn record_state_does_not_replace_a_report() {
    let mut world = World::formed(19);
    let name = group_of(&world, 4);
    let member = world.records[&name].members[0].clone();
    let mut report = world.cluster.report(&member.host).expect("a reachable host");
    world.change_leader();
    report.leaving = true;
    report.sequence += 1;
    let now = world.now;
    expect_true!(world.registry.record_report(report, now));
    world.query_members();
    expect_true!(world.registry.hosts()[&member.host].report.leaving, "the report has priority");
}

#[gtest]
fn step_head_with_unconfirmed_open_blocks_its_members_until_it_closed() {
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
        stop_host(&mut world, &member);
        world.registry.suspect(&member);
    }
    // The survivors of both form a group. Its head opens, but neither its answer nor its reports
    // arrive.
    world.opens.clear();
    world.open_delay = Some(Duration::from_millis(20));
    for _ in 0..400 {
        world.step();
        if !world.opens.is_empty() {
            break;
        }
    }
    let head = world.opens.first().cloned().expect("an order to open");
    world.cluster.host_mut(&head).expect("a host").reachable = false;
    let members = world.records.values().find(|record| record.members[0].host == head);
    let lost = members.expect("its group").members[1].host.clone();
    world.run_ms(60);
    stop_host(&mut world, &lost);
    world.registry.suspect(&lost);
    world.open_delay = None;
    world.run_ms(10_000);
    expect_that!(world.cluster.violations, is_empty());
    expect_false!(world.records.values().any(|record| record.members[0].host == lost));
}

/// Guards against a group that a new leader keeps although its head has said that it ends.
#[gtest]
fn resume_group_of_a_departed_head() {
    let mut world = World::formed(21);
    let name = group_of(&world, 4);
    let head = world.members_of(&name)[0].clone();
    // It says so once, and continues to serve for seconds.
    world.depart(&head);
    world.change_leader();
    world.query_members();
    world.run_ms(3000);
    expect_that!(world.serving(), not(contains(eq(&name))));
    expect_that!(world.cluster.violations, is_empty());
}

/// Guards against a new leader that takes late reports for the state of hosts, and orders members of
/// an open group into another one.
#[gtest]
fn resume_late_reports_of_members_of_open_groups() {
    for latest_first in [false, true] {
        for is_queried_before in [false, true] {
            let mut world = World::new(&SimConfig { domains: 3, fabrics: 2, hosts: 9 }, 22);
            world.sent_reports = Some(Vec::new());
            world.report_all();
            let before_groups = world.now + Duration::from_millis(40);
            world.run_ms(6000);
            world.cluster.has_traffic = true;
            let before = world.serving();
            expect_that!(before, not(is_empty()));
            world.change_leader();
            if is_queried_before {
                world.query_members();
                world.run_ms(40);
            }
            world.deliver_late_reports(before_groups, latest_first);
            world.run_ms(40);
            world.query_members();
            world.run_ms(4000);
            expect_that!(world.cluster.violations, is_empty());
            expect_that!(world.serving(), eq(&before));
        }
    }
}

/// Guards against a late report, of a head that was not open yet, that passes for the close of its
/// group while it finishes its work.
#[gtest]
fn step_late_report_of_a_closing_head() {
    let mut world = World::formed(24);
    let name = group_of(&world, 4);
    let members = world.members_of(&name);
    let head = world.cluster.host_mut(&members[0]).expect("a host");
    head.busy = true;
    world.cluster.host_mut(&members[1]).expect("a host").leaving = true;
    world.report_all();
    world.run_ms(200);
    let mut report = world.registry.hosts()[&members[0]].report.clone();
    report.sequence += 1;
    let membership = report.membership.as_mut().expect("a group");
    expect_that!(membership.state, eq(MemberState::Closing));
    membership.state = MemberState::Ready;
    let now = world.now;
    expect_true!(world.registry.record_report(report, now));
    world.run_ms(600);
    expect_that!(world.cluster.violations, is_empty());
    expect_true!(world.records.contains_key(&name), "the head has not finished its work");
}
