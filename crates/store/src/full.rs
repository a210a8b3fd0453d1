//! Waits for free space when the disk is full, as for a slow disk.

use std::{io, thread, time::Duration};

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
