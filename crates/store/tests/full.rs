//! Retrying writes while the disk is full.

use googletest::prelude::*;
use std::{cell::Cell, io, time::Duration};
use store::{AppendFile, append_while_full, retry_while_full};

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

/// A file on a disk that is full for some attempts.
struct FullDisk {
    bytes: Vec<u8>,
    /// How many bytes each of the next appends writes before the disk is full.
    room: Vec<usize>,
    /// How many of the next changes of the length fail.
    failing_truncates: usize,
}

impl AppendFile for FullDisk {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        match self.room.pop() {
            Some(room) if room < buf.len() => {
                self.bytes.extend_from_slice(&buf[..room]);
                Err(io::ErrorKind::StorageFull.into())
            }
            _ => {
                self.bytes.extend_from_slice(buf);
                Ok(())
            }
        }
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        if self.failing_truncates > 0 {
            self.failing_truncates -= 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.bytes.truncate(len as usize);
        Ok(())
    }
}

/// Guards against a part of a record that stays in the log before the whole one, so that the log
/// counts as damaged at the next start.
#[gtest]
fn append_while_full_leaves_no_partial_record() {
    for room in 0..=6 {
        for failing_truncates in 0..4 {
            let bytes = b"old".to_vec();
            let mut disk = FullDisk { bytes, room: vec![room, 2, room], failing_truncates };
            let appended = append_while_full(&mut disk, 3, b"record", Duration::from_millis(1));
            expect_true!(appended.is_ok());
            expect_that!(disk.bytes, eq(b"oldrecord"), "{room} {failing_truncates}");
        }
    }
}
