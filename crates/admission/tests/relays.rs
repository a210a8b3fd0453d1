//! Selection of the entry that takes a request of another one.

use admission::Relays;
use fleet::Relay;
use googletest::prelude::*;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7000 + number))
}

/// An entry in `near`, the first of as many entries in each of two failure domains.
fn relays(in_each: u16) -> Relays {
    let relay = |number: u16| Relay {
        address: address(number),
        domain: if number < in_each { "near".into() } else { "far".into() },
    };
    let mut relays = Relays::new("near".into());
    let all: Vec<Relay> = (0..2 * in_each).map(relay).collect();
    relays.set_view(&all, Some(address(0)));
    relays
}

#[gtest]
fn choose_excludes_itself_and_those_tried() {
    let mut relays = relays(1);
    let now = Instant::now();
    let choice = relays.choose(&[], now).expect("a relay");
    expect_that!((choice.address, choice.candidates), eq((address(1), 1)));
    expect_that!(relays.choose(&[address(1)], now), none());
}

#[gtest]
fn choose_prefers_its_failure_domain_until_loaded() {
    let mut relays = relays(2);
    let now = Instant::now();
    let chosen: Vec<SocketAddr> =
        (0..4).map(|_| relays.choose(&[], now).expect("a relay").address).collect();
    expect_that!(chosen[..2], each(eq(&address(1))));
    expect_that!(chosen[2..], each(not(eq(&address(1)))));
    for address in chosen {
        relays.release(address);
    }
    expect_that!(relays.choose(&[], now).map(|choice| choice.address), some(eq(address(1))));
}

#[gtest]
fn choose_skips_unavailable_for_a_while() {
    let mut relays = relays(1);
    let now = Instant::now();
    relays.mark_unavailable(address(1), now);
    expect_that!(relays.choose(&[], now), none());
    expect_that!(relays.choose(&[], now + Duration::from_secs(1)), some(anything()));
}

#[gtest]
fn mark_silent_spares_a_relay_that_answers_others() {
    let mut relays = relays(1);
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    relays.record_answer(address(1), later);
    relays.mark_silent(address(1), now, later);
    expect_that!(relays.choose(&[], later), some(anything()));
    relays.mark_silent(address(1), later + Duration::from_millis(1), later);
    expect_that!(relays.choose(&[], later), none());
}
