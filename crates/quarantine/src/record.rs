//! The parts in quarantine, as the log replicates them, and the leader's timers.

use model::ids::PromptPartId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Duration of the first quarantine of a part. It doubles with each further one.
const FIRST_PERIOD: Duration = Duration::from_secs(120);
/// The longest duration of a quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3600);
/// How long a part that has left quarantine is remembered, as a multiple of its duration.
const MEMORY_FACTOR: u32 = 4;
/// Maximum number of parts kept.
const MAX_PARTS: usize = 1024;

/// A change of the parts in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// A part enters quarantine.
    Begin(PromptPartId),
    /// A part leaves quarantine, and is remembered.
    End(PromptPartId),
    /// A part that has left quarantine is forgotten.
    Forget(PromptPartId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// How often the part has entered quarantine.
    times: u32,
    in_quarantine: bool,
    /// The index of the last change.
    index: u64,
}

impl Record {
    fn period(&self) -> Duration {
        let doublings = self.times.saturating_sub(1).min(16);
        (FIRST_PERIOD * (1 << doublings)).min(MAX_PERIOD)
    }
}

/// The parts that are or have been in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecords {
    records: BTreeMap<PromptPartId, Record>,
}

impl QuarantineRecords {
    /// Applies the change that the log has at `index`.
    pub fn apply(&mut self, index: u64, change: QuarantineChange) {
        match change {
            QuarantineChange::Begin(part) => self.begin(part, index),
            QuarantineChange::End(part) => {
                if let Some(record) = self.records.get_mut(&part) {
                    record.in_quarantine = false;
                    record.index = index;
                }
            }
            QuarantineChange::Forget(part) => {
                self.records.remove(&part);
            }
        }
    }

    fn begin(&mut self, part: PromptPartId, index: u64) {
        if self.is_in_quarantine(part) {
            return;
        }
        if self.records.len() >= MAX_PARTS && !self.records.contains_key(&part) {
            // Remembered parts go first, then those that have been in quarantine longest.
            let oldest = self.records.iter().min_by_key(|(_, r)| (r.in_quarantine, r.index));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.records.remove(&oldest);
            }
        }
        let times = self.records.get(&part).map_or(0, |record| record.times) + 1;
        self.records.insert(part, Record { times, in_quarantine: true, index });
    }

    /// Whether a part is or has been in quarantine.
    pub fn is_known(&self, part: PromptPartId) -> bool {
        self.records.contains_key(&part)
    }

    /// Whether a part is in quarantine.
    pub fn is_in_quarantine(&self, part: PromptPartId) -> bool {
        self.records.get(&part).is_some_and(|record| record.in_quarantine)
    }

    /// The number of parts that are or have been in quarantine.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no part is or has been in quarantine.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// The leader's timers of the parts in quarantine. A new leader starts them anew, so that a part
/// stays in quarantine at least as long as it should.
#[derive(Debug, Default)]
pub struct QuarantineTimers {
    /// The index of the last change of each part, and when this leader first saw it.
    since: BTreeMap<PromptPartId, (u64, Instant)>,
}

impl QuarantineTimers {
    /// Starts the timers of parts that have changed, and returns the changes that are due.
    pub fn due(&mut self, records: &QuarantineRecords, now: Instant) -> Vec<QuarantineChange> {
        self.since.retain(|part, _| records.is_known(*part));
        let mut changes = Vec::new();
        for (part, record) in &records.records {
            let since = self.since.entry(*part).or_insert((record.index, now));
            if since.0 != record.index {
                *since = (record.index, now);
            }
            let elapsed = now.saturating_duration_since(since.1);
            if record.in_quarantine && elapsed >= record.period() {
                changes.push(QuarantineChange::End(*part));
            } else if !record.in_quarantine && elapsed >= record.period() * MEMORY_FACTOR {
                changes.push(QuarantineChange::Forget(*part));
            }
        }
        changes
    }

    /// The parts in quarantine, each with the time left.
    pub fn blocked(
        &self,
        records: &QuarantineRecords,
        now: Instant,
    ) -> Vec<(PromptPartId, Duration)> {
        let in_quarantine = records.records.iter().filter(|(_, record)| record.in_quarantine);
        let with_rest = in_quarantine.map(|(part, record)| {
            let since = self.since.get(part).map_or(now, |(_, since)| *since);
            let elapsed = now.saturating_duration_since(since);
            (*part, record.period().saturating_sub(elapsed))
        });
        with_rest.collect()
    }
}
