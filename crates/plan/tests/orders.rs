//! Orders to hosts that ignore fences, and the condition of members.

use base::limits::{ANNOUNCE_LEASE, ENTRY_LEASE, ORDER_LIMIT};
use googletest::prelude::*;
use model::{
    announce::{Announcement, Offer, RunPhase, Runs},
    manifest::{Manifest, Model},
    order::Member,
    verdict::Verdict,
    view::{EntryStanding, ViewVersion},
};
use plan::{
    EntryReport, MemberCondition, Observations, OrderOutcome, OrderTracker, Planner, PlannerInput,
    Policy, build_view, member_condition,
};
use state::{Command, Placement, State};
use std::time::{Duration, Instant};

fn announcement(host: &str, runs: Option<Runs>, sequence: u64) -> Announcement {
    Announcement {
        host: host.into(),
        incarnation: 1,
        sequence,
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "d".into(),
        fabric_domain: "f".into(),
        offer: Offer::Accelerators(8),
        runs,
        running: 0,
        leaving: false,
        checks_fence: false,
    }
}

fn ready(group: u64, fence: u64) -> Option<Runs> {
    Some(Runs { group, fence, model: "m".into(), phase: RunPhase::Ready, cold: false })
}

fn form(hosts: &[&str]) -> Command {
    let placement = |host: &&str| Placement {
        member: Member { host: (*host).into(), address: "127.0.0.1:1".parse().expect("address") },
        incarnation: 1,
        checks_fence: false,
    };
    Command::FormGroup {
        model: "m".into(),
        domain: "d".into(),
        fabric: "f".into(),
        load_size: 1,
        placements: hosts.iter().map(placement).collect(),
    }
}

fn manifest(hosts_per_replica: u32) -> Manifest {
    let model = Model { name: "m".into(), hosts_per_replica, ..Model::default() };
    Manifest { failure_domains: vec!["d".into()], models: vec![model], ..Manifest::default() }
}

struct Fixture {
    start: Instant,
    state: State,
    seen: Observations,
    desk: OrderTracker,
    sequence: u64,
}

impl Fixture {
    fn new(hosts: &[&str]) -> Fixture {
        let mut state = State::default();
        state.apply(1, form(hosts));
        Fixture {
            start: Instant::now(),
            state,
            seen: Observations::default(),
            desk: OrderTracker::default(),
            sequence: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn see(&mut self, host: &str, runs: Option<Runs>, ms: u64) {
        self.sequence += 1;
        let seen = vec![announcement(host, runs, self.sequence)];
        self.report(seen, Vec::new(), ms);
    }

    fn lose(&mut self, host: &str, ms: u64) {
        self.report(Vec::new(), vec![host.into()], ms);
    }

    fn report(&mut self, seen: Vec<Announcement>, lost: Vec<Box<str>>, ms: u64) {
        let report = EntryReport {
            announcements: seen,
            lost,
            manifest: 1,
            active: true,
            ..EntryReport::default()
        };
        let address = "127.0.0.1:2".parse().expect("an address");
        let now = self.at(ms);
        self.seen.report(&"e".into(), address, report, now);
    }

    fn due(&mut self, own_from: u64, ms: u64) -> usize {
        let now = self.at(ms);
        self.desk.due(&self.state, &self.seen, own_from, now).len()
    }

    fn plan(&mut self, ms: u64) -> Vec<Command> {
        let manifest = manifest(1);
        let now = self.at(ms);
        let situation = PlannerInput {
            state: &self.state,
            manifest: &manifest,
            observations: &self.seen,
            now,
            wall_s: 0,
        };
        Planner::new(Policy::BestFit).plan(&situation, &self.desk)
    }

    fn condition(&self, ms: u64) -> MemberCondition {
        let group = &self.state.groups[&1];
        let member = &group.members[0];
        member_condition(&self.state, &self.seen, 1, group, member, self.at(ms))
    }
}

fn settles(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::SettleOrder { .. }))
}

#[googletest::test]
fn due_host_that_ignores_fences_once() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", None, 0);
    expect_that!(fixture.due(1, 0), eq(1));
    expect_that!(fixture.due(1, 3000), eq(0));
    // Only a sending that certainly did not arrive is repeated.
    let outcome = OrderOutcome { host: "a".into(), fence: 1, verdict: Verdict::NotRun };
    fixture.desk.record_outcome(&outcome);
    expect_that!(fixture.due(1, 3100), eq(1));
}

#[googletest::test]
fn due_order_of_an_earlier_leader() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", None, 0);
    expect_that!(fixture.due(2, 0), eq(0));
}

#[googletest::test]
fn plan_settles_after_presence_without_outcome() {
    let limit = ORDER_LIMIT.as_millis() as u64;
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", None, 0);
    fixture.due(1, 0);
    fixture.due(1, limit);
    expect_that!(settles(&fixture.plan(limit)), eq(false));
    expect_that!(settles(&fixture.plan(limit + 1)), eq(true));
}

#[googletest::test]
fn plan_settles_not_while_host_was_paused() {
    let limit = ORDER_LIMIT.as_millis() as u64;
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", None, 0);
    fixture.due(1, 0);
    fixture.lose("a", 1500);
    fixture.due(1, 1500);
    // It is back after the limit; the order may still wait in its socket.
    let back = limit + 1000;
    fixture.due(1, back - 10);
    fixture.see("a", None, back);
    fixture.due(1, back);
    expect_that!(settles(&fixture.plan(back)), eq(false));
    expect_that!(settles(&fixture.plan(back + limit - 100)), eq(false));
    expect_that!(settles(&fixture.plan(back + limit + 100)), eq(true));
}

#[googletest::test]
fn plan_settles_on_new_incarnation() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", None, 0);
    fixture.due(1, 0);
    let reborn = Announcement { incarnation: 2, ..announcement("a", None, 1) };
    fixture.report(vec![reborn], Vec::new(), 100);
    expect_that!(settles(&fixture.plan(100)), eq(true));
}

#[googletest::test]
fn member_condition_of_each_announcement() {
    let mut fixture = Fixture::new(&["a"]);
    expect_that!(fixture.condition(0), eq(MemberCondition::Lost));
    fixture.see("a", None, 0);
    expect_that!(fixture.condition(0), eq(MemberCondition::Ordered));
    fixture.see("a", ready(1, 1), 10);
    expect_that!(fixture.condition(10), eq(MemberCondition::Ready));
    // An echo of another fence or group is not this group's member.
    fixture.state.apply(2, Command::SettleOrder { host: "a".into(), fence: 1 });
    fixture.see("a", ready(1, 9), 20);
    expect_that!(fixture.condition(20), eq(MemberCondition::OutOfSync));
    fixture.see("a", ready(7, 1), 30);
    expect_that!(fixture.condition(30), eq(MemberCondition::OutOfSync));
    fixture.lose("a", 40);
    expect_that!(fixture.condition(50), eq(MemberCondition::Silent));
    expect_that!(fixture.condition(1040), eq(MemberCondition::Lost));
}

#[googletest::test]
fn build_view_only_whole_groups() {
    let mut fixture = Fixture::new(&["a", "b"]);
    fixture.see("a", ready(1, 1), 0);
    let view = |fixture: &Fixture| {
        build_view(&fixture.state, &manifest(2), &fixture.seen, fixture.at(100), 0)
    };
    expect_that!(view(&fixture).groups, is_empty());
    fixture.see("b", ready(1, 1), 10);
    expect_that!(view(&fixture).groups.len(), eq(1));
    fixture.lose("b", 20);
    expect_that!(view(&fixture).groups, is_empty());
}

#[googletest::test]
fn build_view_domain_out() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", ready(1, 1), 0);
    fixture.state.apply(2, Command::DomainOut { domain: "d".into(), stop_at_s: 100 });
    let groups_at = |wall_s| {
        let view = build_view(&fixture.state, &manifest(1), &fixture.seen, fixture.at(1), wall_s);
        view.groups.len()
    };
    expect_that!(groups_at(99), eq(1));
    expect_that!(groups_at(100), eq(0));
}

#[googletest::test]
fn expire_silent_entry_loses_its_hosts() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.see("a", ready(1, 1), 0);
    let late = ENTRY_LEASE.as_millis() as u64 + 1;
    let now = fixture.at(late);
    fixture.seen.expire(now);
    expect_that!(fixture.seen.fresh("a"), none());
    // A host that announces to another entry meanwhile stays.
    expect_that!(ENTRY_LEASE, gt(ANNOUNCE_LEASE));
}

fn entry_report(active: bool, view: u64) -> EntryReport {
    EntryReport {
        manifest: 1,
        active,
        settled: ViewVersion { term: 1, number: view },
        ..EntryReport::default()
    }
}

#[googletest::test]
fn promote_waits_for_room() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let address = "127.0.0.1:2".parse().expect("an address");
    let mut seen = Observations::default();
    let standing = |seen: &Observations, ms| seen.standing(&seen.entries()["new"], at(ms));
    let view = |number| ViewVersion { term: 1, number };
    seen.report(&"old".into(), address, entry_report(true, 4), at(0));
    seen.report(&"new".into(), address, entry_report(false, 4), at(0));
    // The view that names the new entry is the fifth.
    seen.promote(view(4), &|entry| **entry == *"old", at(10));
    seen.promote(view(5), &|_| true, at(20));
    // The other entry still runs requests beyond what is left for it.
    for ms in (500..5000).step_by(500) {
        seen.report(&"old".into(), address, entry_report(true, 4), at(ms));
        seen.report(&"new".into(), address, entry_report(false, 5), at(ms));
        seen.promote(view(5), &|_| true, at(ms));
        expect_that!(standing(&seen, ms), eq(EntryStanding::Joining));
    }
    seen.report(&"old".into(), address, entry_report(true, 5), at(5000));
    seen.promote(view(5), &|_| true, at(5000));
    expect_that!(standing(&seen, 5000), eq(EntryStanding::Active));
}

#[googletest::test]
fn report_active_under_an_earlier_leader() {
    let address = "127.0.0.1:2".parse().expect("an address");
    let mut seen = Observations::default();
    let now = Instant::now();
    seen.report(&"e".into(), address, entry_report(true, 9), now);
    expect_that!(seen.standing(&seen.entries()["e"], now), eq(EntryStanding::Active));
}
