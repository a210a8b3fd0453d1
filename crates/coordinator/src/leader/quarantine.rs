//! Quarantine of prompt parts that crash backend servers.

use super::entries::send_or_close;
use crate::{driver::Driver, ledger::Command};
use fleet::ControlMessage;
use log::{info, warn};
use quarantine::{CrashDetector, Observation, QuarantineChange, QuarantineTimers};
use std::time::Instant;

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
            warn!("event=part_convicted part={part:x}");
            changes.push(QuarantineChange::Begin(part));
        }
        for change in changes {
            self.propose(&Command::Quarantine(change), None);
        }
    }

    /// Sends the parts in quarantine to all entries.
    pub(crate) fn publish_quarantine(&mut self) {
        let Some(message) = self.quarantine_message() else {
            return;
        };
        if let ControlMessage::Quarantine(parts) = &message {
            info!("event=quarantine parts={}", parts.len());
            self.counters.parts_in_quarantine.set(parts.len() as i64);
        }
        for tx in self.entries.values() {
            send_or_close(tx, message.clone());
        }
    }

    /// Returns the parts in quarantine, if this process leads.
    pub(super) fn quarantine_message(&mut self) -> Option<ControlMessage> {
        let now = self.clock.now();
        let leader = self.leader_state.as_mut()?;
        let parts = leader.quarantine.timers.blocked(&self.ledger.quarantine, now);
        Some(ControlMessage::Quarantine(parts))
    }
}
