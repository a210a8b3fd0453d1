//! Decisions of an entry: which backend server takes which request, and when.
//!
//! The crate does no I/O, reads no clock and draws no random number of its own.

mod affinity;
mod fair;
mod hosts;
mod retry;
mod router;
mod server;
mod table;

pub use affinity::BalancingPolicy;
pub use hosts::{HostFault, HostTable};
pub use retry::{RetryBudget, RetryDecision};
pub use router::{
    Admission, Counts, DispatchId, Outcome, Refusal, Router, Submission, Target, TicketId,
};
pub use server::{Evidence, ServerId, Temperature};
pub use table::{RouteFault, RouteMatch, Routes};
