//! Planning logic of control: which groups exist, which orders are due, and the view that
//! entries use.
//!
//! The crate does no I/O and reads no clock. [`Observations`] holds what entries report,
//! [`Planner`] computes commands from the replicated state and the observations, and
//! [`build_view`] computes the view for entries.

mod formation;
mod member;
mod observations;
mod orders;
mod placement;
mod planner;
mod view;

pub use member::{MemberCondition, member_condition};
pub use observations::{EntryReport, Observations, ObservedEntry, ObservedHost};
pub use orders::{DueOrder, OrderOutcome, OrderTracker};
pub use placement::Policy;
pub use planner::{Planner, PlannerInput};
pub use view::{build_view, group_serves};
