//! Stages weights on hosts before a group needs them there.

use super::{Planner, PlannerInput};
use crate::placement::{FreeHost, Spread, demand_per_group};
use fleet::{EngineModel, HostOrder, OrderKind};
use model::ids::{FabricId, HostId, ModelId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Maximum number of hosts whose weights are replaced for one group.
const MAX_REPLACED_HOSTS: usize = 2;

/// Score of a spare host, whose weights complete no group yet, relative to a host that
/// completes one.
const SPARE_SCORE: f64 = 0.25;
/// Score of a spare host where the fabric domain has groups of the model but no spare for
/// them.
const FIRST_SPARE_SCORE: f64 = 0.5;
/// Score of a spare host where the fabric domain has no groups of the model.
const UNUSED_SPARE_SCORE: f64 = 0.05;

/// A load that could be started: the weights of a model to a host.
#[derive(Debug)]
struct CandidateLoad<'a> {
    host: HostId,
    model: &'a EngineModel,
    score: f64,
}

/// The free hosts of a fabric domain, and the best load for each model there.
#[derive(Debug)]
struct FreeFabric<'a> {
    hosts: Vec<&'a FreeHost>,
    loads: Vec<CandidateLoad<'a>>,
}

/// Number of loads in progress by fabric domain and model.
type LoadsInProgress<'a> = BTreeMap<(&'a str, ModelId), usize>;

impl Planner {
    /// Stages weights on hosts that could then complete a group. Loads are limited, so they
    /// go where a group lacks the fewest hosts, over all fabric domains, weighted by the
    /// demand per group of the model.
    pub(super) fn stage(
        &mut self,
        input: &PlannerInput<'_>,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        spread: &Spread,
        orders: &mut Vec<HostOrder>,
    ) {
        if self.available_loads(input) == 0 {
            return;
        }
        let mut in_progress = self.loads_in_progress(input);
        let mut fabrics: BTreeMap<&FabricId, FreeFabric<'_>> = BTreeMap::new();
        for (fabric, hosts) in free {
            let hosts: Vec<&FreeHost> = hosts.iter().collect();
            let loads = self.candidate_loads(fabric, &hosts, &in_progress, spread, input);
            fabrics.insert(fabric, FreeFabric { hosts, loads });
        }
        while self.available_loads(input) > 0 {
            let all = fabrics
                .iter()
                .flat_map(|(fabric, part)| part.loads.iter().map(move |load| (*fabric, load)));
            let best =
                all.reduce(|best, next| if next.1.score > best.1.score { next } else { best });
            let Some((fabric, host, model)) =
                best.map(|(fabric, load)| (fabric, load.host.clone(), load.model))
            else {
                return;
            };
            let kind = OrderKind::Stage { model: model.name.clone() };
            if self.order(&host, kind, input, orders) {
                self.load_limiter.record_start(input.now);
                let deadline = input.now + model.load * 2;
                self.staging.insert(host.clone(), (model.name.clone(), deadline));
                *in_progress.entry((fabric, model.name.clone())).or_default() += 1;
            }
            if let Some(part) = fabrics.get_mut(fabric) {
                part.hosts.retain(|other| other.host != host);
                part.loads = self.candidate_loads(fabric, &part.hosts, &in_progress, spread, input);
            }
        }
    }

    /// Loads in progress on hosts that are present.
    fn loads_in_progress<'a>(&self, input: &PlannerInput<'a>) -> LoadsInProgress<'a> {
        let mut in_progress = LoadsInProgress::new();
        for (host, (model, _)) in &self.staging {
            if let Some(status) = input.registry.hosts().get(host)
                && status.is_present(self.limits.member_timeout, input.now)
            {
                let fabric: &str = &status.report.fabric;
                *in_progress.entry((fabric, model.clone())).or_default() += 1;
            }
        }
        in_progress
    }

    /// The best load for each model in a fabric domain.
    fn candidate_loads<'a>(
        &self,
        fabric: &FabricId,
        hosts: &[&FreeHost],
        in_progress: &LoadsInProgress<'_>,
        spread: &Spread,
        input: &PlannerInput<'a>,
    ) -> Vec<CandidateLoad<'a>> {
        let load = |model: &'a EngineModel| {
            let key = (&**fabric, model.name.clone());
            let staged = hosts.iter().filter(|host| !host.needs_load(model)).count();
            let staged = staged + in_progress.get(&key).copied().unwrap_or(0);
            let groups = spread.in_fabric(fabric, &model.name);
            let (host, part) = self.best_host(hosts, model, staged, groups, input)?;
            let score = part * demand_per_group(model, input.demand, spread);
            Some(CandidateLoad { host, model, score })
        };
        input.engine.models.iter().filter_map(load).collect()
    }

    /// The host of a fabric domain that should get the weights of a model next, if any, and
    /// the part of a group that this contributes. `staged` hosts have the weights or are
    /// loading them, and the fabric domain has `groups` groups of the model.
    fn best_host(
        &self,
        hosts: &[&FreeHost],
        model: &EngineModel,
        staged: usize,
        groups: usize,
        input: &PlannerInput<'_>,
    ) -> Option<(HostId, f64)> {
        let missing = model.hosts_per_group - staged % model.hosts_per_group;
        let blank: Vec<&&FreeHost> = hosts.iter().filter(|host| host.is_blank()).collect();
        let part = 1.0 / missing as f64;
        if blank.len() >= missing {
            return Some((blank[0].host.clone(), part));
        }
        if let Some(host) = self.replaceable_host(hosts, blank.len(), missing, model, input) {
            return Some((host, part));
        }
        let score = match groups {
            0 => UNUSED_SPARE_SCORE,
            _ if staged == 0 => FIRST_SPARE_SCORE,
            _ => SPARE_SCORE,
        };
        blank.first().map(|host| (host.host.clone(), score * part))
    }

    pub(super) fn update_idle_since(
        &mut self,
        free: &BTreeMap<FabricId, Vec<FreeHost>>,
        now: Instant,
    ) {
        let idle: BTreeSet<&HostId> = free.values().flatten().map(|host| &host.host).collect();
        self.idle_since.retain(|host, _| idle.contains(host));
        for host in idle {
            self.idle_since.entry(host.clone()).or_insert(now);
        }
    }

    /// The host whose weights should be replaced next to complete a group, if any: hosts
    /// whose weights do not add up to a group serve no requests. A waiting host may soon
    /// complete a group with others, so only the weights of hosts that have been idle for
    /// long are replaced.
    fn replaceable_host(
        &self,
        hosts: &[&FreeHost],
        blank: usize,
        missing: usize,
        model: &EngineModel,
        input: &PlannerInput<'_>,
    ) -> Option<HostId> {
        let long_idle = |host: &&&FreeHost| {
            let since = self.idle_since.get(&host.host);
            since.is_some_and(|at| input.now >= *at + self.limits.replace_weights_after)
        };
        let others: Vec<&&FreeHost> =
            hosts.iter().filter(|host| host.needs_load(model) && !host.is_blank()).collect();
        let enough = missing <= MAX_REPLACED_HOSTS && blank + others.len() >= missing;
        (enough && others.iter().all(long_idle)).then(|| others[0].host.clone())
    }

    fn available_loads(&mut self, input: &PlannerInput<'_>) -> usize {
        if input.loads_unlimited {
            return usize::MAX;
        }
        self.load_limiter.available(input.engine, self.staging.len(), input.now)
    }
}
