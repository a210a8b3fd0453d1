//! Clock abstraction, so that tests can control time.

use std::{
    fmt,
    time::{Instant, SystemTime},
};

/// A source of monotonic and wall-clock time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Monotonic time, for leases and timeouts.
    fn now(&self) -> Instant;

    /// Wall-clock time, for records read by people.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
