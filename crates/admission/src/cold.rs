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
    /// Before this time the server gets nothing more from here.
    next: Option<Instant>,
}

impl ColdGate {
    /// Whether one more request stays within `per_s`. An entry whose part is less than one a
    /// second sends one in so many seconds; `phase`, between 0 and 1, says when it begins,
    /// so that entries that learn of the server together don't send together.
    pub(crate) fn has_room(&mut self, per_s: f64, phase: f64, now: Instant) -> bool {
        if per_s < 1.0 {
            // A time long past is from an earlier cold start.
            let next = match self.next {
                Some(next) if now < next + pause(per_s) => next,
                _ => now + pause(per_s).mul_f64(phase),
            };
            self.next = Some(next);
            return now >= next;
        }
        self.forget(now);
        (self.sent.len() as f64) + 1.0 <= per_s
    }

    /// Counts a request.
    pub(crate) fn note(&mut self, per_s: f64, now: Instant) {
        self.sent.push_back(now);
        self.next = (per_s < 1.0).then(|| now + pause(per_s));
    }

    /// Whether nothing that was sent matters any more.
    pub(crate) fn is_over(&mut self, now: Instant) -> bool {
        self.forget(now);
        self.sent.is_empty() && self.next.is_none_or(|next| now >= next)
    }

    fn forget(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}

/// Longest time between two requests, in seconds: a cold start is over by then.
const PAUSE_MAX: f64 = 60.0;

/// The time between two requests at less than one a second.
fn pause(per_s: f64) -> Duration {
    Duration::from_secs_f64((1.0 / per_s).min(PAUSE_MAX))
}
