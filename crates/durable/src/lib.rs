//! A replicated log with durable storage, independent of the state that it replicates.

mod codec;
mod events;

pub use codec::{decode, decode_state, encode};
pub use events::receive_batch;

use replog::{Entry, Envelope, Index, Node, Snapshot, Term};
use std::collections::BTreeMap;
use store::{Store, StoreError};

/// A Raft node, its storage, and the waiters for the outcome of proposed entries.
#[derive(Debug)]
pub struct DurableLog<W> {
    /// The Raft node. [`DurableLog::step`] syncs its writes before it returns messages to send.
    pub node: Node,
    store: Store,
    waiters: BTreeMap<Index, (Term, W)>,
}

/// The actions left for the caller after a sync, in the order of the fields.
#[derive(Debug)]
pub struct StepOutput {
    /// Whether any write was synced.
    pub synced: bool,
    /// Messages to send.
    pub messages: Vec<Envelope>,
    /// A snapshot to load before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
}

impl<W> DurableLog<W> {
    /// Creates a log from a node and the storage that the node was restored from.
    pub fn new(node: Node, store: Store) -> DurableLog<W> {
        DurableLog { node, store, waiters: BTreeMap::new() }
    }

    /// Proposes a command and registers a waiter for its outcome.
    ///
    /// # Errors
    ///
    /// Returns the waiter if this node is not the leader.
    pub fn propose(&mut self, data: Vec<u8>, waiter: W) -> Result<(), W> {
        match self.node.propose(data) {
            Ok(index) => {
                self.waiters.insert(index, (self.node.term(), waiter));
                Ok(())
            }
            Err(_) => Err(waiter),
        }
    }

    /// Syncs the node's pending writes and returns the remaining actions, or `None` if there is
    /// nothing to do.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails. The contents of the stored log are unknown then.
    pub fn step(&mut self) -> Result<Option<StepOutput>, StoreError> {
        let output = self.node.take_output();
        let idle = output.writes.is_empty()
            && output.messages.is_empty()
            && output.committed.is_empty()
            && output.restore.is_none();
        if idle {
            return Ok(None);
        }
        let synced = !output.writes.is_empty();
        if synced {
            self.store.write(output.writes)?;
            self.node.mark_synced();
        }
        let (messages, restore, committed) = (output.messages, output.restore, output.committed);
        Ok(Some(StepOutput { synced, messages, restore, committed }))
    }

    /// Removes the waiters for the applied entry `index` and all earlier ones. The flag tells
    /// whether a waiter's own entry was applied: another leader may have replaced it.
    pub fn resolve_waiters(&mut self, index: Index, term: Term) -> Vec<(W, bool)> {
        let later = self.waiters.split_off(&(index + 1));
        let resolved = std::mem::replace(&mut self.waiters, later);
        resolved
            .into_iter()
            .map(|(at, (own_term, waiter))| (waiter, at == index && own_term == term))
            .collect()
    }

    /// Removes all waiters, for use when this node is no longer the leader. Their entries may
    /// still be committed.
    pub fn take_waiters(&mut self) -> impl Iterator<Item = W> {
        std::mem::take(&mut self.waiters).into_values().map(|(_, waiter)| waiter)
    }

    /// The number of waiters.
    pub fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// The size of the log file in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.store.log_bytes()
    }
}
