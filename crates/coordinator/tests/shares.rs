//! Division of the slots among the entries by request rate.

use coordinator::SlotShares;
use googletest::prelude::*;
use std::collections::BTreeMap;

fn request_rates(rates: &[f64]) -> BTreeMap<u64, f64> {
    rates.iter().enumerate().map(|(at, rate)| (at as u64, *rate)).collect()
}

#[gtest]
fn divide_evenly_without_requests() {
    let mut slots = SlotShares::default();
    let shares = slots.divide(&request_rates(&[0.0, 0.0, 0.0, 0.0]));
    expect_that!(shares.iter().map(|share| share.1).collect::<Vec<_>>(), each(approx_eq(0.25)));
}

#[gtest]
fn divide_most_to_the_only_entry_with_requests() {
    let mut slots = SlotShares::default();
    let shares: BTreeMap<u64, f64> =
        slots.divide(&request_rates(&[150.0, 0.0, 0.0, 0.0])).into_iter().collect();
    expect_that!(shares[&0], gt(0.8));
    expect_that!(shares[&1], gt(0.0));
    expect_that!(shares.values().sum::<f64>(), approx_eq(1.0));
}

#[gtest]
fn divide_sends_only_significant_changes() {
    let mut slots = SlotShares::default();
    slots.divide(&request_rates(&[50.0, 50.0]));
    expect_that!(slots.divide(&request_rates(&[50.5, 49.5])), is_empty());
    expect_that!(slots.divide(&request_rates(&[80.0, 20.0])), len(eq(2)));
}

#[gtest]
fn divide_again_after_an_entry_disconnects() {
    let mut slots = SlotShares::default();
    slots.divide(&request_rates(&[50.0, 50.0]));
    let shares = slots.divide(&request_rates(&[50.0]));
    expect_that!(shares, elements_are![eq(&(0, 1.0))]);
}
