//! Forms groups of hosts that are free, and takes hosts out of groups that have ended.

use super::{Phase, Planner, PlannerInput, group::Group};
use crate::placement::{Candidate, Candidates, FreeHost, Spread};
use fleet::{
    GroupChange, GroupMember, GroupName, GroupRecord, HostOrder, HostReport, Membership, OrderKind,
};
use model::ids::{FabricId, HostId};
use std::collections::{BTreeMap, BTreeSet};

/// Bits of an epoch below the leader's term.
const EPOCH_BITS: u32 = 20;

impl Planner {
    /// Takes hosts out of groups that have ended: their heads were out of touch then, or
    /// are still, and may serve.
    pub(super) fn release_orphans(
        &mut self,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        for (host, seen) in input.registry.hosts() {
            let Some(part) = &seen.report.membership else {
                continue;
            };
            let present = seen.is_present(self.limits.member_timeout, input.now);
            if !present || !self.is_orphaned(part) {
                continue;
            }
            let (group, epoch) = (part.group.clone(), part.epoch);
            let kind = match part.serves() {
                true => OrderKind::Close { group, epoch, cut: true },
                false => OrderKind::Leave { group, epoch },
            };
            self.order(host, kind, input, orders);
        }
    }

    /// Whether a host must leave the group that it reports before it joins another one.
    pub(super) fn is_orphaned(&self, part: &Membership) -> bool {
        let ended = !self.groups.contains_key(&part.group);
        ended && (part.serves() || !self.closed_groups.contains(&part.group))
    }

    pub(super) fn free_hosts(&self, input: &PlannerInput<'_>) -> BTreeMap<FabricId, Vec<FreeHost>> {
        let taken: BTreeSet<&HostId> =
            self.groups.values().flat_map(|group| &group.members).collect();
        let mut free: BTreeMap<FabricId, Vec<FreeHost>> = BTreeMap::new();
        for (host, seen) in input.registry.hosts() {
            let report = &seen.report;
            let stray = report.membership.as_ref().is_some_and(|part| self.is_orphaned(part));
            let usable = !self.is_plain(&report.service)
                && !stray
                && seen.is_present(self.limits.member_timeout, input.now)
                && !report.leaving
                && !input.domains_out.contains(&report.domain)
                && !taken.contains(host)
                && !self.pending.contains(host)
                && !self.staging.contains_key(host)
                && self.backoff.get(host).is_none_or(|until| *until <= input.now);
            if usable {
                free.entry(report.fabric.clone()).or_default().push(FreeHost {
                    host: host.clone(),
                    domain: report.domain.clone(),
                    last_model: report.loaded.clone(),
                    staged: report.staged.clone(),
                });
            }
        }
        free
    }

    pub(super) fn form(
        &mut self,
        input: &PlannerInput<'_>,
        free: &mut BTreeMap<FabricId, Vec<FreeHost>>,
        spread: &mut Spread,
    ) -> Vec<GroupChange> {
        // A join that loads would hold its hosts for long; weights are staged instead.
        let loads = if input.loads_unlimited { usize::MAX } else { 0 };
        let models = &input.engine.models;
        let mut candidates = Candidates::default();
        for (fabric, hosts) in free.iter() {
            candidates.update(fabric, hosts, models, loads);
        }
        let mut formed = Vec::new();
        while let Some(candidate) = candidates.best(input, spread).cloned() {
            spread.add(&candidate.model, Some((&candidate.fabric, &candidate.domain)));
            if let Some(hosts) = free.get_mut(&candidate.fabric) {
                hosts.retain(|host| !candidate.hosts.contains(&host.host));
                candidates.update(&candidate.fabric, hosts, models, loads);
            }
            formed.push(self.start_group(candidate, input));
        }
        formed
    }

    /// Where groups are, by their heads.
    pub(super) fn spread(&self, input: &PlannerInput<'_>) -> Spread {
        let mut spread = Spread::default();
        for group in self.groups.values() {
            let head = input.registry.hosts().get(&group.members[0]);
            spread.add(&group.model, head.map(|seen| (&seen.report.fabric, &seen.report.domain)));
        }
        spread
    }

    fn start_group(&mut self, candidate: Candidate, input: &PlannerInput<'_>) -> GroupChange {
        self.formed += 1;
        let epoch = (self.term << EPOCH_BITS) + self.formed;
        let name: GroupName = format!("g{epoch}").into();
        let hosts = input.registry.hosts();
        let reports = candidate.hosts.iter().filter_map(|host| hosts.get(host));
        let members: Vec<GroupMember> = reports.map(|seen| member_of(&seen.report)).collect();
        let group = Group {
            epoch,
            model: candidate.model,
            incarnations: members.iter().map(|member| member.born).collect(),
            members: candidate.hosts,
            acked: BTreeSet::new(),
            phase: Phase::Proposed,
            deadline: input.now
                + candidate.join_time
                + input.engine.form
                + self.limits.formation_slack,
            open_sent: None,
            open_unconfirmed: false,
            close_sent: None,
            close_retry_at: None,
            closed: false,
            last_probe: None,
        };
        let record = GroupRecord { epoch, model: group.model.clone(), members };
        self.groups.insert(name.clone(), group);
        GroupChange::Formed { name, record }
    }
}

fn member_of(report: &HostReport) -> GroupMember {
    GroupMember {
        host: report.host.clone(),
        born: report.born,
        address: report.address,
        domain: report.domain.clone(),
        fabric: report.fabric.clone(),
        slots: report.slots,
    }
}
