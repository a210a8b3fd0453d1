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
        check_distinct(&placements)?;
        for placement in &placements {
            if self.hosts.contains_key(&placement.member.host) {
                return Err(Rejection::HostBusy(placement.member.host.clone()));
            }
        }
        let members = members_of(&placements);
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
        check_distinct(&placements)?;
        let Some(current) = self.groups.get(&group).filter(|current| current.fence == fence) else {
            return Err(Rejection::StaleGroup);
        };
        for placement in &placements {
            self.check_assignable(group, placement)?;
        }
        let members = members_of(&placements);
        let model = current.model.clone();
        let kept: BTreeSet<&HostId> = members.iter().map(|member| &member.host).collect();
        let left: Vec<HostId> = current
            .members
            .iter()
            .map(|member| member.host.clone())
            .filter(|host| !kept.contains(host))
            .collect();
        let action = OrderAction::Load { group, model, load_size, members: members.clone() };
        for host in left {
            self.start_leaving(&host, group);
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
            self.start_leaving(&member.host, group);
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
        if record.order_in_the_way(checks_fence) {
            return Err(Rejection::OrderOutstanding(host));
        }
        record.give_order(index, incarnation, OrderAction::Unload);
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
        if record.order_in_the_way(placement.checks_fence) {
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
        assert_eq!(record.role, HostRole::Assigned(group), "a host in two groups");
        record.give_order(fence, placement.incarnation, action);
        self.hosts_with_orders.insert(host);
    }

    fn start_leaving(&mut self, host: &HostId, group: GroupId) {
        let record = self.hosts.get_mut(host).expect("a member without a record");
        assert_eq!(record.role, HostRole::Assigned(group), "a host in two groups");
        record.role = HostRole::Leaving;
        self.leaving.insert(host.clone());
    }

    /// The orders whose outcome has not been settled, with their hosts.
    pub fn outstanding_orders(
        &self,
    ) -> impl Iterator<Item = (&HostId, &HostRecord, &OutstandingOrder)> {
        self.hosts_with_orders.iter().filter_map(|host| {
            let record = self.hosts.get(host)?;
            Some((host, record, record.order.as_ref()?))
        })
    }

    /// Checks all invariants of groups and hosts; for tests and randomised runs.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated.
    pub fn assert_invariants(&self) {
        let mut assigned = 0;
        for (id, group) in &self.groups {
            assert!(!group.members.is_empty(), "group {id} has no member");
            assert!(group.fence >= *id, "group {id} has a fence below its own index");
            for member in &group.members {
                let record = self.hosts.get(&member.host).expect("a member without a record");
                assert_eq!(record.role, HostRole::Assigned(*id), "a host in two groups");
                assert_eq!(record.fence, group.fence, "a member under another fence");
                assigned += 1;
            }
        }
        for (host, record) in &self.hosts {
            assert_eq!(
                self.hosts_with_orders.contains(host),
                record.order.is_some(),
                "index of orders"
            );
            let leaving = record.role == HostRole::Leaving;
            assert_eq!(self.leaving.contains(host), leaving, "index of leaving hosts");
        }
        let mut indexed = self.hosts_with_orders.iter().chain(&self.leaving);
        assert!(indexed.all(|host| self.hosts.contains_key(host)), "an index names a free host");
        let recorded = self
            .hosts
            .values()
            .filter(|record| matches!(record.role, HostRole::Assigned(_)))
            .count();
        assert_eq!(assigned, recorded, "a host is assigned to a group that lacks it");
    }
}

impl HostRecord {
    fn order_in_the_way(&self, checks_fence: bool) -> bool {
        self.order.is_some() && !checks_fence
    }

    fn give_order(&mut self, fence: Fence, incarnation: Incarnation, action: OrderAction) {
        assert!(fence > self.fence, "a fence must grow");
        self.fence = fence;
        self.order = Some(OutstandingOrder { fence, incarnation, action });
    }
}

fn members_of(placements: &[Placement]) -> Vec<Member> {
    placements.iter().map(|placement| placement.member.clone()).collect()
}

fn check_distinct(placements: &[Placement]) -> Result<(), Rejection> {
    let hosts: BTreeSet<&HostId> =
        placements.iter().map(|placement| &placement.member.host).collect();
    if placements.is_empty() || hosts.len() < placements.len() {
        return Err(Rejection::BadPlacement);
    }
    Ok(())
}
