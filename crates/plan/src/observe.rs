//! What the entries report about hosts and about themselves.

use base::limits::{ENTRY_LEASE, REPAIR_AFTER, VIEW_DRAIN};
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

/// A report of one entry: changes since its last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Whether the report names all hosts that the entry holds, not only changes.
    pub full: bool,
    /// New or changed announcements.
    pub announcements: Vec<Announcement>,
    /// Hosts whose announcements have expired at this entry.
    pub lost: Vec<HostId>,
    /// The number of the manifest that the entry acts on.
    pub manifest: ManifestNumber,
    /// Whether the entry is leaving.
    pub leaving: bool,
    /// Whether the entry uses its share of the slots under a view whose lease runs.
    pub active: bool,
    /// The latest view for which no server runs more of the entry's requests than its
    /// share under that view.
    pub settled: ViewVersion,
}

/// What is known of a host.
#[derive(Debug, Clone)]
pub struct HostSeen {
    /// The latest announcement.
    pub announcement: Announcement,
    /// Since when no entry holds a fresh announcement, or nothing while one does.
    pub lost_since: Option<Instant>,
    holders: BTreeSet<EntryId>,
}

impl HostSeen {
    /// Whether some entry holds a fresh announcement.
    pub fn is_fresh(&self) -> bool {
        self.lost_since.is_none()
    }
}

/// What is known of an entry.
#[derive(Debug, Clone)]
pub struct EntrySeen {
    /// Where it takes callers' requests.
    pub address: SocketAddr,
    /// The number of the manifest that it acts on.
    pub manifest: ManifestNumber,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When it was first heard.
    pub joined: Instant,
    /// Whether it may use its share of the slots.
    pub active: bool,
    /// The latest view for which it stays within its shares.
    pub settled: ViewVersion,
    /// The first view that sets a share aside for it.
    set_aside: Option<ViewVersion>,
    /// When it was last heard.
    pub heard: Instant,
}

/// All that a leader has heard; nothing of it is replicated.
#[derive(Debug, Default)]
pub struct Observations {
    hosts: BTreeMap<HostId, HostSeen>,
    entries: BTreeMap<EntryId, EntrySeen>,
    last_loss: Option<Instant>,
    longest_request: Duration,
}

impl Observations {
    /// The hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostSeen> {
        &self.hosts
    }

    /// The entries.
    pub fn entries(&self) -> &BTreeMap<EntryId, EntrySeen> {
        &self.entries
    }

    /// The number of hosts whose announcements an entry holds.
    pub fn held_by(&self, entry: &EntryId) -> usize {
        self.hosts.values().filter(|seen| seen.holders.contains(entry)).count()
    }

    /// The announcement of a host, if it is fresh.
    pub fn fresh(&self, host: &str) -> Option<&Announcement> {
        self.hosts.get(host).filter(|seen| seen.is_fresh()).map(|seen| &seen.announcement)
    }

    /// Whether a host fell silent so recently that it may not count as gone yet.
    pub fn lost_recently(&self, now: Instant) -> bool {
        let long = REPAIR_AFTER * 2;
        self.last_loss.is_some_and(|at| now.saturating_duration_since(at) < long)
    }

    /// Takes a report of an entry.
    pub fn report(
        &mut self,
        entry: &EntryId,
        address: SocketAddr,
        report: EntryReport,
        now: Instant,
    ) {
        let seen = self.entries.entry(entry.clone()).or_insert(EntrySeen {
            address,
            manifest: 0,
            leaving: false,
            joined: now,
            // It was active under an earlier leader and never stopped.
            active: report.active,
            settled: ViewVersion::default(),
            set_aside: None,
            heard: now,
        });
        let was_away = now.saturating_duration_since(seen.heard) > ENTRY_LEASE;
        if was_away {
            seen.joined = now;
            seen.active = false;
            seen.set_aside = None;
        }
        seen.settled = seen.settled.max(report.settled);
        seen.address = address;
        seen.heard = now;
        seen.manifest = report.manifest;
        seen.leaving = report.leaving;
        if report.full {
            self.drop_holder(entry, now);
        }
        for announcement in report.announcements {
            self.take(entry, announcement);
        }
        if !report.lost.is_empty() || report.full {
            self.last_loss = Some(now);
        }
        for host in report.lost {
            if let Some(seen) = self.hosts.get_mut(&host) {
                seen.release(entry, now);
            }
        }
    }

    /// Drops what silent entries held, and hosts and entries that have been gone for long.
    pub fn expire(&mut self, now: Instant) {
        let silent: Vec<EntryId> = self
            .entries
            .iter()
            .filter(|(_, seen)| now.saturating_duration_since(seen.heard) > ENTRY_LEASE)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in &silent {
            self.drop_holder(entry, now);
            self.last_loss = Some(now);
        }
        // A paused entry's requests run on: its share stays set aside until they ended.
        let keep = ENTRY_LEASE + VIEW_DRAIN.max(self.longest_request);
        self.entries.retain(|_, seen| now.saturating_duration_since(seen.heard) <= keep);
    }

    /// How an entry takes part at `now`.
    pub fn standing(&self, entry: &EntrySeen, now: Instant) -> EntryStanding {
        if now.saturating_duration_since(entry.heard) > ENTRY_LEASE {
            EntryStanding::Lost
        } else if entry.leaving {
            EntryStanding::Leaving
        } else if entry.active {
            EntryStanding::Active
        } else {
            EntryStanding::Joining
        }
    }

    /// Sets how long a request may run, from the manifest.
    pub fn set_longest_request(&mut self, longest: Duration) {
        self.longest_request = longest;
    }

    /// Lets entries that join use their shares, once every other entry stays within what
    /// is left for it: `published` is the view published last, and `named` tells whether
    /// it names an entry. Returns whether an entry may now use its share.
    pub fn promote(
        &mut self,
        published: ViewVersion,
        named: &dyn Fn(&EntryId) -> bool,
        now: Instant,
    ) -> bool {
        if self.entries.values().all(|seen| seen.active) {
            return false;
        }
        for (entry, seen) in &mut self.entries {
            if !seen.active && seen.set_aside.is_none() && named(entry) {
                seen.set_aside = Some(published);
            }
        }
        let live = |seen: &EntrySeen| now.saturating_duration_since(seen.heard) <= ENTRY_LEASE;
        let users = self.entries.values().filter(|seen| seen.active && live(seen));
        let settled = users.map(|seen| seen.settled).min();
        let mut promoted = false;
        for seen in self.entries.values_mut().filter(|seen| !seen.active) {
            let waited = now.saturating_duration_since(seen.joined) >= VIEW_DRAIN;
            let room = seen.set_aside.is_some_and(|view| settled.is_none_or(|least| least >= view));
            seen.active = waited && room;
            promoted |= seen.active;
        }
        promoted
    }

    fn take(&mut self, entry: &EntryId, announcement: Announcement) {
        match self.hosts.get_mut(&announcement.host) {
            Some(seen) => {
                seen.holders.insert(entry.clone());
                seen.lost_since = None;
                if announcement.supersedes(&seen.announcement) {
                    seen.announcement = announcement;
                }
            }
            None => {
                let host = announcement.host.clone();
                let holders = BTreeSet::from([entry.clone()]);
                let seen = HostSeen { announcement, lost_since: None, holders };
                self.hosts.insert(host, seen);
            }
        }
    }

    fn drop_holder(&mut self, entry: &EntryId, now: Instant) {
        for seen in self.hosts.values_mut() {
            seen.release(entry, now);
        }
    }
}

impl HostSeen {
    fn release(&mut self, entry: &EntryId, now: Instant) {
        let held = self.holders.remove(entry);
        if held && self.holders.is_empty() {
            self.lost_since = Some(now);
        }
    }
}
