//! Builds the routing view from groups and reports.

use crate::{HostStatus, Limits, Planner, Registry};
use fleet::{Relay, Replica, RoutingView};
use model::ids::DomainId;
use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

/// The entries known to the leader.
#[derive(Debug, Default)]
pub struct EntrySummary {
    /// Addresses of entries that accept callers.
    pub accepting: Vec<SocketAddr>,
    /// The entries that take requests of others.
    pub relays: Vec<Relay>,
    /// Number of entries that may send requests.
    pub senders: usize,
}

/// The replicas that entries may send requests to, with the entries themselves.
pub fn routing_view(
    planner: &Planner,
    registry: &Registry,
    domains_out: &BTreeSet<DomainId>,
    entries: EntrySummary,
    is_complete: bool,
    limits: &Limits,
    now: Instant,
) -> RoutingView {
    let mut replicas = Vec::new();
    for (name, group) in planner.serving() {
        let Some(head) = group.members.first().and_then(|host| registry.hosts().get(host)) else {
            continue;
        };
        let members = group.members.iter().filter_map(|host| registry.hosts().get(host));
        let cold = members.map(|status| status.cold_remaining(now)).max().unwrap_or_default();
        if !domains_out.contains(&head.report.domain) {
            let mut replica = replica_of(head, now);
            replica.cold_remaining = cold;
            replica.group = Some((name.clone(), group.model.clone()));
            replicas.push(replica);
        }
    }
    let plain = registry.hosts().values().filter(|status| {
        planner.is_plain(&status.report.service)
            && status.is_present(limits.replica_timeout, now)
            && !status.report.leaving
            && !domains_out.contains(&status.report.domain)
    });
    replicas.extend(plain.map(|status| replica_of(status, now)));
    let EntrySummary { accepting, relays, senders } = entries;
    RoutingView { replicas, entries: accepting, relays, senders, is_complete }
}

fn replica_of(status: &HostStatus, now: Instant) -> Replica {
    Replica {
        host: status.report.host.clone(),
        incarnation: status.report.incarnation,
        service: status.report.service.clone(),
        address: status.report.address,
        domain: status.report.domain.clone(),
        slots: status.report.slots,
        cold_remaining: status.cold_remaining(now),
        group: None,
        limit: None,
    }
}
