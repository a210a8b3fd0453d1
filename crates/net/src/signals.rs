//! Signals that stop a process or make it reload its settings.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await;
    Ok(())
}

/// SIGHUP, which requests a reload of the settings. Once this value has been created, the signal
/// no longer terminates the process.
#[derive(Debug)]
pub struct ReloadSignal(Signals);

impl ReloadSignal {
    /// Installs the handler.
    ///
    /// # Errors
    ///
    /// Fails if the signal handler can't be installed.
    pub fn new() -> io::Result<ReloadSignal> {
        Ok(ReloadSignal(Signals::new([Signal::Hup])?))
    }

    /// Waits for the next signal.
    pub async fn wait(&mut self) {
        self.0.next().await;
    }
}
