//! Keeps what a backend server gets in its cold start within what it bears.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The span in which requests to a cold backend server are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Requests sent to one cold backend server in the last second.
#[derive(Debug, Default)]
pub(crate) struct ColdGate {
    sent: VecDeque<Instant>,
}

impl ColdGate {
    /// Whether one more request stays within `per_s`.
    pub(crate) fn has_room(&mut self, per_s: f64, now: Instant) -> bool {
        self.forget(now);
        (self.sent.len() as f64) + 1.0 <= per_s
    }

    /// Whether nothing was sent in the last second.
    pub(crate) fn is_empty(&mut self, now: Instant) -> bool {
        self.forget(now);
        self.sent.is_empty()
    }

    fn forget(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }

    /// Counts a request.
    pub(crate) fn note(&mut self, now: Instant) {
        self.sent.push_back(now);
    }
}
