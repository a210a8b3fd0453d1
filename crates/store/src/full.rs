//! A full disk: the process waits until there is room, as it would for a slow disk.

use std::{io, thread, time::Duration};

/// Repeats `attempt` for as long as it fails because the disk is full. Nothing is known to be
/// written then, and nothing has been answered, so that waiting loses nothing.
///
/// # Errors
///
/// Fails if an attempt fails for another reason.
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
