//! What backend servers say of themselves in their responses.

use fleet::{HostLimit, Incarnation, LimitReport, Replica};
use model::ids::HostId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How long a notice is kept at least after its host has left the view, so that a short absence does
/// not undo it.
const RETENTION: Duration = Duration::from_secs(60);
/// Longest time for which a backend server is sent nothing because it said so.
const MAX_CLOSED: Duration = Duration::from_secs(300);

/// What a backend server says of itself in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving and takes no new requests.
    pub leaving: bool,
    /// How long it wants no requests from this entry.
    pub closed_for: Option<Duration>,
    /// The requests per second that it takes from all entries together.
    pub limit_per_s: Option<f64>,
    /// Whether a limit that is not named has ended. Only some responses would name it.
    pub may_end_limit: bool,
}

/// What a backend server said of its rate limit, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LimitNotice {
    per_s: Option<f64>,
    at: Instant,
}

/// The notices of one incarnation of a backend server.
#[derive(Debug)]
struct HostNotices {
    incarnation: Incarnation,
    /// When the host was last in the view.
    seen_at: Instant,
    leaving: bool,
    closed_until: Option<Instant>,
    /// What it last said to this entry of its rate limit, if it has named one.
    limit: Option<LimitNotice>,
    /// The same for any entry, as control published it.
    published_limit: Option<LimitNotice>,
}

impl HostNotices {
    fn new(incarnation: Incarnation, now: Instant) -> HostNotices {
        HostNotices {
            incarnation,
            seen_at: now,
            leaving: false,
            closed_until: None,
            limit: None,
            published_limit: None,
        }
    }

    /// Takes a notice of a response to a request that was sent at `sent_at`. Returns whether it
    /// was news.
    fn record(&mut self, notice: &Notice, sent_at: Instant, now: Instant) -> bool {
        let is_leaving_news = notice.leaving && !self.leaving;
        self.leaving |= notice.leaving;
        let closed_until = notice.closed_for.map(|time| now + time.min(MAX_CLOSED));
        self.closed_until = self.closed_until.max(closed_until);
        let before = self.limit_per_s();
        match (notice.limit_per_s, self.limit) {
            (Some(per_s), _) => self.limit = Some(LimitNotice { per_s: Some(per_s), at: now }),
            // A response to a request that was sent before the limit was named may be older.
            (None, limit) if notice.may_end_limit => {
                let named_at = limit.max_by_time(self.published_limit).map(|limit| limit.at);
                if named_at.is_some_and(|named_at| named_at < sent_at) {
                    self.limit = Some(LimitNotice { per_s: None, at: now });
                }
            }
            (None, _) => {}
        }
        let is_limit_news = before.is_some() != self.limit_per_s().is_some();
        is_leaving_news || notice.closed_for.is_some() || is_limit_news
    }

    /// The rate limit in force.
    fn limit_per_s(&self) -> Option<f64> {
        self.limit.max_by_time(self.published_limit)?.per_s
    }
}

/// Choice of the later of two notices.
trait Later {
    fn max_by_time(self, other: Self) -> Self;
}

impl Later for Option<LimitNotice> {
    fn max_by_time(self, other: Option<LimitNotice>) -> Option<LimitNotice> {
        [self, other].into_iter().flatten().max_by_key(|notice| notice.at)
    }
}

/// Whether a backend server may be sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Permit {
    /// It may be sent one now.
    Now,
    /// It may be sent one from this time on.
    From(Instant),
    /// It may not be sent one as far as known.
    Never,
}

/// What the backend servers in the view have said of themselves.
#[derive(Debug, Default)]
pub(crate) struct Notices {
    by_host: BTreeMap<HostId, HostNotices>,
}

impl Notices {
    /// Drops the notices of earlier incarnations, and of hosts that left the view long ago.
    pub(crate) fn set_view(&mut self, replicas: &[Replica], now: Instant) {
        for replica in replicas {
            if replica.limit.is_none() && !self.by_host.contains_key(&replica.host) {
                continue;
            }
            let notices = self.current(replica, now);
            notices.seen_at = now;
            let published = replica.limit.map(|limit| LimitNotice {
                per_s: limit.per_s,
                at: now.checked_sub(limit.age).unwrap_or(now),
            });
            // A leader that has just begun knows less than the one before it.
            notices.published_limit = published.or(notices.published_limit);
        }
        let incarnations: BTreeMap<&HostId, Incarnation> =
            replicas.iter().map(|replica| (&replica.host, replica.incarnation)).collect();
        self.by_host.retain(|host, notices| {
            let is_current = |incarnation: &Incarnation| *incarnation == notices.incarnation;
            incarnations.get(host).is_none_or(is_current)
                && (now.saturating_duration_since(notices.seen_at) < RETENTION
                    || notices.closed_until.is_some_and(|until| until > now))
        });
    }

    /// Records what a backend server said in a response to a request that was sent at `sent_at`.
    /// Returns whether it was news.
    pub(crate) fn record(
        &mut self,
        replica: &Replica,
        notice: &Notice,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let known = self.by_host.get(&replica.host);
        let says_nothing =
            !notice.leaving && notice.closed_for.is_none() && notice.limit_per_s.is_none();
        // A response of an earlier incarnation says nothing of the current one.
        if known.map_or(says_nothing, |known| known.incarnation > replica.incarnation) {
            return false;
        }
        self.current(replica, now).record(notice, sent_at, now)
    }

    /// The notices of the incarnation of `replica`, which is not an earlier one.
    fn current(&mut self, replica: &Replica, now: Instant) -> &mut HostNotices {
        let new = || HostNotices::new(replica.incarnation, now);
        let notices = self.by_host.entry(replica.host.clone()).or_insert_with(new);
        if notices.incarnation < replica.incarnation {
            *notices = new();
        }
        notices
    }

    /// The rate limit that a backend server has named, in requests per second over all entries.
    pub(crate) fn limit_per_s(&self, replica: &Replica) -> Option<f64> {
        self.of(replica)?.limit_per_s()
    }

    /// What backend servers have said to this entry of their rate limits.
    pub(crate) fn limits(&self, now: Instant) -> Vec<HostLimit> {
        let limit_of = |(host, notices): (&HostId, &HostNotices)| {
            let LimitNotice { per_s, at } = notices.limit?;
            let limit = LimitReport { per_s, age: now.saturating_duration_since(at) };
            Some(HostLimit { host: host.clone(), incarnation: notices.incarnation, limit })
        };
        let limits = self.by_host.iter().filter_map(limit_of);
        limits.filter(|limit| limit.limit.per_s.is_some() || limit.limit.age < RETENTION).collect()
    }

    /// Whether a backend server may be sent a request.
    pub(crate) fn permit(&self, replica: &Replica, now: Instant) -> Permit {
        match self.of(replica) {
            Some(HostNotices { leaving: true, .. }) => Permit::Never,
            Some(HostNotices { closed_until: Some(until), .. }) if now < *until => {
                Permit::From(*until)
            }
            _ => Permit::Now,
        }
    }

    /// The notices of the incarnation that is in the view.
    fn of(&self, replica: &Replica) -> Option<&HostNotices> {
        let notices = self.by_host.get(&replica.host);
        notices.filter(|notices| notices.incarnation == replica.incarnation)
    }
}
