//! The data folder of one node.

use crate::{
    error::StoreError,
    frame::{Frame, Record, decode, encode},
    full::{append_while_full, retry_while_full},
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
/// The pause between attempts to write to a full disk.
const DISK_FULL_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const LOCK_FILE: &str = "lock";

/// The contents of a data folder when it was opened.
#[derive(Debug)]
pub struct Loaded {
    /// The identity of the folder.
    pub identity: NodeId,
    /// The stored state of the node.
    pub restored: Restored,
    /// The size of the torn last record that was truncated, in bytes.
    pub cut_bytes: u64,
}

/// The open data folder of one node.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: File,
    log_bytes: u64,
    hard_state: HardState,
    /// The log entries after the last snapshot, which a new log file must contain as well.
    tail: Vec<Entry>,
    _lock: File,
}

impl Store {
    /// Opens a data folder. A missing or empty one is initialised with `new_identity`.
    ///
    /// # Errors
    ///
    /// Fails if the folder can't be accessed, is in use, or contains damaged records.
    pub fn open(folder: &Path, new_identity: NodeId) -> Result<(Store, Loaded), StoreError> {
        fs::create_dir_all(folder).map_err(|e| io_error("create", folder, e))?;
        let lock = lock(folder)?;
        let identity = read_identity(folder, new_identity)?;
        let path = folder.join(LOG_FILE);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(io_error("read", &path, e)),
        };
        let (restored, valid_bytes) = replay(&path, &bytes)?;
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&path)
            .map_err(|e| io_error("open", &path, e))?;
        let cut_bytes = bytes.len() as u64 - valid_bytes;
        if cut_bytes > 0 {
            log.set_len(valid_bytes).map_err(|e| io_error("truncate", &path, e))?;
        }
        log.sync_all().map_err(|e| io_error("sync", &path, e))?;
        sync_folder(folder)?;
        let store = Store {
            folder: folder.to_owned(),
            log,
            log_bytes: valid_bytes,
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

    /// Writes to the log file and syncs it.
    ///
    /// # Errors
    ///
    /// After an error the contents of the file are unknown, so the process must stop.
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
                    // The new file already reflects the buffered records.
                    buf.clear();
                }
            }
        }
        if buf.is_empty() {
            return Ok(());
        }
        let path = self.folder.join(LOG_FILE);
        append_while_full(&mut self.log, self.log_bytes, &buf, DISK_FULL_RETRY_INTERVAL)
            .map_err(|e| io_error("write", &path, e))?;
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
        retry_while_full(DISK_FULL_RETRY_INTERVAL, || write_synced(&new_path, &buf))
            .map_err(|e| io_error("write", &new_path, e))?;
        retry_while_full(DISK_FULL_RETRY_INTERVAL, || fs::rename(&new_path, &path))
            .map_err(|e| io_error("rename", &new_path, e))?;
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
            Frame::Complete(record, next) => {
                apply_record(&mut restored, record).map_err(|cause| StoreError::Damaged {
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

fn apply_record(restored: &mut Restored, record: Record) -> Result<(), &'static str> {
    match record {
        Record::HardState(hard_state) => restored.hard_state = hard_state,
        Record::Truncate(index) => restored.entries.retain(|entry| entry.index < index),
        Record::Append(entry) => {
            let last = restored.entries.last().map_or(restored.snapshot.index, |last| last.index);
            if entry.index != last + 1 {
                return Err("its log index does not follow that of the entry before it");
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
            cause: "not an identity of 16 hexadecimal digits",
        }),
        Err(e) if e.kind() == io::ErrorKind::NotFound => {
            if folder.join(LOG_FILE).exists() {
                let cause = "a log exists but the identity file is missing";
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
