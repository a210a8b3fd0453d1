//! Classifies what hosts are used for, so that host time without service can be attributed to
//! a cause.

use super::{Phase, Planner};
use crate::{HostStatus, Registry};
use model::ids::{DomainId, HostId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// What an engine host is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostUse {
    /// Member of a group that serves.
    Serving,
    /// Member of a group that is not known to serve yet: proposed, joining, opening, or
    /// formed by an earlier leader.
    Starting,
    /// Member of a group that is closing.
    Ending,
    /// Weights are being staged on it.
    Staging,
    /// It has weights, but too few other hosts are available for a group of that model.
    Partnerless,
    /// It has no weights, and none are being staged.
    Blank,
    /// It still reports a group that has ended, and must leave it.
    Orphaned,
    /// It is leaving, or operators have taken its failure domain out.
    Leaving,
    /// It has not reported lately, but is still within the retention period.
    Silent,
}

impl HostUse {
    /// All uses.
    pub const ALL: [HostUse; 9] = [
        HostUse::Serving,
        HostUse::Starting,
        HostUse::Ending,
        HostUse::Staging,
        HostUse::Partnerless,
        HostUse::Blank,
        HostUse::Orphaned,
        HostUse::Leaving,
        HostUse::Silent,
    ];

    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HostUse::Serving => "serving",
            HostUse::Starting => "starting",
            HostUse::Ending => "ending",
            HostUse::Staging => "staging",
            HostUse::Partnerless => "partnerless",
            HostUse::Blank => "blank",
            HostUse::Orphaned => "stray",
            HostUse::Leaving => "leaving",
            HostUse::Silent => "silent",
        }
    }
}

impl Planner {
    /// The current use of each engine host.
    pub fn host_uses<'a>(
        &self,
        registry: &'a Registry,
        domains_out: &BTreeSet<DomainId>,
        now: Instant,
    ) -> BTreeMap<&'a HostId, HostUse> {
        let mut phases: BTreeMap<&HostId, Phase> = BTreeMap::new();
        for group in self.groups.values() {
            phases.extend(group.members.iter().map(|host| (host, group.phase)));
        }
        let engines = registry.hosts().iter().filter(|(_, status)| !status.replaced);
        let engines = engines.filter(|(_, status)| !self.is_plain(&status.report.service));
        let use_of = |host: &HostId, status: &HostStatus| {
            let report = &status.report;
            match phases.get(host) {
                _ if !status.is_present(self.limits.member_timeout, now) => HostUse::Silent,
                Some(Phase::Serving) => HostUse::Serving,
                Some(Phase::Closing { .. }) => HostUse::Ending,
                Some(_) => HostUse::Starting,
                None if report.leaving || domains_out.contains(&report.domain) => HostUse::Leaving,
                None if report.membership.as_ref().is_some_and(|part| self.is_orphaned(part)) => {
                    HostUse::Orphaned
                }
                None if self.staging.contains_key(host) => HostUse::Staging,
                None if report.staged.is_empty() && report.last_model.is_none() => HostUse::Blank,
                None => HostUse::Partnerless,
            }
        };
        engines.map(|(host, status)| (host, use_of(host, status))).collect()
    }
}
