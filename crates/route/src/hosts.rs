//! Announcements of hosts that an entry holds, each under a lease.

use base::limits::ANNOUNCE_LEASE;
use model::{announce::Announcement, ids::HostId};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Instant,
};

/// Why an announcement is refused: it conflicts with one that is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HostFault {
    /// A host with this name is announced under another address.
    NameTaken {
        /// The address that the name is announced under.
        holder: std::net::SocketAddr,
    },
    /// The announcement is older than the one held.
    OutOfDate,
}

impl fmt::Display for HostFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostFault::NameTaken { holder } => write!(
                f,
                "the host's name is held by {holder}: choose another name, or wait until that \
                 announcement has expired"
            ),
            HostFault::OutOfDate => f.write_str("a newer announcement of this host is held"),
        }
    }
}

#[derive(Debug)]
struct HeldAnnouncement {
    announcement: Announcement,
    expires: Instant,
}

/// Announcements with their leases, and the changes since the last report to control.
#[derive(Debug, Default)]
pub struct HostTable {
    held: BTreeMap<HostId, HeldAnnouncement>,
    /// Hosts with a change to report.
    changed: BTreeSet<HostId>,
    /// Hosts whose lease expired since the last report.
    lost: BTreeSet<HostId>,
}

impl HostTable {
    /// Stores an announcement and renews its lease. The caller has checked that the announcement is
    /// consistent in itself.
    ///
    /// # Errors
    ///
    /// Fails if its name is held by a host at another address, or if the announcement held is not
    /// older.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> Result<(), HostFault> {
        let host = announcement.host.clone();
        if let Some(held) = self.held.get(&host).filter(|held| held.expires > now) {
            let known = &held.announcement;
            if known.address != announcement.address {
                return Err(HostFault::NameTaken { holder: known.address });
            }
            if !announcement.supersedes(known) {
                return Err(HostFault::OutOfDate);
            }
        }
        let is_unchanged =
            self.held.get(&host).is_some_and(|held| !differs(&held.announcement, &announcement));
        if !is_unchanged {
            self.changed.insert(host.clone());
        }
        self.lost.remove(&host);
        self.held.insert(host, HeldAnnouncement { announcement, expires: now + ANNOUNCE_LEASE });
        Ok(())
    }

    /// Removes announcements whose lease has expired.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<HostId> = self
            .held
            .iter()
            .filter(|(_, held)| held.expires <= now)
            .map(|(host, _)| host.clone())
            .collect();
        for host in expired {
            self.held.remove(&host);
            self.changed.remove(&host);
            self.lost.insert(host);
        }
    }

    /// Takes the announcements that changed and the hosts whose lease expired since the last
    /// report.
    pub fn take_changes(&mut self) -> (Vec<Announcement>, Vec<HostId>) {
        let changed = std::mem::take(&mut self.changed);
        let announcements = changed
            .iter()
            .filter_map(|host| self.held.get(host))
            .map(|held| held.announcement.clone())
            .collect();
        let lost = std::mem::take(&mut self.lost).into_iter().collect();
        (announcements, lost)
    }

    /// All announcements held. Changes up to this call are not reported again.
    pub fn take_all(&mut self) -> Vec<Announcement> {
        self.changed.clear();
        self.lost.clear();
        self.held.values().map(|held| held.announcement.clone()).collect()
    }

    /// The number of announcements held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no announcement is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

/// Whether the difference has to be reported to control. The number of running requests matters
/// only if it changes from or to zero, because an idle host may be unloaded.
fn differs(old: &Announcement, new: &Announcement) -> bool {
    let as_reported = |announcement: &Announcement| Announcement {
        sequence: 0,
        running: u32::from(announcement.running > 0),
        ..announcement.clone()
    };
    as_reported(old) != as_reported(new)
}
