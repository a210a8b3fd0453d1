//! Selection of the entry that takes a request of an entry without links to backend servers.

use fleet::Relay;
use model::ids::DomainId;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// How long a relay is skipped after it could not be reached, or reached no backend server itself.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(1000);
/// Load, in requests, added to a relay in another failure domain.
const REMOTE_DOMAIN_LOAD: f64 = 2.0;

/// The relay chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelayChoice {
    /// The address on which it takes requests of other entries.
    pub address: SocketAddr,
    /// The number of relays among which requests are divided.
    pub candidates: usize,
}

#[derive(Debug)]
struct RelayStatus {
    domain: DomainId,
    /// Requests of this entry that it runs.
    running: usize,
    avoid_until: Option<Instant>,
    /// When it last sent anything.
    heard_at: Option<Instant>,
    /// The number of the last request that was sent to it.
    last_request: u64,
}

/// The other entries that take requests of this one while it reaches no backend server.
#[derive(Debug, Default)]
pub struct Relays {
    domain: DomainId,
    by_address: BTreeMap<SocketAddr, RelayStatus>,
    last_request: u64,
}

impl Relays {
    /// Creates an empty set for an entry in the failure domain `domain`.
    pub fn new(domain: DomainId) -> Relays {
        Relays { domain, ..Relays::default() }
    }

    /// Replaces the relays, of which `own` is this entry itself. Those that stay keep their load.
    pub fn set_view(&mut self, relays: &[Relay], own: Option<SocketAddr>) {
        self.by_address.retain(|address, _| relays.iter().any(|relay| relay.address == *address));
        for relay in relays.iter().filter(|relay| Some(relay.address) != own) {
            let new = || RelayStatus {
                domain: relay.domain.clone(),
                running: 0,
                avoid_until: None,
                heard_at: None,
                last_request: 0,
            };
            self.by_address.entry(relay.address).or_insert_with(new);
        }
    }

    /// Whether no other entry takes requests of this one.
    pub fn is_empty(&self) -> bool {
        self.by_address.is_empty()
    }

    /// Chooses the least loaded relay that is not in `tried`, and counts a request there until
    /// [`Relays::release`].
    pub fn choose(&mut self, tried: &[SocketAddr], now: Instant) -> Option<RelayChoice> {
        let is_available = |relay: &RelayStatus| relay.avoid_until.is_none_or(|until| until <= now);
        let candidates = self.by_address.values().filter(|relay| is_available(relay)).count();
        let load = |relay: &RelayStatus| {
            let remote = if relay.domain == self.domain { 0.0 } else { REMOTE_DOMAIN_LOAD };
            (relay.running as f64 + remote, relay.last_request)
        };
        let others = self.by_address.iter().filter(|(address, _)| !tried.contains(address));
        let available = others.filter(|(_, relay)| is_available(relay));
        let best =
            available.min_by(|(_, a), (_, b)| load(a).partial_cmp(&load(b)).expect("finite"));
        let address = *best?.0;
        self.last_request += 1;
        let relay = self.by_address.get_mut(&address).expect("the chosen relay is in the map");
        relay.running += 1;
        relay.last_request = self.last_request;
        Some(RelayChoice { address, candidates })
    }

    /// Records that a request at a relay has ended.
    pub fn release(&mut self, address: SocketAddr) {
        if let Some(relay) = self.by_address.get_mut(&address) {
            relay.running = relay.running.saturating_sub(1);
        }
    }

    /// Records that a relay has sent a response or a part of one.
    pub fn record_answer(&mut self, address: SocketAddr, now: Instant) {
        if let Some(relay) = self.by_address.get_mut(&address) {
            relay.heard_at = Some(now);
        }
    }

    /// Skips a relay for `UNAVAILABLE_BACKOFF` if it has sent nothing since `since`. A single
    /// request may also wait for its backend server.
    pub fn mark_silent(&mut self, address: SocketAddr, since: Instant, now: Instant) {
        let relay = self.by_address.get(&address);
        if relay.is_some_and(|relay| relay.heard_at.is_none_or(|at| at < since)) {
            self.mark_unavailable(address, now);
        }
    }

    /// Skips a relay for `UNAVAILABLE_BACKOFF`.
    pub fn mark_unavailable(&mut self, address: SocketAddr, now: Instant) {
        if let Some(relay) = self.by_address.get_mut(&address) {
            relay.avoid_until = Some(now + UNAVAILABLE_BACKOFF);
        }
    }
}
