//! Quarantine of prompt parts that crash backend servers.

use super::entries::send_or_close;
use crate::{driver::Driver, ledger::Command};
use fleet::ControlMessage;
use log::{info, warn};
use model::ids::PromptPartId;
use quarantine::{CrashDetector, Observation, QuarantineChange, QuarantineTimers};
use std::time::{Duration, Instant};

/// What the leader knows of prompt parts beyond the log.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) detector: CrashDetector,
    timers: QuarantineTimers,
}

impl Driver {
    /// Adds the observations of an entry.
    pub(super) fn handle_evidence(&mut self, observations: Vec<Observation>, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let detector = &mut leader.quarantine.detector;
        for observation in observations {
            detector.record(observation, now);
        }
    }

    /// Puts parts that have crashed backend servers in quarantine, and ends quarantines.
    pub(super) fn run_quarantine(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let records = &self.ledger.quarantine;
        let culprits = leader.quarantine.detector.culprits(|part| records.is_known(part), now);
        let mut changes = leader.quarantine.timers.due(records, now);
        for part in culprits.into_iter().filter(|part| !records.is_in_quarantine(*part)) {
            warn!("event=part_quarantined part={part:x}");
            changes.push(QuarantineChange::Begin(part));
        }
        for change in changes {
            self.propose(&Command::Quarantine(change), None);
        }
    }

    /// Sends the parts in quarantine to all entries.
    pub(crate) fn publish_quarantine(&self) {
        let Some(parts) = self.quarantined_parts() else {
            return;
        };
        info!("event=quarantine parts={}", parts.len());
        self.counters.parts_in_quarantine.set(parts.len() as i64);
        for tx in self.entries.values() {
            send_or_close(tx, ControlMessage::Quarantine(parts.clone()));
        }
    }

    /// Returns the parts in quarantine, each with the time left, if this process leads and any
    /// part has been in quarantine.
    pub(super) fn quarantined_parts(&self) -> Option<Vec<(PromptPartId, Duration)>> {
        let leader = self.leader_state.as_ref()?;
        let records = &self.ledger.quarantine;
        let now = self.clock.now();
        (!records.is_empty()).then(|| leader.quarantine.timers.blocked(records, now))
    }
}
