//! Application of commands: manifests, groups, fences and claims.

use googletest::prelude::*;
use model::order::{Member, OrderAction};
use state::{
    ClaimKey, ClaimState, Command, HostRole, KeptAnswer, Placement, Rejection, Reply, State,
};

fn manifest(number: u64, digest: &str) -> Command {
    Command::ApplyManifest { number, digest: digest.into(), body: "{}".into() }
}

fn placement(host: &str, checks_fence: bool) -> Placement {
    let address = "127.0.0.1:1".parse().expect("an address");
    Placement { member: Member { host: host.into(), address }, incarnation: 1, checks_fence }
}

fn form(hosts: &[&str]) -> Command {
    Command::FormGroup {
        model: "m".into(),
        domain: "d".into(),
        fabric: "f".into(),
        load_size: 1,
        placements: hosts.iter().map(|host| placement(host, false)).collect(),
    }
}

fn regroup(group: u64, fence: u64, placements: Vec<Placement>) -> Command {
    Command::Regroup { group, fence, load_size: 1, placements }
}

fn settle(state: &mut State, index: u64, host: &str) {
    let fence = state.hosts[host].order.as_ref().expect("an order").fence;
    state.apply(index, Command::SettleOrder { host: host.into(), fence });
}

fn claim(token: u64, request_digest: u64) -> Command {
    let key = ClaimKey { service: "ledger".into(), key: "k".into() };
    Command::Claim { key, entry: "e".into(), token, request_digest, now_s: 100 }
}

fn key() -> ClaimKey {
    ClaimKey { service: "ledger".into(), key: "k".into() }
}

#[googletest::test]
fn apply_manifest_equal_number() {
    let mut state = State::default();
    expect_that!(state.apply(1, manifest(5, "a")), eq(&Reply::Done));
    // A resend after a lost reply is accepted.
    expect_that!(state.apply(2, manifest(5, "a")), eq(&Reply::Done));
    let refused = Reply::Rejected(Rejection::StaleManifest { number: 5, digest: "a".into() });
    expect_that!(state.apply(3, manifest(5, "b")), eq(&refused));
    expect_that!(state.manifest.as_ref().map(|accepted| accepted.index), some(eq(1)));
}

#[googletest::test]
fn apply_manifest_lower_number() {
    let mut state = State::default();
    state.apply(1, manifest(5, "a"));
    let refused = Reply::Rejected(Rejection::StaleManifest { number: 5, digest: "a".into() });
    expect_that!(state.apply(2, manifest(4, "c")), eq(&refused));
    expect_that!(state.apply(3, manifest(6, "d")), eq(&Reply::Done));
    // Once a higher number has been accepted, the resend of a lower one is rejected.
    let refused = Reply::Rejected(Rejection::StaleManifest { number: 6, digest: "d".into() });
    expect_that!(state.apply(4, manifest(5, "a")), eq(&refused));
}

#[googletest::test]
fn form_group_host_in_another_group() {
    let mut state = State::default();
    expect_that!(state.apply(1, form(&["a", "b"])), eq(&Reply::Done));
    let busy = Reply::Rejected(Rejection::HostBusy("b".into()));
    expect_that!(state.apply(2, form(&["b", "c"])), eq(&busy));
    expect_that!(state.hosts.contains_key("c"), eq(false));
    state.assert_invariants();
}

#[googletest::test]
fn form_group_host_twice() {
    let mut state = State::default();
    let refused = Reply::Rejected(Rejection::BadPlacement);
    expect_that!(state.apply(1, form(&["a", "a"])), eq(&refused));
    expect_that!(state.groups.is_empty(), eq(true));
}

#[googletest::test]
fn regroup_order_outstanding() {
    let mut state = State::default();
    state.apply(1, form(&["a", "b"]));
    let with_c = || vec![placement("a", false), placement("c", false)];
    let outstanding = Reply::Rejected(Rejection::OrderOutstanding("a".into()));
    expect_that!(state.apply(2, regroup(1, 1, with_c())), eq(&outstanding));
    settle(&mut state, 3, "a");
    expect_that!(state.apply(4, regroup(1, 1, with_c())), eq(&Reply::Done));
    expect_that!(state.groups[&1].fence, eq(4));
    expect_that!(state.hosts["b"].role, eq(HostRole::Leaving));
    state.assert_invariants();
}

#[googletest::test]
fn regroup_host_that_checks_fences() {
    let mut state = State::default();
    state.apply(1, form(&["a", "b"]));
    let placements = vec![placement("a", true), placement("c", true)];
    expect_that!(state.apply(2, regroup(1, 1, placements)), eq(&Reply::Done));
    state.assert_invariants();
}

#[googletest::test]
fn regroup_old_fence() {
    let mut state = State::default();
    state.apply(1, form(&["a"]));
    settle(&mut state, 2, "a");
    state.apply(3, regroup(1, 1, vec![placement("a", false)]));
    let stale = Reply::Rejected(Rejection::StaleGroup);
    expect_that!(state.apply(4, regroup(1, 1, vec![placement("z", false)])), eq(&stale));
}

#[googletest::test]
fn free_host_after_unload() {
    let mut state = State::default();
    state.apply(1, form(&["a"]));
    state.apply(2, Command::DissolveGroup { group: 1 });
    let outstanding = Reply::Rejected(Rejection::OrderOutstanding("a".into()));
    let free = |fence| Command::FreeHost { host: "a".into(), fence };
    expect_that!(state.apply(3, free(1)), eq(&outstanding));
    settle(&mut state, 4, "a");
    let unload = Command::Unload { host: "a".into(), incarnation: 1, checks_fence: false };
    expect_that!(state.apply(5, unload.clone()), eq(&Reply::Done));
    expect_that!(state.apply(6, unload), eq(&outstanding));
    let action = state.hosts["a"].order.as_ref().map(|order| order.action.clone());
    expect_that!(action, some(eq(&OrderAction::Unload)));
    settle(&mut state, 7, "a");
    // Fence 1 is out of date because the unload order issued a new one.
    let busy = Reply::Rejected(Rejection::HostBusy("a".into()));
    expect_that!(state.apply(8, free(1)), eq(&busy));
    expect_that!(state.apply(9, free(5)), eq(&Reply::Done));
    expect_that!(state.hosts.is_empty(), eq(true));
}

#[googletest::test]
fn claim_second_request() {
    let mut state = State::default();
    expect_that!(state.apply(1, claim(7, 70)), eq(&Reply::Claimed));
    // A resend of the same claim, after a lost reply.
    expect_that!(state.apply(2, claim(7, 70)), eq(&Reply::Claimed));
    let second = state.apply(3, claim(8, 70));
    expect_that!(matches!(second, Reply::AlreadyClaimed(_)), eq(true));
    let answer = KeptAnswer { status: 201, content_type: "t".into(), body: Some(vec![1]) };
    let close = Command::CloseClaim { key: key(), token: 7, answer: Some(answer.clone()) };
    expect_that!(state.apply(4, close), eq(&Reply::Done));
    match state.apply(5, claim(9, 70)) {
        Reply::AlreadyClaimed(claim) => expect_that!(claim.state, eq(&ClaimState::Done(answer))),
        other => panic!("{other:?}"),
    }
}

#[googletest::test]
fn release_claim_of_another() {
    let mut state = State::default();
    state.apply(1, claim(7, 70));
    let release = |token| Command::ReleaseClaim { key: key(), token };
    let stale = Reply::Rejected(Rejection::StaleClaim);
    expect_that!(state.apply(2, release(8)), eq(&stale));
    expect_that!(state.apply(3, release(7)), eq(&Reply::Done));
    expect_that!(state.apply(4, claim(8, 70)), eq(&Reply::Claimed));
}

#[googletest::test]
fn release_claim_after_close() {
    let mut state = State::default();
    state.apply(1, claim(7, 70));
    state.apply(2, Command::CloseClaim { key: key(), token: 7, answer: None });
    let stale = Reply::Rejected(Rejection::StaleClaim);
    let release = Command::ReleaseClaim { key: key(), token: 7 };
    expect_that!(state.apply(3, release), eq(&stale));
    // A request that may have run stays claimed.
    expect_that!(matches!(state.apply(4, claim(8, 70)), Reply::AlreadyClaimed(_)), eq(true));
}

#[googletest::test]
fn apply_bytes_unreadable() {
    let mut state = State::default();
    let refused = Reply::Rejected(Rejection::Unreadable);
    expect_that!(state.apply_bytes(1, &[0xff; 9]), eq(&refused));
    expect_that!(state.applied, eq(1));
}
