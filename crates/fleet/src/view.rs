//! The routing view: what entries may send requests to.

use crate::GroupName;
use model::ids::{DomainId, HostId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// What entries may send requests to, as the leader sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingView {
    /// Plain replicas and heads of groups that serve.
    pub replicas: Vec<Replica>,
    /// Addresses of entries that take callers.
    pub entries: Vec<SocketAddr>,
    /// Entries that may send requests, those that take no callers now included.
    pub senders: usize,
    /// Whether all hosts have had the time to report to this leader. A view that is not
    /// complete serves an entry that knows nothing; others keep what they have.
    pub is_complete: bool,
}

impl RoutingView {
    /// Whether `other` differs at most in how long cold starts last on.
    pub fn same_routes(&self, other: &RoutingView) -> bool {
        let same = |(a, b): (&Replica, &Replica)| {
            a.host == b.host
                && a.address == b.address
                && a.group == b.group
                && a.cold.is_zero() == b.cold.is_zero()
        };
        self.entries == other.entries
            && self.senders == other.senders
            && self.is_complete == other.is_complete
            && self.replicas.len() == other.replicas.len()
            && self.replicas.iter().zip(&other.replicas).all(same)
    }
}

/// A backend server that takes requests: a plain one, or the head of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// The host.
    pub host: HostId,
    /// The service.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long its cold start lasts on, when the view was made.
    pub cold: Duration,
    /// The group and its model, if it heads one.
    pub group: Option<(GroupName, ModelId)>,
}
