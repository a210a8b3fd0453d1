//! The control process of a fleet of engine groups and plain services: the replicated
//! ledger, the registry of hosts, the planner of groups and the feed of routing views.
//!
//! How operators and hosts speak is the business of the program that uses this library:
//! it passes their calls through a [`Handle`] and carries out orders through [`Orders`].

mod driver;
mod events;
mod leader;
mod ledger;
mod membership;
mod metrics;
mod sessions;
mod shares;

pub use driver::{Config, Driver};
pub use events::{Call, Event, Handle, Reply, SessionId};
pub use ledger::{Command, Ledger, StoredManifest};
pub use metrics::Counters;
pub use sessions::Sessions;
pub use shares::SlotShares;

use fleet::{HostOrder, HostState};
use futures_lite::future::Boxed;
use groups::OrderResult;
use model::ids::HostId;
use std::net::SocketAddr;

/// Carries out orders to hosts.
pub trait Orders: Send + Sync {
    /// Sends an order and waits for its outcome for a limited time.
    fn send(&self, order: &HostOrder) -> Boxed<OrderResult>;

    /// Asks a host how its engine is; none if it doesn't answer in a limited time.
    fn ask(&self, host: &HostId, address: SocketAddr) -> Boxed<Option<HostState>>;
}
