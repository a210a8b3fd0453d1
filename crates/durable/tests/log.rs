//! A single-voter log with storage in a temporary folder.

use durable::{DurableLog, decode_state, encode, receive_batch};
use googletest::prelude::*;
use replog::{Node, Payload, Timing, Tolerance, Voters};
use std::{
    path::Path,
    sync::mpsc,
    time::{Duration, Instant},
};
use store::Store;

const MS: Duration = Duration::from_millis(1);

/// A log without voters in an empty folder.
fn empty_log(dir: &Path, now: Instant) -> DurableLog<&'static str> {
    let (store, loaded) = Store::open(dir, 7).expect("an empty folder");
    let timing = Timing {
        heartbeat: MS * 100,
        election_min: MS * 500,
        election_max: MS * 1000,
        lease: MS * 450,
        replace_after: MS * 2000,
    };
    let tolerance = Tolerance { nodes: 0, domains: 0 };
    let rng = fastrand::Rng::with_seed(1);
    DurableLog::new(Node::new(loaded.identity, timing, tolerance, loaded.restored, rng, now), store)
}

/// A log whose only voter is the leader.
fn leading_log(dir: &Path) -> DurableLog<&'static str> {
    let now = Instant::now();
    let mut log = empty_log(dir, now);
    let own = log.node.id();
    log.node.bootstrap(Voters::from([own]));
    log.node.tick(now + MS * 1500);
    while log.step().expect("the disk works").is_some() {}
    log
}

fn committed(log: &mut DurableLog<&'static str>) -> Vec<(u64, u64, Payload)> {
    let mut entries = Vec::new();
    while let Some(output) = log.step().expect("the disk works") {
        entries.extend(output.committed.into_iter().map(|e| (e.index, e.term, e.payload)));
    }
    entries
}

#[gtest]
fn resolve_waiters_tells_whose_entry_was_applied() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut log = leading_log(dir.path());
    expect_true!(log.propose(encode(&"one"), "first").is_ok());
    expect_true!(log.propose(encode(&"two"), "second").is_ok());
    expect_that!(log.waiter_count(), eq(2));
    let entries = committed(&mut log);
    let (index, term, _) = entries[entries.len() - 2];
    expect_that!(log.resolve_waiters(index, term), elements_are![eq(&("first", true))]);
    expect_that!(log.resolve_waiters(index + 1, term + 1), elements_are![eq(&("second", false))]);
    expect_that!(log.waiter_count(), eq(0));
    expect_that!(log.log_bytes(), gt(0));
}

#[gtest]
fn propose_returns_the_waiter_without_a_leader() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut log = empty_log(dir.path(), Instant::now());
    expect_that!(log.propose(vec![1], "waiter"), err(eq("waiter")));
}

#[gtest]
fn decode_state_reverses_encode() {
    let state: Vec<String> = decode_state(&[]);
    expect_that!(state, is_empty());
    let held = vec!["a".to_owned()];
    expect_that!(decode_state::<Vec<String>>(&encode(&held)), eq(&held));
}

#[gtest]
fn receive_batch_ends_at_stop_event_or_disconnect() {
    let (tx, rx) = mpsc::channel();
    let mut received = Vec::new();
    for event in [1, 2, 3, 0, 4] {
        tx.send(event).expect("the receiver exists");
    }
    let is_stop = |event: &i32| *event == 0;
    expect_true!(receive_batch(&rx, MS, 2, is_stop, |event| received.push(event)));
    expect_false!(receive_batch(&rx, MS, 9, is_stop, |event| received.push(event)));
    expect_that!(received, eq(&vec![1, 2, 3]));
    expect_true!(receive_batch(&rx, MS, 9, is_stop, |_| ()), "one event is queued");
    expect_true!(receive_batch(&rx, MS, 9, is_stop, |_| ()), "the tick elapses without an event");
    drop(tx);
    expect_false!(receive_batch(&rx, MS, 9, is_stop, |_| ()));
}
