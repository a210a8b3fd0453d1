//! The control process of a fleet of engine groups and plain services: the replicated
//! ledger, the host registry, the group planner and the publication of routing views.
//!
//! The protocols of operators and hosts belong to the program that uses this library. It
//! submits their calls through a [`Handle`] and implements [`Orders`] to reach the hosts.

mod distribution;
mod driver;
mod events;
mod leader;
mod ledger;
mod membership;
mod metrics;
mod rates;
mod sessions;
mod shares;

pub use distribution::Distribution;
pub use driver::{Config, Driver};
pub use events::{Call, Event, Handle, Reply, SessionId};
pub use ledger::{Command, Ledger, StoredManifest};
pub use metrics::Counters;
pub use rates::{HostLimits, RateShares};
pub use replog::Tolerance;
pub use sessions::Sessions;
pub use shares::SlotShares;

use fleet::{HostOrder, HostState};
use futures_lite::future::Boxed;
use groups::OrderResult;
use model::ids::HostId;
use std::net::SocketAddr;

/// Client for the hosts of the fleet.
pub trait Orders: Send + Sync {
    /// Sends an order and waits for its outcome. The wait has a time limit.
    fn send(&self, order: &HostOrder) -> Boxed<OrderResult>;

    /// Queries the state of a host's engine. Returns `None` if the host doesn't answer within
    /// the time limit.
    fn query_state(&self, host: &HostId, address: SocketAddr) -> Boxed<Option<HostState>>;
}
