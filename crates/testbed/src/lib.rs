//! Test support: a deterministic simulation of control for randomised tests and benchmarks,
//! and clusters of real processes for integration tests.

mod config;
mod control;
mod host;
pub mod process;

pub use config::{Fault, SimConfig, SimStats};
pub use control::ControlSim;
pub use host::{FakeHost, HostSpec};
