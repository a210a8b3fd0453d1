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
    pub(crate) domain: DomainId,
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
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) model: ModelId,
    pub(crate) fabric: FabricId,
    pub(crate) domain: DomainId,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) time: Duration,
}

/// Where groups are.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    of_model: BTreeMap<ModelId, usize>,
    in_fabric: BTreeMap<FabricId, BTreeMap<ModelId, usize>>,
    in_domain: BTreeMap<DomainId, BTreeMap<ModelId, usize>>,
}

impl Spread {
    /// Counts a group, at its place if that is known.
    pub(crate) fn add(&mut self, model: &ModelId, place: Option<(&FabricId, &DomainId)>) {
        *self.of_model.entry(model.clone()).or_default() += 1;
        if let Some((fabric, domain)) = place {
            let fabric = self.in_fabric.entry(fabric.clone()).or_default();
            *fabric.entry(model.clone()).or_default() += 1;
            let domain = self.in_domain.entry(domain.clone()).or_default();
            *domain.entry(model.clone()).or_default() += 1;
        }
    }

    /// Groups of a model.
    pub(crate) fn of_model(&self, model: &str) -> usize {
        self.of_model.get(model).copied().unwrap_or(0)
    }

    /// Groups of a model in a fabric domain.
    pub(crate) fn in_fabric(&self, fabric: &str, model: &str) -> usize {
        self.in_fabric.get(fabric).and_then(|models| models.get(model)).copied().unwrap_or(0)
    }

    /// How well a further group of the model suits a fabric domain, between 0 and 1. Hosts
    /// that survive their groups complete others of the same model at once, so that each
    /// fabric domain keeps to one model, and a model is spread over failure domains.
    fn suits(&self, model: &str, fabric: &str, domain: &str) -> f64 {
        let groups: usize = self.in_fabric.get(fabric).map_or(0, |models| models.values().sum());
        let own = self.in_fabric(fabric, model);
        if own == groups && own > 0 {
            return 1.0;
        }
        let near = self.in_domain.get(domain).and_then(|models| models.get(model));
        let suits = if groups == 0 { FRESH } else { SHARED };
        suits / (1.0 + CROWDED * near.copied().unwrap_or(0) as f64)
    }
}

/// What a fabric domain without groups is worth against one that has groups of the model.
const FRESH: f64 = 0.5;
/// The same for one that has groups of other models.
const SHARED: f64 = 0.05;
/// How much less each group of the model in the same failure domain makes it worth.
const CROWDED: f64 = 0.1;

/// The groups that free hosts could form next, at most one of each model in each fabric
/// domain.
///
/// Choosing looks at each of them once, and taking one looks again at its fabric domain
/// only: a first start forms some hundred groups in one pass.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    by_fabric: BTreeMap<FabricId, Vec<Candidate>>,
}

impl Candidates {
    /// Looks again at the free hosts of a fabric domain. A group may need up to `loads` loads.
    pub(crate) fn look(
        &mut self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        models: &[EngineModel],
        loads: usize,
    ) {
        let found: Vec<Candidate> =
            models.iter().filter_map(|model| candidate_in(model, fabric, hosts, loads)).collect();
        if found.is_empty() {
            self.by_fabric.remove(fabric);
        } else {
            self.by_fabric.insert(fabric.clone(), found);
        }
    }

    /// The best next group. It is worth more the fewer groups its model has for its part of
    /// the work, the better the place suits, and the sooner it serves.
    pub(crate) fn best(&self, input: &PlannerInput<'_>, spread: &Spread) -> Option<&Candidate> {
        let needs: BTreeMap<&ModelId, f64> = input
            .engine
            .models
            .iter()
            .map(|model| (&model.name, model_need(model, input.demand, spread)))
            .collect();
        let rank = |candidate: &Candidate| {
            let suits = spread.suits(&candidate.model, &candidate.fabric, &candidate.domain);
            let wait = candidate.time.as_secs_f64() / PATIENCE.as_secs_f64();
            let need = needs.get(&candidate.model).copied().unwrap_or(0.0);
            // A model that nobody serves goes first.
            (spread.of_model(&candidate.model) == 0, need * suits / (1.0 + wait))
        };
        let mut best: Option<((bool, f64), &Candidate)> = None;
        for candidate in self.by_fabric.values().flatten() {
            let rank = rank(candidate);
            if best.as_ref().is_none_or(|(other, _)| rank > *other) {
                best = Some((rank, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }
}

/// The work that asks for a model over the groups that it has. Until the work has been
/// measured, the manifest's shares stand for it.
pub(crate) fn model_need(
    model: &EngineModel,
    demand: &BTreeMap<ModelId, f64>,
    spread: &Spread,
) -> f64 {
    let count = spread.of_model(&model.name) as f64;
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
        domain: chosen[0].domain.clone(),
        hosts: chosen.iter().map(|host| host.host.clone()).collect(),
        time,
    })
}
