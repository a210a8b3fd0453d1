//! Decides how engine hosts form groups: from reports and the time to orders.
//!
//! The crate does no I/O and reads no clock. A group is committed to the log before its
//! members are told to join, and its end before they join another one, so that a new leader
//! knows which hosts may belong to a group. Every epoch begins with the leader's term, so
//! that an order of an earlier leader that arrives late is refused by the engines.

mod limits;
mod loads;
mod placement;
mod planner;
mod registry;
mod view;

pub use limits::Limits;
pub use planner::{HostUse, OrderOutcome, OrderResult, Phase, Planner, PlannerInput, Step};
pub use registry::{HostSeen, Registry};
pub use view::{EntrySummary, routing_view};
