//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// What is known about the execution of one attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run, may be running or may run later.
    MayHaveRun,
    /// The request has run and its response is complete.
    Ran,
}

impl Verdict {
    /// Whether the request may safely be retried.
    pub fn permits_retry(self, idempotent: bool) -> bool {
        match self {
            Verdict::NotRun => true,
            Verdict::MayHaveRun => idempotent,
            Verdict::Ran => false,
        }
    }

    /// The value of the header `kingcup-ran` of a refusal.
    pub fn header_value(self) -> &'static str {
        match self {
            Verdict::NotRun => "no",
            Verdict::MayHaveRun => "unknown",
            Verdict::Ran => "yes",
        }
    }
}
