//! Status for operators, and the dump for diagnosis.

use super::Driver;
use model::{
    announce::Offer,
    ids::{ControlId, DomainId, ModelId},
    status::{ControlStatus, EntryStatus, GroupStatus, ManifestStatus, Status},
};
use plan::group_serves;
use serde_json::{Value, json};
use std::{collections::BTreeMap, time::Instant};

impl Driver {
    /// Returns the status as seen by the leader.
    pub(super) fn status(&self, now: Instant) -> Status {
        let groups = self.group_statuses(now);
        let mut serving: BTreeMap<ModelId, u32> = BTreeMap::new();
        for group in groups.iter().filter(|group| group.serving) {
            *serving.entry(group.model.clone()).or_default() += 1;
        }
        let manifest = self.manifest.as_ref();
        let short_models = manifest
            .iter()
            .flat_map(|manifest| &manifest.models)
            .filter(|model| serving.get(&model.name).copied().unwrap_or(0) < model.replicas)
            .map(|model| model.name.clone())
            .collect();
        let (hosts_live, accelerators_live) = self.live_hosts();
        Status {
            leader: self.name.clone(),
            term: self.log.node.term(),
            commit: self.log.node.commit(),
            controls: self.control_statuses(now),
            manifest: self.state.manifest.as_ref().map(|accepted| ManifestStatus {
                number: accepted.number,
                digest: accepted.digest.clone(),
            }),
            domains_out: self.state.domains_out.keys().cloned().collect(),
            accelerators_serving: self.accelerators_serving(&groups),
            groups,
            entries: self.entry_statuses(),
            hosts_live,
            accelerators_live,
            services_serving: self
                .leader_state
                .as_ref()
                .map_or(0, |leader| leader.publisher.view().services.len()),
            serving_by_domain: self.serving_by_domain(),
            short_models,
        }
    }

    fn serving_by_domain(&self) -> BTreeMap<DomainId, usize> {
        let mut counts = BTreeMap::new();
        let Some(leader) = &self.leader_state else {
            return counts;
        };
        let view = leader.publisher.view();
        let groups = view.groups.values().map(|group| &group.domain);
        let services = view.services.values().map(|service| &service.domain);
        for domain in groups.chain(services) {
            *counts.entry(domain.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the state of this process for diagnosis.
    pub(super) fn dump(&self, now: Instant) -> Value {
        self.metrics.peer_sent_bytes.set(self.bytes.sent() as i64);
        self.metrics.peer_received_bytes.set(self.bytes.received() as i64);
        let peers: Vec<Value> = self
            .peers
            .values()
            .map(|peer| {
                json!({
                    "id": format!("{:016x}", peer.hello.id),
                    "name": peer.hello.name,
                    "address": peer.hello.address,
                    "silent_ms": millis(now, peer.last_contact),
                })
            })
            .collect();
        let hosts: Vec<Value> = self
            .state
            .hosts
            .iter()
            .map(|(host, record)| {
                json!({
                    "host": host,
                    "role": format!("{:?}", record.role),
                    "fence": record.fence,
                    "order_outstanding": record.order.as_ref().map(|order| order.fence),
                })
            })
            .collect();
        json!({
            "name": self.name,
            "id": format!("{:016x}", self.log.node.id()),
            "role": format!("{:?}", self.log.node.role()),
            "term": self.log.node.term(),
            "commit": self.log.node.commit(),
            "last_index": self.log.node.last_index(),
            "snapshot_index": self.log.node.snapshot_index(),
            "voters": self.log.node.voters().iter().map(|id| format!("{id:016x}")).collect::<Vec<_>>(),
            "holds_lease": self.log.node.holds_lease(now),
            "has_learned": self.leader_state.as_ref().is_some_and(|leader| leader.has_learned()),
            "manifest": self.state.manifest.as_ref().map(|accepted| accepted.number),
            "groups": self.group_statuses(now),
            "hosts": hosts,
            "claims": self.state.claims.len(),
            "pending": self.log.waiter_count(),
            "peers": peers,
            "subscribers": self.subscribers.values().map(|subscriber| &subscriber.entry).collect::<Vec<_>>(),
            "log_bytes": self.log.log_bytes(),
        })
    }

    fn group_statuses(&self, now: Instant) -> Vec<GroupStatus> {
        let wall_s = self.wall_s();
        let leader = self.leader_state.as_ref();
        let serves = |id, group| {
            leader.is_some_and(|leader| {
                group_serves(&self.state, &leader.observations, id, group, now, wall_s)
            })
        };
        let cold = |id| {
            let view = leader.and_then(|leader| leader.publisher.view().groups.get(&id));
            view.is_none_or(|view| view.cold)
        };
        self.state
            .groups
            .iter()
            .map(|(id, group)| GroupStatus {
                group: *id,
                model: group.model.clone(),
                domain: group.domain.clone(),
                members: group.members.iter().map(|member| member.host.clone()).collect(),
                serving: serves(*id, group),
                cold: cold(*id),
            })
            .collect()
    }

    fn control_statuses(&self, now: Instant) -> Vec<ControlStatus> {
        let last = self.log.node.last_index();
        let own: ControlId = self.log.node.id();
        let mut ids: Vec<ControlId> = self.log.node.progress().keys().copied().collect();
        ids.push(own);
        ids.into_iter()
            .map(|id| {
                let progress = self.log.node.progress().get(&id);
                ControlStatus {
                    id,
                    name: self.name_of(id).into(),
                    voter: self.log.node.voters().contains(&id),
                    lag: progress.map_or(0, |progress| last.saturating_sub(progress.matched)),
                    silent_ms: progress.map_or(0, |progress| millis(now, progress.last_contact)),
                }
            })
            .collect()
    }

    fn entry_statuses(&self) -> Vec<EntryStatus> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        let entries = leader.observations.entries();
        entries
            .iter()
            .map(|(entry, seen)| EntryStatus {
                entry: entry.clone(),
                manifest: seen.manifest,
                leaving: seen.leaving,
                hosts: leader.observations.held_by(entry),
            })
            .collect()
    }

    fn live_hosts(&self) -> (usize, u64) {
        let Some(leader) = &self.leader_state else {
            return (0, 0);
        };
        let live = leader.observations.hosts().values().filter(|seen| seen.is_fresh());
        live.fold((0, 0), |(hosts, accelerators), seen| match seen.announcement.offer {
            Offer::Accelerators(count) => (hosts + 1, accelerators + u64::from(count)),
            Offer::Service(_) => (hosts + 1, accelerators),
        })
    }

    fn accelerators_serving(&self, groups: &[GroupStatus]) -> u64 {
        let Some(leader) = &self.leader_state else {
            return 0;
        };
        let members = groups.iter().filter(|group| group.serving).flat_map(|group| &group.members);
        members
            .filter_map(|host| leader.observations.fresh(host))
            .map(|announcement| match announcement.offer {
                Offer::Accelerators(count) => u64::from(count),
                Offer::Service(_) => 0,
            })
            .sum()
    }
}

fn millis(now: Instant, then: Instant) -> u64 {
    now.saturating_duration_since(then).as_millis() as u64
}
