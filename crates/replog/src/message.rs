//! Messages exchanged by the nodes of a replicated log.

use crate::{
    Index, NodeId, Term,
    log::{Entry, Snapshot},
};
use serde::{Deserialize, Serialize};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver. Any other node ignores the message.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}

/// A Raft message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would grant a vote, without incrementing any term.
    PreVote {
        /// The term that the sender would campaign in.
        term: Term,
        /// The index of the sender's last entry.
        last_index: Index,
        /// The term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to `PreVote`.
    PreVoteReply {
        /// The term of the `PreVote` being answered.
        term: Term,
        /// The sender's current term.
        own_term: Term,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote {
        /// The candidate's term.
        term: Term,
        /// The index of the candidate's last entry.
        last_index: Index,
        /// The term of the candidate's last entry.
        last_term: Term,
    },
    /// Reply to `RequestVote`.
    VoteReply {
        /// The sender's term.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    AppendEntries {
        /// The leader's term.
        term: Term,
        /// The heartbeat round, used to renew the leader's lease.
        round: u64,
        /// The index of the entry that precedes `entries`.
        prev_index: Index,
        /// The term of the entry at `prev_index`.
        prev_term: Term,
        /// The entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// Sends a snapshot to a node that needs entries which have been compacted.
    InstallSnapshot {
        /// The leader's term.
        term: Term,
        /// The heartbeat round, used to renew the leader's lease.
        round: u64,
        /// The snapshot.
        snapshot: Snapshot,
    },
    /// Reply to `AppendEntries` and `InstallSnapshot`.
    AppendReply {
        /// The sender's term.
        term: Term,
        /// The round of the message being answered.
        round: u64,
        /// Whether the sender's log contained the entry at `prev_index`.
        success: bool,
        /// On success the last index known to match the leader's log, otherwise the index
        /// after which the leader should resume sending.
        index: Index,
    },
}
