//! Whether an entry reaches backend servers over its own links.

use model::ids::HostId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Shortest time without any answer in which a request that waits is a reason to probe the links.
const SILENCE_MIN: Duration = Duration::from_millis(300);
/// Time without any answer after which links that accept connections count as lost. Sound servers
/// may pause for a second.
const SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Number of backend servers that fail within `FAILURE_SPAN` for which the answer of a single other
/// one no longer shows that the links are up.
const MANY_FAILURES: usize = 3;
/// See `MANY_FAILURES`.
const FAILURE_SPAN: Duration = Duration::from_millis(500);

/// Whether this entry reaches backend servers.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// It does, as far as is known.
    #[default]
    Up,
    /// A request has failed in a way that may be due to the links, and probes are under way.
    Suspect,
    /// It reaches none, or hardly any.
    Down,
}

impl LinkState {
    /// The value in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkState::Up => "up",
            LinkState::Suspect => "suspect",
            LinkState::Down => "down",
        }
    }
}

/// How a request has failed that may show that the links are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// Its connection could not be established, or ended before the answer.
    Connection,
    /// It has got no answer since it was sent at this time.
    Silence(Instant),
}

impl Suspicion {
    /// The value in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Suspicion::Connection => "connection",
            Suspicion::Silence(_) => "silence",
        }
    }
}

/// The result of a probe of one backend server over a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The server answered.
    Answered,
    /// The connection could not be established, or ended before the answer.
    Unconnected,
    /// The connection was established, but there was no answer in time.
    Silent,
}

/// The state of the links between an entry and all backend servers, learnt from requests and
/// probes.
///
/// A single server that fails says nothing of the links, so a suspicion only starts probes of
/// several servers over new connections: connections that were established before may live on while
/// new ones fail. One answer shows that the links are up, unless many servers have failed at once;
/// then the majority of a round decides. All of a round must answer once the links are down, as a few
/// servers may be reached all the same.
#[derive(Debug, Default)]
pub struct Links {
    state: LinkState,
    /// When any server last answered.
    answered_at: Option<Instant>,
    /// When the last series of probes was started.
    suspected_at: Option<Instant>,
    /// Since when no server has answered, at the earliest, while the links are not up.
    silent_since: Option<Instant>,
    /// When requests to each server last failed, within `FAILURE_SPAN`.
    failures: BTreeMap<HostId, Instant>,
}

impl Links {
    /// The current state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// When the suspicion arose that has shown that the links are down, if they are.
    pub fn down_since(&self) -> Option<Instant> {
        self.suspected_at.filter(|_| self.state == LinkState::Down)
    }

    /// Records that a backend server has sent something.
    pub fn record_answer(&mut self, now: Instant) {
        self.answered_at = Some(now);
    }

    /// Takes note of a request that has failed at `host`. Returns whether probes must be started.
    pub fn suspect(&mut self, host: &HostId, suspicion: Suspicion, now: Instant) -> bool {
        self.failures.retain(|_, at| now.saturating_duration_since(*at) < FAILURE_SPAN);
        self.failures.insert(host.clone(), now);
        let is_refuted = match suspicion {
            // The links may have been lost just after the last answer.
            Suspicion::Connection => false,
            Suspicion::Silence(_) => {
                self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < SILENCE_MIN)
            }
        };
        if self.state != LinkState::Up || is_refuted {
            return false;
        }
        self.state = LinkState::Suspect;
        self.suspected_at = Some(now);
        self.silent_since = match suspicion {
            Suspicion::Connection => Some(now),
            Suspicion::Silence(sent_at) => Some(sent_at),
        };
        true
    }

    /// Whether a round must probe all its servers, although some have answered.
    pub fn needs_full_round(&self, now: Instant) -> bool {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < FAILURE_SPAN;
        self.state == LinkState::Down
            || self.failures.values().filter(is_recent).count() >= MANY_FAILURES
    }

    /// Records the outcomes of one round of probes, each of another server, and returns the state.
    /// A round that `is_full` has probed all its servers.
    pub fn record_round(
        &mut self,
        outcomes: &[ProbeOutcome],
        is_full: bool,
        now: Instant,
    ) -> LinkState {
        let count = |outcome| outcomes.iter().filter(|other| **other == outcome).count();
        let answered = count(ProbeOutcome::Answered);
        if answered > 0 {
            self.record_answer(now);
        }
        if !is_full && answered > 0 && self.needs_full_round(now) {
            return self.state;
        }
        let needed = match self.state {
            LinkState::Down => outcomes.len(),
            _ if is_full => outcomes.len().div_ceil(2),
            _ => 1.min(outcomes.len()),
        };
        let silent_since = self.silent_since.max(self.answered_at).unwrap_or(now);
        if answered >= needed {
            self.state = LinkState::Up;
        } else if answered + count(ProbeOutcome::Silent) < needed
            || now.saturating_duration_since(silent_since) >= SILENCE_MAX
        {
            self.state = LinkState::Down;
        }
        self.state
    }
}
