//! Claims: at most one dispatch for each request key.

use crate::{
    apply::Outcome,
    command::{ClaimKey, Rejection, Reply},
    types::{Claim, ClaimState, KeptAnswer, State},
};
use base::limits::CLAIM_KEEP;
use model::ids::EntryId;

/// Claims looked at for removal with each new claim.
const PRUNE_STEP: usize = 4;

impl State {
    pub(crate) fn claim(
        &mut self,
        key: ClaimKey,
        entry: EntryId,
        token: u64,
        request_digest: u64,
        now_s: u64,
    ) -> Outcome {
        self.prune_claims(&key, now_s);
        if let Some(claim) = self.claims.get(&key) {
            let resent = claim.token == token && claim.state == ClaimState::Open;
            if resent {
                return Ok(Reply::Claimed);
            }
            return Ok(Reply::AlreadyClaimed(claim.clone()));
        }
        let claim = Claim { entry, token, request_digest, state: ClaimState::Open, at_s: now_s };
        self.claims.insert(key, claim);
        Ok(Reply::Claimed)
    }

    pub(crate) fn close_claim(
        &mut self,
        key: &ClaimKey,
        token: u64,
        answer: Option<KeptAnswer>,
    ) -> Outcome {
        match self.claims.get_mut(key) {
            Some(claim) if claim.token == token => {
                if claim.state == ClaimState::Open {
                    claim.state = answer.map_or(ClaimState::Unknown, ClaimState::Done);
                }
                Ok(Reply::Done)
            }
            _ => Err(Rejection::StaleClaim),
        }
    }

    pub(crate) fn release_claim(&mut self, key: ClaimKey, token: u64) -> Outcome {
        match self.claims.get(&key) {
            Some(claim) if claim.token == token && claim.state == ClaimState::Open => {
                self.claims.remove(&key);
                Ok(Reply::Done)
            }
            _ => Err(Rejection::StaleClaim),
        }
    }

    /// Removes old claims among the next few keys, so that no record costs a full scan.
    fn prune_claims(&mut self, near: &ClaimKey, now_s: u64) {
        let keep_s = CLAIM_KEEP.as_secs();
        let old: Vec<ClaimKey> = self
            .claims
            .range(near.clone()..)
            .take(PRUNE_STEP)
            .filter(|(_, claim)| claim.at_s.saturating_add(keep_s) < now_s)
            .map(|(key, _)| key.clone())
            .collect();
        for key in old {
            self.claims.remove(&key);
        }
    }
}
