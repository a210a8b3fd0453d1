//! Puts weights on hosts before they are needed there.

use super::{Planner, PlannerInput};
use crate::placement::{FreeHost, Spread, demand_per_group};
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
    model: &'a EngineModel,
    worth: f64,
}

/// The free hosts of a fabric domain, and the loads that would help most there.
#[derive(Debug)]
struct Idle<'a> {
    hosts: Vec<&'a FreeHost>,
    loads: Vec<Load<'a>>,
}

/// Loads under way by fabric domain and model.
type Coming<'a> = BTreeMap<(&'a str, ModelId), usize>;

impl Planner {
    /// Puts weights on hosts that lack those of a group which they could complete. Loads are
    /// scarce, so that each goes where a group lacks the fewest hosts, over all fabric
    /// domains, weighed by how much the model is needed.
    pub(super) fn stage(
        &mut self,
        input: &PlannerInput<'_>,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        spread: &Spread,
        orders: &mut Vec<HostOrder>,
    ) {
        if self.load_room(input) == 0 {
            return;
        }
        let mut coming = self.coming(input);
        let mut idle: BTreeMap<&FabricId, Idle<'_>> = BTreeMap::new();
        for (fabric, hosts) in free {
            let hosts: Vec<&FreeHost> = hosts.iter().collect();
            let loads = self.loads_in(fabric, &hosts, &coming, spread, input);
            idle.insert(fabric, Idle { hosts, loads });
        }
        while self.load_room(input) > 0 {
            let all = idle
                .iter()
                .flat_map(|(fabric, part)| part.loads.iter().map(move |load| (*fabric, load)));
            let best =
                all.reduce(|best, next| if next.1.worth > best.1.worth { next } else { best });
            let Some((fabric, host, model)) =
                best.map(|(fabric, load)| (fabric, load.host.clone(), load.model))
            else {
                return;
            };
            let kind = OrderKind::Stage { model: model.name.clone() };
            if self.order(&host, kind, input, orders) {
                self.load_limiter.record_start(input.now);
                let until = input.now + model.load * 2;
                self.staging.insert(host.clone(), (model.name.clone(), until));
                *coming.entry((fabric, model.name.clone())).or_default() += 1;
            }
            if let Some(part) = idle.get_mut(fabric) {
                part.hosts.retain(|other| other.host != host);
                part.loads = self.loads_in(fabric, &part.hosts, &coming, spread, input);
            }
        }
    }

    /// Loads under way to hosts that are there.
    fn coming<'a>(&self, input: &PlannerInput<'a>) -> Coming<'a> {
        let mut coming = Coming::new();
        for (host, (model, _)) in &self.staging {
            if let Some(seen) = input.registry.hosts().get(host)
                && seen.is_present(self.limits.member_timeout, input.now)
            {
                let fabric: &str = &seen.report.fabric;
                *coming.entry((fabric, model.clone())).or_default() += 1;
            }
        }
        coming
    }

    /// The load of each model that would help most in a fabric domain.
    fn loads_in<'a>(
        &self,
        fabric: &FabricId,
        hosts: &[&FreeHost],
        coming: &Coming<'_>,
        spread: &Spread,
        input: &PlannerInput<'a>,
    ) -> Vec<Load<'a>> {
        let load = |model: &'a EngineModel| {
            let key = (&**fabric, model.name.clone());
            let have = hosts.iter().filter(|host| !host.needs_load(model)).count();
            let have = have + coming.get(&key).copied().unwrap_or(0);
            let groups = spread.in_fabric(fabric, &model.name);
            let (host, part) = self.load_for(hosts, model, have, groups, input)?;
            Some(Load { host, model, worth: part * demand_per_group(model, input.demand, spread) })
        };
        input.engine.models.iter().filter_map(load).collect()
    }

    /// The host of a fabric domain that should get a model's weights next, if any, and the
    /// part of a group that this brings. `have` hosts have them or will, and the domain has
    /// `groups` groups of the model.
    fn load_for(
        &self,
        hosts: &[&FreeHost],
        model: &EngineModel,
        have: usize,
        groups: usize,
        input: &PlannerInput<'_>,
    ) -> Option<(HostId, f64)> {
        let missing = model.size - have % model.size;
        let blank: Vec<&&FreeHost> = hosts.iter().filter(|host| host.is_blank()).collect();
        let part = 1.0 / missing as f64;
        if blank.len() >= missing {
            return Some((blank[0].host.clone(), part));
        }
        if let Some(host) = self.replaceable(hosts, blank.len(), missing, model, input) {
            return Some((host, part));
        }
        let worth = match groups {
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
            since.is_some_and(|at| input.now >= *at + self.limits.replace_weights_after)
        };
        let others: Vec<&&FreeHost> =
            hosts.iter().filter(|host| host.needs_load(model) && !host.is_blank()).collect();
        let enough = missing <= STAGE_OVER_MAX && blank + others.len() >= missing;
        (enough && others.iter().all(patient)).then(|| others[0].host.clone())
    }

    fn load_room(&mut self, input: &PlannerInput<'_>) -> usize {
        if input.loads_unlimited {
            return usize::MAX;
        }
        self.load_limiter.available(input.engine, self.staging.len(), input.now)
    }
}
