//! The planner: from state and observations to commands.

use crate::{
    formation,
    member::{MemberCondition, member_condition},
    observations::Observations,
    orders::OrderTracker,
    placement::{FreeHosts, Policy, placement_of},
    view::{group_serves, is_out},
};
use base::limits::{DRAIN_LIMIT, VIEW_DRAIN};
use model::{
    ids::{GroupId, HostId},
    manifest::{Manifest, Model},
    order::OrderAction,
};
use state::{Command, DomainOut, Group, HostRecord, State};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

/// Seconds after the stop of a failure domain in which passes go on at the short interval.
const WALL_SLACK_S: u64 = 3;

/// What the planner looks at.
#[derive(Debug, Clone, Copy)]
pub struct PlannerInput<'a> {
    /// The replicated state.
    pub state: &'a State,
    /// The manifest in force.
    pub manifest: &'a Manifest,
    /// What entries report.
    pub observations: &'a Observations,
    /// The monotonic time.
    pub now: Instant,
    /// Seconds since the Unix epoch.
    pub wall_s: u64,
}

impl PlannerInput<'_> {
    pub(crate) fn serves(&self, id: GroupId, group: &Group) -> bool {
        group_serves(self.state, self.observations, id, group, self.now, self.wall_s)
    }

    pub(crate) fn conditions(&self, id: GroupId, group: &Group) -> Vec<MemberCondition> {
        group
            .members
            .iter()
            .map(|member| {
                member_condition(self.state, self.observations, id, group, member, self.now)
            })
            .collect()
    }
}

/// Decides about groups. It remembers only times, so that a new leader can start anew.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    leaving_since: BTreeMap<HostId, Instant>,
    awaits_time: bool,
}

impl Planner {
    /// A planner with a policy for the choice of hosts.
    pub fn new(policy: Policy) -> Planner {
        Planner { policy, leaving_since: BTreeMap::new(), awaits_time: true }
    }

    /// The commands that are due. They must all be applied, or be known to fail, before
    /// the next call.
    ///
    /// While [`Planner::awaits_time`] holds, the next call is due after a short while even
    /// if nothing is reported meanwhile.
    pub fn plan(&mut self, situation: &PlannerInput<'_>, desk: &OrderTracker) -> Vec<Command> {
        self.note_leaving(situation);
        let mut commands = Vec::new();
        self.settle_orders(situation, desk, &mut commands);
        self.free_leaving(situation, &mut commands);
        let mut free =
            FreeHosts::collect(situation.state, situation.manifest, situation.observations);
        let ended = self.tend_groups(situation, &mut free, &mut commands);
        formation::form_groups(situation, self.policy, &ended, &mut free, &mut commands);
        self.awaits_time = !commands.is_empty() || is_under_way(situation);
        commands
    }

    /// Whether something is under way that time alone may change: an order, a host that
    /// leaves, a member that has just fallen silent, or a failure domain that goes.
    pub fn awaits_time(&self) -> bool {
        self.awaits_time
    }

    fn note_leaving(&mut self, situation: &PlannerInput<'_>) {
        let leaving = &situation.state.leaving;
        self.leaving_since.retain(|host, _| leaving.contains(host));
        for host in leaving {
            self.leaving_since.entry(host.clone()).or_insert(situation.now);
        }
    }

    fn settle_orders(
        &self,
        situation: &PlannerInput<'_>,
        desk: &OrderTracker,
        commands: &mut Vec<Command>,
    ) {
        for (host, record, order) in situation.state.outstanding_orders() {
            if order_is_settled(situation, desk, host, record) {
                commands.push(Command::SettleOrder { host: host.clone(), fence: order.fence });
            }
        }
    }

    /// Unloads hosts that left a group, and frees those that are idle. Before that, every
    /// view that named the group must have ended.
    fn free_leaving(&self, situation: &PlannerInput<'_>, commands: &mut Vec<Command>) {
        for (host, since) in &self.leaving_since {
            let waited = situation.now.saturating_duration_since(*since);
            let Some(record) = situation.state.hosts.get(host) else {
                continue;
            };
            let Some(announcement) = situation.observations.fresh(host) else {
                continue;
            };
            if waited < VIEW_DRAIN || record.order.is_some() {
                continue;
            }
            if announcement.runs.is_none() {
                commands.push(Command::FreeHost { host: host.clone(), fence: record.fence });
            } else if announcement.running == 0 || waited > DRAIN_LIMIT {
                commands.push(Command::Unload {
                    host: host.clone(),
                    incarnation: announcement.incarnation,
                    checks_fence: announcement.checks_fence,
                });
            }
        }
    }

    /// Repairs or dissolves groups; returns those that are dissolved.
    fn tend_groups(
        &self,
        situation: &PlannerInput<'_>,
        free: &mut FreeHosts<'_>,
        commands: &mut Vec<Command>,
    ) -> BTreeSet<GroupId> {
        let mut ended = BTreeSet::new();
        for (id, group) in &situation.state.groups {
            let tended = match situation.manifest.model(&group.model) {
                Some(model)
                    if fits(model, group)
                        && !is_out(situation.state, &group.domain, situation.wall_s) =>
                {
                    repair(situation, *id, group, model, free)
                }
                _ => Some(Command::DissolveGroup { group: *id }),
            };
            if let Some(command) = tended {
                if matches!(command, Command::DissolveGroup { .. }) {
                    ended.insert(*id);
                }
                commands.push(command);
            }
        }
        ended
    }
}

fn is_under_way(situation: &PlannerInput<'_>) -> bool {
    let PlannerInput { state, observations: seen, .. } = situation;
    let is_fresh = |host: &HostId| seen.fresh(host).is_some();
    let hosts = state.ordered.iter().chain(&state.leaving).any(is_fresh);
    // The seconds of two control processes may differ a little.
    let stopping = |out: &DomainOut| out.stop_at_s + WALL_SLACK_S >= situation.wall_s;
    let domains = state.domains_out.values().any(stopping);
    hosts || domains || seen.lost_recently(situation.now)
}

fn fits(model: &Model, group: &Group) -> bool {
    group.members.len() == model.hosts_per_replica as usize
}

/// An order is settled when its outcome is seen, when the backend server that it was for
/// is gone, or when the server is still idle after the order's time limit.
fn order_is_settled(
    situation: &PlannerInput<'_>,
    desk: &OrderTracker,
    host: &HostId,
    record: &HostRecord,
) -> bool {
    let (Some(order), Some(announcement)) = (&record.order, situation.observations.fresh(host))
    else {
        return false;
    };
    if announcement.incarnation != order.incarnation {
        return true;
    }
    let overdue = desk.is_overdue(host, record, situation.now);
    match (&order.action, &announcement.runs) {
        (OrderAction::Load { .. }, Some(runs)) => runs.fence == order.fence || overdue,
        (OrderAction::Load { .. }, None) => overdue,
        (OrderAction::Unload, None) => true,
        (OrderAction::Unload, Some(_)) => overdue,
    }
}

/// Gives a group with lost members new ones from its fabric domain, or dissolves it.
fn repair(
    situation: &PlannerInput<'_>,
    id: GroupId,
    group: &Group,
    model: &Model,
    free: &mut FreeHosts<'_>,
) -> Option<Command> {
    let conditions = situation.conditions(id, group);
    let broken = conditions
        .iter()
        .any(|condition| matches!(condition, MemberCondition::Lost | MemberCondition::OutOfSync));
    if !broken {
        return None;
    }
    let mut kept = Vec::new();
    for (member, condition) in group.members.iter().zip(&conditions) {
        if *condition == MemberCondition::Lost {
            continue;
        }
        // A silent member may come back: wait until it is clear what it is.
        let announcement = situation.observations.fresh(&member.host)?;
        let record = situation.state.hosts.get(&member.host)?;
        if record.order.is_some() && !announcement.checks_fence {
            return None;
        }
        kept.push(placement_of(announcement));
    }
    let missing = group.members.len() - kept.len();
    let Some(spares) = free.take_spares(&group.domain, &group.fabric, model, missing) else {
        return Some(Command::DissolveGroup { group: id });
    };
    kept.extend(spares);
    Some(Command::Regroup {
        group: id,
        fence: group.fence,
        load_size: model.load_size,
        placements: kept,
    })
}
