//! Graceful shutdown.

use crate::entry_state::EntryState;
use async_io::Timer;
use base::limits::{DIRECTORY_TTL, DRAIN_TIMEOUT};
use log::info;

/// Leaves the directory, keeps serving until callers' cached directories have expired, then stops
/// accepting requests and waits up to `DRAIN_TIMEOUT` for the last one to end.
pub async fn drain(state: &EntryState) {
    info!("event=drain name={}", state.name);
    state.leaving.trigger();
    Timer::after(DIRECTORY_TTL).await;
    state.stop.trigger();
    let drained = state.stop.drained(DRAIN_TIMEOUT).await;
    info!("event=drained name={} all_answered={drained}", state.name);
}
