//! Limits the retries of a service to a fraction of its requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// A budget of retries in a sliding window: a fraction of the requests in the window, plus a
/// constant.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request plus `slack` retries, in any period of
    /// length `window`.
    pub fn new(window: Duration, ratio: f64, slack: f64) -> RetryBudget {
        RetryBudget { window, ratio, slack, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a retry out of the budget. Returns false if the budget is used up.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.slack;
        let permitted = ((self.retries.len() + 1) as f64) <= allowed;
        if permitted {
            self.retries.push_back(now);
        }
        permitted
    }

    fn expire(&mut self, now: Instant) {
        let window = self.window;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| now.saturating_duration_since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
