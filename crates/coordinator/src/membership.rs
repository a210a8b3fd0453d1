//! Discovery of control processes, and bootstrap of a new log.

use crate::driver::{Driver, Peer};
use base::limits::HELLO_INTERVAL;
use fleet::{ControlGossip, LogMessage};
use log::{info, warn};
use model::ids::ControlId;
use serde_json::json;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Silence after which a control process is forgotten; its link stays if it is a seed.
const PEER_TIMEOUT: Duration = Duration::from_secs(60);
/// A peer counts as reachable if it has introduced itself within this time.
const PEER_CONTACT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Minimum time between two log lines about a missing leader.
const NO_LEADER_LOG_INTERVAL: Duration = Duration::from_secs(2);

impl Driver {
    /// Introduces this process to the others at intervals, and bootstraps a new log once all
    /// seeds are ready for it.
    pub(crate) fn send_gossip(&mut self, now: Instant) {
        if now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = now + HELLO_INTERVAL;
        self.expire_peers(now);
        self.counters.peer_sent_bytes.set(self.links.bytes().sent() as i64);
        self.counters.peer_received_bytes.set(self.links.bytes().received() as i64);
        let gossip = ControlGossip {
            id: self.log.node.id(),
            name: self.config.name.clone(),
            peer_address: self.config.peer_address,
            public_address: self.config.public_address,
            domain: self.config.domain.clone(),
            may_bootstrap: self.may_bootstrap(),
            peer_addresses: self.links.addresses(),
        };
        self.links.broadcast(&LogMessage::Gossip(gossip));
        self.bootstrap_if_first();
        self.log_missing_leader(now);
    }

    /// Logs why the log has no leader: which voters this process can't reach.
    fn log_missing_leader(&mut self, now: Instant) {
        let node = &self.log.node;
        if node.leader().is_some() {
            self.no_leader_since = None;
            return;
        }
        let Some(since) = self.no_leader_since else {
            // An election may already be under way.
            self.no_leader_since = Some(now);
            return;
        };
        if now < self.next_no_leader_log_at {
            return;
        }
        self.next_no_leader_log_at = now + NO_LEADER_LOG_INTERVAL;
        let is_reachable = |id: &ControlId| {
            let contact = self.peers.get(id).map(|peer| peer.last_contact);
            *id == node.id()
                || contact
                    .is_some_and(|at| now.saturating_duration_since(at) < PEER_CONTACT_TIMEOUT)
        };
        let (reachable, silent): (Vec<ControlId>, Vec<ControlId>) =
            node.voters().iter().copied().partition(is_reachable);
        let silent: Vec<String> = silent.iter().map(|id| format!("{id:016x}")).collect();
        warn!(
            "event=no_leader for_ms={} voters={} reachable={} needed={} silent={} records={}",
            now.saturating_duration_since(since).as_millis(),
            node.voters().len(),
            reachable.len(),
            node.voters().len() / 2 + 1,
            silent.join(","),
            node.last_index()
        );
    }

    fn may_bootstrap(&self) -> bool {
        self.config.may_bootstrap && self.log.node.is_empty()
    }

    /// Bootstraps a new log if this process is the seed with the lowest address and every
    /// other seed has reported an empty log. All processes have the same seeds at the first
    /// start, so only one of them can do this.
    fn bootstrap_if_first(&mut self) {
        let is_lowest = self.config.seeds.iter().min() == Some(&self.config.peer_address);
        if !self.may_bootstrap() || !is_lowest {
            return;
        }
        let mut voters = replog::Voters::from([self.log.node.id()]);
        for seed in &self.config.seeds {
            let is_ready =
                |peer: &&Peer| peer.gossip.peer_address == *seed && peer.gossip.may_bootstrap;
            match self.peers.values().find(is_ready) {
                Some(peer) => voters.insert(peer.gossip.id),
                None if *seed == self.config.peer_address => false,
                None => return,
            };
        }
        info!("event=found voters={}", voters.len());
        self.log.node.bootstrap(voters);
    }

    /// Records the introduction of a control process. A process with a new identity at a
    /// known address replaces the old one.
    pub(crate) fn register_peer(&mut self, gossip: ControlGossip, now: Instant) {
        let replaced: Vec<ControlId> = self
            .peers
            .iter()
            .filter(|(id, peer)| {
                peer.gossip.peer_address == gossip.peer_address && **id != gossip.id
            })
            .map(|(id, _)| *id)
            .collect();
        for id in replaced {
            info!("event=peer_replaced old={id:016x} new={:016x}", gossip.id);
            self.peers.remove(&id);
            self.log.node.remove_learner(id);
        }
        self.connect_to(gossip.peer_address);
        for address in &gossip.peer_addresses {
            self.connect_to(*address);
        }
        self.log.node.add_learner(gossip.id, now);
        self.log.node.set_domain(gossip.id, gossip.domain.clone());
        if !self.peers.contains_key(&gossip.id) {
            info!("event=peer_met id={:016x} name={}", gossip.id, gossip.name);
        }
        self.peers.insert(gossip.id, Peer { gossip, last_contact: now });
    }

    /// Keeps a link open to the control process at `address`.
    pub(crate) fn connect_to(&mut self, address: SocketAddr) {
        if address != self.config.peer_address {
            self.links.ensure(address);
        }
    }

    fn expire_peers(&mut self, now: Instant) {
        let expired: Vec<(ControlId, SocketAddr)> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_duration_since(peer.last_contact) > PEER_TIMEOUT)
            .map(|(id, peer)| (*id, peer.gossip.peer_address))
            .collect();
        for (id, address) in expired {
            self.peers.remove(&id);
            self.log.node.remove_learner(id);
            if !self.config.seeds.contains(&address) {
                self.links.remove(address);
            }
        }
    }

    /// Returns the state of this process for diagnosis.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let peers: Vec<_> = self
            .peers
            .values()
            .map(|peer| {
                let silence = now.saturating_duration_since(peer.last_contact);
                json!({
                    "id": format!("{:016x}", peer.gossip.id),
                    "name": peer.gossip.name,
                    "address": peer.gossip.peer_address,
                    "silent_ms": silence.as_millis() as u64,
                })
            })
            .collect();
        json!({
            "name": self.config.name,
            "id": format!("{:016x}", self.log.node.id()),
            "role": format!("{:?}", self.log.node.role()),
            "term": self.log.node.term(),
            "commit": self.log.node.commit(),
            "voters": self.log.node.voters().iter().map(|id| format!("{id:016x}")).collect::<Vec<_>>(),
            "holds_lease": self.log.node.holds_lease(now),
            "manifest": self.ledger.number(),
            "domains_out": self.ledger.domains_out,
            "peers": peers,
            "log_bytes": self.log.log_bytes(),
            "leading": self.leader_state.as_ref().map(|leader| leader.dump(now)),
        })
    }
}
