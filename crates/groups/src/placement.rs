//! Chooses hosts for the next group.

use crate::PlannerInput;
use fleet::EngineModel;
use model::ids::{DomainId, FabricId, HostId, ModelId};
use std::{collections::BTreeMap, time::Duration};

/// Time of a join for a host whose last group had the same model.
const REJOIN: Duration = Duration::from_millis(200);

/// A host that may join a group.
#[derive(Debug, Clone)]
pub(crate) struct FreeHost {
    pub(crate) host: HostId,
    pub(crate) last_model: Option<ModelId>,
    pub(crate) staged: Vec<ModelId>,
}

impl FreeHost {
    /// How long the host needs to join a group of the model.
    pub(crate) fn join_time(&self, model: &EngineModel) -> Duration {
        if self.last_model.as_ref() == Some(&model.name) {
            REJOIN
        } else if self.needs_load(model) {
            model.load
        } else {
            model.warmup
        }
    }

    /// Whether the host has no weights at all.
    pub(crate) fn is_blank(&self) -> bool {
        self.staged.is_empty() && self.last_model.is_none()
    }

    /// Whether a join would load weights from the store.
    pub(crate) fn needs_load(&self, model: &EngineModel) -> bool {
        self.last_model.as_ref() != Some(&model.name) && !self.staged.contains(&model.name)
    }
}

/// Hosts for a group, the head first.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) model: ModelId,
    pub(crate) fabric: FabricId,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) time: Duration,
}

/// Where groups are.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// Groups of each model.
    pub(crate) of_model: BTreeMap<ModelId, usize>,
    /// Groups of each model in a fabric domain.
    pub(crate) in_fabric: BTreeMap<(FabricId, ModelId), usize>,
    /// Groups of each model in a failure domain.
    pub(crate) in_domain: BTreeMap<(DomainId, ModelId), usize>,
}

impl Spread {
    /// Counts a group.
    pub(crate) fn add(&mut self, model: &ModelId, fabric: &FabricId, domain: &DomainId) {
        *self.of_model.entry(model.clone()).or_default() += 1;
        *self.in_fabric.entry((fabric.clone(), model.clone())).or_default() += 1;
        *self.in_domain.entry((domain.clone(), model.clone())).or_default() += 1;
    }

    /// How well a further group of the model suits a fabric domain, between 0 and 1. Hosts
    /// that survive their groups complete others of the same model at once, so that each
    /// fabric domain keeps to one model, and a model is spread over failure domains.
    fn suits(&self, model: &ModelId, fabric: &FabricId, domain: &DomainId) -> f64 {
        let here = |(other, _): &(&(FabricId, ModelId), &usize)| other.0 == *fabric;
        let groups: usize = self.in_fabric.iter().filter(here).map(|(_, count)| count).sum();
        let own = self.in_fabric.get(&(fabric.clone(), model.clone())).copied().unwrap_or(0);
        if own == groups && own > 0 {
            return 1.0;
        }
        let near = self.in_domain.get(&(domain.clone(), model.clone())).copied().unwrap_or(0);
        let suits = if groups == 0 { FRESH } else { SHARED };
        suits / (1.0 + CROWDED * near as f64)
    }
}

/// What a fabric domain without groups is worth against one that has groups of the model.
const FRESH: f64 = 0.5;
/// The same for one that has groups of other models.
const SHARED: f64 = 0.05;
/// How much less each group of the model in the same failure domain makes it worth.
const CROWDED: f64 = 0.1;

/// The best next group, if one fits in a fabric domain with at most `loads` loads.
///
/// A group is worth more the fewer groups its model has for its part of the work, and the
/// sooner it serves.
pub(crate) fn best_candidate(
    input: &PlannerInput<'_>,
    free: &BTreeMap<FabricId, Vec<FreeHost>>,
    spread: &Spread,
    loads: usize,
) -> Option<Candidate> {
    let mut best: Option<((bool, f64), Candidate)> = None;
    for model in &input.engine.models {
        let need = model_need(model, input.demand, &spread.of_model);
        for (fabric, hosts) in free {
            let Some(candidate) = candidate_in(model, fabric, hosts, loads) else {
                continue;
            };
            let head = input.registry.hosts().get(&candidate.hosts[0]);
            let domain = head.map(|seen| seen.report.domain.clone()).unwrap_or_default();
            let suits = spread.suits(&model.name, fabric, &domain);
            let wait = candidate.time.as_secs_f64() / PATIENCE.as_secs_f64();
            // A model that nobody serves goes first.
            let unserved = !spread.of_model.contains_key(&model.name);
            let rank = (unserved, need * suits / (1.0 + wait));
            if best.as_ref().is_none_or(|(other, _)| rank > *other) {
                best = Some((rank, candidate));
            }
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// The work that asks for a model over the groups that it has. Until the work has been
/// measured, the manifest's shares stand for it.
pub(crate) fn model_need(
    model: &EngineModel,
    demand: &BTreeMap<ModelId, f64>,
    groups: &BTreeMap<ModelId, usize>,
) -> f64 {
    let count = groups.get(&model.name).copied().unwrap_or(0) as f64;
    let work = match demand.is_empty() {
        true => model.share,
        false => demand.get(&model.name).copied().unwrap_or(0.0),
    };
    let whole = AVAILABILITY.powi(model.size as i32);
    work / ((count + 0.5) * whole)
}

/// The part of the time in which a host is there: a group lacks one the more often, the more
/// hosts it has. As on days with trouble.
const AVAILABILITY: f64 = 0.85;

/// A group that serves this much later is worth half.
const PATIENCE: Duration = Duration::from_secs(4);

fn candidate_in(
    model: &EngineModel,
    fabric: &FabricId,
    hosts: &[FreeHost],
    loads: usize,
) -> Option<Candidate> {
    let mut by_time: Vec<&FreeHost> = hosts.iter().collect();
    by_time.sort_by_key(|host| host.join_time(model));
    let chosen = by_time.get(..model.size)?;
    let needed = chosen.iter().filter(|host| host.needs_load(model)).count();
    if needed > loads {
        return None;
    }
    let time = chosen.iter().map(|host| host.join_time(model)).max().unwrap_or_default();
    Some(Candidate {
        model: model.name.clone(),
        fabric: fabric.clone(),
        hosts: chosen.iter().map(|host| host.host.clone()).collect(),
        time,
    })
}
