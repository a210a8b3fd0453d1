//! Whether a failed try may be followed by another.

use model::verdict::Verdict;
use std::time::Instant;

/// Retries earned by one request, in thousandths.
const EARNED_PER_REQUEST: u32 = 100;
/// The cost of one retry, in thousandths.
const RETRY_COST: u32 = 1000;
/// The most that can be saved up, in thousandths.
const SAVED_MAX: u32 = 20_000;

/// A budget of retries: a share of all requests, so that retries can't multiply an
/// overload.
#[derive(Debug)]
pub struct RetryBudget {
    saved: u32,
}

/// The decision about another try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again.
    Retry,
    /// Another try could run the request twice.
    Unsafe,
    /// The budget is spent.
    NoBudget,
    /// The deadline has passed.
    TooLate,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: SAVED_MAX }
    }
}

impl RetryBudget {
    /// Earns a share of a retry with a new request.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED_PER_REQUEST).min(SAVED_MAX);
    }

    /// Decides about another try, and pays for it.
    pub fn decide(
        &mut self,
        idempotent: bool,
        verdict: Verdict,
        now: Instant,
        deadline: Instant,
    ) -> RetryDecision {
        if !verdict.permits_retry(idempotent) {
            return RetryDecision::Unsafe;
        }
        if now >= deadline {
            return RetryDecision::TooLate;
        }
        if self.saved < RETRY_COST {
            return RetryDecision::NoBudget;
        }
        self.saved -= RETRY_COST;
        RetryDecision::Retry
    }
}
