//! The routing view: the backend servers that entries may send requests to.

use crate::{GroupName, Incarnation, LimitReport};
use model::ids::{DomainId, HostId, ModelId, ServiceId};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, time::Duration};

/// The backend servers that entries may send requests to, as the leader publishes them.
///
/// Unlike `model::view::View`, it is always sent as a whole and without the manifest, and covers
/// plain backend servers and heads of groups in one list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RoutingView {
    /// Plain backend servers and heads of serving groups.
    pub replicas: Vec<Replica>,
    /// Addresses of the entries that accept callers.
    pub entries: Vec<SocketAddr>,
    /// The entries that take requests of entries without links to backend servers.
    pub relays: Vec<Relay>,
    /// The number of entries that may send requests, including those that accept no callers now.
    pub senders: usize,
    /// Whether all hosts have had the time to report to this leader. An entry uses an incomplete
    /// view only if it has no complete one.
    pub is_complete: bool,
}

impl RoutingView {
    /// Whether `other` differs at most in the remaining time of cold starts and the height of rate
    /// limits.
    pub fn same_routes(&self, other: &RoutingView) -> bool {
        let has_limit =
            |replica: &Replica| replica.limit.is_some_and(|limit| limit.per_s.is_some());
        let same = |(a, b): (&Replica, &Replica)| {
            a.host == b.host
                && a.incarnation == b.incarnation
                && a.address == b.address
                && a.group == b.group
                && a.cold_remaining.is_zero() == b.cold_remaining.is_zero()
                && has_limit(a) == has_limit(b)
        };
        self.entries == other.entries
            && self.relays == other.relays
            && self.senders == other.senders
            && self.is_complete == other.is_complete
            && self.replicas.len() == other.replicas.len()
            && self.replicas.iter().zip(&other.replicas).all(same)
    }
}

/// An entry that takes requests of other entries, which reach no backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Relay {
    /// The address on which it takes them.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// A backend server that takes requests: a plain one, or the head of a group.
///
/// In `model`, a replica of a model is a whole group, and one of a service is a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Replica {
    /// The host.
    pub host: HostId,
    /// The incarnation of the backend server.
    pub incarnation: Incarnation,
    /// The service.
    pub service: ServiceId,
    /// The address on which it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The remaining time of its cold start when the view was made. For the head of a group it is
    /// the longest of its members.
    pub cold_remaining: Duration,
    /// The group that it is the head of, and the model.
    pub group: Option<(GroupName, ModelId)>,
    /// What it last said of its rate limit to any entry, if it has named one.
    pub limit: Option<LimitReport>,
}
