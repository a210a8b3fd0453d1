//! Selects hosts for the next group.

use crate::PlannerInput;
use fleet::EngineModel;
use model::ids::{DomainId, FabricId, HostId, ModelId};
use std::{collections::BTreeMap, time::Duration};

/// Duration of a join for a host whose last group had the same model.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// A host that may join a group.
#[derive(Debug, Clone)]
pub(crate) struct FreeHost {
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) last_model: Option<ModelId>,
    pub(crate) staged: Vec<ModelId>,
}

impl FreeHost {
    /// How long the host takes to join a group of the model.
    pub(crate) fn join_time(&self, model: &EngineModel) -> Duration {
        if self.last_model.as_ref() == Some(&model.name) {
            REJOIN_TIME
        } else if self.needs_load(model) {
            model.load
        } else {
            model.warmup
        }
    }

    /// Whether the host holds no weights.
    pub(crate) fn is_blank(&self) -> bool {
        self.staged.is_empty() && self.last_model.is_none()
    }

    /// Whether a join would load weights from the store.
    pub(crate) fn needs_load(&self, model: &EngineModel) -> bool {
        self.last_model.as_ref() != Some(&model.name) && !self.staged.contains(&model.name)
    }
}

/// Hosts that could form a group, the head first.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) model: ModelId,
    pub(crate) fabric: FabricId,
    pub(crate) domain: DomainId,
    pub(crate) hosts: Vec<HostId>,
    pub(crate) join_time: Duration,
}

/// Number of groups by model and by location.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    of_model: BTreeMap<ModelId, usize>,
    in_fabric: BTreeMap<FabricId, BTreeMap<ModelId, usize>>,
    in_domain: BTreeMap<DomainId, BTreeMap<ModelId, usize>>,
}

impl Spread {
    /// Counts a group, at its location if that is known.
    pub(crate) fn add(&mut self, model: &ModelId, location: Option<(&FabricId, &DomainId)>) {
        *self.of_model.entry(model.clone()).or_default() += 1;
        if let Some((fabric, domain)) = location {
            let fabric = self.in_fabric.entry(fabric.clone()).or_default();
            *fabric.entry(model.clone()).or_default() += 1;
            let domain = self.in_domain.entry(domain.clone()).or_default();
            *domain.entry(model.clone()).or_default() += 1;
        }
    }

    /// Number of groups of a model.
    pub(crate) fn of_model(&self, model: &str) -> usize {
        self.of_model.get(model).copied().unwrap_or(0)
    }

    /// Number of groups of a model in a fabric domain.
    pub(crate) fn in_fabric(&self, fabric: &str, model: &str) -> usize {
        self.in_fabric.get(fabric).and_then(|models| models.get(model)).copied().unwrap_or(0)
    }

    /// Scores a location for a further group of the model, between 0 and 1. Hosts that
    /// outlive their group can complete another group of the same model at once, so each
    /// fabric domain should hold groups of one model only, and the groups of a model should
    /// be spread over failure domains.
    fn location_score(&self, model: &str, fabric: &str, domain: &str) -> f64 {
        let groups: usize = self.in_fabric.get(fabric).map_or(0, |models| models.values().sum());
        let own = self.in_fabric(fabric, model);
        if own == groups && own > 0 {
            return 1.0;
        }
        let in_domain = self.in_domain.get(domain).and_then(|models| models.get(model));
        let score = if groups == 0 { EMPTY_FABRIC_SCORE } else { SHARED_FABRIC_SCORE };
        score / (1.0 + DOMAIN_PENALTY * in_domain.copied().unwrap_or(0) as f64)
    }
}

/// Score of a fabric domain without groups; one that has groups of this model only scores 1.
const EMPTY_FABRIC_SCORE: f64 = 0.5;
/// Score of a fabric domain that has groups of other models.
const SHARED_FABRIC_SCORE: f64 = 0.05;
/// Penalty for each group of the model in the same failure domain.
const DOMAIN_PENALTY: f64 = 0.1;

/// The groups that free hosts could form next, at most one of each model in each fabric
/// domain.
///
/// A selection scans every candidate once, and only the fabric domain of the selected one is
/// recomputed afterwards: the first start of a system forms some hundred groups in one pass.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    by_fabric: BTreeMap<FabricId, Vec<Candidate>>,
}

impl Candidates {
    /// Recomputes the candidates of a fabric domain from its free hosts. Each group may need
    /// up to `max_loads` loads.
    pub(crate) fn update(
        &mut self,
        fabric: &FabricId,
        hosts: &[FreeHost],
        models: &[EngineModel],
        max_loads: usize,
    ) {
        let found: Vec<Candidate> = models
            .iter()
            .filter_map(|model| candidate_in(model, fabric, hosts, max_loads))
            .collect();
        if found.is_empty() {
            self.by_fabric.remove(fabric);
        } else {
            self.by_fabric.insert(fabric.clone(), found);
        }
    }

    /// The candidate with the highest score. The score rises with the demand per group of
    /// the model and with the score of the location, and falls with the time until the group
    /// serves.
    pub(crate) fn best(&self, input: &PlannerInput<'_>, spread: &Spread) -> Option<&Candidate> {
        let demands: BTreeMap<&ModelId, f64> = input
            .engine
            .models
            .iter()
            .map(|model| (&model.name, demand_per_group(model, input.demand, spread)))
            .collect();
        let score = |candidate: &Candidate| {
            let location =
                spread.location_score(&candidate.model, &candidate.fabric, &candidate.domain);
            let delay = candidate.join_time.as_secs_f64() / HALF_SCORE_DELAY.as_secs_f64();
            let demand = demands.get(&candidate.model).copied().unwrap_or(0.0);
            // Models without any group come first.
            (spread.of_model(&candidate.model) == 0, demand * location / (1.0 + delay))
        };
        let mut best: Option<((bool, f64), &Candidate)> = None;
        for candidate in self.by_fabric.values().flatten() {
            let score = score(candidate);
            if best.as_ref().is_none_or(|(highest, _)| score > *highest) {
                best = Some((score, candidate));
            }
        }
        best.map(|(_, candidate)| candidate)
    }
}

/// The demand for a model divided by the number of its groups, weighted by the probability
/// that a group is complete. The shares in the manifest stand in for the demand until it has
/// been measured.
pub(crate) fn demand_per_group(
    model: &EngineModel,
    demand: &BTreeMap<ModelId, f64>,
    spread: &Spread,
) -> f64 {
    let count = spread.of_model(&model.name) as f64;
    let demand = match demand.is_empty() {
        true => model.share,
        false => demand.get(&model.name).copied().unwrap_or(0.0),
    };
    let complete = HOST_AVAILABILITY.powi(model.hosts_per_group as i32);
    demand / ((count + 0.5) * complete)
}

/// Assumed fraction of the time for which a host is available, as on days with faults. The
/// more hosts a group has, the more often it lacks one.
const HOST_AVAILABILITY: f64 = 0.85;

/// A group that serves this much later has half the score.
const HALF_SCORE_DELAY: Duration = Duration::from_secs(4);

fn candidate_in(
    model: &EngineModel,
    fabric: &FabricId,
    hosts: &[FreeHost],
    max_loads: usize,
) -> Option<Candidate> {
    let mut by_time: Vec<&FreeHost> = hosts.iter().collect();
    by_time.sort_by_key(|host| host.join_time(model));
    let chosen = by_time.get(..model.hosts_per_group)?;
    let loads = chosen.iter().filter(|host| host.needs_load(model)).count();
    if loads > max_loads {
        return None;
    }
    let join_time = chosen.iter().map(|host| host.join_time(model)).max().unwrap_or_default();
    Some(Candidate {
        model: model.name.clone(),
        fabric: fabric.clone(),
        domain: chosen[0].domain.clone(),
        hosts: chosen.iter().map(|host| host.host.clone()).collect(),
        join_time,
    })
}
