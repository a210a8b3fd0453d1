//! Decides how engine hosts form groups: from reports and the time to orders.
//!
//! The crate does no I/O and reads no clock. Groups are not replicated: a new leader
//! learns them from the reports, and its term begins every epoch that it gives, so that
//! an order of an earlier leader that arrives late is refused by the engines.

mod limits;
mod loads;
mod placement;
mod planner;
mod registry;
mod view;

pub use limits::Limits;
pub use planner::{OrderOutcome, OrderResult, Phase, Planner, PlannerInput};
pub use registry::{HostSeen, Registry};
pub use view::routing_view;
