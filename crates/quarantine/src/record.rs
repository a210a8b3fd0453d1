//! The culprits in quarantine, as the log replicates them, and the leader's timers.

use model::ids::CulpritId;
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Duration of the first quarantine of a culprit. It doubles with each further one.
const FIRST_PERIOD: Duration = Duration::from_secs(120);
/// The longest duration of a quarantine.
const MAX_PERIOD: Duration = Duration::from_secs(3600);
/// How long a culprit that has left quarantine is remembered, as a multiple of its duration.
const MEMORY_FACTOR: u32 = 4;
/// Maximum number of culprits kept.
const MAX_CULPRITS: usize = 1024;

/// A change of the culprits in quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineChange {
    /// A culprit enters quarantine.
    Begin(CulpritId),
    /// A culprit leaves quarantine, and is remembered.
    End(CulpritId),
    /// A culprit that has left quarantine is forgotten.
    Forget(CulpritId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    /// How often the culprit has entered quarantine.
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

/// The culprits that are or have been in quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecords {
    records: BTreeMap<CulpritId, Record>,
}

impl QuarantineRecords {
    /// Applies the change that the log has at `index`.
    pub fn apply(&mut self, index: u64, change: QuarantineChange) {
        match change {
            QuarantineChange::Begin(id) => self.begin(id, index),
            QuarantineChange::End(id) => {
                if let Some(record) = self.records.get_mut(&id) {
                    record.in_quarantine = false;
                    record.index = index;
                }
            }
            QuarantineChange::Forget(id) => {
                self.records.remove(&id);
            }
        }
    }

    fn begin(&mut self, id: CulpritId, index: u64) {
        if self.is_in_quarantine(id) {
            return;
        }
        if self.records.len() >= MAX_CULPRITS && !self.records.contains_key(&id) {
            // Remembered culprits go first, then those that have been in quarantine longest.
            let oldest = self.records.iter().min_by_key(|(_, r)| (r.in_quarantine, r.index));
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.records.remove(&oldest);
            }
        }
        let times = self.records.get(&id).map_or(0, |record| record.times) + 1;
        self.records.insert(id, Record { times, in_quarantine: true, index });
    }

    /// Whether a culprit is or has been in quarantine.
    pub fn is_known(&self, id: CulpritId) -> bool {
        self.records.contains_key(&id)
    }

    /// Whether a culprit is in quarantine.
    pub fn is_in_quarantine(&self, id: CulpritId) -> bool {
        self.records.get(&id).is_some_and(|record| record.in_quarantine)
    }

    /// The number of culprits that are or have been in quarantine.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no culprit is or has been in quarantine.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// The leader's timers of the culprits in quarantine. A new leader starts them anew, so that a
/// culprit stays in quarantine at least as long as it should.
#[derive(Debug, Default)]
pub struct QuarantineTimers {
    /// The index of the last change of each culprit, and when this leader first saw it.
    since: BTreeMap<CulpritId, (u64, Instant)>,
}

impl QuarantineTimers {
    /// Starts the timers of culprits that have changed, and returns the changes that are due.
    pub fn due(&mut self, records: &QuarantineRecords, now: Instant) -> Vec<QuarantineChange> {
        self.since.retain(|id, _| records.is_known(*id));
        let mut changes = Vec::new();
        for (id, record) in &records.records {
            let since = self.since.entry(*id).or_insert((record.index, now));
            if since.0 != record.index {
                *since = (record.index, now);
            }
            let elapsed = now.saturating_duration_since(since.1);
            if record.in_quarantine && elapsed >= record.period() {
                changes.push(QuarantineChange::End(*id));
            } else if !record.in_quarantine && elapsed >= record.period() * MEMORY_FACTOR {
                changes.push(QuarantineChange::Forget(*id));
            }
        }
        changes
    }

    /// The culprits in quarantine, each with the time left.
    pub fn blocked(&self, records: &QuarantineRecords, now: Instant) -> Vec<(CulpritId, Duration)> {
        let in_quarantine = records.records.iter().filter(|(_, record)| record.in_quarantine);
        let with_rest = in_quarantine.map(|(id, record)| {
            let since = self.since.get(id).map_or(now, |(_, since)| *since);
            let elapsed = now.saturating_duration_since(since);
            (*id, record.period().saturating_sub(elapsed))
        });
        with_rest.collect()
    }
}
