//! The data folder of one node.

use crate::{
    error::StoreError,
    frame::{Frame, Record, decode, encode},
    full::retry_while_full,
};
use replog::{Entry, HardState, NodeId, Restored, Snapshot, Write};
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write as _},
    path::{Path, PathBuf},
    time::Duration,
};

const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const NEW_LOG_FILE: &str = "log.new";
/// Pause between two tries to write to a full disk.
const FULL_PAUSE: Duration = Duration::from_millis(100);
const LOCK_FILE: &str = "lock";

/// What a data folder held.
#[derive(Debug)]
pub struct Loaded {
    /// The identity of the folder.
    pub identity: NodeId,
    /// The node's state.
    pub restored: Restored,
    /// Bytes of a torn last record that were cut off.
    pub cut_bytes: u64,
}

/// The open data folder of one node.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    hard_state: HardState,
    /// Records after the last snapshot, which a new file must repeat.
    tail: Vec<Entry>,
    _lock: File,
}

impl Store {
    /// Opens a data folder, or makes a new one with the identity `fresh_identity`.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be used, is in use, or holds damaged records.
    pub fn open(folder: &Path, fresh_identity: NodeId) -> Result<(Store, Loaded), StoreError> {
        fs::create_dir_all(folder).map_err(|e| io_error("create", folder, e))?;
        let lock = lock(folder)?;
        let identity = read_identity(folder, fresh_identity)?;
        let path = folder.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(io_error("read", &path, e)),
        };
        let (restored, sound_bytes) = replay(&path, &bytes)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(|e| io_error("open", &path, e))?;
        let cut_bytes = bytes.len() as u64 - sound_bytes;
        if cut_bytes > 0 {
            log.set_len(sound_bytes).map_err(|e| io_error("truncate", &path, e))?;
        }
        log.sync_all().map_err(|e| io_error("sync", &path, e))?;
        sync_folder(folder)?;
        let store = Store {
            folder: folder.to_owned(),
            log,
            log_bytes: sound_bytes,
            hard_state: restored.hard_state,
            tail: restored.entries.clone(),
            _lock: lock,
        };
        Ok((store, Loaded { identity, restored, cut_bytes }))
    }

    /// The size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Writes and syncs.
    ///
    /// # Errors
    ///
    /// After an error nothing is known of what is on the disk: the process must stop.
    pub fn write(&mut self, writes: Vec<Write>) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        for write in writes {
            match write {
                Write::HardState(hard_state) => {
                    self.hard_state = hard_state;
                    encode(&Record::HardState(hard_state), &mut buf);
                }
                Write::Truncate(index) => {
                    self.tail.retain(|entry| entry.index < index);
                    encode(&Record::Truncate(index), &mut buf);
                }
                Write::Append(entry) => {
                    let record = Record::Append(entry);
                    encode(&record, &mut buf);
                    if let Record::Append(entry) = record {
                        self.tail.push(entry);
                    }
                }
                Write::Snapshot { snapshot, keep_tail } => {
                    let keep = |entry: &Entry| keep_tail && entry.index > snapshot.index;
                    self.tail.retain(keep);
                    self.replace_log(snapshot)?;
                    // What the buffer held is part of the new file.
                    buf.clear();
                }
            }
        }
        if buf.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG_FILE);
        let (log, sound_bytes) = (&mut self.log, self.log_bytes);
        let appended = retry_while_full(FULL_PAUSE, || {
            let written = log.write_all(&buf);
            if written.is_err() {
                // What was written of it must not stand before the next try.
                log.set_len(sound_bytes)?;
            }
            written
        });
        appended.map_err(|e| io_error("write", &path, e))?;
        self.log.sync_data().map_err(|e| io_error("sync", &path, e))?;
        self.log_bytes += buf.len() as u64;
        Ok(())
    }

    fn replace_log(&mut self, snapshot: Snapshot) -> Result<(), StoreError> {
        let mut buf = Vec::new();
        encode(&Record::HardState(self.hard_state), &mut buf);
        encode(&Record::Snapshot(snapshot), &mut buf);
        for entry in &self.tail {
            encode(&Record::Append(entry.clone()), &mut buf);
        }
        let new_path = self.folder.join(NEW_LOG_FILE);
        let path = self.folder.join(LOG_FILE);
        retry_while_full(FULL_PAUSE, || write_synced(&new_path, &buf))
            .map_err(|e| io_error("write", &new_path, e))?;
        fs::rename(&new_path, &path).map_err(|e| io_error("rename", &new_path, e))?;
        sync_folder(&self.folder)?;
        self.log =
            OpenOptions::new().append(true).open(&path).map_err(|e| io_error("open", &path, e))?;
        self.log_bytes = buf.len() as u64;
        Ok(())
    }
}

fn replay(path: &Path, bytes: &[u8]) -> Result<(Restored, u64), StoreError> {
    let mut restored = Restored::default();
    let mut offset = 0;
    loop {
        match decode(bytes, offset) {
            Frame::Whole(record, next) => {
                take(&mut restored, record).map_err(|cause| StoreError::Damaged {
                    path: path.to_owned(),
                    offset: offset as u64,
                    cause,
                })?;
                offset = next;
            }
            Frame::End | Frame::Torn => return Ok((restored, offset as u64)),
            Frame::Damaged(cause) => {
                return Err(StoreError::Damaged {
                    path: path.to_owned(),
                    offset: offset as u64,
                    cause,
                });
            }
        }
    }
}

fn take(restored: &mut Restored, record: Record) -> Result<(), &'static str> {
    match record {
        Record::HardState(hard_state) => restored.hard_state = hard_state,
        Record::Truncate(index) => restored.entries.retain(|entry| entry.index < index),
        Record::Append(entry) => {
            let last = restored.entries.last().map_or(restored.snapshot.index, |last| last.index);
            if entry.index != last + 1 {
                return Err("it does not follow the record before it");
            }
            restored.entries.push(entry);
        }
        Record::Snapshot(snapshot) => {
            restored.entries.clear();
            restored.snapshot = snapshot;
        }
    }
    Ok(())
}

fn lock(folder: &Path) -> Result<File, StoreError> {
    let path = folder.join(LOCK_FILE);
    let file = File::create(&path).map_err(|e| io_error("create", &path, e))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StoreError::Locked { path: folder.to_owned() }),
        Err(TryLockError::Error(e)) => Err(io_error("lock", &path, e)),
    }
}

fn read_identity(folder: &Path, fresh: NodeId) -> Result<NodeId, StoreError> {
    let path = folder.join(IDENTITY_FILE);
    match fs::read_to_string(&path) {
        Ok(text) => NodeId::from_str_radix(text.trim(), 16).map_err(|_| StoreError::Damaged {
            path,
            offset: 0,
            cause: "it is not an identity of 16 hexadecimal digits",
        }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            if folder.join(LOG_FILE).exists() {
                let cause = "the identity is missing beside a log";
                return Err(StoreError::Damaged { path, offset: 0, cause });
            }
            let new_path = folder.join("identity.new");
            write_synced(&new_path, format!("{fresh:016x}\n").as_bytes())
                .map_err(|e| io_error("write", &new_path, e))?;
            fs::rename(&new_path, &path).map_err(|e| io_error("rename", &new_path, e))?;
            sync_folder(folder)?;
            Ok(fresh)
        }
        Err(e) => Err(io_error("read", &path, e)),
    }
}

fn write_synced(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}

fn sync_folder(folder: &Path) -> Result<(), StoreError> {
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(|e| io_error("sync", folder, e))
}

fn io_error(operation: &'static str, path: &Path, cause: io::Error) -> StoreError {
    StoreError::Io { operation, path: path.to_owned(), cause }
}
