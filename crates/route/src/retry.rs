//! Decides whether a failed try may be retried.

use model::verdict::Verdict;
use std::time::Instant;

/// What each request adds to the budget, in thousandths of a retry.
const DEPOSIT_PER_REQUEST: u32 = 100;
/// What a retry takes out of the budget, in thousandths of a retry.
const RETRY_COST: u32 = 1000;
/// Upper bound of the budget, in thousandths of a retry.
const MAX_BALANCE: u32 = 20_000;

/// A token bucket that limits retries to a fraction of all requests, so that retries can't multiply
/// an overload.
#[derive(Debug)]
pub struct RetryBudget {
    /// Thousandths of a retry that may be spent.
    balance: u32,
}

/// Whether to retry, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry; the budget has paid for it.
    Retry,
    /// A retry could run the request twice.
    Unsafe,
    /// The budget is used up.
    NoBudget,
    /// The deadline has passed.
    TooLate,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: MAX_BALANCE }
    }
}

impl RetryBudget {
    /// Adds the share of a new request to the budget.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Decides whether a failed try is retried, and takes the retry out of the budget.
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
        if self.balance < RETRY_COST {
            return RetryDecision::NoBudget;
        }
        self.balance -= RETRY_COST;
        RetryDecision::Retry
    }
}
