//! Division of shared rates among the entries, and the limits that they report.

use coordinator::{HostLimits, RateShares};
use fleet::{HostLimit, LimitReport, RateShare};
use googletest::prelude::*;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

fn request_rates(rates: &[f64]) -> BTreeMap<u64, f64> {
    rates.iter().enumerate().map(|(at, rate)| (at as u64, *rate)).collect()
}

fn limit(incarnation: u64, per_s: Option<f64>, age_ms: u64) -> HostLimit {
    let limit = LimitReport { per_s, age: Duration::from_millis(age_ms) };
    HostLimit { host: "h1".into(), incarnation, limit }
}

/// Checks that the parts cover the whole circle and don't overlap.
fn check_parts(parts: &[(u64, RateShare)]) {
    for number in 0..1000 {
        let position = f64::from(number) / 1000.0 + 0.0003;
        let owners = parts.iter().filter(|(_, part)| part.contains(position)).count();
        expect_that!(owners, eq(1), "position {position}");
    }
}

#[gtest]
fn divide_covers_the_circle_once() {
    let now = Instant::now();
    for rates in [&[0.0, 0.0, 0.0][..], &[5.0][..], &[100.0, 0.0, 1.0, 30.0][..], &[1.0; 34][..]] {
        check_parts(&RateShares::default().divide(&request_rates(rates), now));
    }
}

/// Guards against parts that move with each fluctuation of the callers' requests: a moved part
/// rests for a while.
#[gtest]
fn divide_again_only_after_a_lasting_shift() {
    let now = Instant::now();
    let mut shares = RateShares::default();
    shares.divide(&request_rates(&[50.0, 50.0]), now);
    for step in 1..400 {
        let now = now + Duration::from_millis(100 * step);
        let rate = if step % 2 == 0 { 20.0 } else { 80.0 };
        expect_that!(shares.divide(&request_rates(&[rate, 100.0 - rate]), now), is_empty());
    }
    let divided_at = (400..600).find(|step| {
        let now = now + Duration::from_millis(100 * step);
        let parts = shares.divide(&request_rates(&[90.0, 10.0]), now);
        if !parts.is_empty() {
            check_parts(&parts);
        }
        !parts.is_empty()
    });
    expect_that!(divided_at, some(lt(430)));
}

#[gtest]
fn divide_again_when_an_entry_comes_or_goes() {
    let now = Instant::now();
    let mut shares = RateShares::default();
    expect_that!(shares.divide(&request_rates(&[]), now), is_empty());
    shares.divide(&request_rates(&[50.0, 50.0]), now);
    let soon = now + Duration::from_millis(500);
    expect_that!(shares.divide(&request_rates(&[50.0]), soon), is_empty());
    let later = now + Duration::from_millis(1100);
    let parts = shares.divide(&request_rates(&[50.0]), later);
    expect_that!(parts, len(eq(1)));
    check_parts(&parts);
}

#[gtest]
fn record_keeps_the_latest_of_what_a_host_said() {
    let now = Instant::now();
    let mut limits = HostLimits::default();
    let host = "h1".into();
    expect_true!(limits.record(limit(1, Some(4.0), 100), now));
    expect_false!(limits.record(limit(1, Some(3.0), 50), now));
    expect_false!(limits.record(limit(1, None, 200), now), "said earlier");
    let report = limits.report(&host, 1, now).expect("a report");
    expect_that!(report.per_s, some(eq(3.0)));
    expect_that!(report.age, eq(Duration::from_millis(50)));
    expect_true!(limits.record(limit(1, None, 0), now));
    expect_that!(limits.report(&host, 1, now).expect("a report").per_s, none());
}

/// Guards against a limit of a server that has ended, which holds for the one that follows it.
#[gtest]
fn report_of_an_earlier_incarnation() {
    let now = Instant::now();
    let mut limits = HostLimits::default();
    let host = "h1".into();
    limits.record(limit(1, Some(4.0), 0), now);
    expect_that!(limits.report(&host, 2, now), none());
    limits.record(limit(2, Some(9.0), 500), now);
    expect_that!(limits.report(&host, 2, now).expect("a report").per_s, some(eq(9.0)));
    // A new leader hears of limits before hosts report to it.
    limits.retain(|_| false, now);
    expect_that!(limits.report(&host, 2, now), some(anything()));
    limits.retain(|_| false, now + Duration::from_secs(90));
    expect_that!(limits.report(&host, 2, now), none());
}
