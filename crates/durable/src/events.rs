//! Batched receipt of events, so that one sync covers many of them.

use std::{
    sync::mpsc::{Receiver, RecvTimeoutError},
    time::Duration,
};

/// Waits up to `tick` for an event, then passes it and other queued events, at most `max` in
/// total, to `handle`. Returns `false` if the event loop must end: at an event for which
/// `is_stop` holds, or if the channel is found disconnected while waiting.
pub fn receive_batch<E>(
    events: &Receiver<E>,
    tick: Duration,
    max: usize,
    is_stop: impl Fn(&E) -> bool,
    mut handle: impl FnMut(E),
) -> bool {
    match events.recv_timeout(tick) {
        Ok(event) if is_stop(&event) => return false,
        Ok(event) => handle(event),
        Err(RecvTimeoutError::Disconnected) => return false,
        Err(RecvTimeoutError::Timeout) => return true,
    }
    for event in events.try_iter().take(max.saturating_sub(1)) {
        if is_stop(&event) {
            return false;
        }
        handle(event);
    }
    true
}
