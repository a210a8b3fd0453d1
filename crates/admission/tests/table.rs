//! Route and key lookup, the retry budget, and acceptance of requests during shutdown.

use admission::{KeyCheck, RetryBudget, RouteTable, Shutdown};
use fleet::{CallerLimits, Manifest, Route, RouteKind, ServiceShare, Team};
use googletest::prelude::*;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

fn route(name: &str, prefix: &str, is_public: bool) -> Route {
    Route {
        name: name.into(),
        host: "desk.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(5),
        target: Duration::from_millis(300),
        pause_target: None,
        priority: 1,
        shares: vec![ServiceShare { service: "ledger".into(), weight: 1 }],
        attempts: 2,
        is_public,
    }
}

fn table(teams: Vec<Team>) -> RouteTable {
    let routes =
        vec![route("all", "/", false), route("jobs", "/jobs/", false), route("open", "/o/", true)];
    RouteTable::new(Arc::new(Manifest {
        number: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        teams,
    }))
}

fn team() -> Team {
    Team { name: "counter".into(), keys: vec!["key-1".into()], priority: Some(0) }
}

fn name_at<'a>(table: &'a RouteTable, host: &str, path: &str) -> Option<&'a str> {
    table.route(host, path).map(|route| &*route.name)
}

#[gtest]
fn route_longest_prefix_wins() {
    let table = table(Vec::new());
    expect_that!(name_at(&table, "desk.example", "/jobs/17"), some(eq("jobs")));
    expect_that!(name_at(&table, "desk.example", "/jobs"), some(eq("all")));
    expect_that!(name_at(&table, "Desk.Example:8080", "/x"), some(eq("all")));
    expect_that!(name_at(&table, "other.example", "/jobs/17"), none());
}

#[gtest]
fn check_key_unknown_missing_and_public() {
    let table = table(vec![team()]);
    let jobs = table.route("desk.example", "/jobs/1").expect("a route");
    let open = table.route("desk.example", "/o/1").expect("a route");
    let is_of = |check| matches!(check, KeyCheck::Team(team) if &*team.name == "counter");
    expect_true!(is_of(table.check_key(jobs, Some("key-1"))));
    expect_that!(table.check_key(jobs, Some("key-2")), eq(KeyCheck::Unknown));
    expect_that!(table.check_key(jobs, None), eq(KeyCheck::Unknown));
    expect_that!(table.check_key(open, None), eq(KeyCheck::NotNeeded));
}

#[gtest]
fn check_key_without_teams_is_not_needed() {
    let table = table(Vec::new());
    let jobs = table.route("desk.example", "/jobs/1").expect("a route");
    expect_that!(table.check_key(jobs, None), eq(KeyCheck::NotNeeded));
}

#[gtest]
fn try_retry_keeps_to_ratio_and_slack_in_any_window() {
    let window = Duration::from_secs(10);
    let start = Instant::now();
    let mut budget = RetryBudget::new(window, 0.2, 3.0);
    for _ in 0..10 {
        budget.record_request(start);
    }
    let granted = (0..20).filter(|_| budget.try_retry(start)).count();
    expect_that!(granted, eq(5));
    expect_false!(budget.try_retry(start + window / 2));
    expect_true!(budget.try_retry(start + window * 2));
}

#[gtest]
fn accepts_late_requests_only_if_they_end_before_the_process() {
    let began = Instant::now();
    let shutdown = Shutdown { began, end: began + Duration::from_secs(7) };
    let at = |s: f64| began + Duration::from_secs_f64(s);
    expect_true!(shutdown.accepts(at(1.0), at(9.0)), "callers may still use the address");
    expect_false!(shutdown.accepts(at(4.2), at(12.2)), "a stream of 8 s would be cut off");
    expect_true!(shutdown.accepts(at(4.2), at(5.2)));
}
