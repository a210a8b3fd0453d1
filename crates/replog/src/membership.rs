//! Membership: learners, and which of them become voters.
//!
//! The leader aims for enough voters to survive the losses in [`Tolerance`], in failure domains
//! such that a lost domain leaves a quorum. It changes one voter at a time.

use crate::{
    Domain, NodeId,
    log::{Payload, Voters},
    node::{Node, NotLeader, Progress, Role, Tolerance},
};
use std::{collections::BTreeMap, time::Instant};

/// How many entries a node may lag behind the leader to be promoted, or to count towards the
/// quorum that a new set of voters must have.
const MAX_LAG: u64 = 64;
/// A node counts as reachable if it has replied within this many heartbeat intervals.
const CONTACT_TIMEOUT_HEARTBEATS: u32 = 3;

impl Tolerance {
    /// The number of voters that survive these losses.
    fn voters(&self) -> usize {
        2 * self.nodes + 1
    }
}

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
            self.domains.remove(&id);
            self.progress.remove(&id);
        }
    }

    /// Sets the failure domain of a node, which may be this one.
    pub fn set_domain(&mut self, id: NodeId, domain: Domain) {
        self.domains.insert(id, domain);
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

    /// Takes the next step towards the voters that survive the tolerated losses.
    pub(crate) fn reconcile_membership(&mut self, now: Instant) {
        if !self.may_change_voters() {
            return;
        }
        let Some(voters) = self.next_voters(now) else {
            return;
        };
        // The new set must have a quorum of nodes that can commit: another voter may just have
        // stopped replying, or may lag behind.
        let healthy = voters.iter().filter(|id| self.is_healthy(**id, now)).count();
        if healthy > voters.len() / 2 {
            self.append(Payload::Voters(voters));
        }
    }

    /// Returns the voters after the next change, if one is due.
    fn next_voters(&self, now: Instant) -> Option<Voters> {
        let learners: Vec<NodeId> = self.caught_up_learners(now).collect();
        let unresponsive = self.unresponsive_voter(now);
        let target = self.tolerance.voters();
        let is_even = self.voters.len().is_multiple_of(2);
        if self.voters.len() > target {
            return Some(self.without(unresponsive.or_else(|| self.redundant_voter(now))?));
        }
        if is_even {
            // An even number tolerates no more losses than one voter less.
            return match self.best_learner(&learners) {
                Some(learner) => Some(self.with(learner)),
                None => Some(self.without(unresponsive?)),
            };
        }
        // An unresponsive voter is removed before its replacement is added. In the reverse order
        // the quorum of four voters would be three, so that losing the replacement in between
        // would leave the log without a quorum.
        if let Some(unresponsive) = unresponsive
            && !learners.is_empty()
        {
            return Some(self.without(unresponsive));
        }
        let learner = self.best_learner(&learners)?;
        // A single learner would leave an even number of voters.
        if self.voters.len() < target && learners.len() > 1 {
            return Some(self.with(learner));
        }
        // All voters reply, so the one that gives way to a learner in a better domain is removed
        // after the learner has been added.
        let excess = self.domain_excess(&self.voters);
        let added = self.with(learner);
        let improves = |id: &NodeId| {
            let mut voters = added.clone();
            voters.remove(id);
            self.domain_excess(&voters) < excess
        };
        self.voters.iter().any(improves).then_some(added)
    }

    fn with(&self, id: NodeId) -> Voters {
        let mut voters = self.voters.clone();
        voters.insert(id);
        voters
    }

    fn without(&self, id: NodeId) -> Voters {
        let mut voters = self.voters.clone();
        voters.remove(&id);
        voters
    }

    /// The learner whose failure domain has fewest voters.
    fn best_learner(&self, learners: &[NodeId]) -> Option<NodeId> {
        let voters_beside = |id: &NodeId| {
            let domain = self.domains.get(id);
            let is_beside = |other: &&NodeId| domain.is_some() && self.domains.get(other) == domain;
            self.voters.iter().filter(is_beside).count()
        };
        learners.iter().copied().min_by_key(voters_beside)
    }

    /// The voter, other than this node, that the others can best do without.
    fn redundant_voter(&self, now: Instant) -> Option<NodeId> {
        let others = self.voters.iter().copied().filter(|id| *id != self.id);
        others.min_by_key(|id| (self.domain_excess(&self.without(*id)), self.is_healthy(*id, now)))
    }

    /// How many voters fewer must be in the largest failure domains so that a quorum survives
    /// the loss of the tolerated number of domains.
    fn domain_excess(&self, voters: &Voters) -> usize {
        let mut counts: BTreeMap<&Domain, usize> = BTreeMap::new();
        for domain in voters.iter().filter_map(|id| self.domains.get(id)) {
            *counts.entry(domain).or_default() += 1;
        }
        let mut counts: Vec<usize> = counts.into_values().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let lost: usize = counts.iter().take(self.tolerance.domains).sum();
        lost.saturating_sub(voters.len().saturating_sub(1) / 2)
    }

    /// Whether a node replies and has nearly all of the log.
    fn is_healthy(&self, id: NodeId, now: Instant) -> bool {
        let timeout = self.timing.heartbeat * CONTACT_TIMEOUT_HEARTBEATS;
        let is_healthy = |progress: &Progress| {
            now.saturating_duration_since(progress.last_contact) < timeout
                && self.has_caught_up(progress)
        };
        id == self.id || self.progress.get(&id).is_some_and(is_healthy)
    }

    fn has_caught_up(&self, progress: &Progress) -> bool {
        progress.matched + MAX_LAG >= self.log.last_index()
    }

    fn unresponsive_voter(&self, now: Instant) -> Option<NodeId> {
        self.voters.iter().copied().find(|id| {
            self.progress.get(id).is_some_and(|progress| {
                now.saturating_duration_since(progress.last_contact) > self.timing.replace_after
            })
        })
    }

    fn caught_up_learners(&self, now: Instant) -> impl Iterator<Item = NodeId> {
        let is_caught_up = move |progress: &Progress| {
            let since_contact = now.saturating_duration_since(progress.last_contact);
            since_contact < self.timing.election_min && self.has_caught_up(progress)
        };
        self.progress
            .iter()
            .filter(|(id, _)| !self.voters.contains(id))
            .filter(move |(_, progress)| is_caught_up(progress))
            .map(|(id, _)| *id)
    }
}
