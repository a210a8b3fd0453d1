//! How control processes find each other, and how the first of them start the log.

use crate::driver::{Driver, Peer};
use base::limits::HELLO_EVERY;
use fleet::{ControlGossip, LogMessage};
use log::info;
use model::ids::ControlId;
use serde_json::json;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Silence after which a control process is no longer called, unless it is a seed.
const FORGET_PEER: Duration = Duration::from_secs(60);

impl Driver {
    /// Introduces this process, and starts the log once all founders are there.
    pub(crate) fn gossip(&mut self, now: Instant) {
        if now < self.gossip_at {
            return;
        }
        self.gossip_at = now + HELLO_EVERY;
        self.forget_peers(now);
        let gossip = ControlGossip {
            id: self.log.node.id(),
            name: self.config.name.clone(),
            peer_address: self.config.peer_address,
            public_address: self.config.public_address,
            may_found: self.may_found(),
            known: self.links.addresses(),
        };
        self.links.broadcast(&LogMessage::Gossip(gossip));
        self.found_if_first();
    }

    fn may_found(&self) -> bool {
        self.config.may_found && self.log.node.is_empty()
    }

    /// The seed with the lowest address starts a new log, once it has heard of all seeds
    /// that their logs are empty too. All processes have the same seeds at the first start.
    fn found_if_first(&mut self) {
        let lowest = self.config.seeds.iter().min() == Some(&self.config.peer_address);
        if !self.may_found() || !lowest {
            return;
        }
        let mut voters = replog::Voters::from([self.log.node.id()]);
        for seed in &self.config.seeds {
            let founder = |peer: &&Peer| peer.gossip.peer_address == *seed && peer.gossip.may_found;
            match self.peers.values().find(founder) {
                Some(peer) => voters.insert(peer.gossip.id),
                None if *seed == self.config.peer_address => false,
                None => return,
            };
        }
        info!("event=found voters={}", voters.len());
        self.log.node.bootstrap(voters);
    }

    pub(crate) fn meet(&mut self, gossip: ControlGossip, now: Instant) {
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
        self.link_to(gossip.peer_address);
        for address in &gossip.known {
            self.link_to(*address);
        }
        self.log.node.add_learner(gossip.id, now);
        if !self.peers.contains_key(&gossip.id) {
            info!("event=peer_met id={:016x} name={}", gossip.id, gossip.name);
        }
        self.peers.insert(gossip.id, Peer { gossip, heard: now });
    }

    pub(crate) fn link_to(&mut self, address: SocketAddr) {
        if address != self.config.peer_address {
            self.links.ensure(address);
        }
    }

    fn forget_peers(&mut self, now: Instant) {
        let silent: Vec<(ControlId, SocketAddr)> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_duration_since(peer.heard) > FORGET_PEER)
            .map(|(id, peer)| (*id, peer.gossip.peer_address))
            .collect();
        for (id, address) in silent {
            self.peers.remove(&id);
            self.log.node.remove_learner(id);
            if !self.config.seeds.contains(&address) {
                self.links.remove(address);
            }
        }
    }

    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let peers: Vec<_> = self
            .peers
            .values()
            .map(|peer| {
                json!({
                    "id": format!("{:016x}", peer.gossip.id),
                    "name": peer.gossip.name,
                    "address": peer.gossip.peer_address,
                    "silent_ms": now.saturating_duration_since(peer.heard).as_millis() as u64,
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
            "leading": self.leading.as_ref().map(|leading| leading.dump(now)),
        })
    }
}
