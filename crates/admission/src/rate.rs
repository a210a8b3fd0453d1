//! Limits the rate of requests to a backend server, over all entries together.
//!
//! A limit of some requests in a window is as many points on a circle. Each point permits one
//! request in any window, at the entry whose interval it lies in. As the intervals don't overlap,
//! all entries together keep to the limit without a message for each request, also if it is lower
//! than one request for each entry.

use fleet::RateShare;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The window in which requests to a cold backend server are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);
/// The window in which requests under a limit that a backend server names are counted. It is
/// longer if the limit permits less than one request in it.
const NAMED_WINDOW: Duration = Duration::from_secs(4);
/// The longest such window: a backend server that takes no requests is tried this often, as it
/// could not say otherwise that it does again.
const MAX_WINDOW: Duration = Duration::from_secs(60);
/// A limit of more requests in a window than this is no limit.
const MAX_POINTS: f64 = 4096.0;
/// The golden ratio less one. Multiples of it spread points evenly for any number of points, and
/// leave those that exist in place when a limit changes.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// A limit over all entries: `points` requests in any `window`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RateLimit {
    points: u32,
    window: Duration,
    /// The distance between two consecutive points.
    step: f64,
    /// Whether an entry spreads its requests over the window.
    is_spread: bool,
}

impl RateLimit {
    /// The limit of a cold backend server.
    pub(crate) fn cold(per_s: f64) -> RateLimit {
        let (points, window) = points_in(per_s, COLD_WINDOW);
        RateLimit { points, window, step: 1.0 / f64::from(points), is_spread: false }
    }

    /// The limit that a backend server has named, or `None` if it is too high to matter.
    pub(crate) fn named(per_s: f64) -> Option<RateLimit> {
        if per_s * NAMED_WINDOW.as_secs_f64() > MAX_POINTS {
            return None;
        }
        let (points, window) = points_in(per_s, NAMED_WINDOW);
        Some(RateLimit { points, window, step: GOLDEN_STEP, is_spread: true })
    }
}

/// The number of whole requests that a rate permits in `window`, or one in a longer window.
fn points_in(per_s: f64, window: Duration) -> (u32, Duration) {
    let points = (per_s * window.as_secs_f64()).clamp(0.0, MAX_POINTS);
    if points >= 1.0 {
        return (points as u32, window);
    }
    let longer = Duration::try_from_secs_f64(1.0 / per_s).unwrap_or(MAX_WINDOW);
    (1, longer.min(MAX_WINDOW))
}

/// The requests of one entry to one backend server under a limit.
#[derive(Debug, Default)]
pub(crate) struct RateLimiter {
    limit: Option<RateLimit>,
    share: Option<RateShare>,
    /// The points of this entry, each with the time when it was last used, here or elsewhere.
    points: BTreeMap<u32, Option<Instant>>,
    last_sent: Option<Instant>,
}

impl RateLimiter {
    /// Takes over a new limit or share. `offset`, between 0 and 1, moves the points of a backend
    /// server, so that each entry owns points of some.
    pub(crate) fn set(&mut self, limit: RateLimit, share: RateShare, offset: f64, now: Instant) {
        if self.limit == Some(limit) && self.share == Some(share) {
            return;
        }
        // Another entry may have used a point until its interval changed.
        let is_moved = self.share.is_some_and(|before| before != share);
        let (before, old) = (self.limit.replace(limit), std::mem::take(&mut self.points));
        self.share = Some(share);
        let was_there = |point: u32| {
            before.is_some_and(|before| before.step == limit.step && point < before.points)
        };
        self.points = (0..limit.points)
            .filter(|point| share.contains(offset + f64::from(*point) * limit.step))
            .map(|point| match old.get(&point) {
                Some(used) if was_there(point) => (point, *used),
                _ => (point, (is_moved && was_there(point)).then_some(now)),
            })
            .collect();
    }

    /// The earliest time at which one more request may be sent, at most `now` if it may be sent
    /// now. `None` if this entry owns no point.
    pub(crate) fn next_at(&self, now: Instant) -> Option<Instant> {
        let limit = self.limit?;
        let free_at = |used: &Option<Instant>| used.map_or(now, |used| used + limit.window);
        let next = self.points.values().map(free_at).min()?;
        let gap = match limit.is_spread {
            // Half the even distance, as callers don't come evenly.
            true => limit.window / self.points.len() as u32 / 2,
            false => Duration::ZERO,
        };
        Some(self.last_sent.map_or(next, |sent| next.max(sent + gap)))
    }

    /// Records that a request was sent.
    pub(crate) fn record(&mut self, now: Instant) {
        self.last_sent = Some(now);
        if let Some(used) = self.points.values_mut().min() {
            *used = Some(now);
        }
    }

    /// Whether no recorded request restricts later ones any more.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        let window = self.limit.map_or(Duration::ZERO, |limit| limit.window);
        let is_free = |used: &Option<Instant>| used.is_none_or(|used| used + window <= now);
        self.points.values().all(is_free)
    }
}
