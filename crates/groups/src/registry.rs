//! What hosts have reported.

use crate::Limits;
use fleet::{GroupMember, HostReport, HostState};
use model::ids::{HostId, ServiceId};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A host that has reported.
#[derive(Debug, Clone)]
pub struct HostSeen {
    /// The latest report.
    pub report: HostReport,
    /// When the latest report arrived.
    pub last_report: Instant,
    /// When its cold start ends.
    pub cold_until: Instant,
    /// Whether another one has its address.
    pub replaced: bool,
    /// Whether it said that it ends. It may go on serving for some seconds, unheard.
    pub departed: bool,
    /// Whether it left a probe unanswered since its latest report.
    pub suspect: bool,
}

impl HostSeen {
    /// Whether the host takes part and has reported within `silence`.
    pub fn is_present(&self, silence: Duration, now: Instant) -> bool {
        !self.replaced
            && !self.suspect
            && now.saturating_duration_since(self.last_report) <= silence
    }

    /// How long its cold start lasts on.
    pub fn cold_left(&self, now: Instant) -> Duration {
        self.cold_until.saturating_duration_since(now)
    }
}

/// All hosts that have reported to this leader.
#[derive(Debug, Default)]
pub struct Registry {
    hosts: BTreeMap<HostId, HostSeen>,
    by_address: BTreeMap<SocketAddr, HostId>,
}

impl Registry {
    /// The hosts.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostSeen> {
        &self.hosts
    }

    /// Takes a report; returns whether it changed what is known. A report that an earlier
    /// one of the same host, or a later life at the same address, has overtaken does not.
    pub fn record_report(&mut self, report: HostReport, now: Instant) -> bool {
        if let Some(seen) = self.hosts.get(&report.host) {
            let same_life = seen.report.born == report.born;
            if !report.supersedes(&seen.report) || ((seen.replaced || seen.departed) && same_life) {
                return false;
            }
        }
        if !self.claim_address(&report) {
            return false;
        }
        let seen = HostSeen {
            last_report: now,
            cold_until: now + report.cold,
            replaced: false,
            departed: false,
            suspect: false,
            report,
        };
        self.hosts.insert(seen.report.host.clone(), seen);
        true
    }

    /// Takes what a member of a group answered to a new leader, unless the host has reported
    /// by then; returns whether it was taken. Its next report supersedes it.
    pub fn record_state(
        &mut self,
        member: &GroupMember,
        service: &ServiceId,
        state: HostState,
        now: Instant,
    ) -> bool {
        if self.hosts.contains_key(&member.host) || self.by_address.contains_key(&member.address) {
            return false;
        }
        let report = HostReport {
            host: member.host.clone(),
            born: state.born,
            sequence: 0,
            service: service.clone(),
            address: member.address,
            domain: member.domain.clone(),
            fabric: member.fabric.clone(),
            leaving: false,
            cold: Duration::ZERO,
            slots: member.slots,
            staged: state.staged,
            loaded: state.loaded,
            membership: state.membership,
        };
        self.record_report(report, now)
    }

    /// Notes that a host ends; returns whether it was known.
    pub fn mark_departed(&mut self, host: &str) -> bool {
        match self.hosts.get_mut(host) {
            Some(seen) => {
                seen.departed = true;
                seen.report.leaving = true;
                true
            }
            None => false,
        }
    }

    /// Notes that a host left a probe unanswered; its next report clears it.
    pub fn suspect(&mut self, host: &str) {
        if let Some(seen) = self.hosts.get_mut(host) {
            seen.suspect = true;
        }
    }

    /// Forgets hosts that have been silent for long.
    pub fn forget(&mut self, limits: &Limits, now: Instant) {
        let keep = |last_report: Instant| {
            now.saturating_duration_since(last_report) <= limits.host_retention
        };
        self.hosts.retain(|_, seen| keep(seen.last_report));
        let hosts = &self.hosts;
        self.by_address.retain(|_, host| hosts.contains_key(host));
    }

    /// Of two hosts at one address, the one that began later is there.
    fn claim_address(&mut self, report: &HostReport) -> bool {
        if let Some(other) = self.by_address.get(&report.address)
            && *other != report.host
            && let Some(seen) = self.hosts.get_mut(other)
        {
            if !seen.replaced && seen.report.born > report.born {
                return false;
            }
            seen.replaced = true;
        }
        self.by_address.insert(report.address, report.host.clone());
        true
    }
}
