//! Sessions with entries: manifest, routing view and shares of the slots.

use super::{COLD_TIME_INTERVAL, ENTRY_TIMEOUT, LeaderState};
use crate::{driver::Driver, events::SessionId};
use async_channel::Sender;
use fleet::{ControlMessage, EntryMessage};
use groups::{EntrySummary, routing_view};
use log::info;
use std::{collections::BTreeMap, net::SocketAddr, time::Instant};

impl Driver {
    pub(super) fn not_leader(&self) -> ControlMessage {
        let leader = self.leader().map(|gossip| gossip.peer_address);
        ControlMessage::NotLeader { leader, control_addresses: self.control_addresses() }
    }

    /// Returns the addresses at which control processes accept sessions.
    pub(super) fn control_addresses(&self) -> Vec<SocketAddr> {
        let others = self.peers.values().map(|peer| peer.gossip.peer_address);
        others.chain([self.config.peer_address]).collect()
    }

    pub(crate) fn handle_entry_opened(
        &mut self,
        session: SessionId,
        tx: Sender<ControlMessage>,
        now: Instant,
    ) {
        match &self.leader_state {
            Some(leader) if self.log.node.holds_lease(now) => {
                if let Some(view) = &leader.view {
                    send_or_close(&tx, ControlMessage::View(view.clone()));
                }
                if let Some(culprits) = self.quarantined() {
                    send_or_close(&tx, ControlMessage::Quarantine(culprits));
                }
                let watched = self.watched_requests();
                if !watched.is_empty() {
                    send_or_close(&tx, ControlMessage::Watch(watched));
                }
            }
            _ => send_or_close(&tx, self.not_leader()),
        }
        self.entries.insert(session, tx);
    }

    pub(crate) fn handle_entry_closed(&mut self, session: SessionId) {
        self.entries.remove(&session);
        if let Some(leader) = &mut self.leader_state {
            // The session is closed when the process of the entry exits.
            leader.distribution.remove(session);
            if let Some((status, _)) = leader.entries.remove(&session) {
                info!("event=entry_lost entry={}", status.entry);
                leader.changed = true;
            }
        }
    }

    pub(crate) fn handle_entry_message(
        &mut self,
        session: SessionId,
        message: EntryMessage,
        now: Instant,
    ) {
        let mut status = match message {
            EntryMessage::Status(status) => *status,
            EntryMessage::Evidence(observations) => {
                if self.log.node.holds_lease(now) {
                    self.handle_evidence(observations, now);
                }
                return;
            }
        };
        match &mut self.leader_state {
            Some(leader) if self.log.node.holds_lease(now) => {
                let before = leader.entries.get(&session);
                let has_changed = before.is_none_or(|(before, _)| {
                    before.accepts != status.accepts || before.relay != status.relay
                });
                if has_changed {
                    info!(
                        "event=entry entry={} accepts={} relays={}",
                        status.entry,
                        status.accepts,
                        status.relay.is_some()
                    );
                    leader.changed = true;
                }
                leader.has_traffic |= status.forwarded > 0;
                leader.distribution.record_report(session, status.manifest, now);
                for limit in std::mem::take(&mut status.limits) {
                    let (host, per_s) = (limit.host.clone(), limit.limit.per_s);
                    if leader.host_limits.record(limit, now) {
                        info!("event=server_limit host={host} per_s={per_s:?}");
                        leader.changed = true;
                    }
                }
                let stalled_before = before.map(|(before, _)| &before.stalled);
                leader.changed |=
                    !status.stalled.is_empty() && stalled_before != Some(&status.stalled);
                leader.entries.insert(session, (status, now));
            }
            _ => {
                let message = self.not_leader();
                if let Some(tx) = self.entries.get(&session) {
                    send_or_close(tx, message);
                }
            }
        }
    }

    /// Sends the routing view to the entries if it has changed. A leader that doesn't know
    /// all hosts yet (`is_complete` is false) publishes no view without replicas.
    pub(super) fn publish(&mut self, is_complete: bool, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let entries = leader.entries.values().filter(|(status, _)| status.accepts);
        let mut entries: Vec<_> = entries.map(|(status, _)| status.address).collect();
        entries.sort_unstable();
        entries.dedup();
        let relays = leader.entries.values().filter_map(|(status, _)| status.relay.clone());
        let mut relays: Vec<_> = relays.collect();
        relays.sort_unstable();
        relays.dedup();
        let senders = leader.entries.len();
        let entries = EntrySummary { accepting: entries, relays, senders };
        let mut view = routing_view(
            &leader.planner,
            &leader.registry,
            &self.ledger.domains_out,
            entries,
            is_complete,
            &self.config.limits,
            now,
        );
        if !is_complete && view.replicas.is_empty() {
            return;
        }
        for replica in &mut view.replicas {
            replica.limit = leader.host_limits.report(&replica.host, replica.incarnation, now);
        }
        let old = leader.view.as_ref();
        let has_same_routes = old.is_some_and(|old| old.same_routes(&view));
        if has_same_routes && (old == Some(&view) || now < leader.view_at + COLD_TIME_INTERVAL) {
            return;
        }
        let serving = view.replicas.iter().filter(|replica| replica.group.is_some()).count();
        if !has_same_routes {
            info!(
                "event=view replicas={} groups={serving} entries={}",
                view.replicas.len(),
                view.entries.len()
            );
        }
        self.counters.views.inc();
        self.counters.groups_serving.set(serving as i64);
        for tx in self.entries.values() {
            send_or_close(tx, ControlMessage::View(view.clone()));
        }
        leader.view_at = now;
        leader.view = Some(view);
    }
}

impl LeaderState {
    /// The recent request rate of each entry.
    pub(super) fn request_rates(&self) -> BTreeMap<SessionId, f64> {
        let rates = self.entries.iter();
        rates.map(|(session, (status, _))| (*session, status.request_rate)).collect()
    }

    pub(super) fn expire_entries(&mut self, now: Instant) {
        let before = self.entries.len();
        self.entries.retain(|_, (_, last_report)| {
            now.saturating_duration_since(*last_report) <= ENTRY_TIMEOUT
        });
        self.changed |= self.entries.len() != before;
    }
}

/// Sends a message to an entry. Closes the session if its queue is full, so that a slow entry
/// has to reconnect.
pub(super) fn send_or_close(tx: &Sender<ControlMessage>, message: ControlMessage) {
    if tx.try_send(message).is_err() {
        tx.close();
    }
}
