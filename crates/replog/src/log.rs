//! The in-memory log: a snapshot and the entries after it.

use crate::{Index, NodeId, Term};
use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use std::collections::BTreeSet;

/// The voting members of a configuration.
pub type Voters = BTreeSet<NodeId>;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position in the log.
    pub index: Index,
    /// The term of the leader that created the entry.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The content of a log entry.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No content. A new leader appends one such entry, which commits the entries before it.
    Empty,
    /// An application command.
    Data(#[serde_as(as = "Bytes")] Vec<u8>),
    /// A new set of voters, effective as soon as the entry is appended, before it commits.
    Voters(Voters),
}

impl Payload {
    /// The approximate size in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Payload::Empty => 16,
            Payload::Data(bytes) => 16 + bytes.len(),
            Payload::Voters(voters) => 16 + 8 * voters.len(),
        }
    }
}

/// The application state up to an index, which replaces the entries up to it.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: Voters,
    /// The serialized application state.
    #[serde_as(as = "Bytes")]
    pub data: Vec<u8>,
}

/// A snapshot and the contiguous entries after it.
#[derive(Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Log {
        Log { snapshot, entries }
    }

    pub(crate) fn last_index(&self) -> Index {
        self.snapshot.index + self.entries.len() as Index
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.snapshot.term, |entry| entry.term)
    }

    /// The term of the entry at `index`, or `None` if it was compacted or does not exist.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// The entries from `index` on, limited to about `max_bytes` but at least one if any exists,
    /// and their size in bytes.
    pub(crate) fn entries_from(&self, index: Index, max_bytes: usize) -> (Vec<Entry>, usize) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = index;
        while let Some(entry) = self.get(index) {
            let size = entry.payload.size();
            if bytes + size > max_bytes && !entries.is_empty() {
                break;
            }
            bytes += size;
            entries.push(entry.clone());
            index += 1;
        }
        (entries, bytes)
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last_index() + 1, "log entries must be contiguous");
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        let keep = index.saturating_sub(self.snapshot.index + 1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
    }

    /// Replaces the entries up to the snapshot's index with the snapshot.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let covered = snapshot.index.saturating_sub(self.snapshot.index);
        let covered = usize::try_from(covered).unwrap_or(usize::MAX).min(self.entries.len());
        self.entries.drain(..covered);
        self.snapshot = snapshot;
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// The voters as of `index`.
    pub(crate) fn voters_at(&self, index: Index) -> Voters {
        self.entries
            .iter()
            .rev()
            .filter(|entry| entry.index <= index)
            .find_map(|entry| match &entry.payload {
                Payload::Voters(voters) => Some(voters.clone()),
                _ => None,
            })
            .unwrap_or_else(|| self.snapshot.voters.clone())
    }

    /// The index of the last entry that changed the voters.
    pub(crate) fn last_voters_index(&self) -> Index {
        self.entries
            .iter()
            .rev()
            .find(|entry| matches!(entry.payload, Payload::Voters(_)))
            .map_or(self.snapshot.index, |entry| entry.index)
    }
}
