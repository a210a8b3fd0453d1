//! Groups, hosts and orders in the replicated state.

use crate::{
    apply::Outcome,
    command::{Placement, Rejection, Reply},
    types::{Group, HostRecord, HostRole, OutstandingOrder, State},
};
use model::{
    ids::{DomainId, FabricId, Fence, GroupId, HostId, Incarnation, ModelId},
    order::{Member, OrderAction},
};
use std::collections::BTreeSet;

impl State {
    pub(crate) fn form_group(
        &mut self,
        index: u64,
        model: ModelId,
        domain: DomainId,
        fabric: FabricId,
        load_size: u64,
        placements: Vec<Placement>,
    ) -> Outcome {
        check_placements(&placements)?;
        for placement in &placements {
            if self.hosts.contains_key(&placement.member.host) {
                return Err(Rejection::HostBusy(placement.member.host.clone()));
            }
        }
        let members = member_list(&placements);
        let action = OrderAction::Load {
            group: index,
            model: model.clone(),
            load_size,
            members: members.clone(),
        };
        self.groups.insert(index, Group { model, domain, fabric, members, fence: index });
        for placement in placements {
            self.assign(index, index, placement, action.clone());
        }
        Ok(Reply::Done)
    }

    pub(crate) fn regroup(
        &mut self,
        index: u64,
        group: GroupId,
        fence: Fence,
        load_size: u64,
        placements: Vec<Placement>,
    ) -> Outcome {
        check_placements(&placements)?;
        let Some(current) = self.groups.get(&group).filter(|current| current.fence == fence) else {
            return Err(Rejection::StaleGroup);
        };
        for placement in &placements {
            self.check_assignable(group, placement)?;
        }
        let members = member_list(&placements);
        let model = current.model.clone();
        let remaining: BTreeSet<&HostId> = members.iter().map(|member| &member.host).collect();
        let removed: Vec<HostId> = current
            .members
            .iter()
            .map(|member| member.host.clone())
            .filter(|host| !remaining.contains(host))
            .collect();
        let action = OrderAction::Load { group, model, load_size, members: members.clone() };
        for host in removed {
            self.mark_leaving(&host, group);
        }
        for placement in placements {
            self.assign(group, index, placement, action.clone());
        }
        if let Some(current) = self.groups.get_mut(&group) {
            current.members = members;
            current.fence = index;
        }
        Ok(Reply::Done)
    }

    pub(crate) fn dissolve_group(&mut self, group: GroupId) -> Outcome {
        let Some(dissolved) = self.groups.remove(&group) else {
            return Err(Rejection::StaleGroup);
        };
        for member in dissolved.members {
            self.mark_leaving(&member.host, group);
        }
        Ok(Reply::Done)
    }

    pub(crate) fn unload(
        &mut self,
        index: u64,
        host: HostId,
        incarnation: Incarnation,
        checks_fence: bool,
    ) -> Outcome {
        let Some(record) = self.hosts.get_mut(&host) else {
            return Err(Rejection::HostBusy(host));
        };
        if record.role != HostRole::Leaving {
            return Err(Rejection::HostBusy(host));
        }
        if record.is_blocked_by_order(checks_fence) {
            return Err(Rejection::OrderOutstanding(host));
        }
        record.issue_order(index, incarnation, OrderAction::Unload);
        self.hosts_with_orders.insert(host);
        Ok(Reply::Done)
    }

    pub(crate) fn settle_order(&mut self, host: &HostId, fence: Fence) -> Outcome {
        if let Some(record) = self.hosts.get_mut(host)
            && record.order.as_ref().is_some_and(|order| order.fence == fence)
        {
            record.order = None;
            self.hosts_with_orders.remove(host);
        }
        Ok(Reply::Done)
    }

    pub(crate) fn free_host(&mut self, host: HostId, fence: Fence) -> Outcome {
        match self.hosts.get(&host) {
            Some(record) if record.order.is_some() => Err(Rejection::OrderOutstanding(host)),
            Some(record) if record.role == HostRole::Leaving && record.fence == fence => {
                self.hosts.remove(&host);
                self.leaving.remove(&host);
                Ok(Reply::Done)
            }
            _ => Err(Rejection::HostBusy(host)),
        }
    }

    fn check_assignable(&self, group: GroupId, placement: &Placement) -> Result<(), Rejection> {
        let host = &placement.member.host;
        let Some(record) = self.hosts.get(host) else {
            return Ok(());
        };
        if record.role != HostRole::Assigned(group) {
            return Err(Rejection::HostBusy(host.clone()));
        }
        if record.is_blocked_by_order(placement.checks_fence) {
            return Err(Rejection::OrderOutstanding(host.clone()));
        }
        Ok(())
    }

    fn assign(&mut self, group: GroupId, fence: Fence, placement: Placement, action: OrderAction) {
        let host = placement.member.host;
        let record = self.hosts.entry(host.clone()).or_insert(HostRecord {
            role: HostRole::Assigned(group),
            fence: 0,
            order: None,
        });
        assert_eq!(record.role, HostRole::Assigned(group), "host is not assigned to this group");
        record.issue_order(fence, placement.incarnation, action);
        self.hosts_with_orders.insert(host);
    }

    fn mark_leaving(&mut self, host: &HostId, group: GroupId) {
        let record = self.hosts.get_mut(host).expect("a group member has no host record");
        assert_eq!(record.role, HostRole::Assigned(group), "host is not assigned to this group");
        record.role = HostRole::Leaving;
        self.leaving.insert(host.clone());
    }

    /// The orders that have not been settled, with their hosts.
    pub fn outstanding_orders(
        &self,
    ) -> impl Iterator<Item = (&HostId, &HostRecord, &OutstandingOrder)> {
        self.hosts_with_orders.iter().filter_map(|host| {
            let record = self.hosts.get(host)?;
            Some((host, record, record.order.as_ref()?))
        })
    }

    /// Checks all invariants of groups and hosts. Intended for tests and simulations.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn assert_invariants(&self) {
        let mut assigned = 0;
        for (id, group) in &self.groups {
            assert!(!group.members.is_empty(), "group {id} has no members");
            assert!(group.fence >= *id, "the fence of group {id} is lower than its id");
            for member in &group.members {
                let record =
                    self.hosts.get(&member.host).expect("a group member has no host record");
                assert_eq!(
                    record.role,
                    HostRole::Assigned(*id),
                    "host is not assigned to this group"
                );
                assert_eq!(
                    record.fence, group.fence,
                    "the fence of a member differs from its group's"
                );
                assigned += 1;
            }
        }
        for (host, record) in &self.hosts {
            assert_eq!(
                self.hosts_with_orders.contains(host),
                record.order.is_some(),
                "hosts_with_orders is inconsistent"
            );
            let leaving = record.role == HostRole::Leaving;
            assert_eq!(self.leaving.contains(host), leaving, "leaving is inconsistent");
        }
        let mut indexed_hosts = self.hosts_with_orders.iter().chain(&self.leaving);
        assert!(
            indexed_hosts.all(|host| self.hosts.contains_key(host)),
            "an index contains a free host"
        );
        let assigned_records = self
            .hosts
            .values()
            .filter(|record| matches!(record.role, HostRole::Assigned(_)))
            .count();
        assert_eq!(
            assigned, assigned_records,
            "a host is assigned to a group that does not list it"
        );
    }
}

impl HostRecord {
    /// Whether an unsettled order blocks a new one. A backend server that checks fences rejects
    /// the old order once it has seen the new fence, so no order blocks another there.
    fn is_blocked_by_order(&self, checks_fence: bool) -> bool {
        self.order.is_some() && !checks_fence
    }

    fn issue_order(&mut self, fence: Fence, incarnation: Incarnation, action: OrderAction) {
        assert!(fence > self.fence, "a host's fence must increase");
        self.fence = fence;
        self.order = Some(OutstandingOrder { fence, incarnation, action });
    }
}

fn member_list(placements: &[Placement]) -> Vec<Member> {
    placements.iter().map(|placement| placement.member.clone()).collect()
}

fn check_placements(placements: &[Placement]) -> Result<(), Rejection> {
    let hosts: BTreeSet<&HostId> =
        placements.iter().map(|placement| &placement.member.host).collect();
    if placements.is_empty() || hosts.len() < placements.len() {
        return Err(Rejection::BadPlacement);
    }
    Ok(())
}
