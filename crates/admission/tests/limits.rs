//! Rate limits that backend servers name, over several entries.

mod sample;

use admission::{Backends, Notice, Refused, Requirements};
use fastrand::Rng;
use fleet::{LimitReport, RateShare, Replica, RoutingView};
use googletest::prelude::*;
use sample::manifest;
use std::{
    env,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(20);

fn replica(limit: Option<LimitReport>) -> Replica {
    Replica {
        host: "h1".into(),
        incarnation: 1,
        service: "engines".into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9000)),
        domain: "near".into(),
        slots: 26,
        cold_remaining: Duration::ZERO,
        group: Some(("g1".into(), "large".into())),
        limit,
    }
}

fn requirements() -> Requirements {
    Requirements {
        service: "engines".into(),
        model: Some("large".into()),
        prompt_tokens: 1,
        answer_tokens: 1,
        avoid: Vec::new(),
        proven_since: None,
        origin: None,
    }
}

fn names(per_s: f64) -> Notice {
    Notice { limit_per_s: Some(per_s), may_end_limit: true, ..Notice::default() }
}

fn names_nothing() -> Notice {
    Notice { may_end_limit: true, ..Notice::default() }
}

fn view(limit: Option<LimitReport>, senders: usize) -> RoutingView {
    let (entries, relays) = (Vec::new(), Vec::new());
    RoutingView { replicas: vec![replica(limit)], entries, relays, senders, is_complete: true }
}

fn entry(number: usize, count: usize, now: Instant) -> Backends {
    let mut backends = Backends::new("near".into(), 0.0);
    backends.set_manifest(manifest(0.0));
    backends.set_view(view(None, count), now);
    let size = 1.0 / count as f64;
    backends.set_rate_share(RateShare { start: number as f64 * size, size });
    backends
}

/// Sends a request if the entry permits one, which ends at once.
fn send(entry: &mut Backends, now: Instant) -> bool {
    match entry.choose(&requirements(), now) {
        Ok(choice) => {
            entry.release(&choice.slot);
            true
        }
        Err(_) => false,
    }
}

/// The most requests in any window.
fn most(sent: &[Instant]) -> usize {
    let in_window =
        |at: &Instant| sent.iter().filter(|other| **other >= *at && **other < *at + WINDOW).count();
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Lets all entries, which know the limit, send as often as they may for `time`.
fn sent_under_limit(per_s: f64, entries: usize, time: Duration) -> Vec<Instant> {
    let start = Instant::now();
    let mut entries: Vec<Backends> =
        (0..entries).map(|number| entry(number, entries, start)).collect();
    for entry in &mut entries {
        entry.record_notice(&replica(None), &names(per_s), start, start);
    }
    let mut sent = Vec::new();
    let mut now = start;
    while now < start + time {
        for entry in &mut entries {
            if send(entry, now) {
                sent.push(now);
            }
        }
        now += STEP;
    }
    sent
}

/// Guards against a limit that is rounded up at each of many entries.
#[gtest]
fn choose_many_entries_keep_to_a_named_limit() {
    for per_s in [0.3, 0.5, 1.0, 2.4, 3.5, 7.2, 40.0] {
        for entries in [1, 2, 4, 34] {
            let time = WINDOW * 5;
            let sent = sent_under_limit(per_s, entries, time);
            let capacity = per_s * time.as_secs_f64();
            let permitted = (per_s * WINDOW.as_secs_f64()).max(1.0);
            expect_that!(most(&sent) as f64, le(permitted), "{per_s} over {entries}");
            expect_that!(sent.len() as f64, ge(capacity * 0.7 - 1.0), "{per_s} over {entries}");
        }
    }
}

#[gtest]
fn choose_server_that_takes_no_requests_is_tried_seldom() {
    let sent = sent_under_limit(0.0, 34, Duration::from_secs(130));
    expect_that!(sent.len(), all![ge(1), le(3)]);
}

#[gtest]
fn choose_limit_too_high_to_matter() {
    let now = Instant::now();
    let mut backends = entry(0, 1, now);
    for per_s in [1e6, 1e300, f64::MAX] {
        backends.record_notice(&replica(None), &names(per_s), now, now);
        expect_true!(send(&mut backends, now));
    }
}

/// Guards against callers who are told to retry before the limit permits a request.
#[gtest]
fn choose_refused_under_a_limit_tells_when_there_is_room() {
    let now = Instant::now();
    let mut backends = entry(0, 1, now);
    backends.record_notice(&replica(None), &names(0.25), now, now);
    expect_true!(send(&mut backends, now));
    let Err(Refused::Full(after)) = backends.choose(&requirements(), now) else {
        panic!("the limit is used up");
    };
    expect_that!(after, all![ge(WINDOW), lt(WINDOW + Duration::from_secs(1))]);
}

#[gtest]
fn record_notice_ends_a_limit() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut backends = entry(0, 1, start);
    backends.record_notice(&replica(None), &names(0.25), at(0), at(10));
    expect_true!(send(&mut backends, at(20)));
    // The request was sent before the server named its limit.
    backends.record_notice(&replica(None), &names_nothing(), at(5), at(30));
    expect_false!(send(&mut backends, at(40)));
    // An error need not name it.
    backends.record_notice(&replica(None), &Notice::default(), at(20), at(50));
    expect_false!(send(&mut backends, at(60)));
    backends.record_notice(&replica(None), &names_nothing(), at(20), at(70));
    expect_true!(send(&mut backends, at(80)));
}

/// Guards against an entry that keeps to a limit for good, since it sends nothing and hears
/// nothing, or that forgets it with a new leader.
#[gtest]
fn set_view_publishes_limits_to_entries_that_heard_none() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let published =
        |per_s, age| view(Some(LimitReport { per_s, age: Duration::from_millis(age) }), 1);
    let mut backends = entry(0, 1, start);
    backends.set_view(published(Some(0.25), 100), at(1000));
    expect_true!(send(&mut backends, at(1000)));
    expect_false!(send(&mut backends, at(1100)));
    // A new leader has heard of no limit yet.
    backends.set_view(view(None, 1), at(1200));
    expect_false!(send(&mut backends, at(1300)));
    backends.set_view(published(None, 100), at(1400));
    expect_true!(send(&mut backends, at(1500)));
    // What this entry hears later than the publication goes first.
    backends.record_notice(&replica(None), &names(0.25), at(1500), at(1600));
    backends.set_view(published(None, 500), at(1700));
    expect_false!(send(&mut backends, at(1800)), "it has just been sent one");
    expect_that!(backends.limits(at(1900)), len(eq(1)));
}

/// Entries come, go, stop and are given other parts, and the limit changes, at random. In any
/// window they keep to the highest limit that was named in it or in the window before, as entries
/// that send nothing hear of a lower one from control.
#[test]
fn choose_named_limit_in_random_runs() {
    let cases = env::var("KINGCUP_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(40);
    for seed in 0..cases {
        let mut rng = Rng::with_seed(seed);
        let start = Instant::now();
        let count = rng.usize(1..34);
        let mut entries: Vec<Backends> =
            (0..count).map(|number| entry(number, count, start)).collect();
        let mut per_s = rng.f64() * 12.0;
        // When which limits were named.
        let mut named = vec![(start, per_s)];
        for entry in &mut entries {
            entry.record_notice(&replica(None), &names(per_s), start, start);
        }
        let (mut sent, mut now) = (Vec::new(), start);
        while now < start + Duration::from_secs(60) {
            now += STEP;
            if rng.u32(0..100) == 0 {
                per_s = (per_s * (0.6 + rng.f64())).min(12.0);
            }
            if rng.u32(0..300) == 0 {
                let weights: Vec<f64> = entries.iter().map(|_| rng.f64()).collect();
                let total: f64 = weights.iter().sum();
                let mut begin = 0.0;
                for (entry, weight) in entries.iter_mut().zip(weights) {
                    let size = weight / total;
                    entry.set_rate_share(RateShare { start: begin, size });
                    begin += size;
                }
            }
            // Some entries have few callers at times.
            let pressing = rng.u32(0..100);
            for entry in &mut entries {
                if rng.u32(0..100) < pressing && send(entry, now) {
                    sent.push(now);
                    entry.record_notice(&replica(None), &names(per_s), now, now);
                    named.push((now, per_s));
                }
            }
            if (now - start).as_millis().is_multiple_of(1000) {
                let (at, per_s) = named[named.len() - 1];
                let limit = LimitReport { per_s: Some(per_s), age: now - at };
                for entry in &mut entries {
                    entry.set_view(view(Some(limit), count), now);
                }
            }
        }
        for at in &sent {
            let in_window = |other: &&Instant| **other >= *at && **other < *at + WINDOW;
            let arrived = sent.iter().filter(in_window).count();
            let ends = named.iter().skip(1).map(|(at, _)| *at).chain([now + WINDOW]);
            let in_force = named
                .iter()
                .zip(ends)
                .filter(|((begin, _), end)| *end + WINDOW > *at && *begin < *at + WINDOW);
            let highest = in_force.map(|((_, per_s), _)| *per_s).fold(0.0, f64::max);
            let permitted = (1.5 * highest * WINDOW.as_secs_f64() + 5.0) as usize;
            assert!(
                arrived <= permitted,
                "seed {seed}: {arrived} requests in {WINDOW:?}, {permitted} permitted"
            );
        }
    }
}
