//! The requests that an entry has seen answered in full.

use model::ids::RequestDigest;
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// How long answers are kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of answers kept.
const MAX_ANSWERS: usize = 4096;
/// Maximum number of watched requests.
const MAX_WATCHED: usize = 128;

/// The last answers of an entry. It reports those of the requests that control watches: to report
/// the answers of all requests would cost as much as the requests.
#[derive(Debug, Default)]
pub(crate) struct AnsweredRequests {
    last: BTreeMap<RequestDigest, Instant>,
    /// All answers, oldest first.
    order: VecDeque<(Instant, RequestDigest)>,
    /// The last answer of each watched request, and whether it has been reported.
    watched: BTreeMap<RequestDigest, Option<(Instant, bool)>>,
}

impl AnsweredRequests {
    pub(crate) fn record(&mut self, digest: RequestDigest, now: Instant) {
        self.last.insert(digest, now);
        self.order.push_back((now, digest));
        if let Some(watched) = self.watched.get_mut(&digest) {
            *watched = Some((now, false));
        }
        let is_old = |at: Instant| now.saturating_duration_since(at) > RETENTION;
        while self.order.len() > MAX_ANSWERS
            || self.order.front().is_some_and(|(at, _)| is_old(*at))
        {
            let Some((at, oldest)) = self.order.pop_front() else {
                return;
            };
            if self.last.get(&oldest) == Some(&at) {
                self.last.remove(&oldest);
            }
        }
    }

    /// Replaces the watched requests.
    pub(crate) fn watch(&mut self, digests: &[RequestDigest]) {
        let before = std::mem::take(&mut self.watched);
        for digest in digests.iter().take(MAX_WATCHED) {
            let last = || self.last.get(digest).map(|at| (*at, false));
            let state = before.get(digest).copied().flatten().or_else(last);
            self.watched.insert(*digest, state);
        }
    }

    /// Marks all answers as unreported.
    pub(crate) fn restart(&mut self) {
        for (_, is_reported) in self.watched.values_mut().flatten() {
            *is_reported = false;
        }
    }

    /// Returns the unreported answers of watched requests, and marks them as reported.
    pub(crate) fn take_unreported(&mut self) -> Vec<(RequestDigest, Instant)> {
        let mut unreported = Vec::new();
        for (digest, answer) in &mut self.watched {
            if let Some((at, is_reported)) = answer
                && !*is_reported
            {
                *is_reported = true;
                unreported.push((*digest, *at));
            }
        }
        unreported
    }
}
