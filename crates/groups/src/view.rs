//! The routing view that follows from groups and reports.

use crate::{Limits, Planner, Registry};
use fleet::{Replica, RoutingView};
use model::ids::DomainId;
use std::{collections::BTreeSet, net::SocketAddr, time::Instant};

/// The entries as the leader sees them.
#[derive(Debug, Default)]
pub struct EntrySummary {
    /// Addresses of those that take callers.
    pub accepting: Vec<SocketAddr>,
    /// The number of those that may send requests.
    pub senders: usize,
}

/// What entries may send requests to.
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
        let cold = members.map(|seen| seen.cold_left(now)).max().unwrap_or_default();
        if !domains_out.contains(&head.report.domain) {
            let mut replica = replica_of(head, now);
            replica.cold = cold;
            replica.group = Some((name.clone(), group.model.clone()));
            replicas.push(replica);
        }
    }
    let plain = registry.hosts().values().filter(|seen| {
        planner.is_plain(&seen.report.service)
            && seen.is_present(limits.replica_timeout, now)
            && !seen.report.leaving
            && !domains_out.contains(&seen.report.domain)
    });
    replicas.extend(plain.map(|seen| replica_of(seen, now)));
    let EntrySummary { accepting, senders } = entries;
    RoutingView { replicas, entries: accepting, senders, is_complete }
}

fn replica_of(seen: &crate::HostSeen, now: Instant) -> Replica {
    Replica {
        host: seen.report.host.clone(),
        service: seen.report.service.clone(),
        address: seen.report.address,
        domain: seen.report.domain.clone(),
        slots: seen.report.slots,
        cold: seen.cold_left(now),
        group: None,
    }
}
