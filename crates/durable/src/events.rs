//! Events of a driver, taken in batches so that one sync serves many.

use std::{
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::Duration,
};

/// Waits up to `tick` for an event and takes those that have come, at most `max`. Returns
/// whether the driver goes on: it ends with an event that `is_stop`, or with its senders.
pub fn receive_batch<E>(
    events: &Receiver<E>,
    tick: Duration,
    max: usize,
    is_stop: impl Fn(&E) -> bool,
    mut take: impl FnMut(E),
) -> bool {
    match events.recv_timeout(tick) {
        Ok(event) if is_stop(&event) => return false,
        Ok(event) => take(event),
        Err(RecvTimeoutError::Disconnected) => return false,
        Err(RecvTimeoutError::Timeout) => return true,
    }
    for event in events.try_iter().take(max.saturating_sub(1)) {
        if is_stop(&event) {
            return false;
        }
        take(event);
    }
    true
}
