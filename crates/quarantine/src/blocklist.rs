//! The requests that an entry rejects.

use model::ids::{CulpritId, PromptPartId, RequestDigest};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The culprits in quarantine, as the leader last sent them.
#[derive(Debug, Default)]
pub struct Blocklist {
    until: BTreeMap<CulpritId, Instant>,
}

impl Blocklist {
    /// Replaces the culprits, each with the rest of its quarantine.
    pub fn set(&mut self, culprits: &[(CulpritId, Duration)], now: Instant) {
        self.until = culprits.iter().map(|(id, remaining)| (*id, now + *remaining)).collect();
    }

    /// Returns how long requests with these prompt parts are still rejected, if they are.
    pub fn remaining_for_parts(&self, parts: &[PromptPartId], now: Instant) -> Option<Duration> {
        let until = parts.iter().filter_map(|part| self.until.get(part)).max()?;
        Some(until.saturating_duration_since(now)).filter(|remaining| !remaining.is_zero())
    }

    /// Returns how long a request is still rejected, if it is.
    pub fn remaining_for_request(&self, digest: RequestDigest, now: Instant) -> Option<Duration> {
        self.remaining_for_parts(&[digest], now)
    }
}
