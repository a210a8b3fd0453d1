//! Decides when each entry is sent the manifest.
//!
//! An entry is sent a manifest only if it reports an older one or none, and only a few entries at
//! a time. The cost of a change then doesn't delay the leader's heartbeats, and neither a new
//! session nor a new leader costs anything if the manifest is the same.

use crate::events::SessionId;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Bytes of manifests that may be on their way to entries at the same time.
const MAX_BYTES_IN_TRANSIT: usize = 256 << 10;
/// Manifests that may be on their way at the same time, whatever their size: while one entry reads
/// its manifest, another is sent its own.
const MIN_IN_TRANSIT: usize = 3;
/// Time after which an entry that hasn't confirmed a manifest no longer holds up others.
const TRANSIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without a report after which a change isn't held up by an entry: a few report intervals.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// The manifest that each entry holds, and the manifests on their way.
#[derive(Debug, Default)]
pub struct Distribution {
    /// The number and size of the manifest in force.
    manifest: Option<(u64, usize)>,
    entries: BTreeMap<SessionId, EntryState>,
}

#[derive(Debug)]
struct EntryState {
    /// The number of the manifest that the entry has last reported.
    held: Option<u64>,
    reported_at: Instant,
    /// The number of the last manifest sent in this session, and when it was sent.
    sent: Option<(u64, Instant)>,
}

impl EntryState {
    fn is_in_transit(&self, now: Instant) -> bool {
        self.sent.is_some_and(|(number, at)| {
            self.held < Some(number) && now.saturating_duration_since(at) < TRANSIT_TIMEOUT
        })
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported_at) > REPORT_TIMEOUT
    }
}

impl Distribution {
    /// Replaces the manifest in force, which takes `size` bytes to send.
    pub fn set_manifest(&mut self, number: u64, size: usize) {
        self.manifest = Some((number, size));
    }

    /// Records the number of the manifest that an entry holds.
    pub fn record_report(&mut self, session: SessionId, held: Option<u64>, now: Instant) {
        let entry = self.entries.entry(session).or_insert(EntryState {
            held,
            reported_at: now,
            sent: None,
        });
        entry.held = held;
        entry.reported_at = now;
    }

    /// Forgets an entry whose session has ended.
    pub fn remove(&mut self, session: SessionId) {
        self.entries.remove(&session);
    }

    /// Returns the sessions in which the manifest should be sent now, and counts it as sent there.
    pub fn take_due(&mut self, now: Instant) -> Vec<SessionId> {
        let Some((number, size)) = self.manifest else {
            return Vec::new();
        };
        let in_transit = self.entries.values().filter(|entry| entry.is_in_transit(now)).count();
        let most = (MAX_BYTES_IN_TRANSIT / size.max(1)).max(MIN_IN_TRANSIT);
        let lacks = |entry: &EntryState| {
            entry.held < Some(number) && entry.sent.is_none_or(|(sent, _)| sent < number)
        };
        // An entry that doesn't report may not confirm either.
        let (silent, reporting): (Vec<_>, Vec<_>) = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| lacks(entry))
            .partition(|(_, entry)| entry.is_silent(now));
        reporting
            .into_iter()
            .chain(silent)
            .take(most.saturating_sub(in_transit))
            .map(|(session, entry)| {
                entry.sent = Some((number, now));
                *session
            })
            .collect()
    }

    /// Whether all entries hold the manifest in force, other than those that don't report or have
    /// been sent it and don't confirm it.
    pub fn is_complete(&self, now: Instant) -> bool {
        let Some((number, _)) = self.manifest else {
            return true;
        };
        let is_awaited = |entry: &EntryState| {
            let is_due = entry.sent.is_none_or(|(sent, _)| sent < number);
            let lacks = entry.held < Some(number);
            lacks && !entry.is_silent(now) && (is_due || entry.is_in_transit(now))
        };
        !self.entries.values().any(is_awaited)
    }
}
