//! Retrying writes while the disk is full.

use googletest::prelude::*;
use std::{cell::Cell, io, time::Duration};
use store::retry_while_full;

fn run_attempts(outcomes: &[io::ErrorKind]) -> (io::Result<()>, usize) {
    let attempts = Cell::new(0);
    let result = retry_while_full(Duration::from_millis(1), || {
        let index = attempts.replace(attempts.get() + 1);
        outcomes.get(index).map_or(Ok(()), |kind| Err((*kind).into()))
    });
    (result, attempts.get())
}

#[gtest]
fn retry_while_full_waits_for_space() {
    let (result, attempts) = run_attempts(&[io::ErrorKind::StorageFull; 3]);
    expect_true!(result.is_ok());
    expect_that!(attempts, eq(4));
}

#[gtest]
fn retry_while_full_stops_at_other_errors() {
    let (result, attempts) =
        run_attempts(&[io::ErrorKind::StorageFull, io::ErrorKind::PermissionDenied]);
    expect_that!(result.map_err(|e| e.kind()), err(eq(io::ErrorKind::PermissionDenied)));
    expect_that!(attempts, eq(2));
}
