//! Reasons for which a request is refused or fails.

use model::verdict::Verdict;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// Why a caller gets no response of a backend server.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// This process has not received a manifest yet.
    NoManifest,
    /// No route matches the request.
    NoRoute,
    /// The key belongs to no team.
    UnknownKey,
    /// The body is larger than the manifest allows.
    BodyTooLarge,
    /// The connection failed before the end of the body.
    BodyTruncated,
    /// The bodies of all requests take as much memory as they may.
    BodiesFull {
        /// When the caller should retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// No backend server offers what the request needs.
    NoServer {
        /// When the caller should retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// All slots are taken.
    Full {
        /// When the caller should retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The request, or a part of its prompt, has crashed backend servers.
    Quarantined {
        /// When the caller should retry: at the end of the quarantine.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// Neither this entry nor any other one reaches a backend server.
    NoPath {
        /// When the caller should retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// This process is shutting down.
    Leaving,
    /// This process ends before the response has arrived. The request may have run.
    Stopped,
    /// The backend servers tried have not run the request.
    NotRun {
        /// When the caller should retry.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        retry_after: Duration,
    },
    /// The response was lost or is unreadable. The request may have run.
    ResponseLost,
    /// The deadline of the caller or the route has passed.
    TimedOut {
        /// Whether the request may have run.
        verdict: Verdict,
    },
}

impl Refusal {
    /// The error code in responses and logs.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::NoManifest => "no_manifest",
            Refusal::NoRoute => "no_route",
            Refusal::UnknownKey => "unknown_key",
            Refusal::BodyTooLarge => "too_long",
            Refusal::BodyTruncated => "body_cut",
            Refusal::BodiesFull { .. } => "bodies_full",
            Refusal::NoServer { .. } => "no_server",
            Refusal::Full { .. } => "full",
            Refusal::Quarantined { .. } => "quarantined",
            Refusal::NoPath { .. } => "no_path",
            Refusal::Leaving => "leaving",
            Refusal::Stopped => "stopped",
            Refusal::NotRun { .. } => "not_run",
            Refusal::ResponseLost => "lost",
            Refusal::TimedOut { .. } => "timed_out",
        }
    }

    /// When the caller should retry, if a retry can succeed.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::BodiesFull { retry_after }
            | Refusal::NoServer { retry_after }
            | Refusal::Full { retry_after }
            | Refusal::Quarantined { retry_after }
            | Refusal::NoPath { retry_after }
            | Refusal::NotRun { retry_after } => Some(*retry_after),
            Refusal::NoManifest | Refusal::Leaving => Some(Duration::ZERO),
            _ => None,
        }
    }

    /// Whether the entry that refuses takes no requests of other entries now.
    pub(crate) fn takes_no_requests(&self) -> bool {
        matches!(self, Refusal::NoPath { .. } | Refusal::Leaving | Refusal::NoManifest)
    }

    /// Whether the request may have run.
    pub fn verdict(&self) -> Verdict {
        match self {
            Refusal::ResponseLost | Refusal::Stopped => Verdict::MayHaveRun,
            Refusal::TimedOut { verdict } => *verdict,
            _ => Verdict::NotRun,
        }
    }
}
