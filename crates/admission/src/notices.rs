//! What backend servers say of themselves in their responses.

use fleet::{Incarnation, Replica};
use model::ids::HostId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// How long a notice is kept after its host has left the view, so that a short absence does not
/// undo it.
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
}

/// The notices of one incarnation of a backend server.
#[derive(Debug)]
struct HostNotices {
    incarnation: Incarnation,
    /// When the host was last in the view.
    seen_at: Instant,
    leaving: bool,
    closed_until: Option<Instant>,
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
            if let Some(notices) = self.by_host.get_mut(&replica.host) {
                notices.seen_at = now;
            }
        }
        let incarnations: BTreeMap<&HostId, Incarnation> =
            replicas.iter().map(|replica| (&replica.host, replica.incarnation)).collect();
        self.by_host.retain(|host, notices| {
            let is_current = |incarnation: &Incarnation| *incarnation == notices.incarnation;
            incarnations.get(host).is_none_or(is_current)
                && now.saturating_duration_since(notices.seen_at) < RETENTION
        });
    }

    /// Records what a backend server said in a response. Returns whether it was news.
    pub(crate) fn record(&mut self, replica: &Replica, notice: &Notice, now: Instant) -> bool {
        if *notice == Notice::default() && !self.by_host.contains_key(&replica.host) {
            return false;
        }
        let new = || HostNotices {
            incarnation: replica.incarnation,
            seen_at: now,
            leaving: false,
            closed_until: None,
        };
        let notices = self.by_host.entry(replica.host.clone()).or_insert_with(new);
        // A response of an earlier incarnation says nothing of the current one.
        if notices.incarnation > replica.incarnation {
            return false;
        }
        if notices.incarnation < replica.incarnation {
            *notices = new();
        }
        let is_news = notice.leaving && !notices.leaving || notice.closed_for.is_some();
        notices.leaving |= notice.leaving;
        let closed_until = notice.closed_for.map(|time| now + time.min(MAX_CLOSED));
        notices.closed_until = notices.closed_until.max(closed_until);
        is_news
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
