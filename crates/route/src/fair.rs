//! Weighted fair queueing between the teams whose requests wait for one model or service.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996), with the same cost for each request.

use model::ids::TeamId;
use std::collections::{BTreeMap, VecDeque};

/// Virtual time that one request costs a team of weight 1.
const REQUEST_COST: u64 = 1 << 20;

#[derive(Debug)]
struct Queue<T> {
    waiting: VecDeque<T>,
    /// Virtual start time of the next request.
    start: u64,
}

/// The queues of all teams for one model or service.
#[derive(Debug)]
pub(crate) struct FairQueues<T> {
    queues: BTreeMap<TeamId, Queue<T>>,
    virtual_now: u64,
    len: usize,
}

impl<T> Default for FairQueues<T> {
    fn default() -> FairQueues<T> {
        FairQueues { queues: BTreeMap::new(), virtual_now: 0, len: 0 }
    }
}

impl<T> FairQueues<T> {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, team: &TeamId, item: T) {
        let now = self.virtual_now;
        let queue = self
            .queues
            .entry(team.clone())
            .or_insert_with(|| Queue { waiting: VecDeque::new(), start: now });
        if queue.waiting.is_empty() {
            // An idle team gains no credit for the time in which it sent nothing.
            queue.start = queue.start.max(now);
        }
        queue.waiting.push_back(item);
        self.len += 1;
    }

    /// Takes the first request of the team with the earliest virtual start time, among the teams
    /// for which `may_run` holds. `weight` returns a team's weight.
    pub(crate) fn pop(
        &mut self,
        may_run: &dyn Fn(&TeamId) -> bool,
        weight: &dyn Fn(&TeamId) -> u32,
    ) -> Option<T> {
        let next = self
            .queues
            .iter()
            .filter(|(team, queue)| !queue.waiting.is_empty() && may_run(team))
            .min_by_key(|(_, queue)| queue.start)
            .map(|(team, _)| team.clone())?;
        let queue = self.queues.get_mut(&next)?;
        let item = queue.waiting.pop_front()?;
        self.virtual_now = self.virtual_now.max(queue.start);
        queue.start += REQUEST_COST / u64::from(weight(&next).max(1));
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns the requests for which `predicate` holds.
    pub(crate) fn remove_if(&mut self, mut predicate: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for queue in self.queues.values_mut() {
            let (matching, kept): (VecDeque<T>, VecDeque<T>) =
                std::mem::take(&mut queue.waiting).into_iter().partition(|item| predicate(item));
            queue.waiting = kept;
            removed.extend(matching);
        }
        self.len -= removed.len();
        removed
    }
}
