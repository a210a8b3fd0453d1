//! What entries report about hosts and about themselves.

use base::limits::{ENTRY_LEASE, REPAIR_DELAY, VIEW_DRAIN};
use model::{
    announce::Announcement,
    ids::{EntryId, HostId, ManifestNumber},
    view::{EntryStanding, ViewVersion},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A report of one entry: the changes since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Whether the report covers all hosts that the entry knows, not only changes.
    pub full: bool,
    /// New or changed announcements.
    pub announcements: Vec<Announcement>,
    /// Hosts whose announcements have expired at this entry.
    pub lost: Vec<HostId>,
    /// The number of the manifest that the entry uses.
    pub manifest: ManifestNumber,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Whether the entry uses its share of the slots under a view whose lease is valid.
    pub active: bool,
    /// The latest view such that no server runs more requests of the entry than its share
    /// under that view.
    pub settled: ViewVersion,
}

/// A host as the entries report it.
#[derive(Debug, Clone)]
pub struct ObservedHost {
    /// The latest announcement.
    pub announcement: Announcement,
    /// Since when no entry has held a fresh announcement; `None` while one does.
    pub lost_since: Option<Instant>,
    /// The entries that hold a fresh announcement.
    holders: BTreeSet<EntryId>,
}

impl ObservedHost {
    /// Whether some entry holds a fresh announcement.
    pub fn is_fresh(&self) -> bool {
        self.lost_since.is_none()
    }

    fn remove_holder(&mut self, entry: &EntryId, now: Instant) {
        let held = self.holders.remove(entry);
        if held && self.holders.is_empty() {
            self.lost_since = Some(now);
        }
    }
}

/// An entry that reports to this leader.
#[derive(Debug, Clone)]
pub struct ObservedEntry {
    /// Where it accepts callers' requests.
    pub address: SocketAddr,
    /// The number of the manifest that it uses.
    pub manifest: ManifestNumber,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When its first report arrived, counted anew after a silence longer than its lease.
    pub joined: Instant,
    /// Whether it may use its share of the slots.
    pub active: bool,
    /// The latest view under which it stays within its shares.
    pub settled: ViewVersion,
    /// The first view that reserves a share for it.
    reserved_since: Option<ViewVersion>,
    /// When its last report arrived.
    pub last_report: Instant,
}

/// Everything reported to this leader; none of it is replicated.
#[derive(Debug, Default)]
pub struct Observations {
    hosts: BTreeMap<HostId, ObservedHost>,
    entries: BTreeMap<EntryId, ObservedEntry>,
    last_loss: Option<Instant>,
    longest_request: Duration,
}

impl Observations {
    /// The hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, ObservedHost> {
        &self.hosts
    }

    /// The entries.
    pub fn entries(&self) -> &BTreeMap<EntryId, ObservedEntry> {
        &self.entries
    }

    /// The number of hosts whose announcements an entry holds.
    pub fn held_by(&self, entry: &EntryId) -> usize {
        self.hosts.values().filter(|host| host.holders.contains(entry)).count()
    }

    /// The announcement of a host, if it is fresh.
    pub fn fresh(&self, host: &str) -> Option<&Announcement> {
        self.hosts.get(host).filter(|host| host.is_fresh()).map(|host| &host.announcement)
    }

    /// Whether a host fell silent so recently that it may not count as lost yet.
    pub fn lost_recently(&self, now: Instant) -> bool {
        let window = REPAIR_DELAY * 2;
        self.last_loss.is_some_and(|at| now.saturating_duration_since(at) < window)
    }

    /// Records a report of an entry.
    pub fn report(
        &mut self,
        entry: &EntryId,
        address: SocketAddr,
        report: EntryReport,
        now: Instant,
    ) {
        let observed = self.entries.entry(entry.clone()).or_insert(ObservedEntry {
            address,
            manifest: 0,
            leaving: false,
            joined: now,
            // The entry was active under an earlier leader and has stayed so.
            active: report.active,
            settled: ViewVersion::default(),
            reserved_since: None,
            last_report: now,
        });
        let lease_expired = now.saturating_duration_since(observed.last_report) > ENTRY_LEASE;
        if lease_expired {
            observed.joined = now;
            observed.active = false;
            observed.reserved_since = None;
        }
        observed.settled = observed.settled.max(report.settled);
        observed.address = address;
        observed.last_report = now;
        observed.manifest = report.manifest;
        observed.leaving = report.leaving;
        if report.full {
            self.remove_holder(entry, now);
        }
        for announcement in report.announcements {
            self.record_announcement(entry, announcement);
        }
        if !report.lost.is_empty() || report.full {
            self.last_loss = Some(now);
        }
        for host in report.lost {
            if let Some(host) = self.hosts.get_mut(&host) {
                host.remove_holder(entry, now);
            }
        }
    }

    /// Expires the announcements held by silent entries, and removes entries that have been
    /// silent for long.
    pub fn expire(&mut self, now: Instant) {
        let silent: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, entry)| now.saturating_duration_since(entry.last_report) > ENTRY_LEASE)
            .map(|(id, _)| id.clone())
            .collect();
        for entry in &silent {
            self.remove_holder(entry, now);
            self.last_loss = Some(now);
        }
        // The requests of a paused entry keep running, so its share stays reserved until they
        // have ended.
        let retention = ENTRY_LEASE + VIEW_DRAIN.max(self.longest_request);
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.last_report) <= retention);
    }

    /// The standing of an entry at `now`.
    pub fn standing(&self, entry: &ObservedEntry, now: Instant) -> EntryStanding {
        if now.saturating_duration_since(entry.last_report) > ENTRY_LEASE {
            EntryStanding::Lost
        } else if entry.leaving {
            EntryStanding::Leaving
        } else if entry.active {
            EntryStanding::Active
        } else {
            EntryStanding::Joining
        }
    }

    /// Sets the maximum duration of a request, from the manifest.
    pub fn set_longest_request(&mut self, longest: Duration) {
        self.longest_request = longest;
    }

    /// Activates entries that joined at least [`VIEW_DRAIN`] ago, once every active entry stays
    /// within the share that is left for it. `published` is the view published last, and
    /// `named` tells whether it names an entry. Returns whether an entry was activated.
    pub fn promote(
        &mut self,
        published: ViewVersion,
        named: &dyn Fn(&EntryId) -> bool,
        now: Instant,
    ) -> bool {
        if self.entries.values().all(|entry| entry.active) {
            return false;
        }
        for (id, entry) in &mut self.entries {
            if !entry.active && entry.reserved_since.is_none() && named(id) {
                entry.reserved_since = Some(published);
            }
        }
        let has_lease =
            |entry: &ObservedEntry| now.saturating_duration_since(entry.last_report) <= ENTRY_LEASE;
        let active = self.entries.values().filter(|entry| entry.active && has_lease(entry));
        let settled = active.map(|entry| entry.settled).min();
        let mut promoted = false;
        for entry in self.entries.values_mut().filter(|entry| !entry.active) {
            let waited = now.saturating_duration_since(entry.joined) >= VIEW_DRAIN;
            let is_free =
                entry.reserved_since.is_some_and(|view| settled.is_none_or(|least| least >= view));
            entry.active = waited && is_free;
            promoted |= entry.active;
        }
        promoted
    }

    fn record_announcement(&mut self, entry: &EntryId, announcement: Announcement) {
        match self.hosts.get_mut(&announcement.host) {
            Some(host) => {
                host.holders.insert(entry.clone());
                host.lost_since = None;
                if announcement.supersedes(&host.announcement) {
                    host.announcement = announcement;
                }
            }
            None => {
                let id = announcement.host.clone();
                let holders = BTreeSet::from([entry.clone()]);
                let host = ObservedHost { announcement, lost_since: None, holders };
                self.hosts.insert(id, host);
            }
        }
    }

    fn remove_holder(&mut self, entry: &EntryId, now: Instant) {
        for host in self.hosts.values_mut() {
            host.remove_holder(entry, now);
        }
    }
}
