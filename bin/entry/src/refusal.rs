//! Responses to refused requests: a header that says whether the request ran, and a JSON body.

use crate::entry_state::EntryState;
use http::{Body, json_response};
use hyper::{
    Response, StatusCode,
    header::{HeaderValue, RETRY_AFTER},
};
use model::{request::RAN_HEADER, verdict::Verdict};
use route::Refusal;
use serde::Serialize;

/// The value of the `Retry-After` header, in seconds.
const RETRY_AFTER_SECONDS: u64 = 1;

/// The JSON body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody {
    error: &'static str,
    message: Box<str>,
    ran: &'static str,
}

/// A refusal that is sent to a caller.
#[derive(Debug)]
pub struct CallerRefusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// The error code.
    pub error: &'static str,
    /// A readable description.
    pub message: Box<str>,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Whether the caller may send the request again later.
    pub retryable: bool,
}

impl CallerRefusal {
    /// Refuses an invalid request, which has not run.
    pub fn invalid(
        status: StatusCode,
        error: &'static str,
        message: impl Into<Box<str>>,
    ) -> CallerRefusal {
        CallerRefusal {
            status,
            error,
            message: message.into(),
            verdict: Verdict::NotRun,
            retryable: false,
        }
    }

    /// Refuses a request that may have run.
    pub fn outcome_unknown(
        status: StatusCode,
        error: &'static str,
        message: impl Into<Box<str>>,
    ) -> CallerRefusal {
        CallerRefusal {
            status,
            error,
            message: message.into(),
            verdict: Verdict::MayHaveRun,
            retryable: false,
        }
    }

    /// Refuses a request that has not run and may be sent again later.
    pub fn retryable(
        status: StatusCode,
        error: &'static str,
        message: impl Into<Box<str>>,
    ) -> CallerRefusal {
        CallerRefusal {
            status,
            error,
            message: message.into(),
            verdict: Verdict::NotRun,
            retryable: true,
        }
    }

    /// Counts the refusal and builds the response.
    pub fn response(self, state: &EntryState) -> Response<Body> {
        match self.verdict {
            Verdict::NotRun => state.metrics.refused_not_run.inc(),
            Verdict::MayHaveRun | Verdict::Ran => state.metrics.refused_unknown.inc(),
        };
        let ran = self.verdict.header_value();
        let body = RefusalBody { error: self.error, message: self.message, ran };
        let mut response = json_response(self.status, &body);
        let headers = response.headers_mut();
        headers.insert(RAN_HEADER, HeaderValue::from_static(ran));
        if self.retryable {
            headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECONDS));
        }
        response
    }
}

impl From<Refusal> for CallerRefusal {
    fn from(refusal: Refusal) -> CallerRefusal {
        match refusal {
            Refusal::NoLease => CallerRefusal::retryable(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_lease",
                "this entry has no current view of the system: ask the directory for another entry",
            ),
            Refusal::NoServer => CallerRefusal::retryable(
                StatusCode::SERVICE_UNAVAILABLE,
                "no_server",
                "no backend server serves this now",
            ),
            Refusal::TeamQueueFull => CallerRefusal::retryable(
                StatusCode::TOO_MANY_REQUESTS,
                "team_queue_full",
                "too many requests of this team wait",
            ),
            Refusal::WaitTooLong => CallerRefusal::retryable(
                StatusCode::SERVICE_UNAVAILABLE,
                "wait_too_long",
                "the expected wait passes the deadline",
            ),
            Refusal::Expired => CallerRefusal::retryable(
                StatusCode::SERVICE_UNAVAILABLE,
                "deadline",
                "the deadline passed before a backend server was free",
            ),
            Refusal::UnknownTeam => CallerRefusal::invalid(
                StatusCode::FORBIDDEN,
                "unknown_team",
                "the manifest has no team for this caller",
            ),
        }
    }
}
