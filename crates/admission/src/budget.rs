//! Keeps repeats to a part of the requests of each service.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Repeats allowed in a sliding window: a part of the requests, and a few besides.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    spare: f64,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// A budget of `ratio` times the requests plus `spare`, over any `window`.
    pub fn new(window: Duration, ratio: f64, spare: f64) -> RetryBudget {
        RetryBudget { window, ratio, spare, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a repeat out of the budget, if it has one.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.spare;
        let fits = ((self.repeats.len() + 1) as f64) <= allowed;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
