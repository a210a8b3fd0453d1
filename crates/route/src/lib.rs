//! Request routing at an entry: which backend server takes which request, and when.
//!
//! The crate does no I/O and reads no clock. The time and the random number generator are passed
//! in.

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
