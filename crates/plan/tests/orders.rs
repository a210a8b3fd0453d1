//! Orders, the condition of members, the view, and the activation of entries.

use base::limits::{ANNOUNCE_LEASE, ENTRY_LEASE, ORDER_OUTCOME_TIMEOUT};
use googletest::prelude::*;
use model::{
    announce::{Announcement, LoadPhase, Membership, Offer},
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

fn announcement(host: &str, runs: Option<Membership>, sequence: u64) -> Announcement {
    Announcement {
        host: host.into(),
        incarnation: 1,
        sequence,
        address: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "d".into(),
        fabric_domain: "f".into(),
        offer: Offer::Accelerators(8),
        membership: runs,
        running: 0,
        leaving: false,
        checks_fence: false,
    }
}

fn ready(group: u64, fence: u64) -> Option<Membership> {
    Some(Membership { group, fence, model: "m".into(), phase: LoadPhase::Ready, cold: false })
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
    observations: Observations,
    tracker: OrderTracker,
    sequence: u64,
}

impl Fixture {
    fn new(hosts: &[&str]) -> Fixture {
        let mut state = State::default();
        state.apply(1, form(hosts));
        Fixture {
            start: Instant::now(),
            state,
            observations: Observations::default(),
            tracker: OrderTracker::default(),
            sequence: 0,
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn announce(&mut self, host: &str, runs: Option<Membership>, ms: u64) {
        self.sequence += 1;
        let announcements = vec![announcement(host, runs, self.sequence)];
        self.report(announcements, Vec::new(), ms);
    }

    fn lose(&mut self, host: &str, ms: u64) {
        self.report(Vec::new(), vec![host.into()], ms);
    }

    fn report(&mut self, announcements: Vec<Announcement>, lost: Vec<Box<str>>, ms: u64) {
        let report = EntryReport {
            announcements,
            lost,
            manifest: 1,
            active: true,
            ..EntryReport::default()
        };
        let address = "127.0.0.1:2".parse().expect("an address");
        let now = self.at(ms);
        self.observations.report(&"e".into(), address, report, now);
    }

    fn due(&mut self, own_from: u64, ms: u64) -> usize {
        let now = self.at(ms);
        self.tracker.due(&self.state, &self.observations, own_from, now).len()
    }

    fn plan(&mut self, ms: u64) -> Vec<Command> {
        let manifest = manifest(1);
        let now = self.at(ms);
        let input = PlannerInput {
            state: &self.state,
            manifest: &manifest,
            observations: &self.observations,
            now,
            wall_s: 0,
        };
        Planner::new(Policy::BestFit).plan(&input, &self.tracker)
    }

    fn condition(&self, ms: u64) -> MemberCondition {
        let group = &self.state.groups[&1];
        let member = &group.members[0];
        member_condition(&self.state, &self.observations, 1, group, member, self.at(ms))
    }
}

fn settles(commands: &[Command]) -> bool {
    commands.iter().any(|command| matches!(command, Command::SettleOrder { .. }))
}

#[googletest::test]
fn due_host_that_ignores_fences_once() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", None, 0);
    expect_that!(fixture.due(1, 0), eq(1));
    expect_that!(fixture.due(1, 3000), eq(0));
    // The order is sent again only if the first attempt has certainly not been executed.
    let outcome = OrderOutcome { host: "a".into(), fence: 1, verdict: Verdict::NotRun };
    fixture.tracker.record_outcome(&outcome);
    expect_that!(fixture.due(1, 3100), eq(1));
}

#[googletest::test]
fn due_order_of_an_earlier_leader() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", None, 0);
    expect_that!(fixture.due(2, 0), eq(0));
}

#[googletest::test]
fn plan_settles_after_presence_without_outcome() {
    let limit = ORDER_OUTCOME_TIMEOUT.as_millis() as u64;
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", None, 0);
    fixture.due(1, 0);
    fixture.due(1, limit);
    expect_that!(settles(&fixture.plan(limit)), eq(false));
    expect_that!(settles(&fixture.plan(limit + 1)), eq(true));
}

#[googletest::test]
fn plan_does_not_settle_while_host_was_paused() {
    let limit = ORDER_OUTCOME_TIMEOUT.as_millis() as u64;
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", None, 0);
    fixture.due(1, 0);
    fixture.lose("a", 1500);
    fixture.due(1, 1500);
    // The host resumes after the limit, and the order may still wait in its socket.
    let back = limit + 1000;
    fixture.due(1, back - 10);
    fixture.announce("a", None, back);
    fixture.due(1, back);
    expect_that!(settles(&fixture.plan(back)), eq(false));
    expect_that!(settles(&fixture.plan(back + limit - 100)), eq(false));
    expect_that!(settles(&fixture.plan(back + limit + 100)), eq(true));
}

#[googletest::test]
fn plan_settles_on_new_incarnation() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", None, 0);
    fixture.due(1, 0);
    let restarted = Announcement { incarnation: 2, ..announcement("a", None, 1) };
    fixture.report(vec![restarted], Vec::new(), 100);
    expect_that!(settles(&fixture.plan(100)), eq(true));
}

#[googletest::test]
fn member_condition_of_each_announcement() {
    let mut fixture = Fixture::new(&["a"]);
    expect_that!(fixture.condition(0), eq(MemberCondition::Lost));
    fixture.announce("a", None, 0);
    expect_that!(fixture.condition(0), eq(MemberCondition::Ordered));
    fixture.announce("a", ready(1, 1), 10);
    expect_that!(fixture.condition(10), eq(MemberCondition::Ready));
    // A host that announces another fence or group is not a member of this group.
    fixture.state.apply(2, Command::SettleOrder { host: "a".into(), fence: 1 });
    fixture.announce("a", ready(1, 9), 20);
    expect_that!(fixture.condition(20), eq(MemberCondition::OutOfSync));
    fixture.announce("a", ready(7, 1), 30);
    expect_that!(fixture.condition(30), eq(MemberCondition::OutOfSync));
    fixture.lose("a", 40);
    expect_that!(fixture.condition(50), eq(MemberCondition::Silent));
    expect_that!(fixture.condition(1040), eq(MemberCondition::Lost));
}

#[googletest::test]
fn build_view_only_complete_groups() {
    let mut fixture = Fixture::new(&["a", "b"]);
    fixture.announce("a", ready(1, 1), 0);
    let view = |fixture: &Fixture| {
        build_view(&fixture.state, &manifest(2), &fixture.observations, fixture.at(100), 0)
    };
    expect_that!(view(&fixture).groups, is_empty());
    fixture.announce("b", ready(1, 1), 10);
    expect_that!(view(&fixture).groups.len(), eq(1));
    fixture.lose("b", 20);
    expect_that!(view(&fixture).groups, is_empty());
}

#[googletest::test]
fn build_view_domain_out() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", ready(1, 1), 0);
    fixture.state.apply(2, Command::DomainOut { domain: "d".into(), stop_at_s: 100 });
    let groups_at = |wall_s| {
        let view =
            build_view(&fixture.state, &manifest(1), &fixture.observations, fixture.at(1), wall_s);
        view.groups.len()
    };
    expect_that!(groups_at(99), eq(1));
    expect_that!(groups_at(100), eq(0));
}

#[googletest::test]
fn expire_silent_entry_loses_its_hosts() {
    let mut fixture = Fixture::new(&["a"]);
    fixture.announce("a", ready(1, 1), 0);
    let late = ENTRY_LEASE.as_millis() as u64 + 1;
    let now = fixture.at(late);
    fixture.observations.expire(now);
    expect_that!(fixture.observations.fresh("a"), none());
    // A host has time to announce itself to another entry before the lease of this one ends.
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
fn promote_waits_until_active_entries_settle() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let address = "127.0.0.1:2".parse().expect("an address");
    let mut observations = Observations::default();
    let standing = |observations: &Observations, ms| {
        observations.standing(&observations.entries()["new"], at(ms))
    };
    let view = |number| ViewVersion { term: 1, number };
    observations.report(&"old".into(), address, entry_report(true, 4), at(0));
    observations.report(&"new".into(), address, entry_report(false, 4), at(0));
    // View 5 is the first that names the new entry.
    observations.promote(view(4), &|entry| **entry == *"old", at(10));
    observations.promote(view(5), &|_| true, at(20));
    // The other entry still runs more requests than its reduced share allows.
    for ms in (500..5000).step_by(500) {
        observations.report(&"old".into(), address, entry_report(true, 4), at(ms));
        observations.report(&"new".into(), address, entry_report(false, 5), at(ms));
        observations.promote(view(5), &|_| true, at(ms));
        expect_that!(standing(&observations, ms), eq(EntryStanding::Joining));
    }
    observations.report(&"old".into(), address, entry_report(true, 5), at(5000));
    observations.promote(view(5), &|_| true, at(5000));
    expect_that!(standing(&observations, 5000), eq(EntryStanding::Active));
}

#[googletest::test]
fn report_keeps_entry_active_from_an_earlier_leader() {
    let address = "127.0.0.1:2".parse().expect("an address");
    let mut observations = Observations::default();
    let now = Instant::now();
    observations.report(&"e".into(), address, entry_report(true, 9), now);
    expect_that!(
        observations.standing(&observations.entries()["e"], now),
        eq(EntryStanding::Active)
    );
}
