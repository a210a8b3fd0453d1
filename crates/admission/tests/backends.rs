//! The choice of a backend server.

mod sample;

use admission::{Backends, Refused, Requirements};
use fleet::{Replica, RoutingView};
use googletest::prelude::*;
use sample::manifest;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

const SLOTS: u32 = 26;

fn replica(host: &str, domain: &str, group: Option<(&str, &str)>) -> Replica {
    Replica {
        host: host.into(),
        service: if group.is_some() { "engines".into() } else { "ledger".into() },
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        domain: domain.into(),
        slots: 6,
        cold: Duration::ZERO,
        group: group.map(|(name, model)| (name.into(), model.into())),
    }
}

fn view(replicas: Vec<Replica>, entries: u16) -> RoutingView {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, 8000 + port));
    RoutingView {
        replicas,
        entries: (0..entries).map(address).collect(),
        senders: 0,
        is_complete: true,
    }
}

fn backends(replicas: Vec<Replica>, entries: u16, cold_per_s: f64, now: Instant) -> Backends {
    let mut backends = Backends::new("near".into(), 0.0);
    backends.set_manifest(manifest(cold_per_s));
    backends.set_view(view(replicas, entries), now);
    backends
}

fn needs(avoid: &[&str]) -> Requirements {
    Requirements {
        service: "engines".into(),
        model: Some("large".into()),
        prompt_tokens: 1000,
        answer_tokens: 100,
        avoid: avoid.iter().map(|host| (*host).into()).collect(),
    }
}

#[gtest]
fn choose_places_are_shared_by_all_entries() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 4, 0.0, now);
    let taken = (0..100).take_while(|_| backends.choose(&needs(&[]), now).is_ok()).count();
    expect_that!(taken, eq(SLOTS.div_ceil(4) as usize));
    expect_that!(backends.choose(&needs(&[]), now), err(matches_pattern!(Refused::Full(_))));
}

#[gtest]
fn choose_place_is_given_back() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 26, 0.0, now);
    let choice = backends.choose(&needs(&[]), now).expect("a place");
    expect_true!(backends.choose(&needs(&[]), now).is_err());
    backends.release(&choice.slot);
    expect_true!(backends.choose(&needs(&[]), now).is_ok());
}

#[gtest]
fn choose_spreads_over_groups_of_the_model() {
    let now = Instant::now();
    let groups = vec![
        replica("a", "near", Some(("g1", "large"))),
        replica("b", "near", Some(("g2", "large"))),
        replica("c", "near", Some(("g3", "other"))),
    ];
    let mut backends = backends(groups, 4, 0.0, now);
    for _ in 0..8 {
        backends.choose(&needs(&[]), now).expect("a place");
    }
    let work: Vec<(String, usize)> = backends.running().map(|(h, n)| (h.to_string(), n)).collect();
    expect_that!(
        work,
        elements_are![eq(&("a".to_owned(), 4)), eq(&("b".to_owned(), 4)), eq(&("c".to_owned(), 0))]
    );
}

#[gtest]
fn choose_avoids_those_that_failed_and_those_out_of_reach() {
    let now = Instant::now();
    let groups = vec![
        replica("a", "near", Some(("g1", "large"))),
        replica("b", "near", Some(("g2", "large"))),
    ];
    let mut backends = backends(groups, 1, 0.0, now);
    backends.mark_unreachable(&"b".into(), now);
    expect_that!(&*backends.choose(&needs(&[]), now).expect("a place").replica.host, eq("a"));
    expect_that!(backends.choose(&needs(&["a"]), now), err(matches_pattern!(Refused::Full(_))));
    let later = now + Duration::from_secs(2);
    expect_that!(&*backends.choose(&needs(&["a"]), later).expect("a place").replica.host, eq("b"));
}

#[gtest]
fn choose_unknown_model_is_offered_by_nobody() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "other")))], 1, 0.0, now);
    expect_that!(backends.choose(&needs(&[]), now), err(eq(&Refused::NoServer)));
}

#[gtest]
fn choose_cold_head_gets_its_share_of_what_it_bears() {
    let now = Instant::now();
    let mut cold = replica("a", "near", Some(("g1", "large")));
    cold.cold = Duration::from_secs(3);
    let mut backends = backends(vec![cold], 4, 12.0, now);
    let taken = (0..100).take_while(|_| backends.choose(&needs(&[]), now).is_ok()).count();
    expect_that!(taken, eq(3), "a fourth of 12 a second");
    let later = now + Duration::from_millis(1100);
    expect_true!(backends.choose(&needs(&[]), later).is_ok());
}

#[gtest]
fn choose_cold_share_counts_entries_that_take_no_callers_yet() {
    let now = Instant::now();
    let mut cold = replica("a", "near", Some(("g1", "large")));
    cold.cold = Duration::from_secs(3);
    let mut backends = backends(Vec::new(), 1, 12.0, now);
    // After a restart of all of them only the first has told that it is ready.
    backends.set_view(RoutingView { senders: 4, ..view(vec![cold], 1) }, now);
    let taken = (0..100).take_while(|_| backends.choose(&needs(&[]), now).is_ok()).count();
    expect_that!(taken, eq(3));
}

#[gtest]
fn choose_refused_callers_come_back_apart() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 26, 0.0, now);
    backends.choose(&needs(&[]), now).expect("a place");
    let mut waits: Vec<Duration> = (0..10)
        .filter_map(|_| match backends.choose(&needs(&[]), now) {
            Err(Refused::Full(after)) => Some(after),
            _ => None,
        })
        .collect();
    waits.sort_unstable();
    let least_gap = waits.windows(2).map(|pair| pair[1] - pair[0]).min().expect("ten waits");
    expect_that!(least_gap, gt(Duration::from_millis(20)));
}

#[gtest]
fn stalled_group_with_old_work_and_no_event() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 1, 0.0, now);
    let choice = backends.choose(&needs(&[]), now).expect("a place");
    let after = Duration::from_millis(400);
    expect_that!(backends.stalled(after, now + Duration::from_millis(300)), is_empty());
    expect_that!(backends.stalled(after, now + Duration::from_millis(500)), len(eq(1)));
    backends.record_progress(&choice.slot, now + Duration::from_millis(450));
    expect_that!(backends.stalled(after, now + Duration::from_millis(500)), is_empty());
    expect_that!(backends.progressing(after, now + Duration::from_millis(500)), len(eq(1)));
}

#[gtest]
fn demand_counts_a_request_once() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 1, 0.0, now);
    backends.choose(&needs(&[]), now).expect("a place");
    let once = backends.demand(now);
    let _ = backends.choose(&needs(&["a"]), now);
    expect_that!(backends.demand(now), eq(&once));
}

#[gtest]
fn set_view_keeps_work_of_groups_that_stay() {
    let now = Instant::now();
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group.clone()], 26, 0.0, now);
    backends.choose(&needs(&[]), now).expect("a place");
    backends.set_view(view(vec![group], 26), now);
    expect_true!(backends.choose(&needs(&[]), now).is_err());
    backends.set_view(view(vec![replica("a", "near", Some(("g2", "large")))], 26), now);
    expect_true!(backends.choose(&needs(&[]), now).is_ok(), "a new group has no work yet");
}

#[gtest]
fn choose_fills_the_part_of_the_places_that_control_gave() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("h1", "near", Some(("g1", "large")))], 4, 0.0, now);
    backends.set_share(0.85);
    let taken = (0..SLOTS).take_while(|_| backends.choose(&needs(&[]), now).is_ok()).count();
    expect_that!(taken, eq(23));
    // One that lost its callers keeps a place for the next of them.
    backends.set_share(0.0);
    expect_that!(backends.choose(&needs(&[]), now), err(anything()));
}

#[gtest]
fn asked_counts_refused_requests_and_falls() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("h1", "near", Some(("g1", "large")))], 1, 0.0, now);
    for at in 0..200 {
        let _ = backends.choose(&needs(&[]), now + Duration::from_millis(10 * at));
    }
    let end = now + Duration::from_secs(2);
    expect_that!(backends.request_rate(end), near(100.0, 10.0));
    expect_that!(backends.request_rate(end + Duration::from_secs(3)), lt(1.0));
}

#[gtest]
fn choose_goes_round_a_group_that_reads_a_long_prompt() {
    let now = Instant::now();
    let groups = [("h1", "g1"), ("h2", "g2")];
    let replicas = groups.map(|(host, group)| replica(host, "near", Some((group, "large"))));
    let mut backends = backends(replicas.into(), 1, 0.0, now);
    let long = Requirements { prompt_tokens: 2048, ..needs(&[]) };
    let reading = backends.choose(&long, now).expect("a place");
    // Three short ones that write already are less in the way than one that is read.
    for _ in 0..3 {
        let other = backends.choose(&needs(&[]), now).expect("a place");
        expect_that!(other.replica.host, ne(&reading.replica.host));
        backends.record_progress(&other.slot, now);
    }
    let next = backends.choose(&needs(&[]), now).expect("a place");
    expect_that!(next.replica.host, ne(&reading.replica.host));
}

/// When 34 entries sent requests to one cold head that bears 15 a second, in milliseconds
/// from the moment at which it became cold.
fn sent_to_cold_head(entries: &mut [Backends], start: Instant) -> Vec<u64> {
    let mut cold = replica("h1", "near", Some(("g1", "large")));
    cold.cold = Duration::from_secs(3);
    let view = RoutingView { senders: entries.len(), ..view(vec![cold], 34) };
    for backends in entries.iter_mut() {
        backends.set_view(view.clone(), start);
    }
    let mut sent = Vec::new();
    for at in (0..3000).step_by(10) {
        let now = start + Duration::from_millis(at);
        for backends in entries.iter_mut() {
            if let Ok(choice) = backends.choose(&needs(&[]), now) {
                sent.push(at);
                backends.release(&choice.slot);
            }
        }
    }
    sent
}

#[gtest]
fn choose_many_entries_share_what_a_cold_head_bears() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let new = |phase| {
            let mut backends = Backends::new("near".into(), phase);
            backends.set_manifest(manifest(15.0));
            backends
        };
        let mut entries: Vec<Backends> = (0..34).map(|_| new(rng.f64())).collect();
        let start = Instant::now();
        // It becomes cold once more later.
        for start in [start, start + Duration::from_secs(20)] {
            let sent = sent_to_cold_head(&mut entries, start);
            let within =
                |at: u64| sent.iter().filter(|other| (at..at + 1000).contains(*other)).count();
            // The bound for all entries together is 1.5 times what it bears, and 5.
            expect_that!(sent.iter().map(|at| within(*at)).max(), some(le(27)));
            expect_that!(sent.len(), ge(30), "seed {seed}: it gets nearly what it bears");
        }
    }
}
