//! The driver: one thread that owns the log, the storage, the state and the planner.
//!
//! All other tasks only move messages. The driver takes a batch of events, lets the
//! pure crates decide, syncs what must be durable, and only then sends and answers.

mod event;
mod leader;
mod publisher;
mod report;

pub use event::{DriverHandle, Event, OperatorCall, OperatorReply};

use crate::{config::Config, entries::SessionId, metrics::ControlMetrics, orders::SendOrder};
use base::{
    clock::Clock,
    limits::{
        ELECTION_MAX, ELECTION_MIN, HELLO_EVERY, LEADER_LEASE, LOG_HEARTBEAT, SNAPSHOT_EVERY,
    },
};
use durable::{DurableLog, decode_state, encode, take_batch};
use event::Waiter;
use fastrand::Rng;
use leader::Leading;
use log::{info, warn};
use model::{ids::ControlId, manifest::Manifest};
use peer::{ByteCount, ControlHello, Links, PeerMessage};
use publisher::Subscriber;
use replog::{Entry, Node, Payload, Timing};
use state::{Command, Reply, State};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, mpsc::Receiver},
    time::{Duration, Instant},
};
use store::{Loaded, Store, StoreError};

/// Longest wait for an event, so that timers of the log are served.
const TICK: Duration = Duration::from_millis(20);

/// Events taken before the next sync.
const BATCH: usize = 1024;

/// Another control process, as it introduced itself.
#[derive(Debug)]
struct Peer {
    hello: ControlHello,
    heard: Instant,
}

/// Owns everything that must change in one order.
#[derive(Debug)]
pub struct Driver {
    name: Box<str>,
    address: SocketAddr,
    voters_wanted: usize,
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
    leading: Option<Leading>,
    hello_at: Instant,
}

impl Driver {
    /// A driver with what its storage held.
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
        let now = clock.now();
        let state = decode_state(&loaded.restored.snapshot.data);
        let node = Node::new(loaded.identity, timing, loaded.restored, Rng::new(), now);
        let mut driver = Driver {
            name: config.name.clone(),
            address: config.peer_listen,
            voters_wanted: config.voters,
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
            leading: None,
            hello_at: now,
        };
        driver.read_manifest();
        driver
    }

    /// Runs until `Event::Stop`.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the process must end then.
    pub fn run(mut self, events: &Receiver<Event>) -> Result<(), StoreError> {
        let is_stop = |event: &Event| matches!(event, Event::Stop);
        while take_batch(events, TICK, BATCH, is_stop, |event| self.take(event)) {
            self.turn()?;
        }
        self.flush()
    }

    /// Lets time pass, syncs, and does the leader's work.
    fn turn(&mut self) -> Result<(), StoreError> {
        let now = self.clock.now();
        self.log.node.tick(now);
        self.greet(now);
        self.flush()?;
        self.follow_role(now);
        if self.leading.is_some() {
            self.lead(now);
            self.flush()?;
        }
        Ok(())
    }

    fn take(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Peer(PeerMessage::Hello(hello)) => self.meet(hello, now),
            Event::Peer(PeerMessage::Log(envelope)) => self.log.node.receive(envelope, now),
            Event::EntryOpened { session, hello, tx } => self.open_entry(session, hello, tx, now),
            Event::Entry { session, message } => self.take_entry(session, message, now),
            Event::EntryClosed { session } => {
                self.subscribers.remove(&session);
            }
            Event::OrderOutcome(outcome) => {
                if let Some(leading) = &mut self.leading {
                    leading.desk.record_outcome(&outcome);
                }
            }
            Event::Operator { call, reply } => self.take_call(call, reply, now),
            Event::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            // The loop ends before it hands a stop to this function.
            Event::Stop => {}
        }
    }

    /// Proposes a command for someone who waits for its outcome.
    fn propose(&mut self, command: &Command, waiter: Waiter) {
        if let Err(waiter) = self.log.propose(encode(command), waiter) {
            waiter.lost();
        }
    }

    /// Writes, syncs, sends and applies until nothing is left to do.
    fn flush(&mut self) -> Result<(), StoreError> {
        while let Some(turn) = self.log.step()? {
            if turn.synced {
                self.metrics.syncs.inc();
                self.metrics.log_bytes.set(self.log.log_bytes() as i64);
            }
            for envelope in turn.messages {
                if let Some(peer) = self.peers.get(&envelope.to) {
                    self.links.send(peer.hello.address, PeerMessage::Log(envelope));
                }
            }
            if let Some(snapshot) = turn.restore {
                self.state = decode_state(&snapshot.data);
                self.read_manifest();
                info!("event=snapshot_installed index={}", snapshot.index);
            }
            for entry in turn.committed {
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
        let number = self.state.manifest.as_ref().map(|accepted| accepted.index);
        if number == Some(index) {
            self.read_manifest();
        }
        if let Some(leading) = &mut self.leading {
            leading.changed = true;
        }
        for (waiter, own) in self.log.settle(index, term) {
            if own {
                waiter.applied(&reply, &self.state);
            } else {
                waiter.lost();
            }
        }
    }

    fn compact(&mut self) {
        let applied = self.state.applied;
        if applied < self.log.node.snapshot_index() + SNAPSHOT_EVERY {
            return;
        }
        let data = encode(&self.state);
        info!("event=compact index={applied} state_bytes={}", data.len());
        self.log.node.compact(applied, data);
    }

    fn read_manifest(&mut self) {
        let Some(accepted) = &self.state.manifest else {
            self.manifest = None;
            return;
        };
        // Only checked manifests are proposed, so this reads what was written.
        match serde_json::from_str(&accepted.body) {
            Ok(manifest) => self.manifest = Some(Arc::new(manifest)),
            Err(e) => warn!("event=manifest_unreadable number={} cause=\"{e}\"", accepted.number),
        }
        info!("event=manifest number={} digest={}", accepted.number, accepted.digest);
    }

    /// Introduces this process, and starts the log once all processes are there and empty.
    fn greet(&mut self, now: Instant) {
        if now < self.hello_at {
            return;
        }
        self.hello_at = now + HELLO_EVERY;
        let hello = ControlHello {
            id: self.log.node.id(),
            name: self.name.clone(),
            address: self.address,
            empty: self.log.node.is_empty(),
        };
        self.links.broadcast(&PeerMessage::Hello(hello));
        self.bootstrap_if_first();
    }

    /// The process with the lowest address starts a new log, once all processes that the
    /// settings name are there and empty. A process that lost its disk can't do so, since
    /// the others are not empty then; and no two processes can, since both would have to
    /// have the lowest address.
    fn bootstrap_if_first(&mut self) {
        let all_empty = self.peers.values().all(|peer| peer.hello.empty);
        let all_there = self.peers.len() == self.links.len();
        let lowest = self.peers.values().all(|peer| self.address < peer.hello.address);
        if !self.log.node.is_empty() || !all_empty || !all_there || !lowest {
            return;
        }
        let mut founders: Vec<(SocketAddr, ControlId)> =
            self.peers.values().map(|peer| (peer.hello.address, peer.hello.id)).collect();
        founders.push((self.address, self.log.node.id()));
        founders.sort_unstable();
        let voters = founders.iter().take(self.voters_wanted).map(|(_, id)| *id).collect();
        info!("event=bootstrap voters={}", self.voters_wanted);
        self.log.node.bootstrap(voters);
    }

    fn meet(&mut self, hello: ControlHello, now: Instant) {
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
        self.peers.insert(hello.id, Peer { hello, heard: now });
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
