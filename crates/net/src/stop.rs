//! Graceful shutdown: a stop signal that tasks can await, and a count of work in flight.

use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

/// Interval at which `drained` checks for work in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Signals tasks to stop, and tracks work in flight.
#[derive(Debug, Clone)]
pub struct Stop {
    // The channel carries no messages; closing it wakes every waiting task.
    closer: Sender<()>,
    closed: Receiver<()>,
    in_flight: Arc<AtomicUsize>,
}

/// Guard that counts one unit of work as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Default for Stop {
    fn default() -> Stop {
        let (closer, closed) = bounded(1);
        Stop { closer, closed, in_flight: Arc::default() }
    }
}

impl Stop {
    /// Signals all tasks to stop.
    pub fn trigger(&self) {
        self.closer.close();
    }

    /// Whether the stop has been signalled.
    pub fn is_triggered(&self) -> bool {
        self.closed.is_closed()
    }

    /// Waits until the stop is signalled.
    pub async fn wait(&self) {
        // Nothing is ever sent, so this returns only when the channel is closed.
        let _ = self.closed.recv().await;
    }

    /// Counts one unit of work as in flight until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.in_flight.clone())
    }

    /// The number of units of work in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Waits until no work is in flight, for at most `timeout`; returns whether none is left.
    pub async fn drained(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.in_flight() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            Timer::after(POLL_INTERVAL).await;
        }
        true
    }
}
