//! The gateway of a fleet: proxies callers' requests to backend servers, and receives manifests
//! and routing views from control.
//!
//! The headers of requests and responses are defined by the program that uses this library, which
//! supplies a [`Dialect`].

mod control_client;
mod dialect;
mod digest;
mod dispatch;
mod events;
mod links;
mod metrics;
mod refusal;
mod relay;
mod state;
mod stream;
mod unary;

pub use control_client::{ControlClient, ControlClientConfig};
pub use dialect::{Dialect, ForwardInfo, RequestInfo, ResponseKind};
pub use dispatch::Gateway;
pub use metrics::GatewayMetrics;
pub use refusal::Refusal;
pub use relay::RelayServer;
pub use state::{GatewayState, RetryBudgetConfig};
