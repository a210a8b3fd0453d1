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

/// SIGHUP, which asks a process to read its settings again. It no longer ends the process
/// from the time at which this exists.
#[derive(Debug)]
pub struct ReloadSignal(Signals);

impl ReloadSignal {
    /// Takes the signal over.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be watched.
    pub fn new() -> io::Result<ReloadSignal> {
        Ok(ReloadSignal(Signals::new([Signal::Hup])?))
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        self.0.next().await;
    }
}
