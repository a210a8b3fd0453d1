//! The parts whose requests an entry rejects.

use model::ids::PromptPartId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The parts in quarantine, as the leader last sent them.
#[derive(Debug, Default)]
pub struct BlockedParts {
    until: BTreeMap<PromptPartId, Instant>,
}

impl BlockedParts {
    /// Replaces the parts, each with the rest of its quarantine.
    pub fn set(&mut self, parts: &[(PromptPartId, Duration)], now: Instant) {
        self.until = parts.iter().map(|(part, remaining)| (*part, now + *remaining)).collect();
    }

    /// Returns how long a request with these parts is still rejected, if it is.
    pub fn remaining(&self, parts: &[PromptPartId], now: Instant) -> Option<Duration> {
        let until = parts.iter().filter_map(|part| self.until.get(part)).max()?;
        Some(until.saturating_duration_since(now)).filter(|remaining| !remaining.is_zero())
    }
}
