//! When entries are sent the manifest.

use coordinator::{Distribution, SessionId};
use googletest::prelude::*;
use std::time::{Duration, Instant};

const ENTRIES: SessionId = 34;
/// A manifest of thousands of routes.
const LARGE: usize = 300_000;
const SMALL: usize = 20_000;

fn distribution(size: usize, held: Option<u64>, now: Instant) -> Distribution {
    let mut distribution = Distribution::default();
    distribution.set_manifest(12, size);
    for session in 0..ENTRIES {
        distribution.record_report(session, held, now);
    }
    distribution
}

/// Guards against a manifest that each new leader sends to all entries again.
#[gtest]
fn take_due_entries_that_hold_the_manifest() {
    let now = Instant::now();
    let mut distribution = distribution(LARGE, Some(12), now);
    expect_that!(distribution.take_due(now), is_empty());
    expect_true!(distribution.is_complete(now));
}

/// Guards against a leader that sends a large manifest to all entries at once, which delays its
/// heartbeats.
#[gtest]
fn take_due_sends_a_large_manifest_to_few_entries_at_a_time() {
    let now = Instant::now();
    let mut distribution = distribution(LARGE, Some(11), now);
    let mut in_transit = distribution.take_due(now);
    expect_that!(in_transit, len(eq(3)));
    let mut updated = 0;
    while let Some(session) = in_transit.pop() {
        expect_false!(distribution.is_complete(now));
        expect_that!(distribution.take_due(now), is_empty());
        distribution.record_report(session, Some(12), now);
        updated += 1;
        in_transit.extend(distribution.take_due(now));
        expect_that!(in_transit.len(), le(3));
    }
    expect_that!(updated, eq(ENTRIES));
    expect_true!(distribution.is_complete(now));
}

#[gtest]
fn take_due_sends_a_small_manifest_to_several_entries_at_a_time() {
    let now = Instant::now();
    let mut distribution = distribution(SMALL, None, now);
    let first = distribution.take_due(now).len();
    expect_that!(first, all![gt(5), lt(ENTRIES as usize)]);
}

/// Guards against entries that have stopped and hold up the manifest of the others for long.
#[gtest]
fn take_due_passes_over_entries_that_do_not_confirm() {
    let now = Instant::now();
    let mut distribution = distribution(LARGE, Some(11), now);
    let stopped = distribution.take_due(now);
    let later = now + Duration::from_secs(1);
    for session in (0..ENTRIES).filter(|session| !stopped.contains(session)) {
        distribution.record_report(session, Some(11), later);
    }
    let mut updated = 0;
    loop {
        let due = distribution.take_due(later);
        for session in &due {
            distribution.record_report(*session, Some(12), later);
            updated += 1;
        }
        if due.is_empty() {
            break;
        }
    }
    expect_that!(updated, eq(ENTRIES - stopped.len() as u64));
    expect_true!(distribution.is_complete(later));
}

#[gtest]
fn take_due_sends_each_manifest_once_in_a_session() {
    let now = Instant::now();
    let mut distribution = Distribution::default();
    distribution.set_manifest(12, SMALL);
    distribution.record_report(1, None, now);
    expect_that!(distribution.take_due(now), elements_are![eq(&1)]);
    let later = now + Duration::from_secs(5);
    distribution.record_report(1, None, later);
    expect_that!(distribution.take_due(later), is_empty());
    distribution.set_manifest(13, SMALL);
    expect_that!(distribution.take_due(later), elements_are![eq(&1)]);
    distribution.remove(1);
    distribution.record_report(2, Some(12), later);
    expect_that!(distribution.take_due(later), elements_are![eq(&2)]);
}
