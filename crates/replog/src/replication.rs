//! Replication: heartbeat rounds, log entries, the commit index and the leader's lease.

use crate::{
    Index, NodeId, Term,
    log::{Entry, Snapshot},
    message::Message,
    node::{Node, Progress, Role, Write},
};
use std::time::Instant;

/// The approximate limit on the bytes of entries in one message.
const MAX_APPEND_BYTES: usize = 1 << 20;

/// Size of the entries of a message, in bytes, above which it counts as large: it delays the
/// heartbeats that follow it.
const LARGE_APPEND_BYTES: usize = 64 << 10;
/// How many followers may be sent a large message at the same time. With two, a quorum of five
/// voters has it first.
const MAX_LARGE_APPENDS: usize = 2;
/// Heartbeat rounds after which a large message that is not acknowledged no longer counts.
const LARGE_APPEND_ROUNDS: u64 = 10;

/// How many recent heartbeat rounds the leader keeps the start times of.
const MAX_ROUND_STARTS: usize = 256;

impl Progress {
    pub(crate) fn new(next: Index, now: Instant, acked_round_start: Instant) -> Progress {
        Progress {
            matched: 0,
            next,
            acked_round_start,
            last_contact: now,
            snapshot_sent: None,
            large_sent: None,
        }
    }

    /// Whether a large message is on its way to the node in heartbeat round `round`.
    fn awaits_large(&self, round: u64) -> bool {
        self.large_sent.is_some_and(|(index, sent_in)| {
            self.matched < index && round.saturating_sub(sent_in) < LARGE_APPEND_ROUNDS
        })
    }
}

impl Node {
    pub(crate) fn tick_leader(&mut self, now: Instant) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.timing.heartbeat;
            self.round += 1;
            self.round_starts.insert(self.round, now);
            while self.round_starts.len() > MAX_ROUND_STARTS {
                self.round_starts.pop_first();
            }
            let followers: Vec<NodeId> = self.progress.keys().copied().collect();
            for id in followers {
                self.send_append(id, true, now);
            }
        }
        self.update_lease(now);
        let since_quorum = now.saturating_duration_since(self.lease_start.max(self.elected_at));
        if since_quorum > self.timing.election_max {
            self.step_down(self.hard_state.term, now);
            return;
        }
        self.reconcile_membership(now);
    }

    /// Sends new entries to the followers, except those waiting for a snapshot.
    pub(crate) fn replicate(&mut self) {
        let last = self.log.last_index();
        let mut behind: Vec<NodeId> = self
            .progress
            .iter()
            .filter(|(_, progress)| progress.next <= last && progress.snapshot_sent.is_none())
            .map(|(id, _)| *id)
            .collect();
        // Voters first, as an entry commits once a quorum of them has it.
        behind.sort_by_key(|id| !self.voters.contains(id));
        for id in behind {
            self.send_append(id, false, self.elected_at);
        }
    }

    fn send_append(&mut self, to: NodeId, heartbeat: bool, now: Instant) {
        let Some(progress) = self.progress.get(&to) else {
            return;
        };
        let (term, round, commit) = (self.hard_state.term, self.round, self.commit);
        let prev_index = progress.next - 1;
        let Some(prev_term) = self.log.term(prev_index) else {
            if heartbeat {
                self.send_snapshot(to, now);
            }
            return;
        };
        let (mut entries, bytes) = self.log.entries_from(progress.next, MAX_APPEND_BYTES);
        let is_large = bytes > LARGE_APPEND_BYTES;
        if is_large && self.large_appends(to) >= MAX_LARGE_APPENDS {
            if !heartbeat {
                return;
            }
            entries.clear();
        }
        if let (Some(last), Some(progress)) = (entries.last(), self.progress.get_mut(&to)) {
            progress.next = last.index + 1;
            if is_large {
                progress.large_sent = Some((last.index, round));
            }
        }
        self.send(
            to,
            Message::AppendEntries { term, round, prev_index, prev_term, entries, commit },
        );
    }

    /// The number of other nodes that a large message is on its way to.
    fn large_appends(&self, to: NodeId) -> usize {
        let others = self.progress.iter().filter(|(id, _)| **id != to);
        others.filter(|(_, progress)| progress.awaits_large(self.round)).count()
    }

    fn send_snapshot(&mut self, to: NodeId, now: Instant) {
        let resend_after = self.timing.election_max;
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let recent = progress
            .snapshot_sent
            .is_some_and(|sent| now.saturating_duration_since(sent) < resend_after);
        if recent {
            return;
        }
        progress.snapshot_sent = Some(now);
        let message = Message::InstallSnapshot {
            term: self.hard_state.term,
            round: self.round,
            snapshot: self.log.snapshot.clone(),
        };
        self.send(to, message);
    }

    pub(crate) fn on_append(
        &mut self,
        from: NodeId,
        round: u64,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
    ) {
        let matches =
            prev_index < self.log.snapshot.index || self.log.term(prev_index) == Some(prev_term);
        if !matches {
            let index = self.log.last_index().min(prev_index.saturating_sub(1));
            self.reply_append(from, round, false, index);
            return;
        }
        let last_received = entries.last().map_or(prev_index, |entry| entry.index);
        for entry in entries {
            self.merge_entry(entry);
        }
        let matched = last_received.max(self.log.snapshot.index);
        self.commit = self.commit.max(commit.min(matched));
        self.reply_append(from, round, true, matched);
    }

    /// Appends an entry from the leader unless the log already has it. An entry of another
    /// term at the same index is removed first, with all entries after it.
    fn merge_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.snapshot.index {
            return;
        }
        match self.log.term(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                assert!(entry.index > self.commit, "a committed entry must not be truncated");
                self.log.truncate(entry.index);
                self.synced_index = self.synced_index.min(entry.index - 1);
                self.voters = self.log.voters_at(self.log.last_index());
                self.output.writes.push(Write::Truncate(entry.index));
            }
            None => {}
        }
        self.push_entry(entry);
    }

    pub(crate) fn on_install(&mut self, from: NodeId, round: u64, snapshot: Snapshot) {
        let index = snapshot.index;
        if self.log.term(index) == Some(snapshot.term) {
            // The log already contains the snapshot. The entries after it have been
            // acknowledged and must be kept.
            self.commit = self.commit.max(index);
        } else if index > self.commit {
            self.log.restore(snapshot.clone());
            self.voters = snapshot.voters.clone();
            self.commit = index;
            self.delivered = index;
            self.synced_index = self.synced_index.min(index);
            self.output.committed.clear();
            self.output
                .writes
                .push(Write::Snapshot { snapshot: snapshot.clone(), keep_tail: false });
            self.output.restore = Some(snapshot);
        }
        self.reply_append(from, round, true, index);
    }

    fn reply_append(&mut self, to: NodeId, round: u64, success: bool, index: Index) {
        let term = self.hard_state.term;
        self.send(to, Message::AppendReply { term, round, success, index });
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        round: u64,
        success: bool,
        index: Index,
        now: Instant,
    ) {
        if term > self.hard_state.term {
            self.step_down(term, now);
            return;
        }
        if self.role != Role::Leader || term < self.hard_state.term {
            return;
        }
        let round_start = self.round_starts.get(&round).copied();
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact = now;
        if let Some(start) = round_start {
            progress.acked_round_start = progress.acked_round_start.max(start);
        }
        if success {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(progress.matched + 1);
            progress.snapshot_sent = None;
        } else {
            // A delayed reply must not move `next` back below what the follower already has.
            progress.next = (index + 1).clamp(progress.matched + 1, last + 1);
        }
        self.update_lease(now);
        self.advance_commit();
    }

    pub(crate) fn advance_commit(&mut self) {
        let mut matched: Vec<Index> = self
            .voters
            .iter()
            .map(|id| match self.progress.get(id) {
                _ if *id == self.id => self.synced_index,
                Some(progress) => progress.matched,
                None => 0,
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(quorum_index) = matched.get(self.quorum() - 1).copied() else {
            return;
        };
        // Only entries of the current term are committed by counting replicas (section 5.4.2 of
        // the Raft paper).
        if quorum_index > self.commit && self.log.term(quorum_index) == Some(self.hard_state.term) {
            self.commit = quorum_index;
        }
    }

    fn update_lease(&mut self, now: Instant) {
        let mut round_starts: Vec<Instant> = self
            .voters
            .iter()
            .filter_map(|id| match self.progress.get(id) {
                _ if *id == self.id => Some(now),
                Some(progress) => Some(progress.acked_round_start),
                None => None,
            })
            .collect();
        round_starts.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(start) = round_starts.get(self.quorum() - 1) {
            self.lease_start = self.lease_start.max(*start);
        }
    }

    /// Whether an entry of the current term has been committed. Until then the voters must not
    /// change.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }
}
