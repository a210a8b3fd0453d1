//! Quarantine of prompt parts and requests that crash backend servers.

use super::entries::send_or_close;
use crate::{driver::Driver, ledger::Command};
use fleet::ControlMessage;
use log::{info, warn};
use model::ids::{CulpritId, RequestDigest};
use quarantine::{CrashDetector, Observation, QuarantineChange, QuarantineTimers};
use std::time::{Duration, Instant};

/// What the leader knows of culprits beyond the log.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    pub(super) detector: CrashDetector,
    timers: QuarantineTimers,
    /// The watched requests, as the entries were last told.
    watched: Vec<RequestDigest>,
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

    /// Puts parts and requests that have crashed backend servers in quarantine, and ends
    /// quarantines.
    pub(super) fn run_quarantine(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let records = &self.ledger.quarantine;
        let Quarantine { detector, timers, watched } = &mut leader.quarantine;
        let is_known = |id: CulpritId| records.is_known(id);
        let is_new = |id: &CulpritId| !records.is_in_quarantine(*id);
        let mut changes = timers.due(records, now);
        for part in detector.culprits(is_known, now).into_iter().filter(is_new) {
            warn!("event=part_quarantined part={part:x}");
            changes.push(QuarantineChange::Begin(part));
        }
        for request in detector.deadly_requests(is_known, now).into_iter().filter(is_new) {
            warn!("event=request_quarantined request={request:x}");
            changes.push(QuarantineChange::Begin(request));
        }
        let suspects = detector.watched_requests();
        if suspects != *watched {
            info!("event=watch requests={}", suspects.len());
            for tx in self.entries.values() {
                send_or_close(tx, ControlMessage::Watch(suspects.clone()));
            }
            *watched = suspects;
        }
        for change in changes {
            self.propose(&Command::Quarantine(change), None);
        }
    }

    /// Sends the culprits in quarantine to all entries.
    pub(crate) fn publish_quarantine(&self) {
        let Some(culprits) = self.quarantined() else {
            return;
        };
        info!("event=quarantine parts={}", culprits.len());
        self.counters.parts_in_quarantine.set(culprits.len() as i64);
        for tx in self.entries.values() {
            send_or_close(tx, ControlMessage::Quarantine(culprits.clone()));
        }
    }

    /// Returns the requests that this leader watches.
    pub(super) fn watched_requests(&self) -> Vec<RequestDigest> {
        let leader = self.leader_state.as_ref();
        leader.map(|leader| leader.quarantine.watched.clone()).unwrap_or_default()
    }

    /// Returns the culprits in quarantine, each with the time left, if this process leads and any
    /// culprit has been in quarantine.
    pub(super) fn quarantined(&self) -> Option<Vec<(CulpritId, Duration)>> {
        let leader = self.leader_state.as_ref()?;
        let records = &self.ledger.quarantine;
        let now = self.clock.now();
        (!records.is_empty()).then(|| leader.quarantine.timers.blocked(records, now))
    }
}
