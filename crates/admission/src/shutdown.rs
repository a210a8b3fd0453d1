//! What an entry still accepts after it was told to stop.

use std::time::{Duration, Instant};

/// Callers may hold the entry's address for a while, and any request that is accepted in
/// this time is given the rest of the grace.
const WELCOME: Duration = Duration::from_millis(2800);

/// The time between the signal to stop and the end of the process.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    /// When the signal came.
    pub began: Instant,
    /// When the process ends at the latest.
    pub end: Instant,
}

impl Shutdown {
    /// Whether a request may be accepted at `now` that its caller awaits until `deadline`.
    /// Later ones must be certain to end before the process does.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now.saturating_duration_since(self.began) < WELCOME || deadline <= self.end
    }
}
