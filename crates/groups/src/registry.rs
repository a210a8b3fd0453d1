//! What the leader knows of hosts: their latest reports, and how certain these are.
//!
//! A report may be under way for seconds. Its sequence says which of two reports is newer, but
//! those that an earlier leader has received are unknown to the next one, so that the first report
//! that it receives may describe a state long past. What a host answers to a query of this leader is
//! not older than the query, and the epoch of a host's groups only rises while it runs. A membership
//! counts as certain if one of these proves it.

use crate::Limits;
use fleet::{Departures, Epoch, GroupMember, HostReport, HostState, Incarnation, Membership};
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
    /// Whether the membership in `report` is certain: no earlier leader can have changed it, or the
    /// host has answered a query of this leader.
    is_confirmed: bool,
    /// Whether a report contradicts the membership in `report`, and may be older or newer.
    is_disputed: bool,
    /// When the last query was sent.
    queried_at: Option<Instant>,
    /// When the last order ended.
    ordered_at: Option<Instant>,
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

    /// Whether the membership in `report` is the current one, but for orders of this leader.
    pub fn is_certain(&self) -> bool {
        self.is_confirmed && !self.is_disputed
    }

    /// Whether a query may be sent, whose answer would show the outcome of the last order.
    pub fn may_be_queried(&self, now: Instant) -> bool {
        let is_due = |at: Option<Instant>, delay| at.is_none_or(|at| now >= at + delay);
        is_due(self.queried_at, QUERY_INTERVAL) && is_due(self.ordered_at, ANSWER_LAG)
    }
}

/// Time between two queries of the same host.
const QUERY_INTERVAL: Duration = Duration::from_millis(400);
/// How much older than the query the state in an answer may be.
const ANSWER_LAG: Duration = Duration::from_millis(500);

/// Time for which a host must go on reporting after its departure to be used again, longer than a
/// report may be under way. The departure was that of an earlier incarnation then, which arrived late.
const RETURN_DELAY: Duration = Duration::from_secs(15);
/// The least number of reports in that time.
const RETURN_REPORTS: u32 = 5;

/// The epoch of a membership. It only rises while a host runs, except that a host may leave its
/// group.
fn epoch_of(membership: Option<&Membership>) -> Option<Epoch> {
    membership.map(|membership| membership.epoch)
}

/// What the log says of hosts when a leader begins.
#[derive(Debug, Clone, Default)]
pub struct HostHistory {
    /// The hosts that have said that they end.
    pub departures: Departures,
    /// The hosts that have said that they leave, and go on reporting.
    pub leaving: Departures,
    /// Whether any group was ever formed, so that hosts may be in groups that they don't report.
    pub has_formed_groups: bool,
}

/// All hosts that have reported to this leader.
#[derive(Debug, Default)]
pub struct Registry {
    hosts: BTreeMap<HostId, HostStatus>,
    by_address: BTreeMap<SocketAddr, HostId>,
    history: HostHistory,
    /// The hosts that report although they have departed.
    returning: BTreeMap<HostId, Returning>,
}

/// The reports of a host since its departure.
#[derive(Debug)]
struct Returning {
    incarnation: Incarnation,
    sequence: u64,
    first_at: Instant,
    reports: u32,
}

impl Registry {
    /// Creates a registry that knows what the log says of hosts.
    pub fn new(history: HostHistory) -> Registry {
        Registry { history, ..Registry::default() }
    }

    /// The status of each host.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostStatus> {
        &self.hosts
    }

    /// Stores a report; returns whether it was accepted. A report is refused if a later one
    /// of the same host or a later incarnation at the same address is known, or if this
    /// incarnation of the host has departed or was replaced. A membership that contradicts a
    /// certain one is not taken from a report: the host must be queried.
    pub fn record_report(&mut self, report: HostReport, now: Instant) -> bool {
        let departures = &self.history.departures;
        !departures.contains(&report.host, report.incarnation) && self.store(report, now)
    }

    fn store(&mut self, mut report: HostReport, now: Instant) -> bool {
        let known = self.hosts.get(&report.host);
        let known = match known {
            Some(status) if !report.supersedes(&status.report) => return false,
            Some(status) if status.report.incarnation == report.incarnation => {
                if status.replaced || status.departed {
                    return false;
                }
                Some(status)
            }
            _ => None,
        };
        report.leaving |= self.history.leaving.contains(&report.host, report.incarnation);
        let reported = epoch_of(report.membership.as_ref());
        let is_older =
            known.is_some_and(|status| reported < epoch_of(status.report.membership.as_ref()));
        if let Some(status) = known.filter(|_| is_older) {
            report.membership = status.report.membership.clone();
        }
        let (queried_at, ordered_at) =
            known.map_or((None, None), |status| (status.queried_at, status.ordered_at));
        let status = HostStatus {
            last_report: now,
            cold_until: now + report.cold_remaining,
            replaced: false,
            departed: false,
            suspect: false,
            is_confirmed: known
                .map_or(!self.history.has_formed_groups, |status| status.is_confirmed),
            is_disputed: is_older || known.is_some_and(|status| status.is_disputed),
            queried_at,
            ordered_at,
            report,
        };
        if !self.claim_address(&status.report) {
            return false;
        }
        self.hosts.insert(status.report.host.clone(), status);
        true
    }

    /// Notes that a query is sent to a host now.
    pub fn record_query(&mut self, host: &str, now: Instant) {
        if let Some(status) = self.hosts.get_mut(host) {
            status.queried_at = Some(now);
        }
    }

    /// Notes that an order to a host has ended, whatever its outcome: an answer to an earlier query
    /// does not show it. After an order to leave `left`, the host is in no group.
    pub fn record_order(&mut self, host: &str, left: Option<Epoch>, now: Instant) {
        let Some(status) = self.hosts.get_mut(host) else {
            return;
        };
        status.ordered_at = Some(now);
        if left.is_some() && left == epoch_of(status.report.membership.as_ref()) {
            status.report.membership = None;
        }
    }

    /// Stores the state with which a host answered a query that this leader sent at `queried_at`;
    /// returns whether it was accepted. The host must be known, or `member` say where it is.
    pub fn record_state(
        &mut self,
        host: &HostId,
        member: Option<(&GroupMember, &ServiceId)>,
        state: HostState,
        queried_at: Instant,
        now: Instant,
    ) -> bool {
        match self.hosts.get_mut(host) {
            Some(status) if status.replaced => false,
            Some(status) if status.report.incarnation == state.incarnation => {
                if status.ordered_at.is_some_and(|at| queried_at < at + ANSWER_LAG) {
                    return false;
                }
                status.report.staged = state.staged;
                status.report.last_model = state.last_model;
                status.report.membership = state.membership;
                status.last_report = now;
                (status.suspect, status.is_confirmed, status.is_disputed) = (false, true, false);
                true
            }
            // The next report of a later incarnation says the rest.
            Some(_) => false,
            None => member
                .is_some_and(|(member, service)| self.store_member(member, service, state, now)),
        }
    }

    /// Stores the state of a member of a group that has not reported. The next report supersedes it.
    fn store_member(
        &mut self,
        member: &GroupMember,
        service: &ServiceId,
        state: HostState,
        now: Instant,
    ) -> bool {
        if self.by_address.contains_key(&member.address) {
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
        if !self.store(report, now) {
            return false;
        }
        if let Some(status) = self.hosts.get_mut(&member.host) {
            status.is_confirmed = true;
        }
        if self.history.departures.contains(&member.host, incarnation) {
            self.mark_departed(&member.host, incarnation);
        }
        true
    }

    /// Marks an incarnation of a host that said that it ends.
    pub fn mark_departed(&mut self, host: &HostId, incarnation: Incarnation) {
        self.history.departures.record(host.clone(), incarnation);
        if let Some(status) = self.hosts.get_mut(host)
            && status.report.incarnation <= incarnation
        {
            status.departed = true;
            status.report.leaving = true;
        }
    }

    /// Marks an incarnation of a host that said that it leaves.
    pub fn mark_leaving(&mut self, host: &HostId, incarnation: Incarnation) {
        self.history.leaving.record(host.clone(), incarnation);
        if let Some(status) = self.hosts.get_mut(host) {
            status.report.leaving |= status.report.incarnation <= incarnation;
        }
    }

    /// Whether a refused report shows that its host has not departed: it goes on reporting, for
    /// longer than reports of before its departure may be under way.
    pub fn has_returned(&mut self, report: &HostReport, now: Instant) -> bool {
        let HostReport { host, incarnation, sequence, leaving, .. } = report;
        if *leaving || !self.history.departures.contains(host, *incarnation) {
            return false;
        }
        let first =
            Returning { incarnation: *incarnation, sequence: *sequence, first_at: now, reports: 0 };
        let seen = self.returning.entry(host.clone()).or_insert(first);
        if seen.incarnation < *incarnation {
            *seen = Returning { incarnation: *incarnation, first_at: now, reports: 0, ..*seen };
        } else if seen.incarnation > *incarnation
            || (seen.reports > 0 && seen.sequence >= *sequence)
        {
            return false;
        }
        seen.sequence = *sequence;
        seen.reports += 1;
        let reporting_for = now.saturating_duration_since(seen.first_at);
        seen.reports >= RETURN_REPORTS && reporting_for >= RETURN_DELAY
    }

    /// Uses a host again whose departure was that of an earlier incarnation.
    pub fn mark_returned(&mut self, host: &HostId) {
        self.returning.remove(host);
        self.history.departures.remove(host);
        if let Some(status) = self.hosts.get_mut(host) {
            status.departed = false;
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
        self.returning.retain(|_, seen| {
            now.saturating_duration_since(seen.first_at) <= limits.host_retention
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
