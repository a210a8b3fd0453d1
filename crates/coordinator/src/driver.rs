//! The driver: one thread that owns the log, the storage, the ledger and the planner.
//!
//! All other tasks only move messages. The driver takes a batch of events, lets the
//! pure crates decide, syncs what must be durable, and only then sends and answers.

use crate::{
    Orders,
    events::{Call, Event, Handle, Reply, SessionId},
    leader::Leading,
    ledger::{Command, Ledger},
    metrics::Counters,
};
use async_channel::Sender;
use base::{
    clock::Clock,
    limits::{ELECTION_MAX, ELECTION_MIN, LEADER_LEASE, LOG_HEARTBEAT},
};
use durable::{DurableLog, decode, decode_state, encode, receive_batch};
use fastrand::Rng;
use fleet::{ControlGossip, ControlMessage, GroupChange, LogMessage};
use groups::Limits;
use log::{info, warn};
use model::ids::ControlId;
use net::Pool;
use peer::Links;
use replog::{Entry, Index, Node, Payload, Role, Timing};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, mpsc::Receiver},
    time::{Duration, Instant},
};
use store::{Loaded, Store, StoreError};

/// Longest wait for an event, so that timers of the log are served.
const TICK: Duration = Duration::from_millis(25);
/// Events taken before the next sync.
const BATCH: usize = 1024;
/// Size of the log file, in bytes, from which it is replaced by a snapshot.
const LOG_BYTES_MAX: u64 = 8 << 20;
/// Silence of a voter after which a process that has caught up takes its vote. Only a
/// process with a new disk is not a voter, so one is there only if a disk is lost.
const REPLACE_AFTER: Duration = Duration::from_millis(2000);

/// Settings of the driver.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this process.
    pub name: Box<str>,
    /// Where it takes conversations of the system's own processes.
    pub peer_address: SocketAddr,
    /// Where operators and backend servers reach it.
    pub public_address: SocketAddr,
    /// Where some control processes take conversations.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub may_found: bool,
    /// How often backend servers report.
    pub report_every: Duration,
    /// Times of the planner.
    pub limits: Limits,
}

/// Another control process, as it introduced itself.
#[derive(Debug)]
pub(crate) struct Peer {
    pub(crate) gossip: ControlGossip,
    pub(crate) heard: Instant,
}

/// Owns everything that must change in one order.
pub struct Driver {
    pub(crate) config: Config,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) log: DurableLog<Option<Sender<Reply>>>,
    pub(crate) ledger: Ledger,
    pub(crate) links: Links<LogMessage>,
    pub(crate) peers: BTreeMap<ControlId, Peer>,
    pub(crate) orders: Arc<dyn Orders>,
    pub(crate) pool: Pool,
    pub(crate) handle: Handle,
    pub(crate) counters: Counters,
    pub(crate) entries: BTreeMap<SessionId, Sender<ControlMessage>>,
    pub(crate) leading: Option<Leading>,
    pub(crate) gossip_at: Instant,
}

impl std::fmt::Debug for Driver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Driver").field("config", &self.config).finish_non_exhaustive()
    }
}

impl Driver {
    /// A driver with what its storage held.
    #[expect(clippy::too_many_arguments, reason = "called once, where the parts are made")]
    pub fn new(
        config: Config,
        store: Store,
        loaded: Loaded,
        links: Links<LogMessage>,
        orders: Arc<dyn Orders>,
        pool: Pool,
        handle: Handle,
        counters: Counters,
        clock: Arc<dyn Clock>,
    ) -> Driver {
        let timing = Timing {
            heartbeat: LOG_HEARTBEAT,
            election_min: ELECTION_MIN,
            election_max: ELECTION_MAX,
            lease: LEADER_LEASE,
            replace_after: REPLACE_AFTER,
        };
        let now = clock.now();
        let ledger = decode_state(&loaded.restored.snapshot.data);
        let node = Node::new(loaded.identity, timing, loaded.restored, Rng::new(), now);
        let mut driver = Driver {
            config,
            clock,
            log: DurableLog::new(node, store),
            ledger,
            links,
            peers: BTreeMap::new(),
            orders,
            pool,
            handle,
            counters,
            entries: BTreeMap::new(),
            leading: None,
            gossip_at: now,
        };
        for seed in driver.config.seeds.clone() {
            driver.link_to(seed);
        }
        driver
    }

    /// Runs until `Event::Stop`.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; the process must end then.
    pub fn run(mut self, events: &Receiver<Event>) -> Result<(), StoreError> {
        let is_stop = |event: &Event| matches!(event, Event::Stop);
        while receive_batch(events, TICK, BATCH, is_stop, |event| self.take(event)) {
            self.turn()?;
        }
        self.flush()
    }

    /// Lets time pass, syncs, and does the leader's work.
    fn turn(&mut self) -> Result<(), StoreError> {
        let now = self.clock.now();
        self.log.node.tick(now);
        self.gossip(now);
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
            Event::Peer(LogMessage::Gossip(gossip)) => self.meet(gossip, now),
            Event::Peer(LogMessage::Log(envelope)) => self.log.node.receive(envelope, now),
            Event::EntryOpened { session, tx } => self.open_entry(session, tx, now),
            Event::Entry { session, message } => self.take_entry(session, message, now),
            Event::EntryClosed { session } => self.close_entry(session),
            Event::OrderDone(outcome) => self.take_outcome(&outcome, now),
            Event::MemberSeen { term, member, state } => self.take_state(term, &member, state, now),
            Event::Call { call, reply } => self.take_call(call, reply, now),
            Event::Seeds(seeds) => {
                for seed in &seeds {
                    self.link_to(*seed);
                }
                self.config.seeds = seeds;
            }
            Event::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            // The loop ends before it hands a stop to this function.
            Event::Stop => {}
        }
    }

    fn take_call(&mut self, call: Call, reply: Sender<Reply>, now: Instant) {
        if !self.log.node.holds_lease(now) {
            let leader = self.leader().map(|gossip| gossip.public_address);
            let _ = reply.try_send(Reply::NotLeader(leader));
            return;
        }
        match call {
            Call::Change(command) => self.propose(&command, Some(reply)),
            Call::ReadManifest => {
                let answer = match &self.ledger.manifest {
                    Some(stored) => Reply::Manifest(stored.body.clone()),
                    None => Reply::NoManifest,
                };
                let _ = reply.try_send(answer);
            }
            Call::Report(report) => self.take_report(report, reply, now),
            Call::Left(host) => self.take_left(&host, reply),
        }
    }

    /// The leader, as it introduced itself, if it is another process.
    pub(crate) fn leader(&self) -> Option<&ControlGossip> {
        let leader = self.log.node.leader()?;
        self.peers.get(&leader).map(|peer| &peer.gossip)
    }

    pub(crate) fn propose(&mut self, command: &Command, reply: Option<Sender<Reply>>) {
        if let Err(reply) = self.log.propose(encode(command), reply) {
            answer(reply, Reply::NotLeader(None));
        }
    }

    /// Writes, syncs, sends and applies until nothing is left to do.
    fn flush(&mut self) -> Result<(), StoreError> {
        while let Some(turn) = self.log.step()? {
            if turn.synced {
                self.counters.syncs.inc();
                self.counters.log_bytes.set(self.log.log_bytes() as i64);
            }
            for envelope in turn.messages {
                if let Some(peer) = self.peers.get(&envelope.to) {
                    self.links.send(peer.gossip.peer_address, LogMessage::Log(envelope));
                }
            }
            if let Some(snapshot) = turn.restore {
                self.ledger = decode_state(&snapshot.data);
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
        match payload {
            Payload::Data(bytes) => self.apply_command(index, &bytes),
            Payload::Voters(voters) => {
                self.ledger.applied = index;
                let voters: Vec<String> = voters.iter().map(|id| format!("{id:016x}")).collect();
                info!("event=voters index={index} voters={}", voters.join(","));
            }
            Payload::Empty => self.ledger.applied = index,
        }
        for (reply, own) in self.log.resolve_waiters(index, term) {
            match reply {
                Some(reply) if own => self.answer_applied(reply),
                reply => answer(reply, Reply::NotLeader(None)),
            }
        }
    }

    fn apply_command(&mut self, index: Index, bytes: &[u8]) {
        match decode(bytes) {
            Ok(command) => {
                let formed = match &command {
                    Command::Group(GroupChange::Formed { name, .. }) => Some(name.clone()),
                    _ => None,
                };
                let word = command_word(&command);
                let changed = self.ledger.apply(index, command);
                if let Some(name) = formed {
                    self.group_committed(&name);
                }
                let number = self.ledger.number();
                info!("event=applied index={index} change={word} manifest={number}");
                if changed {
                    self.manifest_changed();
                }
            }
            Err(e) => {
                self.ledger.applied = index;
                warn!("event=record_unreadable index={index} cause=\"{e}\"");
            }
        }
        self.mark_changed();
    }

    fn compact(&mut self) {
        if self.log.log_bytes() < LOG_BYTES_MAX
            || self.ledger.applied <= self.log.node.snapshot_index()
        {
            return;
        }
        let data = encode(&self.ledger);
        info!("event=compact index={} state_bytes={}", self.ledger.applied, data.len());
        self.log.node.compact(self.ledger.applied, data);
    }

    fn follow_role(&mut self, now: Instant) {
        let current = self.leading.as_ref().map(|leading| leading.since);
        // Before its first record is committed a leader's ledger may lack the last changes.
        let leads = self.log.node.role() == Role::Leader
            && (current.is_some() || self.log.node.holds_lease(now));
        match (leads, current) {
            (true, Some(since)) if self.log.node.elected_at() > Some(since) => {
                // It lost and won between two turns: what it learned may be out of date.
                self.end_leading();
                self.start_leading(now);
            }
            (true, None) => self.start_leading(now),
            (false, Some(_)) => self.end_leading(),
            _ => {}
        }
    }
}

fn answer(reply: Option<Sender<Reply>>, answer: Reply) {
    if let Some(reply) = reply {
        // The caller may have given up.
        let _ = reply.try_send(answer);
    }
}

fn command_word(command: &Command) -> &'static str {
    match command {
        Command::Manifest(_) => "manifest",
        Command::DomainOut(_) => "domain_out",
        Command::DomainBack(_) => "domain_back",
        Command::Group(GroupChange::Formed { .. }) => "group_formed",
        Command::Group(GroupChange::Ended { .. }) => "group_ended",
    }
}
