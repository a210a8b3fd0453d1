//! A full disk.

use googletest::prelude::*;
use std::{cell::Cell, io, time::Duration};
use store::retry_while_full;

fn attempts_until(outcomes: &[io::ErrorKind]) -> (io::Result<()>, usize) {
    let tries = Cell::new(0);
    let result = retry_while_full(Duration::from_millis(1), || {
        let at = tries.replace(tries.get() + 1);
        outcomes.get(at).map_or(Ok(()), |kind| Err((*kind).into()))
    });
    (result, tries.get())
}

#[gtest]
fn retry_while_full_waits_for_room() {
    let (result, tries) = attempts_until(&[io::ErrorKind::StorageFull; 3]);
    expect_true!(result.is_ok());
    expect_that!(tries, eq(4));
}

#[gtest]
fn retry_while_full_other_faults_end_it() {
    let (result, tries) =
        attempts_until(&[io::ErrorKind::StorageFull, io::ErrorKind::PermissionDenied]);
    expect_that!(result.map_err(|e| e.kind()), err(eq(io::ErrorKind::PermissionDenied)));
    expect_that!(tries, eq(2));
}
