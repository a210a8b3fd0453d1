//! Whether an entry takes its links to backend servers for lost.

use admission::{
    LinkState::{self, Down, Suspect, Up},
    Links,
    ProbeOutcome::{self, Answered, Silent, Unconnected},
    Suspicion,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Links with requests that have just failed at this many servers.
fn suspect(hosts: usize, now: Instant) -> Links {
    let mut links = Links::default();
    for number in 0..hosts {
        links.suspect(&format!("h-{number}").into(), Suspicion::Connection, now);
    }
    links
}

/// The state after the outcomes of one round.
fn after(links: &mut Links, outcomes: &[ProbeOutcome], now: Instant) -> LinkState {
    let is_full = links.needs_full_round(now);
    links.record_round(outcomes, is_full, now)
}

#[gtest]
fn suspect_starts_one_series_of_probes() {
    let now = Instant::now();
    let mut links = Links::default();
    let host = "h".into();
    expect_that!(links.suspect(&host, Suspicion::Connection, now), eq(true));
    expect_that!(links.suspect(&host, Suspicion::Connection, now), eq(false));
    expect_that!(links.state(), eq(Suspect));
}

#[gtest]
fn suspect_silence_while_others_answer() {
    let now = Instant::now();
    let mut links = Links::default();
    links.record_answer(now);
    let silence = Suspicion::Silence(now);
    expect_that!(links.suspect(&"h".into(), silence, now + ms(200)), eq(false));
    expect_that!(links.suspect(&"h".into(), silence, now + ms(600)), eq(true));
}

#[gtest]
fn suspect_new_connections_that_fail_while_kept_ones_answer() {
    let now = Instant::now();
    let mut links = Links::default();
    links.record_answer(now);
    expect_that!(links.suspect(&"h".into(), Suspicion::Connection, now), eq(true));
    expect_that!(after(&mut links, &[Unconnected; 3], now), eq(Down));
}

#[gtest]
fn round_one_server_that_failed() {
    let now = Instant::now();
    let mut links = suspect(1, now);
    expect_that!(after(&mut links, &[Unconnected, Answered], now), eq(Up));
}

#[gtest]
fn round_many_servers_that_failed() {
    let now = Instant::now();
    let mut links = suspect(3, now);
    expect_that!(links.needs_full_round(now), eq(true));
    expect_that!(after(&mut links, &[Unconnected, Unconnected, Answered], now), eq(Down));
    // A failure domain that is dark.
    let mut links = suspect(9, now);
    expect_that!(after(&mut links, &[Answered, Unconnected, Answered], now), eq(Up));
}

#[gtest]
fn round_many_servers_fail_during_it() {
    let now = Instant::now();
    let mut links = suspect(1, now);
    for host in ["i", "j"] {
        links.suspect(&host.into(), Suspicion::Connection, now);
    }
    expect_that!(links.record_round(&[Answered], false, now), eq(Suspect));
    expect_that!(links.record_round(&[Answered; 3], true, now), eq(Up));
}

#[gtest]
fn round_pause_of_sound_servers() {
    let now = Instant::now();
    let mut links = Links::default();
    links.record_answer(now);
    links.suspect(&"h".into(), Suspicion::Silence(now + ms(100)), now + ms(600));
    expect_that!(after(&mut links, &[Silent; 3], now + ms(1100)), eq(Suspect));
    expect_that!(after(&mut links, &[Answered], now + ms(1200)), eq(Up));
}

#[gtest]
fn round_silence_that_lasts() {
    let now = Instant::now();
    let mut links = Links::default();
    links.record_answer(now);
    links.suspect(&"h".into(), Suspicion::Silence(now + ms(100)), now + ms(600));
    expect_that!(after(&mut links, &[Silent; 3], now + ms(1700)), eq(Down));
}

#[gtest]
fn round_silence_is_not_counted_before_the_request_was_sent() {
    let now = Instant::now();
    let mut links = Links::default();
    links.record_answer(now);
    let sent_at = now + ms(60_000);
    links.suspect(&"h".into(), Suspicion::Silence(sent_at), sent_at + ms(500));
    expect_that!(after(&mut links, &[Silent; 3], sent_at + ms(800)), eq(Suspect));
}

#[gtest]
fn round_few_servers_reached_once_down() {
    let now = Instant::now();
    let mut links = suspect(1, now);
    expect_that!(after(&mut links, &[Unconnected; 3], now), eq(Down));
    expect_that!(after(&mut links, &[Answered, Unconnected, Unconnected], now), eq(Down));
    expect_that!(after(&mut links, &[Answered; 3], now), eq(Up));
}

#[gtest]
fn round_without_known_servers() {
    let now = Instant::now();
    let mut links = suspect(1, now);
    expect_that!(after(&mut links, &[], now), eq(Up));
}
