//! Elections: pre-vote, voting, and the transitions to and from leader.

use crate::{
    Index, NodeId, Term,
    log::Payload,
    message::Message,
    node::{HardState, Node, Progress, Role},
};
use std::time::Instant;

impl Node {
    pub(crate) fn tick_election(&mut self, now: Instant) {
        if now < self.election_deadline || !self.voters.contains(&self.id) {
            return;
        }
        self.reset_election_deadline(now);
        self.leader = None;
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.id);
        if self.votes.len() >= self.quorum() {
            self.campaign(now);
            return;
        }
        let message = Message::PreVote {
            term: self.hard_state.term + 1,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
        now: Instant,
    ) {
        // Of two nodes that run a pre-vote at the same time, the one with the greater log, then
        // identifier, goes on. Otherwise both could become candidates and split the votes.
        let competes = self.role == Role::PreCandidate;
        let own = (self.log.last_term(), self.log.last_index(), self.id);
        let granted = term > self.hard_state.term
            && self.may_vote(now)
            && self.is_up_to_date(last_index, last_term)
            && !(competes && own > (last_term, last_index, from));
        if granted && competes {
            self.role = Role::Follower;
            self.reset_election_deadline(now);
        }
        let own_term = self.hard_state.term;
        self.send(from, Message::PreVoteReply { term, own_term, granted });
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: NodeId,
        term: Term,
        own_term: Term,
        granted: bool,
        now: Instant,
    ) {
        if own_term > self.hard_state.term && !granted {
            // A node whose term is behind could otherwise never win a pre-vote.
            self.step_down(own_term, now);
            return;
        }
        let is_valid =
            self.role == Role::PreCandidate && term == self.hard_state.term + 1 && granted;
        if is_valid && self.voters.contains(&from) {
            self.votes.insert(from);
            if self.votes.len() >= self.quorum() {
                self.campaign(now);
            }
        }
    }

    fn campaign(&mut self, now: Instant) {
        self.role = Role::Candidate;
        self.leader = None;
        self.reset_election_deadline(now);
        self.set_hard_state(HardState { term: self.hard_state.term + 1, voted_for: Some(self.id) });
        self.votes.clear();
        self.votes.insert(self.id);
        if self.votes.len() >= self.quorum() {
            self.become_leader(now);
            return;
        }
        let message = Message::RequestVote {
            term: self.hard_state.term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        self.send_to_voters(&message);
    }

    pub(crate) fn on_vote(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
        now: Instant,
    ) {
        // While a leader may still hold its lease, a vote request is rejected without
        // adopting its term.
        if !self.may_vote(now) {
            self.send(from, Message::VoteReply { term: self.hard_state.term, granted: false });
            return;
        }
        if term > self.hard_state.term {
            self.step_down(term, now);
        }
        let can_vote_for = self.hard_state.voted_for.is_none_or(|candidate| candidate == from);
        let granted = term == self.hard_state.term
            && can_vote_for
            && self.is_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(HardState { term, voted_for: Some(from) });
            self.reset_election_deadline(now);
        }
        self.send(from, Message::VoteReply { term: self.hard_state.term, granted });
    }

    pub(crate) fn on_vote_reply(&mut self, from: NodeId, term: Term, granted: bool, now: Instant) {
        if term > self.hard_state.term {
            self.step_down(term, now);
            return;
        }
        let is_valid = self.role == Role::Candidate && term == self.hard_state.term && granted;
        if is_valid && self.voters.contains(&from) {
            self.votes.insert(from);
            if self.votes.len() >= self.quorum() {
                self.become_leader(now);
            }
        }
    }

    fn become_leader(&mut self, now: Instant) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.elected_at = now;
        self.round_starts.clear();
        // No round of this term has been acknowledged yet, so the lease starts out expired.
        self.lease_start = now.checked_sub(self.timing.lease).unwrap_or(now);
        self.next_heartbeat_at = now;
        let next = self.log.last_index() + 1;
        let followers: Vec<NodeId> = self.followers().collect();
        self.progress = followers
            .into_iter()
            .map(|id| (id, Progress::new(next, now, self.lease_start)))
            .collect();
        self.append(Payload::Empty);
    }

    pub(crate) fn step_down(&mut self, term: Term, now: Instant) {
        self.role = Role::Follower;
        self.leader = None;
        self.progress.clear();
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, voted_for: None });
        }
        self.reset_election_deadline(now);
    }

    /// Accepts the sender of an `AppendEntries` or `InstallSnapshot` as the leader, or rejects
    /// the message if its term is out of date.
    pub(crate) fn accept_leader(
        &mut self,
        from: NodeId,
        term: Term,
        round: u64,
        now: Instant,
    ) -> bool {
        if term < self.hard_state.term {
            let index = self.log.last_index();
            let term = self.hard_state.term;
            self.send(from, Message::AppendReply { term, round, success: false, index });
            return false;
        }
        assert!(
            term > self.hard_state.term || self.role != Role::Leader,
            "two leaders in term {term}"
        );
        if term > self.hard_state.term || self.role != Role::Follower {
            self.step_down(term, now);
        }
        self.leader = Some(from);
        self.vote_blocked_until = now + self.timing.election_min;
        self.reset_election_deadline(now);
        true
    }

    fn may_vote(&self, now: Instant) -> bool {
        match self.role {
            Role::Leader => now >= self.lease_start + self.timing.lease,
            _ => now >= self.vote_blocked_until,
        }
    }

    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    fn send_to_voters(&mut self, message: &Message) {
        let voters: Vec<NodeId> = self.voters.iter().copied().filter(|id| *id != self.id).collect();
        for id in voters {
            self.send(id, message.clone());
        }
    }
}
