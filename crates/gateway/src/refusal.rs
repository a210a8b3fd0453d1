//! Why a request is refused, or fails.

use model::verdict::Verdict;
use std::time::Duration;

/// Why a request gets no answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// This process knows no manifest yet.
    NoManifest,
    /// No route fits.
    NoRoute,
    /// No team holds the key.
    UnknownKey,
    /// The body is longer than the manifest allows.
    BodyTooLarge,
    /// The body broke off.
    BodyTruncated,
    /// No backend server offers what the request needs.
    NoServer {
        /// When to come back.
        retry_after: Duration,
    },
    /// All places are taken.
    Full {
        /// When to come back.
        retry_after: Duration,
    },
    /// This process ends.
    Leaving,
    /// A backend server was tried, and the request has not run there.
    NotRun {
        /// When to come back.
        retry_after: Duration,
    },
    /// The answer was lost or is unreadable; the request may have run.
    ResponseLost,
    /// The time that the caller or the route allows has passed.
    TimedOut {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

impl Refusal {
    /// A word for programs and logs.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::NoManifest => "no_manifest",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::BodyTooLarge => "too_long",
            Refusal::BodyTruncated => "body_cut",
            Refusal::NoServer { .. } => "no_server",
            Refusal::Full { .. } => "full",
            Refusal::Leaving => "leaving",
            Refusal::NotRun { .. } => "not_run",
            Refusal::ResponseLost => "lost",
            Refusal::TimedOut { .. } => "timed_out",
        }
    }

    /// When the caller should come back, if waiting helps.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::NoServer { retry_after }
            | Refusal::Full { retry_after }
            | Refusal::NotRun { retry_after } => Some(*retry_after),
            Refusal::NoManifest | Refusal::Leaving => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Refusal::ResponseLost => Verdict::MayHaveRun,
            Refusal::TimedOut { verdict } => *verdict,
            _ => Verdict::NotRun,
        }
    }
}
