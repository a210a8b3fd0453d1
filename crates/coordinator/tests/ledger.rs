//! Records applied to the replicated state.

use coordinator::{Command, Ledger, StoredManifest};
use fleet::{CallerLimits, GroupChange, GroupMember, GroupName, GroupRecord, Manifest};
use googletest::prelude::*;
use model::ids::DomainId;
use quarantine::QuarantineChange;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

fn manifest(number: u64, body: &str) -> Command {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let manifest = Manifest { number, routes: vec![], services: vec![], limits, teams: vec![] };
    Command::Manifest(Box::new(StoredManifest { body: body.into(), manifest }))
}

fn member(host: &str) -> GroupMember {
    GroupMember {
        host: host.into(),
        incarnation: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        domain: "d".into(),
        fabric: "f".into(),
        slots: 26,
    }
}

fn group_formed(name: &str, hosts: &[&str]) -> Command {
    let members = hosts.iter().map(|host| member(host)).collect();
    let record = GroupRecord { epoch: 1, model: "m".into(), members };
    Command::Group(GroupChange::Formed { name: name.into(), record })
}

#[gtest]
fn apply_keeps_manifest_with_highest_number() {
    let mut ledger = Ledger::default();
    expect_true!(ledger.apply(1, manifest(5, "five")));
    expect_false!(ledger.apply(2, manifest(4, "four")));
    expect_false!(ledger.apply(3, manifest(5, "another five")));
    let stored = ledger.manifest.as_ref().expect("a manifest");
    expect_that!(&stored.body[..], eq(b"five"));
    expect_true!(ledger.apply(4, manifest(6, "six")));
    expect_that!((ledger.number(), ledger.applied), eq((6, 4)));
}

#[gtest]
fn apply_domains_out_and_back() {
    let mut ledger = Ledger::default();
    ledger.apply(1, Command::DomainOut("a".into()));
    ledger.apply(2, Command::DomainOut("a".into()));
    expect_that!(ledger.domains_out, len(eq(1)));
    ledger.apply(3, Command::DomainBack("a".into()));
    expect_that!(ledger.domains_out, is_empty());
}

#[gtest]
fn apply_host_joins_new_group_after_old_one_ended() {
    let mut ledger = Ledger::default();
    ledger.apply(1, group_formed("g1", &["a", "b"]));
    ledger.apply(2, Command::Group(GroupChange::Ended { name: "g1".into() }));
    ledger.apply(3, group_formed("g2", &["b", "c"]));
    expect_that!(ledger.group_of(&"b".into()).map(|name| &**name), some(eq("g2")));
    expect_that!(ledger.group_of(&"a".into()), none());
}

#[test]
#[should_panic(expected = "a host in two groups")]
fn apply_host_in_two_groups_panics() {
    let mut ledger = Ledger::default();
    ledger.apply(1, group_formed("g1", &["a", "b"]));
    ledger.apply(2, group_formed("g2", &["b", "c"]));
}

/// The state of versions without quarantine.
#[derive(serde::Serialize)]
struct OldLedger {
    applied: u64,
    manifest: Option<Box<StoredManifest>>,
    domains_out: BTreeSet<DomainId>,
    groups: BTreeMap<GroupName, GroupRecord>,
}

/// Guards against snapshots of earlier versions that can't be read.
#[gtest]
fn decode_snapshot_without_quarantine() {
    let old = OldLedger {
        applied: 7,
        manifest: None,
        domains_out: BTreeSet::from(["z-a".into()]),
        groups: BTreeMap::new(),
    };
    let ledger: Ledger = durable::decode_state(&durable::encode(&old));
    expect_that!(ledger.applied, eq(7));
    expect_that!(ledger.domains_out.len(), eq(1));
    expect_true!(ledger.quarantine.is_empty());
    let again: Ledger = durable::decode_state(&durable::encode(&ledger));
    expect_that!(again, eq(&ledger));
}

/// Guards against snapshots of earlier versions whose groups or departures can't be read.
#[gtest]
fn decode_snapshot_without_leaving_hosts() {
    let mut ledger = Ledger::default();
    ledger.apply(3, Command::HostLeft("h".into(), 5));
    let Ledger { applied, manifest, domains_out, groups, quarantine, departures, .. } = &ledger;
    let old = (applied, manifest, domains_out, groups, quarantine, departures);
    let again: Ledger = durable::decode_state(&durable::encode(&old));
    expect_that!(again, eq(&ledger));
    expect_false!(again.has_formed_groups());
    ledger.apply(4, Command::HostLeaving("h".into(), 6));
    let again: Ledger = durable::decode_state(&durable::encode(&ledger));
    expect_true!(again.leaving.contains(&"h".into(), 6));
}

#[gtest]
fn decode_snapshot_with_quarantine() {
    let mut ledger = Ledger::default();
    ledger.apply(3, Command::Quarantine(QuarantineChange::Begin(0xdead)));
    let again: Ledger = durable::decode_state(&durable::encode(&ledger));
    expect_that!(again, eq(&ledger));
    expect_true!(again.quarantine.is_in_quarantine(0xdead));
}

/// Guards against records of thousands of routes that delay the leader's heartbeats.
#[gtest]
fn encode_large_manifest() {
    let body: String =
        (0..4000).map(|n| format!("{{\"name\":\"r-{n}\",\"prefix\":\"/{n}/\"}}")).collect();
    let command = manifest(5, &body);
    let data = command.encode();
    expect_that!(data.len(), lt(body.len() / 2));
    expect_that!(Command::decode(&data).expect("a command"), eq(&command));
}

/// Guards against records of earlier versions, which were not compressed, that can't be read.
#[gtest]
fn decode_uncompressed_manifest() {
    let command = manifest(5, &"x".repeat(100_000));
    expect_that!(Command::decode(&durable::encode(&command)).expect("a command"), eq(&command));
}

#[gtest]
fn decode_damaged_command() {
    let mut data = manifest(5, &"x".repeat(100_000)).encode();
    data.truncate(data.len() / 2);
    expect_true!(Command::decode(&data).is_err());
}
