//! Waits for free space when the disk is full, as for a slow disk.

use std::{
    fs::File,
    io::{self, Write},
    thread,
    time::Duration,
};

/// A file that records are appended to.
pub trait AppendFile {
    /// Appends all of `buf`. A part of it may have been appended after an error.
    ///
    /// # Errors
    ///
    /// Fails as writes to files do.
    fn append(&mut self, buf: &[u8]) -> io::Result<()>;

    /// Removes what comes after the first `len` bytes.
    ///
    /// # Errors
    ///
    /// Fails as changes of the length of files do.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
}

impl AppendFile for File {
    fn append(&mut self, buf: &[u8]) -> io::Result<()> {
        self.write_all(buf)
    }

    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.set_len(len)
    }
}

/// Appends `buf` to a file of `len` bytes, however long the disk is full.
///
/// # Errors
///
/// Fails if an attempt fails for any other reason. The file may hold a part of `buf` then.
pub fn append_while_full(
    file: &mut dyn AppendFile,
    len: u64,
    buf: &[u8],
    pause: Duration,
) -> io::Result<()> {
    let mut is_partial = false;
    retry_while_full(pause, || {
        // The change of the length may fail as well.
        if is_partial {
            file.truncate(len)?;
        }
        is_partial = true;
        file.append(buf)
    })
}

/// Repeats `attempt` for as long as it fails because the disk is full.
///
/// Waiting is safe: nothing counts as written yet, and no request that depends on the write
/// has been answered.
///
/// # Errors
///
/// Fails if an attempt fails for any other reason.
pub fn retry_while_full<T>(
    pause: Duration,
    mut attempt: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let mut waited = false;
    loop {
        match attempt() {
            Err(e) if e.kind() == io::ErrorKind::StorageFull => {
                if !waited {
                    log::warn!("event=disk_full");
                }
                waited = true;
                thread::sleep(pause);
            }
            outcome => {
                if waited {
                    log::info!("event=disk_has_room");
                }
                return outcome;
            }
        }
    }
}
