//! Forms groups for models that have too few, and ends groups that are no longer wanted.

use crate::{
    member::MemberCondition,
    placement::{FreeHosts, Policy},
    planner::PlannerInput,
};
use model::{
    ids::{DomainId, GroupId},
    manifest::Model,
};
use state::{Command, Group, HostRole};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

/// The groups of one model.
struct ModelGroups<'a> {
    model: &'a Model,
    /// Groups in failure domains that stay.
    staying: Vec<(GroupId, &'a Group)>,
    /// Groups in failure domains that leave with notice.
    departing: Vec<(GroupId, &'a Group)>,
    /// Number of staying groups in each failure domain.
    spread: BTreeMap<DomainId, usize>,
}

impl ModelGroups<'_> {
    fn above_floor(&self) -> i64 {
        self.staying.len() as i64 - i64::from(self.model.floor)
    }

    fn missing(&self) -> usize {
        (self.model.replicas as usize).saturating_sub(self.staying.len())
    }
}

/// Forms the groups that the manifest asks for, within the limit of the weight store.
pub(crate) fn form_groups(
    input: &PlannerInput<'_>,
    policy: Policy,
    ended: &BTreeSet<GroupId>,
    free: &mut FreeHosts<'_>,
    commands: &mut Vec<Command>,
) {
    let mut by_model = groups_by_model(input, ended);
    // Models below their floor come first. Among the others, those with the largest groups
    // come first, since smaller groups still fit into the remaining hosts.
    by_model.sort_by_key(|groups| {
        let hosts = groups.model.hosts_per_replica;
        (groups.above_floor().min(0), Reverse(hosts), groups.above_floor())
    });
    let mut loads_left = available_loads(input);
    let mut short_of_floor = None;
    for groups in &mut by_model {
        for _ in 0..groups.missing() {
            if loads_left == 0 {
                break;
            }
            let Some(site) = free.choose_site(groups.model, &groups.spread, policy) else {
                if groups.above_floor() < 0 {
                    short_of_floor.get_or_insert(groups.model);
                }
                break;
            };
            *groups.spread.entry(site.domain.clone()).or_default() += 1;
            loads_left -= 1;
            commands.push(Command::FormGroup {
                model: groups.model.name.clone(),
                domain: site.domain,
                fabric: site.fabric,
                load_size: groups.model.load_size,
                placements: site.placements,
            });
        }
    }
    for groups in &by_model {
        end_departing(input, groups, commands);
        end_excess(input, groups, commands);
    }
    if let Some(model) = short_of_floor {
        free_hosts_for(model, input, &by_model, free, commands);
    }
}

fn groups_by_model<'a>(
    input: &PlannerInput<'a>,
    ended: &BTreeSet<GroupId>,
) -> Vec<ModelGroups<'a>> {
    let mut by_name: BTreeMap<&str, Vec<(GroupId, &Group)>> = BTreeMap::new();
    for (id, group) in &input.state.groups {
        if !ended.contains(id) {
            by_name.entry(&group.model).or_default().push((*id, group));
        }
    }
    let out = &input.state.domains_out;
    let models = input.manifest.models.iter();
    models
        .map(|model| {
            let groups = by_name.remove(&*model.name).unwrap_or_default();
            let (departing, staying): (Vec<_>, Vec<_>) =
                groups.into_iter().partition(|(_, group)| out.contains_key(&group.domain));
            let mut spread = BTreeMap::new();
            for (_, group) in &staying {
                *spread.entry(group.domain.clone()).or_default() += 1;
            }
            ModelGroups { model, staying, departing, spread }
        })
        .collect()
}

/// The number of groups that may start to load now.
fn available_loads(input: &PlannerInput<'_>) -> u32 {
    let is_loading = |id: &GroupId, group: &Group| {
        let conditions = input.conditions(*id, group);
        conditions.iter().any(|condition| {
            matches!(condition, MemberCondition::Loading | MemberCondition::Ordered)
        })
    };
    let loading = input.state.groups.iter().filter(|(id, group)| is_loading(id, group)).count();
    input.manifest.weight_store.concurrent_loads.saturating_sub(loading as u32)
}

/// Ends groups in departing failure domains as soon as others serve in their place.
fn end_departing(input: &PlannerInput<'_>, groups: &ModelGroups<'_>, commands: &mut Vec<Command>) {
    let serving = groups.staying.iter().filter(|(id, group)| input.serves(*id, group)).count();
    let wanted = groups.model.replicas as usize;
    let replaced = (serving + groups.departing.len()).saturating_sub(wanted);
    for (id, _) in groups.departing.iter().take(replaced) {
        commands.push(Command::DissolveGroup { group: *id });
    }
}

/// Ends groups beyond the wanted number of replicas: first those that don't serve, then those
/// in the failure domain with the most groups of the model.
fn end_excess(input: &PlannerInput<'_>, groups: &ModelGroups<'_>, commands: &mut Vec<Command>) {
    let excess = groups.staying.len().saturating_sub(groups.model.replicas as usize);
    let mut spread = groups.spread.clone();
    let mut remaining: Vec<&(GroupId, &Group)> = groups.staying.iter().collect();
    for _ in 0..excess {
        let in_domain = |group: &Group| spread.get(&group.domain).copied().unwrap_or(0);
        let choice = remaining
            .iter()
            .enumerate()
            .max_by_key(|(_, (id, group))| (!input.serves(*id, group), in_domain(group), *id))
            .map(|(position, _)| position);
        let Some(position) = choice else {
            return;
        };
        let (id, group) = remaining.remove(position);
        if let Some(count) = spread.get_mut(&group.domain) {
            *count -= 1;
        }
        commands.push(Command::DissolveGroup { group: *id });
    }
}

/// Ends one group of the model that is furthest above its floor, to free hosts for a model
/// below its own floor. Only one group is ended at a time: its hosts must be free before the
/// next one ends.
fn free_hosts_for(
    model: &Model,
    input: &PlannerInput<'_>,
    by_model: &[ModelGroups<'_>],
    free: &FreeHosts<'_>,
    commands: &mut Vec<Command>,
) {
    let is_fresh = |host: &str| input.observations.fresh(host).is_some();
    let in_progress = input
        .state
        .hosts
        .iter()
        .any(|(host, record)| record.role == HostRole::Leaving && is_fresh(host));
    if in_progress {
        return;
    }
    let victim = by_model
        .iter()
        .filter(|groups| groups.model.name != model.name && groups.above_floor() > 0)
        .filter(|groups| groups.model.accelerators_per_host >= model.accelerators_per_host)
        .flat_map(|groups| groups.staying.iter().map(|group| (groups.above_floor(), group)))
        .filter(|(_, (_, group))| {
            let freed =
                free.fitting_count(&group.domain, &group.fabric, model) + group.members.len();
            freed >= model.hosts_per_replica as usize
        })
        .max_by_key(|(above_floor, _)| *above_floor);
    if let Some((_, (id, _))) = victim {
        commands.push(Command::DissolveGroup { group: *id });
    }
}
