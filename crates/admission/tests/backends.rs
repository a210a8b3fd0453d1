//! Selection of a backend server.

mod sample;

use admission::{Backends, Notice, Origin, Refused, Requirements};
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
        incarnation: 1,
        service: if group.is_some() { "engines".into() } else { "ledger".into() },
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        domain: domain.into(),
        slots: 6,
        cold_remaining: Duration::ZERO,
        group: group.map(|(name, model)| (name.into(), model.into())),
        limit: None,
    }
}

fn view(replicas: Vec<Replica>, entries: u16) -> RoutingView {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, 8000 + port));
    RoutingView {
        replicas,
        entries: (0..entries).map(address).collect(),
        relays: Vec::new(),
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

fn requirements(avoid: &[&str]) -> Requirements {
    Requirements {
        service: "engines".into(),
        model: Some("large".into()),
        prompt_tokens: 1000,
        answer_tokens: 100,
        avoid: avoid.iter().map(|host| (*host).into()).collect(),
        proven_since: None,
        origin: None,
    }
}

#[gtest]
fn choose_divides_slots_among_entries() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 4, 0.0, now);
    let taken = (0..100).take_while(|_| backends.choose(&requirements(&[]), now).is_ok()).count();
    expect_that!(taken, eq(SLOTS.div_ceil(4) as usize));
    expect_that!(backends.choose(&requirements(&[]), now), err(matches_pattern!(Refused::Full(_))));
}

#[gtest]
fn choose_uses_a_released_slot() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 26, 0.0, now);
    let choice = backends.choose(&requirements(&[]), now).expect("a free slot");
    expect_true!(backends.choose(&requirements(&[]), now).is_err());
    backends.release(&choice.slot);
    expect_true!(backends.choose(&requirements(&[]), now).is_ok());
}

#[gtest]
fn choose_balances_over_groups_of_the_model() {
    let now = Instant::now();
    let groups = vec![
        replica("a", "near", Some(("g1", "large"))),
        replica("b", "near", Some(("g2", "large"))),
        replica("c", "near", Some(("g3", "other"))),
    ];
    let mut backends = backends(groups, 4, 0.0, now);
    for _ in 0..8 {
        backends.choose(&requirements(&[]), now).expect("a free slot");
    }
    let running: Vec<(String, usize)> =
        backends.running().map(|(h, n)| (h.to_string(), n)).collect();
    expect_that!(
        running,
        elements_are![eq(&("a".to_owned(), 4)), eq(&("b".to_owned(), 4)), eq(&("c".to_owned(), 0))]
    );
}

#[gtest]
fn choose_skips_failed_and_unreachable_servers() {
    let now = Instant::now();
    let groups = vec![
        replica("a", "near", Some(("g1", "large"))),
        replica("b", "near", Some(("g2", "large"))),
    ];
    let mut backends = backends(groups, 1, 0.0, now);
    backends.mark_unreachable(&"b".into(), now);
    expect_that!(
        &*backends.choose(&requirements(&[]), now).expect("a free slot").replica.host,
        eq("a")
    );
    expect_that!(
        backends.choose(&requirements(&["a"]), now),
        err(matches_pattern!(Refused::Full(_)))
    );
    let later = now + Duration::from_secs(2);
    expect_that!(
        &*backends.choose(&requirements(&["a"]), later).expect("a free slot").replica.host,
        eq("b")
    );
}

#[gtest]
fn choose_refuses_a_model_that_no_server_offers() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "other")))], 1, 0.0, now);
    expect_that!(backends.choose(&requirements(&[]), now), err(eq(&Refused::NoServer)));
}

#[gtest]
fn choose_divides_the_rate_limit_of_a_cold_head() {
    let now = Instant::now();
    let mut cold = replica("a", "near", Some(("g1", "large")));
    cold.cold_remaining = Duration::from_secs(3);
    let mut backends = backends(vec![cold], 4, 12.0, now);
    let taken = (0..100).take_while(|_| backends.choose(&requirements(&[]), now).is_ok()).count();
    expect_that!(taken, eq(3), "a quarter of 12 requests per second");
    let later = now + Duration::from_millis(1100);
    expect_true!(backends.choose(&requirements(&[]), later).is_ok());
}

#[gtest]
fn choose_cold_limit_counts_entries_not_yet_ready() {
    let now = Instant::now();
    let mut cold = replica("a", "near", Some(("g1", "large")));
    cold.cold_remaining = Duration::from_secs(3);
    let mut backends = backends(Vec::new(), 1, 12.0, now);
    // After all entries have restarted, the view lists only the first one as ready, but four send.
    backends.set_view(RoutingView { senders: 4, ..view(vec![cold], 1) }, now);
    let taken = (0..100).take_while(|_| backends.choose(&requirements(&[]), now).is_ok()).count();
    expect_that!(taken, eq(3));
}

#[gtest]
fn choose_spreads_the_retries_of_refused_callers() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 26, 0.0, now);
    backends.choose(&requirements(&[]), now).expect("a free slot");
    let mut waits: Vec<Duration> = (0..10)
        .filter_map(|_| match backends.choose(&requirements(&[]), now) {
            Err(Refused::Full(after)) => Some(after),
            _ => None,
        })
        .collect();
    waits.sort_unstable();
    let least_gap = waits.windows(2).map(|pair| pair[1] - pair[0]).min().expect("ten waits");
    expect_that!(least_gap, gt(Duration::from_millis(20)));
}

#[gtest]
fn stalled_group_with_an_old_request_and_no_event() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 1, 0.0, now);
    let choice = backends.choose(&requirements(&[]), now).expect("a free slot");
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
    backends.choose(&requirements(&[]), now).expect("a free slot");
    let once = backends.demand(now);
    let _ = backends.choose(&requirements(&["a"]), now);
    expect_that!(backends.demand(now), eq(&once));
}

#[gtest]
fn set_view_keeps_running_requests_of_unchanged_groups() {
    let now = Instant::now();
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group.clone()], 26, 0.0, now);
    backends.choose(&requirements(&[]), now).expect("a free slot");
    backends.set_view(view(vec![group], 26), now);
    expect_true!(backends.choose(&requirements(&[]), now).is_err());
    backends.set_view(view(vec![replica("a", "near", Some(("g2", "large")))], 26), now);
    expect_true!(
        backends.choose(&requirements(&[]), now).is_ok(),
        "a new group runs no request yet"
    );
}

#[gtest]
fn choose_fills_the_share_of_slots_set_by_control() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("h1", "near", Some(("g1", "large")))], 4, 0.0, now);
    backends.set_share(0.85);
    let taken = (0..SLOTS).take_while(|_| backends.choose(&requirements(&[]), now).is_ok()).count();
    expect_that!(taken, eq(23));
    // An entry without callers keeps one slot for its next caller; it is already taken here.
    backends.set_share(0.0);
    expect_that!(backends.choose(&requirements(&[]), now), err(anything()));
}

#[gtest]
fn request_rate_counts_refused_requests_and_decays() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("h1", "near", Some(("g1", "large")))], 1, 0.0, now);
    for at in 0..200 {
        let _ = backends.choose(&requirements(&[]), now + Duration::from_millis(10 * at));
    }
    let end = now + Duration::from_secs(2);
    expect_that!(backends.request_rate(end), near(100.0, 10.0));
    expect_that!(backends.request_rate(end + Duration::from_secs(3)), lt(1.0));
}

#[gtest]
fn choose_prefers_groups_that_process_no_long_prompt() {
    let now = Instant::now();
    let groups = [("h1", "g1"), ("h2", "g2")];
    let replicas = groups.map(|(host, group)| replica(host, "near", Some((group, "large"))));
    let mut backends = backends(replicas.into(), 1, 0.0, now);
    let long = Requirements { prompt_tokens: 2048, ..requirements(&[]) };
    let busy = backends.choose(&long, now).expect("a free slot");
    // Three requests that already generate tokens are less of a load than one prompt that is still
    // to be processed.
    for _ in 0..3 {
        let other = backends.choose(&requirements(&[]), now).expect("a free slot");
        expect_that!(other.replica.host, ne(&busy.replica.host));
        backends.record_progress(&other.slot, now);
    }
    let next = backends.choose(&requirements(&[]), now).expect("a free slot");
    expect_that!(next.replica.host, ne(&busy.replica.host));
}

/// For 3 s, lets the entries send as many requests as they may to one head that has just become
/// cold. Returns when each request was sent, in milliseconds after the head became cold.
fn sent_to_cold_head(entries: &mut [Backends], start: Instant) -> Vec<u64> {
    let mut cold = replica("h1", "near", Some(("g1", "large")));
    cold.cold_remaining = Duration::from_secs(3);
    let view = RoutingView { senders: entries.len(), ..view(vec![cold], 34) };
    for backends in entries.iter_mut() {
        backends.set_view(view.clone(), start);
    }
    let mut sent = Vec::new();
    for at in (0..3000).step_by(10) {
        let now = start + Duration::from_millis(at);
        for backends in entries.iter_mut() {
            if let Ok(choice) = backends.choose(&requirements(&[]), now) {
                sent.push(at);
                backends.release(&choice.slot);
            }
        }
    }
    sent
}

#[gtest]
fn choose_many_entries_keep_to_the_limit_of_a_cold_head() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let new = |phase| {
            let mut backends = Backends::new("near".into(), phase);
            backends.set_manifest(manifest(15.0));
            backends
        };
        let mut entries: Vec<Backends> = (0..34).map(|_| new(rng.f64())).collect();
        let start = Instant::now();
        // The head becomes cold again 20 s later.
        for start in [start, start + Duration::from_secs(20)] {
            let sent = sent_to_cold_head(&mut entries, start);
            let within =
                |at: u64| sent.iter().filter(|other| (at..at + 1000).contains(*other)).count();
            // In any second, all entries together may send 1.5 times the limit of 15, plus 5.
            expect_that!(sent.iter().map(|at| within(*at)).max(), some(le(27)));
            expect_that!(sent.len(), ge(30), "seed {seed}: the head gets close to its limit");
        }
    }
}

/// Guards against requests to a server that is leaving, after it was absent from the view or has
/// joined another group.
#[gtest]
fn choose_passes_over_a_leaving_server_until_it_starts_again() {
    let now = Instant::now();
    let leaving = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![leaving.clone()], 1, 0.0, now);
    let notice = Notice { leaving: true, ..Notice::default() };
    expect_true!(backends.record_notice(&leaving, &notice, now, now));
    expect_false!(backends.record_notice(&leaving, &notice, now, now));
    // A response to an earlier request may arrive later.
    backends.record_notice(&leaving, &Notice::default(), now, now);
    expect_true!(backends.choose(&requirements(&[]), now).is_err());
    backends.set_view(view(vec![], 1), now);
    backends.set_view(view(vec![replica("a", "near", Some(("g2", "large")))], 1), now);
    expect_true!(backends.choose(&requirements(&[]), now).is_err());
    let again = Replica { incarnation: 2, ..leaving.clone() };
    backends.set_view(view(vec![again], 1), now);
    expect_true!(backends.choose(&requirements(&[]), now).is_ok());
    // A late response of the earlier incarnation.
    backends.record_notice(&leaving, &notice, now, now);
    expect_true!(backends.choose(&requirements(&[]), now).is_ok());
}

#[gtest]
fn choose_passes_over_a_closed_server_until_it_opens() {
    let now = Instant::now();
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group.clone()], 1, 0.0, now);
    let close =
        |seconds| Notice { closed_for: Some(Duration::from_secs(seconds)), ..Notice::default() };
    backends.record_notice(&group, &close(5), now, now);
    // An answer that was sent earlier doesn't open it.
    backends.record_notice(&group, &close(2), now, now);
    backends.record_notice(&group, &Notice::default(), now, now);
    let Err(Refused::Full(after)) = backends.choose(&requirements(&[]), now) else {
        panic!("it is closed");
    };
    expect_that!(after, ge(Duration::from_secs(5)));
    expect_true!(backends.choose(&requirements(&[]), now + Duration::from_millis(4999)).is_err());
    expect_true!(backends.choose(&requirements(&[]), now + Duration::from_secs(5)).is_ok());
}

/// Guards against a closed server that is sent requests because it was out of the view for a while.
#[gtest]
fn record_notice_forgotten_while_out_of_the_view() {
    let now = Instant::now();
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group.clone()], 1, 0.0, now);
    let notice = Notice { closed_for: Some(Duration::from_secs(200)), ..Notice::default() };
    backends.record_notice(&group, &notice, now, now);
    for second in [1, 70, 140] {
        backends.set_view(view(vec![], 1), now + Duration::from_secs(second));
    }
    let back = now + Duration::from_secs(150);
    backends.set_view(view(vec![group], 1), back);
    expect_true!(backends.choose(&requirements(&[]), back).is_err());
    expect_true!(backends.choose(&requirements(&[]), now + Duration::from_secs(200)).is_ok());
}

/// Guards against probes of servers that want no requests now.
#[gtest]
fn probe_targets_include_closed_servers() {
    let now = Instant::now();
    let replicas = ["a", "b", "c"].map(|host| replica(host, "near", Some((host, "large"))));
    let mut backends = backends(replicas.to_vec(), 1, 0.0, now);
    let closed = Notice { closed_for: Some(Duration::from_secs(3)), ..Notice::default() };
    backends.record_notice(&replicas[0], &closed, now, now);
    let leaving = Notice { leaving: true, ..Notice::default() };
    backends.record_notice(&replicas[1], &leaving, now, now);
    let hosts = |at| -> Vec<Box<str>> {
        let targets = backends.probe_targets(3, at, |_| 0);
        targets.into_iter().map(|(host, _)| host).collect()
    };
    expect_that!(hosts(now), elements_are![eq(&Box::from("c"))]);
    let open = hosts(now + Duration::from_secs(3));
    expect_that!(open, unordered_elements_are![eq(&Box::from("a")), eq(&Box::from("c"))]);
}

/// Guards against a time that is added to the clock and overflows.
#[gtest]
fn record_notice_closed_for_ever() {
    let now = Instant::now();
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group.clone()], 1, 0.0, now);
    let notice = Notice { closed_for: Some(Duration::MAX), ..Notice::default() };
    backends.record_notice(&group, &notice, now, now);
    expect_true!(backends.choose(&requirements(&[]), now).is_err());
    expect_true!(backends.choose(&requirements(&[]), now + Duration::from_secs(600)).is_ok());
}

/// Guards against a server that is full for long and costs most requests a retry.
#[gtest]
fn mark_full_again_and_again_skips_a_server_for_longer() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let group = replica("a", "near", Some(("g1", "large")));
    let mut backends = backends(vec![group], 1, 0.0, start);
    let mut refused = 0;
    for ms in (0..4000).step_by(10) {
        if let Ok(choice) = backends.choose(&requirements(&[]), at(ms)) {
            backends.release(&choice.slot);
            backends.mark_full(&"a".into(), at(ms));
            refused += 1;
        }
    }
    expect_that!(refused, all![ge(8), le(13)]);
    // One answer ends it.
    let choice = backends.choose(&requirements(&[]), at(5000)).expect("it is tried again");
    backends.record_progress(&choice.slot, at(5010));
    backends.mark_full(&"a".into(), at(5020));
    expect_true!(backends.choose(&requirements(&[]), at(5080)).is_ok());
}

/// Requirements of a request that an entry with this share has passed on.
fn passed_on(entry: &str, share: f64) -> Requirements {
    let origin = Origin { entry: entry.into(), share };
    Requirements { origin: Some(origin), ..requirements(&[]) }
}

#[gtest]
fn choose_passed_on_requests_take_no_slots_of_callers() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 4, 0.0, now);
    let taken = |backends: &mut Backends, requirements: &Requirements| {
        (0..100).take_while(|_| backends.choose(requirements, now).is_ok()).count()
    };
    expect_that!(taken(&mut backends, &passed_on("e2", 0.5)), eq(SLOTS as usize / 2));
    expect_that!(taken(&mut backends, &passed_on("e3", 0.1)), eq(3));
    expect_that!(taken(&mut backends, &requirements(&[])), eq(SLOTS.div_ceil(4) as usize));
}

#[gtest]
fn demand_counts_passed_on_requests_where_they_came_from() {
    let now = Instant::now();
    let mut backends = backends(vec![replica("a", "near", Some(("g1", "large")))], 4, 0.0, now);
    expect_that!(backends.choose(&passed_on("e2", 0.5), now), ok(anything()));
    expect_that!(backends.request_rate(now), eq(0.0));
    // An entry without links, which finds no server that it reaches, counts the request.
    let unreached = Requirements { proven_since: Some(now), ..requirements(&[]) };
    expect_that!(backends.choose(&unreached, now), err(anything()));
    expect_that!(backends.request_rate(now), gt(0.0));
}

#[gtest]
fn choose_only_proven_servers() {
    let start = Instant::now();
    let replicas = ["a", "b"].map(|host| replica(host, "near", Some((host, "large"))));
    let mut backends = backends(replicas.to_vec(), 1, 0.0, start);
    let only_proven = Requirements { proven_since: Some(start), ..requirements(&[]) };
    backends.mark_proven(&"b".into(), start);
    for _ in 0..3 {
        let choice = backends.choose(&only_proven, start).expect("a server");
        expect_that!(&*choice.replica.host, eq("b"));
    }
    backends.mark_unreachable(&"b".into(), start);
    expect_that!(backends.choose(&only_proven, start), err(anything()));
    backends.mark_proven(&"a".into(), start);
    let late = start + Duration::from_secs(4);
    expect_that!(backends.choose(&only_proven, late), err(anything()));
    // A proof from before the links were lost.
    let lost_at = start + Duration::from_millis(1);
    let since = Requirements { proven_since: Some(lost_at), ..requirements(&[]) };
    expect_that!(backends.choose(&since, lost_at), err(anything()));
}

#[gtest]
fn probe_targets_are_in_all_failure_domains() {
    let now = Instant::now();
    let replicas = [("a", "x"), ("b", "x"), ("c", "x"), ("d", "y"), ("e", "z")];
    let replicas = replicas.map(|(host, domain)| replica(host, domain, Some((host, "large"))));
    let backends = backends(replicas.to_vec(), 1, 0.0, now);
    let hosts = |count: usize| -> Vec<Box<str>> {
        let targets = backends.probe_targets(count, now, |count| count - 1);
        targets.into_iter().map(|(host, _)| host).collect()
    };
    expect_that!(
        hosts(3),
        unordered_elements_are![eq(&Box::from("c")), eq(&Box::from("d")), eq(&Box::from("e"))]
    );
    expect_that!(hosts(9), len(eq(5)));
}
