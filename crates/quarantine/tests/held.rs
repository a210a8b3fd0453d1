//! Failures that may be due to the links of an entry.

use googletest::prelude::*;
use quarantine::{EvidenceLog, ObservationKind};
use std::time::{Duration, Instant};

const HOST: &str = "h";

fn hosts(evidence: &mut EvidenceLog, now: Instant) -> Vec<Box<str>> {
    let host_of = |kind| match kind {
        ObservationKind::Unreachable { host } => Some(host),
        _ => None,
    };
    let observations = evidence.take_unsent(now).into_iter();
    observations.filter_map(|observation| host_of(observation.kind)).collect()
}

#[gtest]
fn hold_counts_after_a_while() {
    let now = Instant::now();
    let mut evidence = EvidenceLog::default();
    evidence.hold(&HOST.into(), 1, None, now);
    expect_that!(hosts(&mut evidence, now + Duration::from_millis(400)), len(eq(0)));
    let later = now + Duration::from_millis(700);
    let observations = evidence.take_unsent(later);
    // Its age counts from the failure.
    expect_that!(observations.first().map(|o| o.age), some(eq(later - now)));
    expect_that!(hosts(&mut evidence, later), len(eq(0)));
}

#[gtest]
fn record_running_refutes_earlier_failures_of_the_same_run() {
    let now = Instant::now();
    let later = now + Duration::from_millis(10);
    let mut evidence = EvidenceLog::default();
    evidence.hold(&HOST.into(), 1, None, now);
    evidence.hold(&"other".into(), 1, None, now);
    evidence.hold(&HOST.into(), 2, None, now);
    evidence.hold(&HOST.into(), 1, None, later + Duration::from_millis(1));
    evidence.record_running(&HOST.into(), 1, later);
    expect_that!(hosts(&mut evidence, now + Duration::from_secs(1)), len(eq(3)));
}
