//! A replicated log kept on a disk: what every driver does with it, whatever it replicates.

mod codec;
mod events;

pub use codec::{decode, decode_state, encode};
pub use events::receive_batch;

use replog::{Entry, Envelope, Index, Node, Snapshot, Term};
use std::collections::BTreeMap;
use store::{Store, StoreError};

/// A node of the log, its storage, and those who wait for the outcome of records.
#[derive(Debug)]
pub struct DurableLog<W> {
    /// Decides. What it writes is synced by [`DurableLog::step`], before anything is sent.
    pub node: Node,
    store: Store,
    waiters: BTreeMap<Index, (Term, W)>,
}

/// What is left to do after a sync, in the order of the fields.
#[derive(Debug)]
pub struct Turn {
    /// Whether something was synced.
    pub synced: bool,
    /// To be sent.
    pub messages: Vec<Envelope>,
    /// A snapshot to be loaded before `committed` is applied.
    pub restore: Option<Snapshot>,
    /// Records to be applied, in order.
    pub committed: Vec<Entry>,
}

impl<W> DurableLog<W> {
    /// A log with what its storage held.
    pub fn new(node: Node, store: Store) -> DurableLog<W> {
        DurableLog { node, store, waiters: BTreeMap::new() }
    }

    /// Proposes a record for someone who waits for its outcome.
    ///
    /// # Errors
    ///
    /// Gives the waiter back if this node doesn't lead.
    pub fn propose(&mut self, data: Vec<u8>, waiter: W) -> Result<(), W> {
        match self.node.propose(data) {
            Ok(index) => {
                self.waiters.insert(index, (self.node.term(), waiter));
                Ok(())
            }
            Err(_) => Err(waiter),
        }
    }

    /// Writes and syncs what the node decided; none if nothing is left to do.
    ///
    /// # Errors
    ///
    /// Fails if the storage fails; nothing is known of the log then.
    pub fn step(&mut self) -> Result<Option<Turn>, StoreError> {
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
        Ok(Some(Turn { synced, messages, restore, committed }))
    }

    /// Those who waited for a record that was applied, or for an earlier one. The flag tells
    /// whether their own record was applied: another leader may have replaced it.
    pub fn resolve_waiters(&mut self, index: Index, term: Term) -> Vec<(W, bool)> {
        let later = self.waiters.split_off(&(index + 1));
        let settled = std::mem::replace(&mut self.waiters, later);
        settled.into_iter().map(|(at, (own, w))| (w, at == index && own == term)).collect()
    }

    /// Those who wait, when this node leads no more: their records may still be committed.
    pub fn take_waiters(&mut self) -> impl Iterator<Item = W> {
        std::mem::take(&mut self.waiters).into_values().map(|(_, waiter)| waiter)
    }

    /// The number of those who wait.
    pub fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    /// The size of the log's file.
    pub fn log_bytes(&self) -> u64 {
        self.store.log_bytes()
    }
}
