//! Forms engine hosts into groups: computes orders from host reports and the current time.
//!
//! The crate does no I/O and reads no clock. A group is committed to the log before its
//! members are ordered to join, and its end is committed before they join another group, so
//! a new leader knows which hosts may belong to a group. Every epoch starts with the leader's
//! term, so engines refuse delayed orders of an earlier leader.

mod limits;
mod loads;
mod placement;
mod planner;
mod registry;
mod view;

pub use limits::Limits;
pub use planner::{HostUse, OrderOutcome, OrderResult, Phase, Planner, PlannerInput, Step};
pub use registry::{HostHistory, HostStatus, Registry};
pub use view::{EntrySummary, routing_view};
