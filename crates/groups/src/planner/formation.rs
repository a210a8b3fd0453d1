//! Forms groups of free hosts, and releases hosts from groups that have ended.

use super::{Phase, Planner, PlannerInput, group::Group};
use crate::placement::{Candidate, Candidates, FreeHost, Spread};
use fleet::{
    GroupChange, GroupMember, GroupName, GroupRecord, HostOrder, HostReport, Membership, OrderKind,
};
use model::ids::{FabricId, HostId};
use std::collections::{BTreeMap, BTreeSet};

/// Number of bits of an epoch below the leader's term.
const EPOCH_BITS: u32 = 20;

impl Planner {
    /// Orders hosts out of groups that have ended. The heads of these groups could not be
    /// reached when the groups ended, or still cannot, and may be serving.
    pub(super) fn release_orphans(
        &mut self,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        for (host, status) in input.registry.hosts() {
            let Some(membership) = &status.report.membership else {
                continue;
            };
            let is_present = status.is_present(self.limits.member_timeout, input.now);
            // A host whose membership is uncertain is queried first, and used right after it left.
            if !is_present || !status.is_certain() || !self.is_orphaned(membership) {
                continue;
            }
            let (group, epoch) = (membership.group.clone(), membership.epoch);
            let kind = match membership.serves() {
                true => OrderKind::Close { group, epoch, cut: true },
                false => OrderKind::Leave { group, epoch },
            };
            self.order(host, kind, input, orders);
        }
    }

    /// Whether a host must leave the group that it reports before it joins another one.
    pub(super) fn is_orphaned(&self, membership: &Membership) -> bool {
        let ended = !self.groups.contains_key(&membership.group);
        ended && (membership.serves() || !self.closed_groups.contains(&membership.group))
    }

    pub(super) fn free_hosts(&self, input: &PlannerInput<'_>) -> BTreeMap<FabricId, Vec<FreeHost>> {
        let members: BTreeSet<&HostId> =
            self.groups.values().flat_map(|group| &group.members).collect();
        let mut free: BTreeMap<FabricId, Vec<FreeHost>> = BTreeMap::new();
        for (host, status) in input.registry.hosts() {
            let report = &status.report;
            let is_orphaned = report.membership.as_ref().is_some_and(|part| self.is_orphaned(part));
            let is_free = !self.is_plain(&report.service)
                && !is_orphaned
                && status.is_certain()
                && status.is_present(self.limits.member_timeout, input.now)
                && !report.leaving
                && !input.domains_out.contains(&report.domain)
                && !members.contains(host)
                && !self.pending.contains(host)
                && !self.staging.contains_key(host)
                && self.backoff.get(host).is_none_or(|until| *until <= input.now);
            if is_free {
                free.entry(report.fabric.clone()).or_default().push(FreeHost {
                    host: host.clone(),
                    domain: report.domain.clone(),
                    last_model: report.last_model.clone(),
                    staged: report.staged.clone(),
                });
            }
        }
        free
    }

    pub(super) fn form_groups(
        &mut self,
        input: &PlannerInput<'_>,
        free: &mut BTreeMap<FabricId, Vec<FreeHost>>,
        spread: &mut Spread,
    ) -> Vec<GroupChange> {
        // A join that loads weights would occupy its hosts for long; weights are staged first.
        let max_loads = if input.loads_unlimited { usize::MAX } else { 0 };
        let models = &input.engine.models;
        let mut candidates = Candidates::default();
        for (fabric, hosts) in free.iter() {
            candidates.update(fabric, hosts, models, max_loads);
        }
        let mut formed = Vec::new();
        while let Some(candidate) = candidates.best(input, spread).cloned() {
            spread.add(&candidate.model, Some((&candidate.fabric, &candidate.domain)));
            if let Some(hosts) = free.get_mut(&candidate.fabric) {
                hosts.retain(|host| !candidate.hosts.contains(&host.host));
                candidates.update(&candidate.fabric, hosts, models, max_loads);
            }
            formed.push(self.start_group(candidate, input));
        }
        formed
    }

    /// Counts groups by the location of their heads.
    pub(super) fn spread(&self, input: &PlannerInput<'_>) -> Spread {
        let mut spread = Spread::default();
        for group in self.groups.values() {
            let head = input.registry.hosts().get(&group.members[0]);
            let location = head.map(|status| (&status.report.fabric, &status.report.domain));
            spread.add(&group.model, location);
        }
        spread
    }

    fn start_group(&mut self, candidate: Candidate, input: &PlannerInput<'_>) -> GroupChange {
        self.formed += 1;
        let epoch = (self.term << EPOCH_BITS) + self.formed;
        let name: GroupName = format!("g{epoch}").into();
        let hosts = input.registry.hosts();
        let statuses = candidate.hosts.iter().filter_map(|host| hosts.get(host));
        let members: Vec<GroupMember> =
            statuses.map(|status| member_from(&status.report)).collect();
        let expected = candidate.join_time + input.engine.formation_time;
        let group = Group {
            epoch,
            model: candidate.model,
            incarnations: members.iter().map(|member| member.incarnation).collect(),
            members: candidate.hosts,
            acked: BTreeSet::new(),
            phase: Phase::Proposed,
            deadline: input.now + expected + self.limits.formation_slack,
            open_sent: None,
            open_unconfirmed: false,
            close_sent: None,
            closed: false,
            last_probe: None,
        };
        let record = GroupRecord { epoch, model: group.model.clone(), members };
        self.groups.insert(name.clone(), group);
        GroupChange::Formed { name, record }
    }
}

fn member_from(report: &HostReport) -> GroupMember {
    GroupMember {
        host: report.host.clone(),
        incarnation: report.incarnation,
        address: report.address,
        domain: report.domain.clone(),
        fabric: report.fabric.clone(),
        slots: report.slots,
    }
}
