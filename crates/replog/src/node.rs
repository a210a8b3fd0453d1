//! A Raft node: its state, inputs and outputs.

use crate::{
    Domain, Index, NodeId, Term,
    log::{Entry, Log, Payload, Snapshot, Voters},
    message::{Envelope, Message},
};
use fastrand::Rng;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

/// Protocol timing.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Interval between the leader's heartbeats.
    pub heartbeat: Duration,
    /// Minimum time without a message from the leader before an election starts.
    pub election_min: Duration,
    /// Maximum time without a message from the leader before an election starts.
    pub election_max: Duration,
    /// Duration of the leader lease, counted from the start of the latest heartbeat round that
    /// a quorum acknowledged.
    pub lease: Duration,
    /// Time without a reply after which a voter is replaced by a learner.
    pub replace_after: Duration,
}

/// The losses that the log must survive, which decide the number and the places of its voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tolerance {
    /// Nodes that may be lost at the same time, with their disks.
    pub nodes: usize,
    /// Failure domains that may be lost at the same time, as an alternative to `nodes`.
    pub domains: usize,
}

/// The Raft state, besides the log, that must survive a restart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The current term.
    pub term: Term,
    /// The candidate voted for in this term.
    pub voted_for: Option<NodeId>,
}

/// The state read from storage when the node starts.
#[derive(Debug, Default)]
pub struct Restored {
    /// The term and vote.
    pub hard_state: HardState,
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A storage write. It must be synced before the messages of the same [`Output`] are sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// The term and vote.
    HardState(HardState),
    /// Remove the entries from this index on.
    Truncate(Index),
    /// Append an entry.
    Append(Entry),
    /// Replace all entries up to the snapshot's index. Later entries are kept if `keep_tail`
    /// is set, otherwise removed.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the entries after the snapshot are kept.
        keep_tail: bool,
    },
}

/// The actions for the caller to carry out, in the order of the fields.
#[derive(Debug, Default)]
pub struct Output {
    /// Writes to sync first.
    pub writes: Vec<Write>,
    /// Messages to send after the sync.
    pub messages: Vec<Envelope>,
    /// A snapshot to load before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
}

/// The Raft role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, if one is known.
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    /// Runs an election.
    Candidate,
    /// Leads the current term.
    Leader,
}

/// The error returned by a node that is not the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, if one is known.
    pub leader: Option<NodeId>,
}

/// The leader's view of a follower or learner.
#[derive(Debug, Clone)]
pub struct Progress {
    /// The last index known to match the leader's log.
    pub matched: Index,
    /// The index of the next entry to send.
    pub next: Index,
    /// The start of the latest heartbeat round that the node acknowledged.
    pub acked_round_start: Instant,
    /// The time of the last reply.
    pub last_contact: Instant,
    /// When a snapshot was sent, until the node acknowledges it.
    pub(crate) snapshot_sent: Option<Instant>,
    /// The last index of the latest large message, and the heartbeat round in which it was sent.
    pub(crate) large_sent: Option<(Index, u64)>,
}

/// A node of the replicated log.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: NodeId,
    pub(crate) timing: Timing,
    pub(crate) tolerance: Tolerance,
    /// The known failure domains of the nodes.
    pub(crate) domains: BTreeMap<NodeId, Domain>,
    pub(crate) rng: Rng,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) voters: Voters,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    pub(crate) commit: Index,
    /// The last index handed to the caller, in [`Output::committed`] or as a snapshot.
    pub(crate) delivered: Index,
    /// The last index synced to storage.
    pub(crate) synced_index: Index,
    pub(crate) election_deadline: Instant,
    /// No vote is granted before this time, because a leader may hold a lease until then.
    pub(crate) vote_blocked_until: Instant,
    pub(crate) votes: BTreeSet<NodeId>,
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    pub(crate) learners: BTreeSet<NodeId>,
    pub(crate) round: u64,
    /// The start times of recent heartbeat rounds.
    pub(crate) round_starts: BTreeMap<u64, Instant>,
    pub(crate) next_heartbeat_at: Instant,
    pub(crate) lease_start: Instant,
    pub(crate) elected_at: Instant,
    pub(crate) output: Output,
}

impl Node {
    /// Creates a node from its stored state. `rng` randomises the election timeouts.
    pub fn new(
        id: NodeId,
        timing: Timing,
        tolerance: Tolerance,
        restored: Restored,
        rng: Rng,
        now: Instant,
    ) -> Node {
        let Restored { hard_state, snapshot, entries } = restored;
        let commit = snapshot.index;
        let log = Log::new(snapshot, entries);
        let voters = log.voters_at(log.last_index());
        let synced_index = log.last_index();
        let mut node = Node {
            id,
            vote_blocked_until: now + timing.election_min,
            timing,
            tolerance,
            domains: BTreeMap::new(),
            rng,
            hard_state,
            log,
            voters,
            role: Role::Follower,
            leader: None,
            commit,
            delivered: commit,
            synced_index,
            election_deadline: now,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            learners: BTreeSet::new(),
            round: 0,
            round_starts: BTreeMap::new(),
            next_heartbeat_at: now,
            lease_start: now,
            elected_at: now,
            output: Output::default(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Starts a new log on an empty node with these voters.
    ///
    /// # Panics
    ///
    /// Panics if the node is not empty or not one of the voters.
    pub fn bootstrap(&mut self, voters: Voters) {
        assert!(self.is_empty(), "only an empty log can be bootstrapped");
        assert!(
            voters.contains(&self.id),
            "a node can only bootstrap a log in which it is a voter"
        );
        self.set_hard_state(HardState { term: 1, voted_for: Some(self.id) });
        self.append(Payload::Voters(voters));
    }

    /// Whether the node has no stored state.
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default() && self.log.last_index() == 0
    }

    /// The node's identifier.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current leader, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// The commit index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// The index of the last entry in the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// The index of the last entry included in the snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.log.snapshot.index
    }

    /// The voters of the latest configuration in the log.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// The replication progress of the other nodes. Empty unless this node is the leader.
    pub fn progress(&self) -> &BTreeMap<NodeId, Progress> {
        &self.progress
    }

    /// When the node became the leader, if it is the leader.
    pub fn elected_at(&self) -> Option<Instant> {
        (self.role == Role::Leader).then_some(self.elected_at)
    }

    /// Whether the node is the leader, holds the lease, and has handed an entry of its term to the
    /// caller. With it the caller has every entry committed in earlier terms, so that its state
    /// answers reads; the commit index alone would not say so.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.role == Role::Leader
            && self.log.term(self.delivered) == Some(self.hard_state.term)
            && now < self.lease_start + self.timing.lease
    }

    /// Appends a command to the log and returns its index.
    ///
    /// # Errors
    ///
    /// Fails if the node is not the leader.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<Index, NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        Ok(self.append(Payload::Data(data)))
    }

    /// Notes that the writes of every output taken so far are synced.
    pub fn mark_synced(&mut self) {
        self.synced_index = self.log.last_index();
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    /// Replaces the applied entries up to `index` with a snapshot of the application state.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        assert!(index <= self.delivered, "only applied entries can be compacted");
        let Some(term) = self.log.term(index).filter(|_| index > self.log.snapshot.index) else {
            return;
        };
        let voters = self.log.voters_at(index);
        let snapshot = Snapshot { index, term, voters, data };
        self.log.compact(snapshot.clone());
        self.output.writes.push(Write::Snapshot { snapshot, keep_tail: true });
    }

    /// Handles timeouts that are due at `now`. Must be called at least every few tens of
    /// milliseconds.
    pub fn tick(&mut self, now: Instant) {
        match self.role {
            Role::Leader => self.tick_leader(now),
            _ => self.tick_election(now),
        }
    }

    /// Processes a message from another node.
    pub fn receive(&mut self, envelope: Envelope, now: Instant) {
        if envelope.to != self.id {
            return;
        }
        let from = envelope.from;
        match envelope.message {
            Message::PreVote { term, last_index, last_term } => {
                self.on_pre_vote(from, term, last_index, last_term, now);
            }
            Message::PreVoteReply { term, own_term, granted } => {
                self.on_pre_vote_reply(from, term, own_term, granted, now);
            }
            Message::RequestVote { term, last_index, last_term } => {
                self.on_vote(from, term, last_index, last_term, now);
            }
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted, now),
            Message::AppendEntries { term, round, prev_index, prev_term, entries, commit } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_append(from, round, prev_index, prev_term, entries, commit);
                }
            }
            Message::InstallSnapshot { term, round, snapshot } => {
                if self.accept_leader(from, term, round, now) {
                    self.on_install(from, round, snapshot);
                }
            }
            Message::AppendReply { term, round, success, index } => {
                self.on_append_reply(from, term, round, success, index, now);
            }
        }
    }

    /// Takes the pending writes, messages and committed entries.
    pub fn take_output(&mut self) -> Output {
        if self.role == Role::Leader {
            self.replicate();
        }
        let mut output = std::mem::take(&mut self.output);
        while self.delivered < self.commit {
            let Some(entry) = self.log.get(self.delivered + 1) else {
                break;
            };
            output.committed.push(entry.clone());
            self.delivered += 1;
        }
        output
    }

    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        let envelope = Envelope { from: self.id, to, message };
        self.output.messages.push(envelope);
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        if self.hard_state != hard_state {
            self.hard_state = hard_state;
            self.output.writes.push(Write::HardState(hard_state));
        }
    }

    /// Appends an entry of the current term.
    pub(crate) fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last_index() + 1;
        let entry = Entry { index, term: self.hard_state.term, payload };
        self.push_entry(entry);
        index
    }

    pub(crate) fn push_entry(&mut self, entry: Entry) {
        if let Payload::Voters(voters) = &entry.payload {
            self.voters = voters.clone();
        }
        self.log.push(entry.clone());
        self.output.writes.push(Write::Append(entry));
    }

    pub(crate) fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub(crate) fn reset_election_deadline(&mut self, now: Instant) {
        let min = self.timing.election_min.as_micros() as u64;
        let max = self.timing.election_max.as_micros() as u64;
        let timeout = self.rng.u64(min..=max);
        self.election_deadline = now + Duration::from_micros(timeout);
    }
}
