//! How a leader sends entries to its followers.

use fastrand::Rng;
use googletest::prelude::*;
use replog::{
    Envelope, HardState, Message, Node, NodeId, Restored, Snapshot, Timing, Tolerance, Voters,
};
use std::time::{Duration, Instant};

const VOTERS: NodeId = 5;
const HEARTBEAT: Duration = Duration::from_millis(100);

/// A leader of five voters whose log has one entry, which all voters have.
fn leader(now: Instant) -> Node {
    let mut node = elected(now);
    for from in 2..=VOTERS {
        acknowledge(&mut node, from, 2, now);
    }
    node.take_output();
    node.mark_synced();
    node
}

/// A node that has just won its election.
fn elected(now: Instant) -> Node {
    let timing = Timing {
        heartbeat: HEARTBEAT,
        election_min: Duration::from_millis(500),
        election_max: Duration::from_millis(1000),
        lease: Duration::from_millis(450),
        replace_after: Duration::from_secs(10),
    };
    let tolerance = Tolerance { nodes: 2, domains: 1 };
    let snapshot =
        Snapshot { index: 1, term: 1, voters: Voters::from_iter(1..=VOTERS), data: Vec::new() };
    let hard_state = HardState { term: 1, voted_for: None };
    let restored = Restored { hard_state, snapshot, entries: Vec::new() };
    let mut node = Node::new(1, timing, tolerance, restored, Rng::with_seed(1), now);
    node.tick(now + Duration::from_secs(1));
    for from in 2..=3 {
        let message = Message::PreVoteReply { term: 2, own_term: 1, granted: true };
        receive(&mut node, from, message, now);
    }
    for from in 2..=3 {
        receive(&mut node, from, Message::VoteReply { term: 2, granted: true }, now);
    }
    node
}

fn receive(node: &mut Node, from: NodeId, message: Message, now: Instant) {
    node.receive(Envelope { from, to: 1, message }, now);
}

fn acknowledge(node: &mut Node, from: NodeId, index: u64, now: Instant) {
    let message = Message::AppendReply { term: 2, round: 0, success: true, index };
    receive(node, from, message, now);
}

/// The receivers of messages with entries, and of those without.
fn take_receivers(node: &mut Node) -> (Vec<NodeId>, Vec<NodeId>) {
    let messages = node.take_output().messages.into_iter();
    let (with, without): (Vec<Envelope>, Vec<Envelope>) = messages.partition(|envelope| {
        matches!(&envelope.message, Message::AppendEntries { entries, .. } if !entries.is_empty())
    });
    let to = |envelopes: Vec<Envelope>| envelopes.into_iter().map(|e| e.to).collect();
    (to(with), to(without))
}

/// Guards against a large entry that is sent to all followers at once, which delays heartbeats
/// until the followers elect another leader.
#[gtest]
fn replicate_large_entry_to_a_quorum_first() {
    let now = Instant::now();
    let mut node = leader(now);
    let index = node.propose(vec![7; 600_000]).expect("it leads");
    expect_that!(take_receivers(&mut node).0, elements_are![eq(&2), eq(&3)]);
    node.mark_synced();
    node.tick(now + HEARTBEAT);
    let (with, without) = take_receivers(&mut node);
    expect_that!(with, is_empty());
    expect_that!(without, unordered_elements_are![eq(&2), eq(&3), eq(&4), eq(&5)]);
    acknowledge(&mut node, 2, index, now);
    expect_that!(take_receivers(&mut node).0, elements_are![eq(&4)]);
    acknowledge(&mut node, 3, index, now);
    expect_that!(node.commit(), eq(index));
    expect_that!(take_receivers(&mut node).0, elements_are![eq(&5)]);
}

/// Guards against followers that have stopped and keep a large entry from the others.
#[gtest]
fn replicate_large_entry_past_stopped_followers() {
    let now = Instant::now();
    let mut node = leader(now);
    node.propose(vec![7; 600_000]).expect("it leads");
    expect_that!(take_receivers(&mut node).0, elements_are![eq(&2), eq(&3)]);
    let mut reached = Vec::new();
    for round in 1..=15 {
        let now = now + HEARTBEAT * round;
        for from in 4..=VOTERS {
            let message = Message::AppendReply {
                term: 2,
                round: u64::from(round) - 1,
                success: true,
                index: 2,
            };
            receive(&mut node, from, message, now);
        }
        node.tick(now);
        reached.extend(take_receivers(&mut node).0);
    }
    expect_that!(reached, unordered_elements_are![eq(&4), eq(&5)]);
}

#[gtest]
fn replicate_small_entry_to_all() {
    let now = Instant::now();
    let mut node = leader(now);
    node.propose(vec![7; 600]).expect("it leads");
    expect_that!(take_receivers(&mut node).0, elements_are![eq(&2), eq(&3), eq(&4), eq(&5)]);
}

/// Guards against a new leader that answers reads before its caller has applied what is committed.
#[gtest]
fn holds_lease_before_committed_entries_are_delivered() {
    let now = Instant::now();
    let mut node = elected(now);
    let index = node.last_index();
    let later = now + 2 * HEARTBEAT;
    node.tick(later);
    let rounds = node.take_output().messages.into_iter().filter_map(|envelope| {
        let Message::AppendEntries { round, .. } = envelope.message else { return None };
        Some(round)
    });
    let round = rounds.max().expect("a heartbeat");
    node.mark_synced();
    for from in 2..=VOTERS {
        let message = Message::AppendReply { term: 2, round, success: true, index };
        receive(&mut node, from, message, later);
    }
    expect_that!(node.commit(), eq(index));
    expect_false!(node.holds_lease(later));
    let delivered = node.take_output().committed;
    expect_that!(delivered.last().map(|entry| entry.index), some(eq(index)));
    expect_true!(node.holds_lease(later));
}
