//! What hosts are used for, so that time which serves nobody can be put down to its cause.

use super::{Phase, Planner};
use crate::{HostStatus, Registry};
use model::ids::{DomainId, HostId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// What a host of the engines is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostUse {
    /// It belongs to a group that serves.
    Serving,
    /// It belongs to a group that is not known to serve yet: proposed, joining, opening, or
    /// formed by an earlier leader.
    Starting,
    /// It belongs to a group that ends.
    Ending,
    /// Weights are on their way to it.
    Staging,
    /// It has weights, and lacks partners for a group of that model.
    Partnerless,
    /// It has no weights, and none are on their way.
    Blank,
    /// It must leave a group that has ended.
    Stray,
    /// It leaves, or operators have taken its failure domain out.
    Leaving,
    /// It was heard within the time that hosts are remembered for, but not lately.
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
        HostUse::Stray,
        HostUse::Leaving,
        HostUse::Silent,
    ];

    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            HostUse::Serving => "serving",
            HostUse::Starting => "starting",
            HostUse::Ending => "ending",
            HostUse::Staging => "staging",
            HostUse::Partnerless => "partnerless",
            HostUse::Blank => "blank",
            HostUse::Stray => "stray",
            HostUse::Leaving => "leaving",
            HostUse::Silent => "silent",
        }
    }
}

impl Planner {
    /// What each host of the engines is used for.
    pub fn host_uses<'a>(
        &self,
        registry: &'a Registry,
        domains_out: &BTreeSet<DomainId>,
        now: Instant,
    ) -> BTreeMap<&'a HostId, HostUse> {
        let mut part_of: BTreeMap<&HostId, Phase> = BTreeMap::new();
        for group in self.groups.values() {
            part_of.extend(group.members.iter().map(|host| (host, group.phase)));
        }
        let engines = registry.hosts().iter().filter(|(_, seen)| !seen.replaced);
        let engines = engines.filter(|(_, seen)| !self.is_plain(&seen.report.service));
        let use_of = |host: &HostId, seen: &HostStatus| {
            let report = &seen.report;
            match part_of.get(host) {
                _ if !seen.is_present(self.limits.member_timeout, now) => HostUse::Silent,
                Some(Phase::Serving) => HostUse::Serving,
                Some(Phase::Closing { .. }) => HostUse::Ending,
                Some(_) => HostUse::Starting,
                None if report.leaving || domains_out.contains(&report.domain) => HostUse::Leaving,
                None if report.membership.as_ref().is_some_and(|part| self.is_stray(part)) => {
                    HostUse::Stray
                }
                None if self.staging.contains_key(host) => HostUse::Staging,
                None if report.staged.is_empty() && report.loaded.is_none() => HostUse::Blank,
                None => HostUse::Partnerless,
            }
        };
        engines.map(|(host, seen)| (host, use_of(host, seen))).collect()
    }
}
