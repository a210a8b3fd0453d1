//! Small fakes at the interfaces of the pure crates, for randomised runs and benchmarks.

mod control;
mod host;
pub mod process;
mod world;

pub use control::ControlSim;
pub use host::{FakeHost, Site};
pub use world::{Fault, Figures, SimConfig};
