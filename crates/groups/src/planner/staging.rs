//! Puts weights on hosts before they are needed there.

use super::{Planner, PlannerInput, group::Group};
use crate::placement::{FreeHost, model_need};
use fleet::{EngineModel, HostOrder, OrderKind};
use model::ids::{FabricId, HostId, ModelId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Most hosts whose weights are replaced for one group.
const STAGE_OVER_MAX: usize = 2;

impl Planner {
    /// Puts weights on hosts that have none, so that they can complete a group soon.
    pub(super) fn stage(
        &mut self,
        input: &PlannerInput<'_>,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        orders: &mut Vec<HostOrder>,
    ) {
        for (fabric, hosts) in free {
            let mut ready = self.ready_hosts(fabric, hosts, input);
            for spare in hosts.iter().filter(|host| host.is_blank()) {
                let Some(model) = self.model_to_stage(fabric, &ready, input) else {
                    continue;
                };
                if self.stage_host(&spare.host, model, input, orders) {
                    *ready.entry(model.name.clone()).or_default() += 1;
                }
            }
        }
        for (fabric, hosts) in free {
            let ready = self.ready_hosts(fabric, hosts, input);
            self.stage_over(fabric, hosts, &ready, input, orders);
        }
    }

    pub(super) fn note_idle(&mut self, free: &BTreeMap<FabricId, Vec<FreeHost>>, now: Instant) {
        let idle: BTreeSet<&HostId> = free.values().flatten().map(|host| &host.host).collect();
        self.idle_since.retain(|host, _| idle.contains(host));
        for host in idle {
            self.idle_since.entry(host.clone()).or_insert(now);
        }
    }

    /// Replaces the weights of hosts that have been idle for long, where that completes a
    /// group: hosts that together fit no model serve nobody. Loads are scarce, and a host
    /// that waits may complete a group with others soon, so that it is the last resort.
    fn stage_over(
        &mut self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        ready: &BTreeMap<ModelId, usize>,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) {
        let Some(model) = self.model_to_stage(fabric, ready, input) else {
            return;
        };
        let have = ready.get(&model.name).copied().unwrap_or(0);
        let missing = model.size.saturating_sub(have);
        let others: Vec<&FreeHost> =
            hosts.iter().filter(|host| host.needs_load(model) && !host.is_blank()).collect();
        let patient = |host: &&FreeHost| {
            let since = self.idle_since.get(&host.host);
            since.is_some_and(|at| input.now >= *at + self.limits.stage_over_after)
        };
        if missing > STAGE_OVER_MAX || !others.iter().all(patient) {
            return;
        }
        if missing == 0 || others.len() < missing {
            return;
        }
        for host in &others[..missing] {
            self.stage_host(&host.host, model, input, orders);
        }
    }

    fn stage_host(
        &mut self,
        host: &HostId,
        model: &EngineModel,
        input: &PlannerInput<'_>,
        orders: &mut Vec<HostOrder>,
    ) -> bool {
        let kind = OrderKind::Stage { model: model.name.clone() };
        if self.load_room(input) == 0 || !self.order(host, kind, input, orders) {
            return false;
        }
        self.gate.note(model.load, input.now);
        let entry = (model.name.clone(), input.now + model.load * 2);
        self.staging.insert(host.clone(), entry);
        true
    }

    /// How many free hosts of a fabric domain have, or will have, the weights of each model.
    fn ready_hosts(
        &self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        input: &PlannerInput<'_>,
    ) -> BTreeMap<ModelId, usize> {
        let mut ready = BTreeMap::new();
        for model in &input.engine.models {
            let have = hosts.iter().filter(|host| !host.needs_load(model)).count();
            let coming = self.staging.iter().filter(|(host, (staged, _))| {
                let seen = input.registry.hosts().get(*host);
                *staged == model.name && seen.is_some_and(|seen| seen.report.fabric == *fabric)
            });
            ready.insert(model.name.clone(), have + coming.count());
        }
        ready
    }

    /// The model whose next group lacks the fewest hosts, weighed by how much it is needed.
    /// Models with groups in the fabric domain and without a spare host go first.
    fn model_to_stage<'a>(
        &self,
        fabric: &FabricId,
        ready: &BTreeMap<ModelId, usize>,
        input: &PlannerInput<'a>,
    ) -> Option<&'a EngineModel> {
        let counts = self.counts();
        let score = |model: &EngineModel| {
            let have = ready.get(&model.name).copied().unwrap_or(0);
            let missing = model.size - have % model.size;
            let unspared = if have == 0 { self.groups_in(fabric, model, input) } else { 0 };
            unspared as f64 + model_need(model, input.demand, &counts) / missing as f64
        };
        input.engine.models.iter().max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    fn groups_in(&self, fabric: &FabricId, model: &EngineModel, input: &PlannerInput<'_>) -> usize {
        let here = |group: &&Group| {
            let head = input.registry.hosts().get(&group.members[0]);
            group.model == model.name && head.is_some_and(|seen| seen.report.fabric == *fabric)
        };
        self.groups.values().filter(here).count()
    }

    /// The number of groups of each model.
    pub(super) fn counts(&self) -> BTreeMap<ModelId, usize> {
        let mut counts = BTreeMap::new();
        for group in self.groups.values() {
            *counts.entry(group.model.clone()).or_default() += 1;
        }
        counts
    }

    fn load_room(&mut self, input: &PlannerInput<'_>) -> usize {
        if input.loads_unlimited { usize::MAX } else { self.gate.room(input.engine, input.now) }
    }
}
