//! What an entry has observed of its requests.

use crate::answers::AnsweredRequests;
use model::ids::{HostId, PromptPartId, RequestDigest};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

/// How long observations are kept, to be sent again to a new leader.
const RETENTION: Duration = Duration::from_secs(120);
/// How long a failure is held that may be due to the links, so that its backend server can show
/// over another entry that it runs on.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// Maximum number of failures kept.
const MAX_FAILURES: usize = 512;
/// Maximum number of parts of which the last answer is kept.
const MAX_ANSWERED: usize = 512;

/// An observation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The time since the observation.
    pub age: Duration,
    /// What was observed.
    pub kind: ObservationKind,
}

/// What an entry observed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservationKind {
    /// A backend server closed the connection of a request that it had not answered in full.
    Broken {
        /// The backend server.
        host: HostId,
        /// The request.
        request: BrokenRequest,
    },
    /// A backend server refused a connection.
    Unreachable {
        /// The backend server.
        host: HostId,
    },
    /// A backend server answered a request whose prompt contains this part, at least in part.
    Answered {
        /// The part.
        part: PromptPartId,
    },
    /// A backend server answered a request that control watches in full.
    AnsweredRequest {
        /// Its digest.
        digest: RequestDigest,
    },
}

/// A request that a backend server had not answered in full when it closed the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenRequest {
    /// Its digest, which all attempts and repeats have in common.
    pub digest: RequestDigest,
    /// The shared parts of its prompt, or none if a part of an answer had arrived.
    pub suspects: Box<[PromptPartId]>,
    /// Whether the server had begun to answer.
    pub began: bool,
    /// The time from when it was sent until the connection was closed.
    pub lasted: Duration,
}

/// A failure that may be due to the links of this entry.
#[derive(Debug)]
struct HeldFailure {
    at: Instant,
    host: HostId,
    incarnation: u64,
    kind: ObservationKind,
}

/// The recent observations of an entry, of which a session sends each one once.
#[derive(Debug, Default)]
pub struct EvidenceLog {
    failures: VecDeque<(Instant, ObservationKind)>,
    /// Failures that don't count yet, oldest first.
    held: VecDeque<HeldFailure>,
    /// When each part was last answered.
    answered: BTreeMap<PromptPartId, Instant>,
    answered_requests: AnsweredRequests,
    /// Failures that are not sent yet, counted from the end.
    unsent_failures: usize,
    /// Answers before this time have been sent. None have been if it is `None`.
    answers_sent_until: Option<Instant>,
}

impl EvidenceLog {
    /// Records that a backend server closed the connection of a request.
    pub fn record_broken(&mut self, host: &HostId, request: BrokenRequest, now: Instant) {
        self.push(ObservationKind::Broken { host: host.clone(), request }, now);
    }

    /// Records that a backend server refused a connection.
    pub fn record_unreachable(&mut self, host: &HostId, now: Instant) {
        self.push(ObservationKind::Unreachable { host: host.clone() }, now);
    }

    /// Records a failure of an incarnation of a backend server that may be due to the links of this
    /// entry. It counts after `HOLD_TIME`, unless [`EvidenceLog::record_running`] refutes it.
    pub fn hold(
        &mut self,
        host: &HostId,
        incarnation: u64,
        request: Option<BrokenRequest>,
        now: Instant,
    ) {
        let host = host.clone();
        let kind = match request {
            Some(request) => ObservationKind::Broken { host: host.clone(), request },
            None => ObservationKind::Unreachable { host: host.clone() },
        };
        if self.held.len() >= MAX_FAILURES {
            self.held.pop_front();
        }
        self.held.push_back(HeldFailure { at: now, host, incarnation, kind });
    }

    /// Records that an incarnation of a backend server has answered another entry, to a request that
    /// was sent at `sent_at`, so that it has not failed before.
    pub fn record_running(&mut self, host: &HostId, incarnation: u64, sent_at: Instant) {
        self.held.retain(|held| {
            held.host != *host || held.incarnation != incarnation || held.at > sent_at
        });
    }

    /// Records that a request with these parts was answered, at least in part.
    pub fn record_answered(&mut self, parts: &[PromptPartId], now: Instant) {
        for part in parts {
            if self.answered.len() >= MAX_ANSWERED && !self.answered.contains_key(part) {
                self.remove_oldest_answer();
            }
            self.answered.insert(*part, now);
        }
    }

    /// Records that a request was answered in full.
    pub fn record_request_answered(&mut self, digest: RequestDigest, now: Instant) {
        self.answered_requests.record(digest, now);
    }

    /// Replaces the requests whose answers are sent.
    pub fn watch(&mut self, digests: &[RequestDigest]) {
        self.answered_requests.watch(digests);
    }

    /// Marks all observations as unsent, since a new session begins.
    pub fn restart(&mut self) {
        self.answered_requests.restart();
        self.unsent_failures = self.failures.len();
        self.answers_sent_until = None;
    }

    /// Returns the observations that have not been sent in this session.
    pub fn take_unsent(&mut self, now: Instant) -> Vec<Observation> {
        while let Some(held) = self.held.pop_front_if(|held| held.at + HOLD_TIME <= now) {
            self.push(held.kind, held.at);
        }
        self.expire(now);
        let age = |at: Instant| now.saturating_duration_since(at);
        let first = self.failures.len() - self.unsent_failures;
        let failures = self.failures.iter().skip(first);
        let failures = failures.map(|(at, kind)| Observation { age: age(*at), kind: kind.clone() });
        let sent_until = self.answers_sent_until;
        let answered =
            self.answered.iter().filter(|(_, at)| sent_until.is_none_or(|sent| **at >= sent));
        let answered = answered.map(|(part, at)| {
            let kind = ObservationKind::Answered { part: *part };
            Observation { age: age(*at), kind }
        });
        let requests = self.answered_requests.take_unreported().into_iter();
        let requests = requests.map(|(digest, at)| {
            let kind = ObservationKind::AnsweredRequest { digest };
            Observation { age: age(at), kind }
        });
        let unsent: Vec<Observation> = failures.chain(answered).chain(requests).collect();
        self.unsent_failures = 0;
        self.answers_sent_until = Some(now);
        unsent
    }

    fn push(&mut self, kind: ObservationKind, now: Instant) {
        if self.failures.len() >= MAX_FAILURES {
            self.failures.pop_front();
        }
        self.failures.push_back((now, kind));
        self.unsent_failures = (self.unsent_failures + 1).min(self.failures.len());
    }

    fn remove_oldest_answer(&mut self) {
        let oldest = self.answered.iter().min_by_key(|(_, at)| **at).map(|(part, _)| *part);
        if let Some(part) = oldest {
            self.answered.remove(&part);
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > RETENTION;
        while self.failures.front().is_some_and(|(at, _)| is_old(*at)) {
            self.failures.pop_front();
        }
        self.unsent_failures = self.unsent_failures.min(self.failures.len());
        self.answered.retain(|_, at| !is_old(*at));
    }
}
