//! Puts weights on hosts before they are needed there.

use super::{Planner, PlannerInput, group::Group};
use crate::{
    HostSeen,
    placement::{FreeHost, model_need},
};
use fleet::{EngineModel, HostOrder, OrderKind};
use model::ids::{FabricId, HostId, ModelId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Most hosts whose weights are replaced for one group.
const STAGE_OVER_MAX: usize = 2;

/// What a host with weights is worth that completes no group yet, against one that does.
const SPARE_WORTH: f64 = 0.25;
/// The same where the fabric domain has groups of the model and no spare host for them.
const FIRST_SPARE_WORTH: f64 = 0.5;

/// The same where the fabric domain has no groups of the model.
const STRAY_SPARE_WORTH: f64 = 0.05;

/// A load that would bring weights to a host.
#[derive(Debug)]
struct Load<'a> {
    host: HostId,
    fabric: &'a FabricId,
    model: &'a EngineModel,
    worth: f64,
}

impl Planner {
    /// Puts weights on hosts that lack those of a group which they could complete. Loads are
    /// scarce, so that each goes where a group lacks the fewest hosts, over all fabric
    /// domains, weighed by how much the model is needed.
    pub(super) fn stage(
        &mut self,
        input: &PlannerInput<'_>,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        orders: &mut Vec<HostOrder>,
    ) {
        let mut idle: BTreeMap<&FabricId, Vec<&FreeHost>> =
            free.iter().map(|(fabric, hosts)| (fabric, hosts.iter().collect())).collect();
        while self.load_room(input) > 0 {
            let Some(load) = self.best_load(&idle, input) else {
                return;
            };
            let kind = OrderKind::Stage { model: load.model.name.clone() };
            if self.order(&load.host, kind, input, orders) {
                self.gate.note(input.now);
                let until = input.now + load.model.load * 2;
                self.staging.insert(load.host.clone(), (load.model.name.clone(), until));
            }
            if let Some(hosts) = idle.get_mut(load.fabric) {
                hosts.retain(|host| host.host != load.host);
            }
        }
    }

    fn best_load<'a>(
        &self,
        idle: &BTreeMap<&'a FabricId, Vec<&FreeHost>>,
        input: &PlannerInput<'a>,
    ) -> Option<Load<'a>> {
        let counts = self.counts();
        let mut best: Option<Load<'a>> = None;
        for (fabric, hosts) in idle {
            for model in &input.engine.models {
                let Some((host, share)) = self.load_for(fabric, hosts, model, input) else {
                    continue;
                };
                let worth = share * model_need(model, input.demand, &counts);
                if best.as_ref().is_none_or(|other| worth > other.worth) {
                    best = Some(Load { host, fabric, model, worth });
                }
            }
        }
        best
    }

    /// The host of a fabric domain that should get a model's weights next, if any, and the
    /// part of a group that this brings.
    fn load_for(
        &self,
        fabric: &FabricId,
        hosts: &[&FreeHost],
        model: &EngineModel,
        input: &PlannerInput<'_>,
    ) -> Option<(HostId, f64)> {
        let have = self.ready_hosts(fabric, hosts, model, input);
        let missing = model.size - have % model.size;
        let blank: Vec<&&FreeHost> = hosts.iter().filter(|host| host.is_blank()).collect();
        let part = 1.0 / missing as f64;
        if blank.len() >= missing {
            return Some((blank[0].host.clone(), part));
        }
        if let Some(host) = self.replaceable(hosts, blank.len(), missing, model, input) {
            return Some((host, part));
        }
        let worth = match self.groups_in(fabric, model, input) {
            0 => STRAY_SPARE_WORTH,
            _ if have == 0 => FIRST_SPARE_WORTH,
            _ => SPARE_WORTH,
        };
        blank.first().map(|host| (host.host.clone(), worth * part))
    }

    pub(super) fn note_idle(&mut self, free: &BTreeMap<FabricId, Vec<FreeHost>>, now: Instant) {
        let idle: BTreeSet<&HostId> = free.values().flatten().map(|host| &host.host).collect();
        self.idle_since.retain(|host, _| idle.contains(host));
        for host in idle {
            self.idle_since.entry(host.clone()).or_insert(now);
        }
    }

    /// The host whose weights should be replaced next so that a group becomes whole: hosts
    /// that together fit no model serve nobody. A host that waits may complete a group with
    /// others soon, so that only hosts give up their weights that have been idle for long.
    fn replaceable(
        &self,
        hosts: &[&FreeHost],
        blank: usize,
        missing: usize,
        model: &EngineModel,
        input: &PlannerInput<'_>,
    ) -> Option<HostId> {
        let patient = |host: &&&FreeHost| {
            let since = self.idle_since.get(&host.host);
            since.is_some_and(|at| input.now >= *at + self.limits.stage_over_after)
        };
        let others: Vec<&&FreeHost> =
            hosts.iter().filter(|host| host.needs_load(model) && !host.is_blank()).collect();
        let enough = missing <= STAGE_OVER_MAX && blank + others.len() >= missing;
        (enough && others.iter().all(patient)).then(|| others[0].host.clone())
    }

    /// How many free hosts of a fabric domain have, or will have, the weights of a model.
    fn ready_hosts(
        &self,
        fabric: &FabricId,
        hosts: &[&FreeHost],
        model: &EngineModel,
        input: &PlannerInput<'_>,
    ) -> usize {
        let have = hosts.iter().filter(|host| !host.needs_load(model)).count();
        let coming = self.staging.iter().filter(|(host, (staged, _))| {
            let seen = input.registry.hosts().get(*host);
            let comes = |seen: &HostSeen| {
                seen.report.fabric == *fabric
                    && seen.is_present(self.limits.member_silence, input.now)
            };
            *staged == model.name && seen.is_some_and(comes)
        });
        have + coming.count()
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
        if input.loads_unlimited {
            return usize::MAX;
        }
        self.gate.room(input.engine, self.staging.len(), input.now)
    }
}
