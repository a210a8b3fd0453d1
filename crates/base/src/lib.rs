//! Utilities shared by every process: clock, settings, limits, logs, metrics and secrets.

pub mod clock;
pub mod limits;
pub mod logs;
pub mod metrics;
pub mod secret;
pub mod settings;
pub mod sync;
pub mod units;
