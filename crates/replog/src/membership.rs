//! Membership: learners, and the replacement of an unresponsive voter.

use crate::{
    NodeId,
    log::{Payload, Voters},
    node::{Node, NotLeader, Progress, Role},
};
use std::time::Instant;

/// How many entries a learner may lag behind the leader when it is promoted to voter.
const MAX_LEARNER_LAG: u64 = 64;
/// A node counts as reachable if it has replied within this many heartbeat intervals.
const CONTACT_TIMEOUT_HEARTBEATS: u32 = 3;

impl Node {
    /// Adds a learner: a node that receives the log but has no vote.
    pub fn add_learner(&mut self, id: NodeId, now: Instant) {
        if id == self.id || !self.learners.insert(id) {
            return;
        }
        if self.role == Role::Leader && !self.progress.contains_key(&id) {
            let next = self.log.last_index() + 1;
            // No round has been acknowledged yet, so the node must not extend the lease.
            let before_lease = now.checked_sub(self.timing.lease).unwrap_or(now);
            self.progress.insert(id, Progress::new(next, now, before_lease));
        }
    }

    /// Removes a learner that will not return, such as one whose data folder was replaced.
    pub fn remove_learner(&mut self, id: NodeId) {
        self.learners.remove(&id);
        if !self.voters.contains(&id) {
            self.progress.remove(&id);
        }
    }

    /// Adds or removes one voter.
    ///
    /// # Errors
    ///
    /// Fails if the node is not the leader.
    ///
    /// # Panics
    ///
    /// Panics if more than one voter changes, or if another change is in progress.
    pub fn change_voters(&mut self, voters: Voters) -> Result<(), NotLeader> {
        if self.role != Role::Leader {
            return Err(NotLeader { leader: self.leader });
        }
        let differing = self.voters.symmetric_difference(&voters).count();
        assert!(differing <= 1, "only one voter may change at a time");
        assert!(self.may_change_voters(), "another voter change is in progress");
        self.append(Payload::Voters(voters));
        Ok(())
    }

    pub(crate) fn followers(&self) -> impl Iterator<Item = NodeId> {
        let mut ids = self.voters.clone();
        ids.extend(&self.learners);
        ids.remove(&self.id);
        ids.into_iter()
    }

    fn may_change_voters(&self) -> bool {
        self.has_committed_in_term() && self.log.last_voters_index() <= self.commit
    }

    /// Replaces a voter that has not replied for `replace_after` with a learner.
    ///
    /// The unresponsive voter is removed before the learner is added. In the reverse order
    /// the quorum of four voters would be three, so that losing the learner in between would
    /// leave the log without a quorum.
    pub(crate) fn reconcile_membership(&mut self, now: Instant) {
        if !self.may_change_voters() {
            return;
        }
        let Some(learner) = self.caught_up_learner(now) else {
            return;
        };
        let mut voters = self.voters.clone();
        if self.voters.len().is_multiple_of(2) {
            voters.insert(learner);
        } else if let Some(unresponsive) = self.unresponsive_voter(now) {
            voters.remove(&unresponsive);
        } else {
            return;
        }
        // The smaller set must have a reachable quorum: another voter may just have stopped
        // replying.
        if self.is_quorum_reachable(&voters, now) {
            self.append(Payload::Voters(voters));
        }
    }

    fn is_quorum_reachable(&self, voters: &Voters, now: Instant) -> bool {
        let timeout = self.timing.heartbeat * CONTACT_TIMEOUT_HEARTBEATS;
        let reachable = voters.iter().filter(|id| {
            let progress = self.progress.get(id);
            let has_replied = |progress: &Progress| {
                now.saturating_duration_since(progress.last_contact) < timeout
            };
            **id == self.id || progress.is_some_and(has_replied)
        });
        reachable.count() > voters.len() / 2
    }

    fn unresponsive_voter(&self, now: Instant) -> Option<NodeId> {
        self.voters.iter().copied().find(|id| {
            self.progress.get(id).is_some_and(|progress| {
                now.saturating_duration_since(progress.last_contact) > self.timing.replace_after
            })
        })
    }

    fn caught_up_learner(&self, now: Instant) -> Option<NodeId> {
        let last = self.log.last_index();
        self.progress
            .iter()
            .filter(|(id, _)| !self.voters.contains(id))
            .filter(|(_, progress)| {
                let since_contact = now.saturating_duration_since(progress.last_contact);
                since_contact < self.timing.election_min
                    && progress.matched + MAX_LEARNER_LAG >= last
            })
            .map(|(id, _)| *id)
            .next()
    }
}
