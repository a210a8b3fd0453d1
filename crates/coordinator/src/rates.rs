//! Request rates that all entries share: the parts of the entries, and the limits that backend
//! servers name.

use crate::events::SessionId;
use fleet::{HostLimit, Incarnation, LimitReport, RateShare};
use model::ids::HostId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Minimum time between two divisions. A part that moves to another entry rests for a window of
/// its limit, so that moving parts often would leave limits unused.
const MIN_DIVIDE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two divisions among the same entries.
const DIVIDE_INTERVAL: Duration = Duration::from_secs(10);
/// Difference between the sizes of the parts and those that the callers' requests call for, summed
/// over all entries, above which the rates are divided again.
const MAX_DIFFERENCE: f64 = 0.3;
/// Fraction of the rates that is divided evenly, for entries whose callers come later.
const EVEN_FRACTION: f64 = 0.2;
/// Weight of the latest request rate of an entry in the average.
const RATE_WEIGHT: f64 = 0.05;

/// How long the limit of a host is kept that has not reported to this leader.
const UNKNOWN_HOST_RETENTION: Duration = Duration::from_secs(60);

/// Divides shared rates among the entries, in proportion to the requests of their callers.
#[derive(Debug, Default)]
pub struct RateShares {
    /// Average request rates.
    rates: BTreeMap<SessionId, f64>,
    sent: BTreeMap<SessionId, RateShare>,
    divided_at: Option<Instant>,
}

impl RateShares {
    /// Takes the current request rate of each entry. Returns the parts to be sent, those of all
    /// entries, if they are divided again. Parts never overlap.
    pub fn divide(
        &mut self,
        request_rates: &BTreeMap<SessionId, f64>,
        now: Instant,
    ) -> Vec<(SessionId, RateShare)> {
        self.rates.retain(|session, _| request_rates.contains_key(session));
        for (session, rate) in request_rates {
            let average = self.rates.entry(*session).or_insert(*rate);
            *average += (rate - *average) * RATE_WEIGHT;
        }
        let sizes = self.sizes();
        if !self.is_due(&sizes, now) {
            return Vec::new();
        }
        self.divided_at = Some(now);
        let mut start = 0.0;
        self.sent.clear();
        for (session, size) in sizes {
            self.sent.insert(session, RateShare { start, size });
            start += size;
        }
        self.sent.iter().map(|(session, share)| (*session, *share)).collect()
    }

    /// The sizes that the request rates call for, which add up to 1.
    fn sizes(&self) -> BTreeMap<SessionId, f64> {
        let total: f64 = self.rates.values().sum();
        let even = 1.0 / self.rates.len() as f64;
        let size = |rate: f64| match total > 0.0 {
            true => EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * rate / total,
            false => even,
        };
        self.rates.iter().map(|(session, rate)| (*session, size(*rate))).collect()
    }

    fn is_due(&self, sizes: &BTreeMap<SessionId, f64>, now: Instant) -> bool {
        let Some(divided_at) = self.divided_at else {
            return !sizes.is_empty();
        };
        let elapsed = now.saturating_duration_since(divided_at);
        if !sizes.keys().eq(self.sent.keys()) {
            return elapsed >= MIN_DIVIDE_INTERVAL;
        }
        let sent = self.sent.values().map(|share| share.size);
        let difference: f64 = sent.zip(sizes.values()).map(|(a, b)| (a - b).abs()).sum();
        elapsed >= DIVIDE_INTERVAL && difference > MAX_DIFFERENCE
    }
}

/// What backend servers have said to any entry of their rate limits.
#[derive(Debug, Default)]
pub struct HostLimits {
    by_host: BTreeMap<HostId, (Incarnation, Option<f64>, Instant)>,
}

impl HostLimits {
    /// Records what a host has said to an entry. Returns whether it has begun or stopped to name a
    /// limit.
    pub fn record(&mut self, limit: HostLimit, now: Instant) -> bool {
        let HostLimit { host, incarnation, limit } = limit;
        let at = now.checked_sub(limit.age).unwrap_or(now);
        let known = self.by_host.get(&host);
        if known.is_some_and(|known| (known.0, known.2) >= (incarnation, at)) {
            return false;
        }
        let was_limited = known.is_some_and(|known| known.1.is_some());
        self.by_host.insert(host, (incarnation, limit.per_s, at));
        was_limited != limit.per_s.is_some()
    }

    /// What an incarnation of a host has last said.
    pub fn report(
        &self,
        host: &HostId,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<LimitReport> {
        let known = self.by_host.get(host).filter(|known| known.0 == incarnation);
        known.map(|(_, per_s, at)| LimitReport {
            per_s: *per_s,
            age: now.saturating_duration_since(*at),
        })
    }

    /// Forgets the hosts for which `is_known` does not hold, unless they said it a short time ago: a
    /// new leader hears of limits before hosts report to it.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool, now: Instant) {
        self.by_host.retain(|host, (_, _, at)| {
            is_known(host) || now.saturating_duration_since(*at) < UNKNOWN_HOST_RETENTION
        });
    }
}
