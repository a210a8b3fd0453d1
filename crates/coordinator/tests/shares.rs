//! Entries get the places that their callers ask for.

use coordinator::SlotShares;
use googletest::prelude::*;
use std::collections::BTreeMap;

fn asked(rates: &[f64]) -> BTreeMap<u64, f64> {
    rates.iter().enumerate().map(|(at, rate)| (at as u64, *rate)).collect()
}

#[gtest]
fn divide_evenly_while_nothing_is_asked() {
    let mut shares = SlotShares::default();
    let parts = shares.divide(&asked(&[0.0, 0.0, 0.0, 0.0]));
    expect_that!(parts.iter().map(|part| part.1).collect::<Vec<_>>(), each(approx_eq(0.25)));
}

#[gtest]
fn divide_most_to_the_only_entry_that_is_asked() {
    let mut shares = SlotShares::default();
    let parts: BTreeMap<u64, f64> =
        shares.divide(&asked(&[150.0, 0.0, 0.0, 0.0])).into_iter().collect();
    expect_that!(parts[&0], gt(0.8));
    expect_that!(parts[&1], gt(0.0));
    expect_that!(parts.values().sum::<f64>(), approx_eq(1.0));
}

#[gtest]
fn divide_tells_nothing_without_a_change() {
    let mut shares = SlotShares::default();
    shares.divide(&asked(&[50.0, 50.0]));
    expect_that!(shares.divide(&asked(&[50.5, 49.5])), is_empty());
    expect_that!(shares.divide(&asked(&[80.0, 20.0])), len(eq(2)));
}

#[gtest]
fn divide_anew_when_an_entry_goes() {
    let mut shares = SlotShares::default();
    shares.divide(&asked(&[50.0, 50.0]));
    let parts = shares.divide(&asked(&[50.0]));
    expect_that!(parts, elements_are![eq(&(0, 1.0))]);
}
