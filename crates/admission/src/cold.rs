//! Limits the rate of requests to a backend server during its cold start.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The sliding window in which requests to a cold backend server are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Longest interval between two requests, in seconds: a cold start is over by then.
const MAX_INTERVAL_S: f64 = 60.0;

/// Limits the requests of one entry to one cold backend server.
#[derive(Debug, Default)]
pub(crate) struct ColdLimiter {
    /// When the requests in the window were sent.
    sent: VecDeque<Instant>,
    /// With a limit below one request per second: when the next request may be sent.
    next: Option<Instant>,
}

impl ColdLimiter {
    /// Whether one more request keeps within `per_s` requests per second.
    ///
    /// With a limit below one per second, requests are sent at intervals of `1 / per_s`, and the
    /// first one `phase` (between 0 and 1) of an interval after the first call. This keeps entries
    /// that learn of the backend server at the same time from sending at the same time.
    pub(crate) fn allows(&mut self, per_s: f64, phase: f64, now: Instant) -> bool {
        if per_s < 1.0 {
            // A time more than an interval ago belongs to an earlier cold start.
            let next = match self.next {
                Some(next) if now < next + interval(per_s) => next,
                _ => now + interval(per_s).mul_f64(phase),
            };
            self.next = Some(next);
            return now >= next;
        }
        self.expire(now);
        (self.sent.len() as f64) + 1.0 <= per_s
    }

    /// Records that a request was sent.
    pub(crate) fn record(&mut self, per_s: f64, now: Instant) {
        self.sent.push_back(now);
        self.next = (per_s < 1.0).then(|| now + interval(per_s));
    }

    /// Whether no recorded request restricts later ones any more.
    pub(crate) fn is_expired(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.sent.is_empty() && self.next.is_none_or(|next| now >= next)
    }

    fn expire(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| now.saturating_duration_since(*at) >= WINDOW) {
            self.sent.pop_front();
        }
    }
}

/// The interval between requests for a limit below one per second.
fn interval(per_s: f64) -> Duration {
    Duration::from_secs_f64((1.0 / per_s).min(MAX_INTERVAL_S))
}
