//! The entry process of a fleet: takes callers' requests, chooses backend servers for
//! them, passes whole answers and streams back, and learns routes from control.
//!
//! How requests are written on the wire is the business of the program that uses this
//! library: it supplies a [`Dialect`].

mod dialect;
mod dispatch;
mod events;
mod feed;
mod metrics;
mod refusal;
mod shared;
mod stream;
mod unary;

pub use dialect::{Dialect, ForwardInfo, RequestInfo, ResponseKind};
pub use dispatch::Gateway;
pub use feed::{ControlClient, ControlClientConfig};
pub use metrics::GatewayMetrics;
pub use refusal::Refusal;
pub use shared::{GatewayState, RetryBudgetConfig};
