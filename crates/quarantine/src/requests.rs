//! Finds the requests that crash one backend server after another.

use crate::detector::{Crash, CrashDetector, WINDOW};
use model::ids::RequestDigest;
use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Crashes in a row after which a request is identified that has not been answered.
const MIN_CRASHES: usize = 3;
/// The same if another such request was in all of these crashes, or if more servers have crashed
/// without it.
const MIN_CRASHES_DOUBTFUL: usize = 5;
/// Crashes after which such a request is identified if only two of them are in a row, as several of
/// its attempts were under way at the same time.
const MIN_CRASHES_AT_ONCE: usize = 4;
/// How long a crash without a request speaks against it.
const BACKGROUND_TIME: Duration = Duration::from_secs(10);
/// Crashes since its last answer after which a request is identified that was answered before.
const MIN_CRASHES_ANSWERED: usize = 10;
/// Crashes after which entries are asked for the answers to a request.
const MIN_CRASHES_WATCHED: usize = 2;
/// Time from then until the answers of all entries have been reported.
const WATCH_TIME: Duration = Duration::from_millis(500);
/// Maximum difference between the times that two entries report for the same moment.
const MAX_TIME_DIFFERENCE: Duration = Duration::from_millis(50);
/// Interval between two searches while crashes are being reported.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);
/// The same once all observations have been searched.
const IDLE_SEARCH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of watched requests.
const MAX_WATCHED: usize = 64;

/// The number of crashes of a request.
#[derive(Debug, Default, Clone, Copy)]
struct CrashCount {
    /// Those whose attempt began after the crash counted before.
    in_a_row: usize,
    all: usize,
}

impl CrashCount {
    /// Whether the crashes suffice to identify a request that has not been answered.
    fn is_enough(&self) -> bool {
        self.in_a_row >= MIN_CRASHES || self.in_a_row >= 2 && self.all >= MIN_CRASHES_AT_ONCE
    }
}

/// The crashes of each request that broke off in them.
type CrashCounts = BTreeMap<RequestDigest, CrashCount>;

/// The requests that the detector suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectRequests {
    /// When the watch of each request began.
    watched: BTreeMap<RequestDigest, Instant>,
    /// The last answer of watched requests.
    answered: BTreeMap<RequestDigest, Instant>,
    searched_at: Option<Instant>,
    /// Whether an observation may not have been searched yet.
    pub(crate) changed: bool,
}

impl CrashDetector {
    /// Returns the requests that must have caused the recent crashes, each crash once.
    ///
    /// Crashes in a row count, of which each attempt began after the crash before: hosts that are
    /// lost at the same time say nothing about the requests that they had in common. A request that
    /// is answered in between is cleared. One with `is_known`, which has been in
    /// quarantine before, is identified after one crash.
    pub fn deadly_requests(
        &mut self,
        is_known: impl Fn(RequestDigest) -> bool,
        now: Instant,
    ) -> Vec<RequestDigest> {
        let interval = if self.requests.changed { SEARCH_INTERVAL } else { IDLE_SEARCH_INTERVAL };
        if self.requests.searched_at.is_some_and(|last| now < last + interval) {
            return Vec::new();
        }
        self.requests.searched_at = Some(now);
        let mut found = Vec::new();
        loop {
            let crashes = self.unexplained_crashes(now);
            let counts = count_crashes(&crashes, &is_known);
            let culprits = self.requests.most_suspect(&crashes, &counts, &is_known, now);
            self.explain_by(&culprits);
            self.requests.watch(&counts, &is_known, now);
            if culprits.is_empty() {
                self.requests.changed = self.crashes.iter().any(|crash| !crash.has_settled(now))
                    || self.requests.is_waiting(now);
                return found;
            }
            found.extend(culprits);
        }
    }

    /// The requests whose answers entries should report.
    pub fn watched_requests(&self) -> Vec<RequestDigest> {
        self.requests.watched.keys().copied().collect()
    }

    /// The latest time at which an attempt may have begun that broke off at `at`. The time
    /// difference is at most half the attempt, as attempts that overlap must not seem to follow
    /// one another.
    pub(crate) fn latest_begin(lasted: Duration, at: Instant) -> Instant {
        let begin = lasted - (lasted / 2).min(MAX_TIME_DIFFERENCE);
        at.checked_sub(begin).unwrap_or(at)
    }

    /// Records that a request was answered in full.
    pub(crate) fn record_request_answered(&mut self, digest: RequestDigest, at: Instant) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.requests.remove(&digest);
        }
        if self.requests.watched.contains_key(&digest) {
            let last = self.requests.answered.entry(digest).or_insert(at);
            *last = (*last).max(at);
        }
    }

    /// When a request was last answered, if that is known.
    pub(crate) fn request_answered_at(&self, digest: RequestDigest) -> Option<Instant> {
        self.requests.answered.get(&digest).copied()
    }

    /// The confirmed crashes that no known request explains, oldest first.
    fn unexplained_crashes(&self, now: Instant) -> Vec<&Crash> {
        let mut crashes = self.confirmed_crashes(now);
        crashes.retain(|crash| crash.explained_by.is_empty());
        crashes
    }

    /// Records that these requests caused the crashes that they were in.
    fn explain_by(&mut self, culprits: &[RequestDigest]) {
        for crash in &mut self.crashes {
            let of_crash = culprits.iter().filter(|digest| crash.requests.contains_key(digest));
            crash.explained_by.extend(of_crash);
        }
    }
}

/// Counts the crashes of each request. Those of a request with `is_known` count for no other.
fn count_crashes(crashes: &[&Crash], is_known: impl Fn(RequestDigest) -> bool) -> CrashCounts {
    let mut counts: BTreeMap<RequestDigest, (CrashCount, Instant)> = BTreeMap::new();
    for crash in crashes {
        let has_known = crash.requests.keys().any(|digest| is_known(*digest));
        for (digest, sent_at) in &crash.requests {
            if has_known && !is_known(*digest) {
                continue;
            }
            let (count, last) = counts.entry(*digest).or_insert((CrashCount::default(), *sent_at));
            count.all += 1;
            if *sent_at >= *last {
                count.in_a_row += 1;
                *last = crash.at;
            }
        }
    }
    counts.into_iter().map(|(digest, (count, _))| (digest, count)).collect()
}

impl SuspectRequests {
    fn watch(
        &mut self,
        counts: &CrashCounts,
        is_known: impl Fn(RequestDigest) -> bool,
        now: Instant,
    ) {
        let is_suspect = |(digest, count): &(&RequestDigest, &CrashCount)| {
            count.in_a_row >= MIN_CRASHES_WATCHED || is_known(**digest)
        };
        let mut suspects: Vec<_> = counts.iter().filter(is_suspect).collect();
        suspects.sort_by_key(|(digest, count)| (Reverse(count.all), **digest));
        suspects.truncate(MAX_WATCHED);
        let before = std::mem::take(&mut self.watched);
        for (digest, _) in suspects {
            self.watched.insert(*digest, before.get(digest).copied().unwrap_or(now));
        }
        self.answered.retain(|digest, at| {
            self.watched.contains_key(digest) || now.saturating_duration_since(*at) <= WINDOW
        });
    }

    /// Whether all entries have had the time to report the answers to a request.
    fn is_due(&self, digest: RequestDigest, now: Instant) -> bool {
        self.watched.get(&digest).is_some_and(|since| now >= *since + WATCH_TIME)
    }

    /// Whether an answer to a watched request may not have been reported yet.
    fn is_waiting(&self, now: Instant) -> bool {
        self.watched.keys().any(|digest| !self.is_due(*digest, now))
    }

    /// The requests that have caused most crashes, if any must have caused those that it was in.
    fn most_suspect(
        &self,
        crashes: &[&Crash],
        counts: &CrashCounts,
        is_known: impl Fn(RequestDigest) -> bool,
        now: Instant,
    ) -> Vec<RequestDigest> {
        let due = counts.iter().filter(|(digest, _)| self.is_due(**digest, now));
        let (known, others): (Vec<_>, Vec<_>) = due.partition(|(digest, _)| is_known(**digest));
        if !known.is_empty() {
            return known.into_iter().map(|(digest, _)| *digest).collect();
        }
        let (answered, mut unanswered): (Vec<_>, Vec<_>) =
            others.into_iter().partition(|(digest, _)| self.answered.contains_key(*digest));
        unanswered.sort_by_key(|(_, count)| Reverse(count.all));
        for suspects in unanswered.chunk_by(|one, other| one.1.all == other.1.all) {
            let is_certain = |(digest, count): &&(&RequestDigest, &CrashCount)| {
                count.in_a_row >= MIN_CRASHES_DOUBTFUL
                    || count.is_enough() && !self.is_doubtful(**digest, count, crashes, now)
            };
            let certain: Vec<_> =
                suspects.iter().filter(is_certain).map(|(digest, _)| **digest).collect();
            if !certain.is_empty() {
                return certain;
            }
        }
        let most = answered.iter().map(|(_, count)| count.in_a_row).max();
        let most = most.filter(|most| *most >= MIN_CRASHES_ANSWERED);
        let with_most = answered.into_iter().filter(|(_, count)| Some(count.in_a_row) == most);
        with_most.map(|(digest, _)| *digest).collect()
    }

    /// Whether something else may have caused the crashes of a request: another request that was in
    /// all of them and has not been answered, or what makes other servers crash.
    fn is_doubtful(
        &self,
        digest: RequestDigest,
        count: &CrashCount,
        crashes: &[&Crash],
        now: Instant,
    ) -> bool {
        let (with, without): (Vec<&Crash>, Vec<&Crash>) =
            crashes.iter().partition(|crash| crash.requests.contains_key(&digest));
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= BACKGROUND_TIME;
        if without.iter().filter(|crash| is_recent(crash.at)).count() > count.in_a_row {
            return true;
        }
        let is_rival = |other: &RequestDigest| {
            *other != digest
                && !self.answered.contains_key(other)
                && with.iter().all(|crash| crash.requests.contains_key(other))
        };
        with.first().is_some_and(|first| first.requests.keys().any(is_rival))
    }
}
