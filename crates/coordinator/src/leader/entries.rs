//! Conversations with entries: manifest, routing view and parts of the places.

use super::{COLD_STEP, ENTRY_SILENCE, Leading};
use crate::{driver::Driver, events::SessionId};
use async_channel::Sender;
use fleet::{ControlMessage, EntryMessage};
use groups::{EntrySummary, routing_view};
use log::info;
use std::{net::SocketAddr, time::Instant};

impl Driver {
    pub(super) fn not_leader(&self) -> ControlMessage {
        let leader = self.leader().map(|gossip| gossip.peer_address);
        ControlMessage::NotLeader { leader, known: self.known() }
    }

    pub(super) fn known(&self) -> Vec<SocketAddr> {
        let others = self.peers.values().map(|peer| peer.gossip.peer_address);
        others.chain([self.config.peer_address]).collect()
    }

    pub(crate) fn open_entry(
        &mut self,
        session: SessionId,
        tx: Sender<ControlMessage>,
        now: Instant,
    ) {
        match &self.leading {
            Some(leading) if self.log.node.holds_lease(now) => {
                if let Some(manifest) = &leading.manifest {
                    push(&tx, ControlMessage::Manifest(manifest.clone()));
                }
                if let Some(view) = &leading.view {
                    push(&tx, ControlMessage::View(view.clone()));
                }
            }
            _ => push(&tx, self.not_leader()),
        }
        self.entries.insert(session, tx);
    }

    pub(crate) fn close_entry(&mut self, session: SessionId) {
        self.entries.remove(&session);
        if let Some(leading) = &mut self.leading {
            // A process that has ended closes its conversation.
            if let Some((status, _)) = leading.entries.remove(&session) {
                info!("event=entry_lost entry={}", status.entry);
                leading.changed = true;
            }
        }
    }

    pub(crate) fn take_entry(&mut self, session: SessionId, message: EntryMessage, now: Instant) {
        let EntryMessage::Status(status) = message;
        match &mut self.leading {
            Some(leading) if self.log.node.holds_lease(now) => {
                let before = leading.entries.get(&session);
                let differs = before.is_none_or(|(before, _)| before.accepts != status.accepts);
                if differs {
                    info!("event=entry entry={} accepts={}", status.entry, status.accepts);
                    leading.changed = true;
                }
                leading.traffic |= status.served > 0;
                let old = before.map(|(before, _)| &before.stalled);
                leading.changed |= !status.stalled.is_empty() && old != Some(&status.stalled);
                leading.entries.insert(session, (status, now));
            }
            _ => {
                let message = self.not_leader();
                if let Some(tx) = self.entries.get(&session) {
                    push(tx, message);
                }
            }
        }
    }

    pub(super) fn publish(&mut self, is_complete: bool, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let entries = leading.entries.values().filter(|(status, _)| status.accepts);
        let mut entries: Vec<_> = entries.map(|(status, _)| status.address).collect();
        entries.sort_unstable();
        entries.dedup();
        let entries = EntrySummary { accepting: entries, senders: leading.entries.len() };
        let view = routing_view(
            &leading.planner,
            &leading.registry,
            &self.ledger.domains_out,
            entries,
            is_complete,
            &self.config.limits,
            now,
        );
        if !is_complete && view.replicas.is_empty() {
            return;
        }
        let old = leading.view.as_ref();
        let same = old.is_some_and(|old| old.same_routes(&view));
        if same && (old == Some(&view) || now < leading.view_at + COLD_STEP) {
            return;
        }
        let serving = view.replicas.iter().filter(|replica| replica.group.is_some()).count();
        if !same {
            info!(
                "event=view replicas={} groups={serving} entries={}",
                view.replicas.len(),
                view.entries.len()
            );
        }
        self.counters.views.inc();
        self.counters.groups_serving.set(serving as i64);
        for tx in self.entries.values() {
            push(tx, ControlMessage::View(view.clone()));
        }
        leading.view_at = now;
        leading.view = Some(view);
    }
}

impl Leading {
    pub(super) fn divide_places(&mut self) -> Vec<(SessionId, f64)> {
        let asked = self.entries.iter().map(|(session, (status, _))| (*session, status.asked));
        self.shares.divide(&asked.collect())
    }

    pub(super) fn expire_entries(&mut self, now: Instant) {
        let before = self.entries.len();
        self.entries.retain(|_, (_, heard)| now.saturating_duration_since(*heard) <= ENTRY_SILENCE);
        self.changed |= self.entries.len() != before;
    }
}

/// Sends a message to an entry. One that does not read must start a new conversation.
pub(super) fn push(tx: &Sender<ControlMessage>, message: ControlMessage) {
    if tx.try_send(message).is_err() {
        tx.close();
    }
}
