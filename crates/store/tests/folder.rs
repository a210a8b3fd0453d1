//! The data folder: replay, torn records, damage, identity and snapshots.

use googletest::prelude::*;
use replog::{Entry, HardState, Payload, Snapshot, Voters, Write};
use std::{
    fs::{self, OpenOptions},
    io::{Read, Seek, SeekFrom, Write as _},
    path::Path,
};
use store::{Loaded, Store, StoreError};
use tempfile::TempDir;

const NEW_IDENTITY: u64 = 0xfeed;

fn entry(index: u64) -> Entry {
    Entry { index, term: 1, payload: Payload::Data(index.to_le_bytes().to_vec()) }
}

fn open(folder: &Path) -> std::result::Result<(Store, Loaded), StoreError> {
    Store::open(folder, NEW_IDENTITY)
}

fn fill_log(folder: &Path, records: u64) {
    let (mut store, _) = open(folder).expect("an empty folder opens");
    store.write(vec![Write::HardState(HardState { term: 1, voted_for: Some(7) })]).expect("write");
    for index in 1..=records {
        store.write(vec![Write::Append(entry(index))]).expect("write");
    }
}

fn flip_byte(path: &Path, offset: u64) {
    let mut file = OpenOptions::new().read(true).write(true).open(path).expect("open the log");
    let mut byte = [0];
    file.seek(SeekFrom::Start(offset)).expect("seek");
    file.read_exact(&mut byte).expect("read");
    file.seek(SeekFrom::Start(offset)).expect("seek");
    file.write_all(&[byte[0] ^ 0x40]).expect("write");
}

#[googletest::test]
fn open_after_writes() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 300);
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.entries.len(), eq(300));
    expect_that!(loaded.restored.hard_state, eq(HardState { term: 1, voted_for: Some(7) }));
    expect_that!(loaded.cut_bytes, eq(0));
}

#[googletest::test]
fn open_torn_tail_at_every_length() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 3);
    let log = dir.path().join("log");
    let contents = fs::read(&log).expect("read");
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.entries.len(), eq(3));
    let last_record = contents.len() - (contents.len() - 12 - 4) / 4;
    for length in last_record..contents.len() {
        fs::write(&log, &contents[..length]).expect("write");
        let (_, loaded) = open(dir.path()).expect("a torn record is truncated");
        expect_that!(loaded.restored.entries.len(), ge(2));
        expect_that!(loaded.restored.entries.len(), le(3));
        // The torn record was truncated from the file, so that new records can follow.
        let (_, again) = open(dir.path()).expect("open");
        expect_that!(again.cut_bytes, eq(0));
    }
}

#[googletest::test]
fn open_zeros_after_last_record() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 3);
    let log = dir.path().join("log");
    let mut file = OpenOptions::new().append(true).open(&log).expect("open");
    file.write_all(&[0; 64]).expect("write");
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.entries.len(), eq(3));
    expect_that!(loaded.cut_bytes, eq(64));
}

#[googletest::test]
fn open_damage_before_last_record() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 10);
    let log = dir.path().join("log");
    let length = fs::metadata(&log).expect("metadata").len();
    let contents = fs::read(&log).expect("read");
    let last_record = length - (length - 16) / 11;
    for offset in 0..last_record - 20 {
        fs::write(&log, &contents).expect("write");
        flip_byte(&log, offset);
        let outcome = open(dir.path());
        let message = match outcome {
            Err(e @ StoreError::Damaged { .. }) => e.to_string(),
            other => panic!("damage at byte {offset} was not detected: {other:?}"),
        };
        expect_that!(message, contains_substring("log"));
        expect_that!(message, contains_substring("at byte"));
    }
}

#[googletest::test]
fn open_identity_is_kept() {
    let dir = TempDir::new().expect("a folder");
    let (_, first) = Store::open(dir.path(), 1).expect("open");
    let (_, second) = Store::open(dir.path(), 2).expect("open");
    expect_that!(first.identity, eq(1));
    expect_that!(second.identity, eq(1));
}

#[googletest::test]
fn open_log_without_identity() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 1);
    fs::remove_file(dir.path().join("identity")).expect("remove");
    expect_that!(matches!(open(dir.path()), Err(StoreError::Damaged { .. })), eq(true));
}

#[googletest::test]
fn open_folder_in_use() {
    let dir = TempDir::new().expect("a folder");
    let (_store, _) = open(dir.path()).expect("open");
    expect_that!(matches!(open(dir.path()), Err(StoreError::Locked { .. })), eq(true));
}

#[googletest::test]
fn write_snapshot_keeps_tail() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 10);
    let snapshot =
        Snapshot { index: 8, term: 1, voters: Voters::from([7]), data: b"state".to_vec() };
    {
        let (mut store, _) = open(dir.path()).expect("open");
        let write = Write::Snapshot { snapshot: snapshot.clone(), keep_tail: true };
        store.write(vec![write, Write::Append(entry(11))]).expect("write");
    }
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.snapshot, eq(&snapshot));
    let indexes: Vec<u64> = loaded.restored.entries.iter().map(|entry| entry.index).collect();
    expect_that!(indexes, elements_are![eq(&9), eq(&10), eq(&11)]);
    expect_that!(loaded.restored.hard_state.term, eq(1));
}

#[googletest::test]
fn write_truncate_then_append() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 5);
    {
        let (mut store, _) = open(dir.path()).expect("open");
        let other = Entry { index: 4, term: 2, payload: Payload::Empty };
        store.write(vec![Write::Truncate(4), Write::Append(other)]).expect("write");
    }
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.entries.len(), eq(4));
    expect_that!(loaded.restored.entries[3].term, eq(2));
}

#[googletest::test]
fn open_ignores_unfinished_new_log() {
    let dir = TempDir::new().expect("a folder");
    fill_log(dir.path(), 2);
    // After a crash between writing the new file and renaming it, the old log is used.
    fs::write(dir.path().join("log.new"), b"half a snapshot").expect("write");
    let (_, loaded) = open(dir.path()).expect("open");
    expect_that!(loaded.restored.entries.len(), eq(2));
}

#[googletest::test]
fn write_snapshot_after_folder_removed() {
    let dir = TempDir::new().expect("a folder");
    let (mut store, _) = open(dir.path()).expect("open");
    // The snapshot's new file can't be created because the folder no longer exists.
    fs::remove_dir_all(dir.path()).expect("remove");
    let write = Write::Snapshot { snapshot: Snapshot::default(), keep_tail: false };
    let outcome = store.write(vec![write]);
    expect_that!(matches!(outcome, Err(StoreError::Io { .. })), eq(true));
}
