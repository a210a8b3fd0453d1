//! Signals that ask a process to stop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signals can't be watched.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}

/// Waits for SIGHUP, once for each call.
///
/// # Errors
///
/// Fails if the signal can't be watched.
pub async fn wait_for_reload_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Hup])?;
    signals.next().await;
    Ok(())
}
