//! A model of engine hosts in virtual time: how they join, open, close and leave groups,
//! load and stage weights, stall when a member is gone, and report.
//!
//! It notes each breach of what must always hold, so that randomised runs of the planner
//! can assert that there is none.

mod field;
mod host;
mod sample;

pub use field::{Breach, Field, FieldPlan};
pub use host::Host;
pub use sample::sample_engine;
