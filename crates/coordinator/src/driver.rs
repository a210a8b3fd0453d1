//! The driver: one thread that owns the log, the storage, the ledger and the planner.
//!
//! All other tasks only move messages. The driver handles a batch of events with crates
//! that do no I/O, syncs what must be durable, and only then sends messages and replies.

use crate::{
    Orders,
    events::{Call, Event, Handle, Reply, SessionId},
    leader::LeaderState,
    ledger::{Command, Ledger},
    metrics::Counters,
};
use async_channel::Sender;
use base::{
    clock::Clock,
    limits::{ELECTION_MAX, ELECTION_MIN, LEADER_LEASE, LOG_HEARTBEAT},
};
use durable::{DurableLog, decode_state, encode, receive_batch};
use fastrand::Rng;
use fleet::{ControlGossip, ControlMessage, GroupChange, LogMessage};
use groups::Limits;
use log::{info, warn};
use model::ids::{ControlId, DomainId};
use net::Pool;
use peer::Links;
use quarantine::QuarantineChange;
use replog::{Entry as LogEntry, Index, Node, Payload, Role, Timing, Tolerance};
use std::{
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddr,
    sync::{Arc, mpsc::Receiver},
    time::{Duration, Instant},
};
use store::{Loaded, Store, StoreError};

/// Maximum wait for an event, so that the timers of the log are polled.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(25);
/// Maximum number of events handled before the next sync.
const MAX_BATCH: usize = 1024;
/// Size of the log file, in bytes, at which the log is compacted into a snapshot.
const MAX_LOG_BYTES: u64 = 8 << 20;
/// Silence of a voter after which a process that has caught up replaces it.
const VOTER_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time between two batches above which it is logged, as heartbeats are late then.
const LATE_BATCH: Duration = LOG_HEARTBEAT.saturating_mul(2);

/// Configuration of the driver.
#[derive(Debug, Clone)]
pub struct Config {
    /// The name of this process.
    pub name: Box<str>,
    /// Where it accepts sessions from the system's own processes.
    pub peer_address: SocketAddr,
    /// Where operators and backend servers reach it.
    pub public_address: SocketAddr,
    /// Where some of the control processes accept sessions.
    pub seeds: Vec<SocketAddr>,
    /// The failure domain of this process.
    pub domain: DomainId,
    /// The losses of control processes that the log must survive.
    pub tolerance: Tolerance,
    /// Whether this is the first start of the whole system, so that a new log may be created.
    pub may_bootstrap: bool,
    /// The interval at which backend servers report.
    pub report_every: Duration,
    /// Time limits of the planner.
    pub limits: Limits,
}

/// Another control process.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Its latest introduction.
    pub(crate) gossip: ControlGossip,
    /// When its latest introduction arrived.
    pub(crate) last_contact: Instant,
}

/// Owns the state whose changes must be serialized.
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
    pub(crate) leader_state: Option<LeaderState>,
    pub(crate) next_gossip_at: Instant,
    /// When the last batch of events was processed.
    last_batch_at: Instant,
    /// When this process first noticed that the log has no leader.
    pub(crate) no_leader_since: Option<Instant>,
    pub(crate) next_no_leader_log_at: Instant,
}

impl std::fmt::Debug for Driver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Driver").field("config", &self.config).finish_non_exhaustive()
    }
}

impl Driver {
    /// Creates a driver from the state restored from its storage.
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
            replace_after: VOTER_TIMEOUT,
        };
        let now = clock.now();
        let ledger = decode_state(&loaded.restored.snapshot.data);
        let (id, tolerance) = (loaded.identity, config.tolerance);
        let mut node = Node::new(id, timing, tolerance, loaded.restored, Rng::new(), now);
        node.set_domain(id, config.domain.clone());
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
            leader_state: None,
            next_gossip_at: now,
            last_batch_at: now,
            no_leader_since: None,
            next_no_leader_log_at: now,
        };
        for seed in driver.config.seeds.clone() {
            driver.connect_to(seed);
        }
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
        self.record_batch(now);
        self.log.node.tick(now);
        self.send_gossip(now);
        self.flush()?;
        self.update_role(now);
        if self.leader_state.is_some() {
            self.run_leader(now);
            self.flush()?;
        }
        Ok(())
    }

    /// Records the time since the last batch, in which no heartbeat was sent.
    fn record_batch(&mut self, now: Instant) {
        let interval = now.saturating_duration_since(self.last_batch_at);
        self.last_batch_at = now;
        self.counters.batch_interval_seconds.observe(interval.as_secs_f64());
        if interval > LATE_BATCH {
            warn!(
                "event=late_batch interval_ms={} limit_ms={} role={:?}",
                interval.as_millis(),
                LATE_BATCH.as_millis(),
                self.log.node.role()
            );
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Peer(LogMessage::Gossip(gossip)) => self.register_peer(gossip, now),
            Event::Peer(LogMessage::Log(envelope)) => self.log.node.receive(envelope, now),
            Event::EntryOpened { session, tx } => self.handle_entry_opened(session, tx, now),
            Event::Entry { session, message } => self.handle_entry_message(session, message, now),
            Event::EntryClosed { session } => self.handle_entry_closed(session),
            Event::OrderDone(outcome) => self.handle_order_outcome(&outcome, now),
            Event::HostState { term, host, queried_at, state } => {
                self.handle_host_state(term, &host, queried_at, state, now);
            }
            Event::Call { call, reply } => self.handle_call(call, reply, now),
            Event::Seeds(seeds) => {
                for seed in &seeds {
                    self.connect_to(*seed);
                }
                self.config.seeds = seeds;
            }
            Event::Dump(reply) => {
                let _ = reply.send(self.dump(now));
            }
            // `run` ends the loop before a stop event reaches this function.
            Event::Stop => {}
        }
    }

    fn handle_call(&mut self, call: Call, reply: Sender<Reply>, now: Instant) {
        if !self.log.node.holds_lease(now) {
            let leader = self.leader().map(|gossip| gossip.public_address);
            let _ = reply.try_send(Reply::NotLeader(leader));
            return;
        }
        match call {
            Call::Change(command) => self.propose(&command, Some(reply)),
            Call::Manifest { number, record } => self.propose_manifest(number, record, reply),
            Call::ReadManifest => {
                let answer = match &self.ledger.manifest {
                    Some(stored) => Reply::Manifest(stored.body.clone()),
                    None => Reply::NoManifest,
                };
                let _ = reply.try_send(answer);
            }
            Call::Report(report) => self.handle_report(report, reply, now),
            Call::Left(host) => self.handle_host_left(&host, reply),
        }
    }

    /// Proposes a manifest, unless it changes nothing or is already on its way into the log.
    fn propose_manifest(&mut self, number: u64, record: Vec<u8>, reply: Sender<Reply>) {
        if self.ledger.manifest.is_some() && number <= self.ledger.number() {
            self.reply_after_manifest(reply);
            return;
        }
        if let Some(leader) = &mut self.leader_state {
            match leader.proposed_manifests.entry(number) {
                Entry::Occupied(mut waiting) => {
                    waiting.get_mut().push(reply);
                    return;
                }
                Entry::Vacant(proposed) => {
                    proposed.insert(Vec::new());
                }
            }
        }
        self.propose_record(record, Some(reply));
    }

    /// Returns the latest introduction of the leader, if another known process leads.
    pub(crate) fn leader(&self) -> Option<&ControlGossip> {
        let leader = self.log.node.leader()?;
        self.peers.get(&leader).map(|peer| &peer.gossip)
    }

    pub(crate) fn propose(&mut self, command: &Command, reply: Option<Sender<Reply>>) {
        self.propose_record(command.encode(), reply);
    }

    fn propose_record(&mut self, record: Vec<u8>, reply: Option<Sender<Reply>>) {
        if let Err(reply) = self.log.propose(record, reply) {
            send_reply(reply, Reply::NotLeader(None));
        }
    }

    /// Writes, syncs, sends and applies until the log has no more output.
    fn flush(&mut self) -> Result<(), StoreError> {
        while let Some(output) = self.log.step()? {
            if output.synced {
                self.counters.syncs.inc();
                self.counters.log_bytes.set(self.log.log_bytes() as i64);
            }
            for envelope in output.messages {
                if let Some(peer) = self.peers.get(&envelope.to) {
                    self.links.send(peer.gossip.peer_address, LogMessage::Log(envelope));
                }
            }
            if let Some(snapshot) = output.restore {
                self.ledger = decode_state(&snapshot.data);
                info!("event=snapshot_installed index={}", snapshot.index);
            }
            for entry in output.committed {
                self.apply(entry);
            }
            self.compact();
        }
        Ok(())
    }

    fn apply(&mut self, entry: LogEntry) {
        let LogEntry { index, term, payload } = entry;
        let mut is_manifest = false;
        match payload {
            Payload::Data(bytes) => is_manifest = self.apply_command(index, &bytes),
            Payload::Voters(voters) => {
                self.ledger.applied = index;
                let tolerated = voters.len().saturating_sub(1) / 2;
                self.counters.losses_tolerated.set(tolerated as i64);
                let voters: Vec<String> = voters.iter().map(|id| format!("{id:016x}")).collect();
                info!(
                    "event=voters index={index} tolerates={tolerated} voters={}",
                    voters.join(",")
                );
            }
            Payload::Empty => self.ledger.applied = index,
        }
        for (reply, applied) in self.log.resolve_waiters(index, term) {
            match reply {
                Some(reply) if applied && is_manifest => self.reply_after_manifest(reply),
                Some(reply) if applied => self.reply_after_view(reply),
                reply => send_reply(reply, Reply::NotLeader(None)),
            }
        }
    }

    /// Applies a command, and returns whether it is a manifest.
    fn apply_command(&mut self, index: Index, bytes: &[u8]) -> bool {
        let mut is_manifest = false;
        match Command::decode(bytes) {
            Ok(command) => {
                is_manifest = matches!(command, Command::Manifest(_));
                let formed_group = match &command {
                    Command::Group(GroupChange::Formed { name, .. }) => Some(name.clone()),
                    _ => None,
                };
                let label = command_label(&command);
                let quarantine_changed = matches!(command, Command::Quarantine(_));
                let manifest_changed = self.ledger.apply(index, command);
                if quarantine_changed {
                    self.publish_quarantine();
                }
                if let Some(name) = formed_group {
                    self.confirm_group(&name);
                }
                let number = self.ledger.number();
                info!("event=applied index={index} change={label} manifest={number}");
                if manifest_changed {
                    self.publish_manifest();
                }
                if is_manifest {
                    self.resolve_proposed_manifests();
                }
            }
            Err(e) => {
                self.ledger.applied = index;
                warn!("event=record_unreadable index={index} cause=\"{e}\"");
            }
        }
        self.mark_changed();
        is_manifest
    }

    fn compact(&mut self) {
        if self.log.log_bytes() < MAX_LOG_BYTES
            || self.ledger.applied <= self.log.node.snapshot_index()
        {
            return;
        }
        let data = encode(&self.ledger);
        info!("event=compact index={} state_bytes={}", self.ledger.applied, data.len());
        self.log.node.compact(self.ledger.applied, data);
    }

    fn update_role(&mut self, now: Instant) {
        let leading_since = self.leader_state.as_ref().map(|leader| leader.since);
        // The ledger of a new leader may lack the latest changes until its first record is
        // committed.
        let leads = self.log.node.role() == Role::Leader
            && (leading_since.is_some() || self.log.node.holds_lease(now));
        match (leads, leading_since) {
            (true, Some(since)) if self.log.node.elected_at() > Some(since) => {
                // The leadership was lost and won again between two batches: the collected state
                // may be stale.
                self.step_down();
                self.become_leader(now);
            }
            (true, None) => self.become_leader(now),
            (false, Some(_)) => self.step_down(),
            _ => {}
        }
    }
}

fn send_reply(reply: Option<Sender<Reply>>, answer: Reply) {
    if let Some(reply) = reply {
        // The caller may have stopped waiting.
        let _ = reply.try_send(answer);
    }
}

fn command_label(command: &Command) -> &'static str {
    match command {
        Command::Manifest(_) => "manifest",
        Command::DomainOut(_) => "domain_out",
        Command::DomainBack(_) => "domain_back",
        Command::Group(GroupChange::Formed { .. }) => "group_formed",
        Command::Group(GroupChange::Ended { .. }) => "group_ended",
        Command::Quarantine(QuarantineChange::Begin(_)) => "quarantine_begun",
        Command::Quarantine(QuarantineChange::End(_)) => "quarantine_ended",
        Command::Quarantine(QuarantineChange::Forget(_)) => "quarantine_forgotten",
        Command::HostLeft(..) => "host_left",
        Command::HostLeaving(..) => "host_leaving",
        Command::HostReturned(_) => "host_returned",
        Command::Compressed(_) => "compressed",
    }
}
