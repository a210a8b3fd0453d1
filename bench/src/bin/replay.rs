//! Measures the replicated log: writes 10,000 changes to a data directory with one sync each,
//! then replays them.

use base::limits::{ELECTION_MAX, ELECTION_MIN, LEADER_LEASE, LOG_HEARTBEAT, VOTER_REPLACE_AFTER};
use bench::pure::manifest;
use fastrand::Rng;
use replog::{Node, Timing, Tolerance};
use state::{Command, State};
use std::{
    path::Path,
    time::{Duration, Instant},
};
use store::Store;

const CHANGES: u64 = 10_000;

fn main() {
    let folder = tempfile::tempdir().expect("create a temporary directory");
    let mut times = write_changes(folder.path());
    times.sort_unstable();
    let total: Duration = times.iter().sum();
    let quantile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!("changes written, one sync each   {CHANGES}");
    println!("changes a second                 {:.0}", CHANGES as f64 / total.as_secs_f64());
    println!("time a change, p50, p99          {:?}, {:?}", quantile(0.5), quantile(0.99));
    let start = Instant::now();
    let (store, loaded) = Store::open(folder.path(), 1).expect("open the data directory");
    let mut state = State::default();
    for entry in loaded.restored.entries {
        if let replog::Payload::Data(bytes) = entry.payload {
            state.apply_bytes(entry.index, &bytes);
        }
    }
    println!("replay of all of them            {:?}", start.elapsed());
    println!("size of the file in bytes        {}", store.log_bytes());
    let number = state.manifest.map(|accepted| accepted.number);
    assert_eq!(number, Some(CHANGES), "the replayed state does not hold the last change");
}

fn write_changes(folder: &Path) -> Vec<Duration> {
    let (mut store, loaded) = Store::open(folder, 1).expect("open the data directory");
    let timing = Timing {
        heartbeat: LOG_HEARTBEAT,
        election_min: ELECTION_MIN,
        election_max: ELECTION_MAX,
        lease: LEADER_LEASE,
        replace_after: VOTER_REPLACE_AFTER,
    };
    let tolerance = Tolerance { nodes: 0, domains: 0 };
    let start = Instant::now();
    let mut node = Node::new(1, timing, tolerance, loaded.restored, Rng::with_seed(1), start);
    node.bootstrap([1].into());
    node.tick(start + ELECTION_MAX * 2);
    flush(&mut node, &mut store);
    let body: Box<str> =
        serde_json::to_string(&manifest(50, 10)).expect("serialize the manifest").into();
    (1..=CHANGES)
        .map(|number| {
            let digest = format!("{number:064x}").into();
            let command = Command::ApplyManifest { number, digest, body: body.clone() };
            let bytes = bincode::serde::encode_to_vec(&command, bincode::config::standard());
            let start = Instant::now();
            node.propose(bytes.expect("encode the command")).expect("the node is the leader");
            let committed = flush(&mut node, &mut store);
            assert_eq!(committed, 1, "exactly one change is committed");
            start.elapsed()
        })
        .collect()
}

/// Writes and syncs the pending records. Returns the number of records committed.
fn flush(node: &mut Node, store: &mut Store) -> usize {
    let mut committed = 0;
    loop {
        let output = node.take_output();
        committed += output.committed.len();
        if output.writes.is_empty() {
            return committed;
        }
        store.write(output.writes).expect("write and sync the records");
        node.mark_synced();
    }
}
