//! Claims: each request key is dispatched at most once.

use crate::{
    apply::Outcome,
    command::{ClaimKey, Rejection, Reply},
    types::{Claim, ClaimState, KeptAnswer, State},
};
use base::limits::CLAIM_RETENTION;
use model::ids::EntryId;

/// How many existing claims are checked for expiry when a new claim is made.
const PRUNE_BATCH: usize = 4;

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
            let is_resend = claim.token == token && claim.state == ClaimState::Open;
            if is_resend {
                return Ok(Reply::Claimed);
            }
            return Ok(Reply::AlreadyClaimed(claim.clone()));
        }
        let claim =
            Claim { entry, token, request_digest, state: ClaimState::Open, claimed_at_s: now_s };
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

    /// Removes expired claims among the `PRUNE_BATCH` keys from `start` on, so that no command
    /// scans all claims.
    fn prune_claims(&mut self, start: &ClaimKey, now_s: u64) {
        let keep_s = CLAIM_RETENTION.as_secs();
        let expired: Vec<ClaimKey> = self
            .claims
            .range(start.clone()..)
            .take(PRUNE_BATCH)
            .filter(|(_, claim)| claim.claimed_at_s.saturating_add(keep_s) < now_s)
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired {
            self.claims.remove(&key);
        }
    }
}
