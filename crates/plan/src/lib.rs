//! Decisions of control: which groups exist, which orders are due, what entries see.
//!
//! The crate does no I/O and reads no clock. [`Observations`] holds what entries
//! report, [`Planner`] turns the replicated state and the observations into commands,
//! and [`build_view`] into the view that entries act on.

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
