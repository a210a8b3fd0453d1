//! A simulation of engine hosts in virtual time: how they join, open, close and leave groups, load
//! and stage weights, stall when a member is missing, and report.
//!
//! It records each violation of a safety rule, so that randomized tests of the planner can assert
//! that there are none.

mod cluster;
mod host;
mod sample;

pub use cluster::{SimCluster, SimConfig, Violation};
pub use host::Host;
pub use sample::sample_engine;
