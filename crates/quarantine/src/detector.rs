//! Collects crashes, and finds the prompt parts that their requests have in common.

use crate::{
    evidence::{BrokenRequest, Observation, ObservationKind},
    requests::SuspectRequests,
};
use model::ids::{HostId, PromptPartId, RequestDigest};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

/// How long a crash counts.
pub(crate) const WINDOW: Duration = Duration::from_secs(120);
/// Failures of one backend server within this time belong to one crash.
const CRASH_SPAN: Duration = Duration::from_secs(1);
/// Requests that break off at one backend server within `BREAK_SPAN` for it to count as crashed.
/// A server that runs on and fails single requests breaks off fewer.
const MIN_BREAKS: usize = 3;
/// See `MIN_BREAKS`.
const BREAK_SPAN: Duration = Duration::from_millis(200);
/// Crashes closer together than this are one burst, which counts once for a part, so that the loss
/// of many hosts at the same time says nothing about the parts that their requests have in common.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Points for a crash in which a request with the part was being answered, without any part of the
/// answer having arrived.
const POINTS_BEGUN: u32 = 2;
/// Points for a crash in which a request with the part was waiting.
const POINTS_WAITING: u32 = 1;
/// Points at which a part is identified that has never been answered.
const MIN_POINTS: u32 = 3 * POINTS_BEGUN;
/// Points of all crashes, in more than one burst, at which such a part is identified if several
/// requests have it.
const MIN_POINTS_CLOSE: u32 = 5 * POINTS_BEGUN;
/// Points of two requests, of which each counts once.
const POINTS_TWO_REQUESTS: u32 = 2 * POINTS_BEGUN;
/// Points at which several such parts are identified together, if all have the same points.
const MIN_POINTS_TIED: u32 = 5 * POINTS_BEGUN;
/// Points at which a part is identified that was answered before the first of these crashes.
const MIN_POINTS_ANSWERED: u32 = 10 * POINTS_BEGUN;
/// Time after a crash until it counts: by then all entries have reported the answers that clear
/// its suspects.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Maximum number of crashes kept.
const MAX_CRASHES: usize = 128;
/// Maximum number of suspects, and of times of broken requests, kept for one crash.
const MAX_SUSPECTS: usize = 128;
/// Maximum number of requests kept for one suspect of one crash.
const MAX_REQUESTS: usize = 8;
/// Maximum number of parts of which the last answer is kept.
const MAX_ANSWERED: usize = 8192;

#[derive(Debug)]
pub(crate) struct Crash {
    host: HostId,
    pub(crate) at: Instant,
    /// When requests broke off, in no order.
    breaks: Vec<Instant>,
    refused_connection: bool,
    /// Parts of requests that broke off before any part of an answer, and have not been answered
    /// since, with the points of each such request.
    pub(crate) suspects: BTreeMap<PromptPartId, BTreeMap<RequestDigest, u32>>,
    /// Requests that broke off and have not been answered since, and when the attempt may have
    /// begun at the latest.
    pub(crate) requests: BTreeMap<RequestDigest, Instant>,
    /// The requests that caused it, if known. It says nothing of other requests then.
    pub(crate) explained_by: BTreeSet<RequestDigest>,
}

impl Crash {
    pub(crate) fn has_settled(&self, now: Instant) -> bool {
        now >= self.at + SETTLE_TIME
    }

    /// Whether an attempt of a request counts in this crash.
    fn counts(&self, request: &RequestDigest) -> bool {
        self.explained_by.is_empty() || self.explained_by.contains(request)
    }

    /// Whether a request with this part may have caused the crash.
    fn has_suspect(&self, part: PromptPartId) -> bool {
        let requests = self.suspects.get(&part);
        requests.is_some_and(|requests| requests.keys().any(|request| self.counts(request)))
    }

    fn is_confirmed(&self) -> bool {
        let is_burst = |begin: &Instant| {
            let within = |at: &&Instant| **at >= *begin && **at <= *begin + BREAK_SPAN;
            self.breaks.iter().filter(within).count() >= MIN_BREAKS
        };
        self.refused_connection || self.breaks.iter().any(is_burst)
    }
}

/// How strongly the crashes suggest that a part caused them.
#[derive(Debug, Default, Clone, Copy)]
struct Score {
    /// Points of the first crash of each burst.
    apart: u32,
    /// Points of all crashes.
    all: u32,
    bursts: u32,
    /// Points of all requests, each of which counts once however many crashes it was in.
    requests: u32,
}

impl Score {
    /// Orders parts. How many requests have a part says only how common it is.
    fn rank(&self) -> (u32, u32, u32) {
        (self.apart, self.all, self.bursts)
    }
}

/// Collects the observations of all entries.
#[derive(Debug, Default)]
pub struct CrashDetector {
    pub(crate) crashes: VecDeque<Crash>,
    /// When a request with each part was last answered.
    answered: BTreeMap<PromptPartId, Instant>,
    pub(crate) requests: SuspectRequests,
    /// Whether a crash has been added or changed since the last search for parts.
    changed: bool,
}

impl CrashDetector {
    /// Adds an observation.
    pub fn record(&mut self, observation: Observation, now: Instant) {
        let at = now.checked_sub(observation.age).unwrap_or(now);
        self.expire(now);
        self.requests.changed |= !matches!(observation.kind, ObservationKind::Answered { .. });
        match observation.kind {
            ObservationKind::Broken { host, request } => self.record_broken(host, &request, at),
            ObservationKind::Unreachable { host } => self.record_unreachable(&host, at),
            ObservationKind::Answered { part } => self.record_answered(part, at),
            ObservationKind::AnsweredRequest { digest } => self.record_request_answered(digest, at),
        }
    }

    /// Records that a backend server could not be reached.
    pub fn record_unreachable(&mut self, host: &HostId, at: Instant) {
        if let Some(crash) = self.crash_of(host, at) {
            crash.refused_connection = true;
            self.changed = true;
            self.requests.changed = true;
        }
    }

    /// Returns the parts that must have caused the recent crashes, and forgets these crashes.
    ///
    /// A part with `is_known`, which has been in quarantine before, is identified after one crash.
    pub fn culprits(
        &mut self,
        is_known: impl Fn(PromptPartId) -> bool,
        now: Instant,
    ) -> Vec<PromptPartId> {
        let mut culprits = Vec::new();
        if !self.changed {
            return culprits;
        }
        loop {
            let scores = self.scores(now);
            let mut found: Vec<PromptPartId> =
                scores.keys().copied().filter(|part| is_known(*part)).collect();
            if found.is_empty() {
                found = self.most_suspect(&scores, now);
            }
            if found.is_empty() {
                break;
            }
            // These crashes say nothing more about their other suspects.
            self.crashes.retain(|crash| !found.iter().any(|p| crash.suspects.contains_key(p)));
            culprits.append(&mut found);
        }
        self.changed = self.crashes.iter().any(|crash| !crash.has_settled(now));
        culprits
    }

    /// The parts with the highest score, if it is enough. Parts that were answered before are
    /// considered only if there are no others.
    fn most_suspect(
        &self,
        scores: &BTreeMap<PromptPartId, Score>,
        now: Instant,
    ) -> Vec<PromptPartId> {
        let (answered, unanswered): (Vec<_>, Vec<_>) =
            scores.iter().partition(|(part, _)| self.answered.contains_key(part));
        let with_most = |parts: &[(&PromptPartId, &Score)]| -> (Score, Vec<PromptPartId>) {
            let most = parts.iter().map(|(_, score)| **score).max_by_key(Score::rank);
            let most = most.unwrap_or_default();
            let of_most = parts.iter().filter(|(_, score)| score.rank() == most.rank());
            (most, of_most.map(|(part, _)| **part).collect())
        };
        let (most, found) = with_most(&unanswered);
        let is_tied = match *found {
            [part] => self.has_rival(part, now),
            _ => true,
        };
        let needed = if is_tied { MIN_POINTS_TIED } else { MIN_POINTS };
        let repeated = !is_tied
            && most.bursts > 1
            && most.all >= MIN_POINTS_CLOSE
            && most.requests >= POINTS_TWO_REQUESTS;
        if most.apart >= needed || repeated {
            return found;
        }
        let (most, found) = with_most(&answered);
        if most.apart >= MIN_POINTS_ANSWERED { found } else { Vec::new() }
    }

    /// Whether another part that has not been answered was in all crashes of a part.
    fn has_rival(&self, part: PromptPartId, now: Instant) -> bool {
        let mut crashes = self.confirmed_crashes(now);
        crashes.retain(|crash| crash.has_suspect(part));
        let is_rival = |other: &PromptPartId| {
            *other != part
                && !self.answered.contains_key(other)
                && crashes.iter().all(|crash| crash.has_suspect(*other))
        };
        crashes.first().is_some_and(|first| first.suspects.keys().any(is_rival))
    }

    /// The scores of all suspects, over settled and confirmed crashes. The attempts and repeats of
    /// one request say no more about a part than one of them, as all its parts are the same.
    fn scores(&self, now: Instant) -> BTreeMap<PromptPartId, Score> {
        let mut last_counted: BTreeMap<PromptPartId, Instant> = BTreeMap::new();
        let mut of_requests: BTreeMap<PromptPartId, BTreeMap<RequestDigest, u32>> = BTreeMap::new();
        let mut scores: BTreeMap<PromptPartId, Score> = BTreeMap::new();
        for crash in self.confirmed_crashes(now) {
            for (part, requests) in &crash.suspects {
                let mut points = 0;
                let of_part = of_requests.entry(*part).or_default();
                for (request, of_request) in requests {
                    if crash.counts(request) {
                        let most = of_part.entry(*request).or_default();
                        *most = (*most).max(*of_request);
                        points = points.max(*of_request);
                    }
                }
                if points == 0 {
                    continue;
                }
                let score = scores.entry(*part).or_default();
                score.all += points;
                let last = last_counted.get(part);
                if last.is_none_or(|last| crash.at >= *last + MIN_INTERVAL) {
                    last_counted.insert(*part, crash.at);
                    score.apart += points;
                    score.bursts += 1;
                }
            }
        }
        for (part, score) in &mut scores {
            score.requests = of_requests.get(part).map_or(0, |requests| requests.values().sum());
            score.apart = score.apart.min(score.requests);
        }
        scores
    }

    /// The settled and confirmed crashes, oldest first.
    pub(crate) fn confirmed_crashes(&self, now: Instant) -> Vec<&Crash> {
        let counts = |crash: &&Crash| crash.has_settled(now) && crash.is_confirmed();
        let mut confirmed: Vec<&Crash> = self.crashes.iter().filter(counts).collect();
        confirmed.sort_by_key(|crash| crash.at);
        confirmed
    }

    fn record_broken(&mut self, host: HostId, request: &BrokenRequest, at: Instant) {
        let answered = &self.answered;
        let is_suspect =
            |part: &&PromptPartId| answered.get(*part).is_none_or(|answered| *answered < at);
        let suspects: Vec<PromptPartId> =
            request.suspects.iter().filter(is_suspect).copied().collect();
        let answered_at = self.request_answered_at(request.digest);
        let crash = match self.crash_of(&host, at) {
            Some(crash) => crash,
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.crashes.push_back(Crash {
                    host,
                    at,
                    breaks: Vec::new(),
                    refused_connection: false,
                    suspects: BTreeMap::new(),
                    requests: BTreeMap::new(),
                    explained_by: BTreeSet::new(),
                });
                self.crashes.back_mut().expect("a crash was just added")
            }
        };
        if crash.breaks.len() < MAX_SUSPECTS {
            crash.breaks.push(at);
        }
        let points = if request.began { POINTS_BEGUN } else { POINTS_WAITING };
        for part in suspects {
            if crash.suspects.len() < MAX_SUSPECTS || crash.suspects.contains_key(&part) {
                let requests = crash.suspects.entry(part).or_default();
                if requests.len() < MAX_REQUESTS || requests.contains_key(&request.digest) {
                    let own = requests.entry(request.digest).or_default();
                    *own = points.max(*own);
                }
            }
        }
        let has_room = crash.requests.len() < MAX_SUSPECTS;
        if answered_at.is_none_or(|answered| answered < at)
            && (has_room || crash.requests.contains_key(&request.digest))
        {
            let sent_at = CrashDetector::latest_begin(request.lasted, at);
            let last = crash.requests.entry(request.digest).or_insert(sent_at);
            *last = (*last).max(sent_at);
        }
        self.changed = true;
    }

    fn record_answered(&mut self, part: PromptPartId, at: Instant) {
        for crash in self.crashes.iter_mut().filter(|crash| crash.at <= at) {
            crash.suspects.remove(&part);
        }
        if self.answered.len() < MAX_ANSWERED || self.answered.contains_key(&part) {
            let last = self.answered.entry(part).or_insert(at);
            *last = (*last).max(at);
        }
    }

    /// The crash of this host that a failure at `at` belongs to.
    fn crash_of(&mut self, host: &HostId, at: Instant) -> Option<&mut Crash> {
        self.crashes.iter_mut().rev().find(|crash| {
            crash.host == *host && at + CRASH_SPAN >= crash.at && at <= crash.at + CRASH_SPAN
        })
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.crashes.front().is_some_and(|crash| is_old(crash.at)) {
            self.crashes.pop_front();
        }
        if self.answered.len() >= MAX_ANSWERED {
            self.answered.retain(|_, at| !is_old(*at));
        }
    }
}
