//! The latest reports of hosts.

use crate::Limits;
use fleet::{Departures, GroupMember, HostReport, HostState, Incarnation};
use model::ids::{HostId, ServiceId};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The status of a host that has reported.
#[derive(Debug, Clone)]
pub struct HostStatus {
    /// The latest report.
    pub report: HostReport,
    /// When the latest report arrived.
    pub last_report: Instant,
    /// When its cold start ends.
    pub cold_until: Instant,
    /// Whether another host has taken over its address.
    pub replaced: bool,
    /// Whether the host said that it ends. It may go on serving for some seconds without
    /// reporting.
    pub departed: bool,
    /// Whether it left a probe unanswered since its latest report.
    pub suspect: bool,
}

impl HostStatus {
    /// Whether the host has reported within `timeout`, answers probes, and still has its address.
    pub fn is_present(&self, timeout: Duration, now: Instant) -> bool {
        !self.replaced
            && !self.suspect
            && now.saturating_duration_since(self.last_report) <= timeout
    }

    /// Remaining duration of its cold start.
    pub fn cold_remaining(&self, now: Instant) -> Duration {
        self.cold_until.saturating_duration_since(now)
    }
}

/// All hosts that have reported to this leader.
#[derive(Debug, Default)]
pub struct Registry {
    hosts: BTreeMap<HostId, HostStatus>,
    by_address: BTreeMap<SocketAddr, HostId>,
    departures: Departures,
}

impl Registry {
    /// Creates a registry that knows which hosts have said that they end.
    pub fn new(departures: Departures) -> Registry {
        Registry { departures, ..Registry::default() }
    }

    /// The status of each host.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostStatus> {
        &self.hosts
    }

    /// Stores a report; returns whether it was accepted. A report is refused if a later one
    /// of the same host or a later incarnation at the same address is known, or if this
    /// incarnation of the host has departed or was replaced.
    pub fn record_report(&mut self, report: HostReport, now: Instant) -> bool {
        !self.departures.contains(&report.host, report.incarnation) && self.store(report, now)
    }

    fn store(&mut self, report: HostReport, now: Instant) -> bool {
        if let Some(status) = self.hosts.get(&report.host) {
            let same_incarnation = status.report.incarnation == report.incarnation;
            let ended = status.replaced || status.departed;
            if !report.supersedes(&status.report) || (ended && same_incarnation) {
                return false;
            }
        }
        if !self.claim_address(&report) {
            return false;
        }
        let status = HostStatus {
            last_report: now,
            cold_until: now + report.cold_remaining,
            replaced: false,
            departed: false,
            suspect: false,
            report,
        };
        self.hosts.insert(status.report.host.clone(), status);
        true
    }

    /// Stores the state with which a member of a group answered a new leader, unless the host
    /// has reported by then; returns whether it was stored. The next report supersedes it.
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
            incarnation: state.incarnation,
            sequence: 0,
            service: service.clone(),
            address: member.address,
            domain: member.domain.clone(),
            fabric: member.fabric.clone(),
            leaving: false,
            cold_remaining: Duration::ZERO,
            slots: member.slots,
            staged: state.staged,
            last_model: state.last_model,
            membership: state.membership,
        };
        let incarnation = report.incarnation;
        let stored = self.store(report, now);
        if stored && self.departures.contains(&member.host, incarnation) {
            self.mark_departed(&member.host, incarnation);
        }
        stored
    }

    /// Marks an incarnation of a host that said that it ends.
    pub fn mark_departed(&mut self, host: &HostId, incarnation: Incarnation) {
        self.departures.record(host.clone(), incarnation);
        if let Some(status) = self.hosts.get_mut(host)
            && status.report.incarnation <= incarnation
        {
            status.departed = true;
            status.report.leaving = true;
        }
    }

    /// Marks a host that left a probe unanswered; its next report clears the mark.
    pub fn suspect(&mut self, host: &str) {
        if let Some(status) = self.hosts.get_mut(host) {
            status.suspect = true;
        }
    }

    /// Removes hosts whose last report is older than the retention period.
    pub fn forget(&mut self, limits: &Limits, now: Instant) {
        self.hosts.retain(|_, status| {
            now.saturating_duration_since(status.last_report) <= limits.host_retention
        });
        let hosts = &self.hosts;
        self.by_address.retain(|_, host| hosts.contains_key(host));
    }

    /// Assigns the address of the report to its host. If two hosts report the same address,
    /// the one that started later has it.
    fn claim_address(&mut self, report: &HostReport) -> bool {
        if let Some(other) = self.by_address.get(&report.address)
            && *other != report.host
            && let Some(status) = self.hosts.get_mut(other)
        {
            if !status.replaced && status.report.incarnation > report.incarnation {
                return false;
            }
            status.replaced = true;
        }
        self.by_address.insert(report.address, report.host.clone());
        true
    }
}
