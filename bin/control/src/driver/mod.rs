//! The driver: one thread that owns the log, the storage, the state and the planner.
//!
//! All other tasks only move messages. The driver handles a batch of events with crates
//! that do no I/O, syncs what must be durable, and only then sends messages and replies.

mod event;
mod leader;
mod publisher;
mod report;

pub use event::{DriverHandle, Event, OperatorCall, OperatorReply};

use crate::{config::Config, metrics::ControlMetrics, orders::SendOrder, sessions::SessionId};
use base::{
    clock::Clock,
    limits::{
        COMPACTION_THRESHOLD, ELECTION_MAX, ELECTION_MIN, HELLO_INTERVAL, LEADER_LEASE,
        LOG_HEARTBEAT,
    },
};
use durable::{DurableLog, decode_state, encode, receive_batch};
use event::Waiter;
use fastrand::Rng;
use leader::LeaderState;
use log::{info, warn};
use model::{ids::ControlId, manifest::Manifest};
use peer::{ByteCount, ControlHello, Links, PeerMessage};
use publisher::Subscriber;
use replog::{Entry, Node, Payload, Timing, Tolerance};
use state::{Command, Reply, State};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, mpsc::Receiver},
    time::{Duration, Instant},
};
use store::{Loaded, Store, StoreError};

/// Maximum wait for an event, so that the timers of the log are polled.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(20);

/// Maximum number of events handled before the next sync.
const MAX_BATCH: usize = 1024;

/// Another control process.
#[derive(Debug)]
struct Peer {
    /// Its latest introduction.
    hello: ControlHello,
    /// When its latest introduction arrived.
    last_contact: Instant,
}

/// Owns the state whose changes must be serialized.
#[derive(Debug)]
pub struct Driver {
    name: Box<str>,
    address: SocketAddr,
    voter_count: usize,
    policy: plan::Policy,
    clock: Arc<dyn Clock>,
    log: DurableLog<Waiter>,
    state: State,
    manifest: Option<Arc<Manifest>>,
    links: Links<PeerMessage>,
    peers: BTreeMap<ControlId, Peer>,
    orders: Arc<dyn SendOrder>,
    metrics: ControlMetrics,
    bytes: Arc<ByteCount>,
    subscribers: BTreeMap<SessionId, Subscriber>,
    leader_state: Option<LeaderState>,
    next_hello_at: Instant,
}

impl Driver {
    /// Creates a driver from the state restored from its storage.
    #[expect(clippy::too_many_arguments, reason = "called once, where the parts are made")]
    pub fn new(
        config: &Config,
        store: Store,
        loaded: Loaded,
        links: Links<PeerMessage>,
        orders: Arc<dyn SendOrder>,
        metrics: ControlMetrics,
        bytes: Arc<ByteCount>,
        clock: Arc<dyn Clock>,
    ) -> Driver {
        let timing = Timing {
            heartbeat: LOG_HEARTBEAT,
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            lease: LEADER_LEASE,
            replace_after: config.replace_after,
        };
        // The settings don't say in which failure domain a process is.
        let tolerance = Tolerance { nodes: config.voters / 2, domains: 0 };
        let now = clock.now();
        let state = decode_state(&loaded.restored.snapshot.data);
        let node = Node::new(loaded.identity, timing, tolerance, loaded.restored, Rng::new(), now);
        let mut driver = Driver {
            name: config.name.clone(),
            address: config.peer_listen,
            voter_count: config.voters,
            policy: config.policy,
            clock,
            log: DurableLog::new(node, store),
            state,
            manifest: None,
            links,
            peers: BTreeMap::new(),
            orders,
            metrics,
            bytes,
            subscribers: BTreeMap::new(),
            leader_state: None,
            next_hello_at: now,
        };
        driver.decode_manifest();
        driver
    }

    /// Runs until [`Event::Stop`] arrives.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the process must exit then.
    pub fn run(mut self, events: &Receiver<Event>) -> Result<(), StoreError> {
        let is_stop = |event: &Event| matches!(event, Event::Stop);
        while receive_batch(events, MAX_EVENT_WAIT, MAX_BATCH, is_stop, |event| {
            self.handle_event(event);
        }) {
            self.process_batch()?;
        }
        self.flush()
    }

    /// Runs the timers and the leader's work after a batch of events, and syncs the log.
    fn process_batch(&mut self) -> Result<(), StoreError> {
        let now = self.clock.now();
        self.log.node.tick(now);
        self.send_hello(now);
        self.flush()?;
        self.update_role(now);
        if self.leader_state.is_some() {
            self.run_leader(now);
            self.flush()?;
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Peer(PeerMessage::Hello(hello)) => self.register_peer(hello, now),
            Event::Peer(PeerMessage::Log(envelope)) => self.log.node.receive(envelope, now),
            Event::EntryOpened { session, hello, tx } => {
                self.handle_entry_opened(session, hello, tx, now);
            }
            Event::Entry { session, message } => self.handle_entry_message(session, message, now),
            Event::EntryClosed { session } => {
                self.subscribers.remove(&session);
            }
            Event::OrderOutcome(outcome) => {
                if let Some(leader) = &mut self.leader_state {
                    leader.order_tracker.record_outcome(&outcome);
                }
            }
            Event::Operator { call, reply } => self.handle_call(call, reply, now),
            Event::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            // `run` ends the loop before a stop event reaches this function.
            Event::Stop => {}
        }
    }

    /// Proposes a command whose outcome is reported to `waiter`.
    fn propose(&mut self, command: &Command, waiter: Waiter) {
        if let Err(waiter) = self.log.propose(encode(command), waiter) {
            waiter.abandon();
        }
    }

    /// Writes, syncs, sends and applies until the log has no more output.
    fn flush(&mut self) -> Result<(), StoreError> {
        while let Some(output) = self.log.step()? {
            if output.synced {
                self.metrics.syncs.inc();
                self.metrics.log_bytes.set(self.log.log_bytes() as i64);
            }
            for envelope in output.messages {
                if let Some(peer) = self.peers.get(&envelope.to) {
                    self.links.send(peer.hello.address, PeerMessage::Log(envelope));
                }
            }
            if let Some(snapshot) = output.restore {
                self.state = decode_state(&snapshot.data);
                self.decode_manifest();
                info!("event=snapshot_installed index={}", snapshot.index);
            }
            for entry in output.committed {
                self.apply(entry);
            }
            self.compact();
        }
        Ok(())
    }

    fn apply(&mut self, entry: Entry) {
        let Entry { index, term, payload } = entry;
        let reply = match payload {
            Payload::Data(bytes) => self.state.apply_bytes(index, &bytes),
            Payload::Voters(voters) => {
                self.state.applied = index;
                let voters: Vec<String> = voters.iter().map(|id| self.name_of(*id)).collect();
                info!("event=voters index={index} voters={}", voters.join(","));
                Reply::Done
            }
            Payload::Empty => {
                self.state.applied = index;
                Reply::Done
            }
        };
        self.metrics.records_applied.inc();
        let manifest_index = self.state.manifest.as_ref().map(|accepted| accepted.index);
        if manifest_index == Some(index) {
            self.decode_manifest();
        }
        if let Some(leader) = &mut self.leader_state {
            leader.changed = true;
        }
        for (waiter, applied) in self.log.resolve_waiters(index, term) {
            if applied {
                waiter.complete(&reply, &self.state);
            } else {
                waiter.abandon();
            }
        }
    }

    fn compact(&mut self) {
        let applied = self.state.applied;
        if applied < self.log.node.snapshot_index() + COMPACTION_THRESHOLD {
            return;
        }
        let data = encode(&self.state);
        info!("event=compact index={applied} state_bytes={}", data.len());
        self.log.node.compact(applied, data);
    }

    fn decode_manifest(&mut self) {
        let Some(accepted) = &self.state.manifest else {
            self.manifest = None;
            return;
        };
        // Only validated manifests are proposed, so that decoding is expected to succeed.
        match serde_json::from_str(&accepted.body) {
            Ok(manifest) => self.manifest = Some(Arc::new(manifest)),
            Err(e) => warn!("event=manifest_unreadable number={} cause=\"{e}\"", accepted.number),
        }
        info!("event=manifest number={} digest={}", accepted.number, accepted.digest);
    }

    /// Introduces this process to the others at intervals, and bootstraps a new log once all
    /// processes have introduced themselves with an empty log.
    fn send_hello(&mut self, now: Instant) {
        if now < self.next_hello_at {
            return;
        }
        self.next_hello_at = now + HELLO_INTERVAL;
        let hello = ControlHello {
            id: self.log.node.id(),
            name: self.name.clone(),
            address: self.address,
            log_is_empty: self.log.node.is_empty(),
        };
        self.links.broadcast(&PeerMessage::Hello(hello));
        self.bootstrap_if_first();
    }

    /// Bootstraps a new log if this process has the lowest address and all processes in the
    /// settings have introduced themselves with an empty log. A process that lost its disk
    /// can't do so, because the logs of the others are not empty then. Two processes can't,
    /// because only one of them has the lowest address.
    fn bootstrap_if_first(&mut self) {
        let all_empty = self.peers.values().all(|peer| peer.hello.log_is_empty);
        let all_known = self.peers.len() == self.links.len();
        let is_lowest = self.peers.values().all(|peer| self.address < peer.hello.address);
        if !self.log.node.is_empty() || !all_empty || !all_known || !is_lowest {
            return;
        }
        let mut candidates: Vec<(SocketAddr, ControlId)> =
            self.peers.values().map(|peer| (peer.hello.address, peer.hello.id)).collect();
        candidates.push((self.address, self.log.node.id()));
        candidates.sort_unstable();
        let voters = candidates.iter().take(self.voter_count).map(|(_, id)| *id).collect();
        info!("event=bootstrap voters={}", self.voter_count);
        self.log.node.bootstrap(voters);
    }

    /// Records the introduction of a control process. A process with a new identity at a
    /// known address replaces the old one.
    fn register_peer(&mut self, hello: ControlHello, now: Instant) {
        let replaced: Vec<ControlId> = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.hello.address == hello.address && **id != hello.id)
            .map(|(id, _)| *id)
            .collect();
        for id in replaced {
            self.peers.remove(&id);
            self.log.node.remove_learner(id);
        }
        self.log.node.add_learner(hello.id, now);
        self.peers.insert(hello.id, Peer { hello, last_contact: now });
    }

    fn name_of(&self, id: ControlId) -> String {
        if id == self.log.node.id() {
            return self.name.to_string();
        }
        match self.peers.get(&id) {
            Some(peer) => peer.hello.name.to_string(),
            None => format!("{id:016x}"),
        }
    }
}
