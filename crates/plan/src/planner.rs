//! The planner: computes commands from the replicated state and the observations.

use crate::{
    formation,
    member::{MemberCondition, member_condition},
    observations::Observations,
    orders::OrderTracker,
    placement::{FreeHosts, Policy, placement_of},
    view::{group_serves, is_out},
};
use base::limits::{DRAIN_TIMEOUT, VIEW_DRAIN};
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

/// Seconds after the stop time of a failure domain during which passes keep the short
/// interval.
const WALL_SLACK_S: u64 = 3;

/// The input of one pass of the planner.
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
        let condition =
            |member| member_condition(self.state, self.observations, id, group, member, self.now);
        group.members.iter().map(condition).collect()
    }
}

/// Plans groups. Its own state consists only of times, so a new leader can start without it.
#[derive(Debug)]
pub struct Planner {
    policy: Policy,
    leaving_since: BTreeMap<HostId, Instant>,
    awaits_time: bool,
}

impl Planner {
    /// Creates a planner with a policy for the selection of hosts.
    pub fn new(policy: Policy) -> Planner {
        Planner { policy, leaving_since: BTreeMap::new(), awaits_time: true }
    }

    /// The commands that are due. They must all be applied, or be known to fail, before
    /// the next call.
    ///
    /// While [`Planner::awaits_time`] holds, the next call is due after a short while even
    /// if nothing is reported meanwhile.
    pub fn plan(&mut self, input: &PlannerInput<'_>, orders: &OrderTracker) -> Vec<Command> {
        self.update_leaving_since(input);
        let mut commands = Vec::new();
        self.settle_orders(input, orders, &mut commands);
        self.free_leaving(input, &mut commands);
        let mut free = FreeHosts::collect(input.state, input.manifest, input.observations);
        let ended = self.reconcile_groups(input, &mut free, &mut commands);
        formation::form_groups(input, self.policy, &ended, &mut free, &mut commands);
        self.awaits_time = !commands.is_empty() || awaits_time(input);
        commands
    }

    /// Whether something is in progress that the passage of time alone may change: an order,
    /// a host that is leaving, a member that has just fallen silent, or a failure domain that
    /// is being taken out.
    pub fn awaits_time(&self) -> bool {
        self.awaits_time
    }

    fn update_leaving_since(&mut self, input: &PlannerInput<'_>) {
        let leaving = &input.state.leaving;
        self.leaving_since.retain(|host, _| leaving.contains(host));
        for host in leaving {
            self.leaving_since.entry(host.clone()).or_insert(input.now);
        }
    }

    fn settle_orders(
        &self,
        input: &PlannerInput<'_>,
        orders: &OrderTracker,
        commands: &mut Vec<Command>,
    ) {
        for (host, record, order) in input.state.outstanding_orders() {
            if order_is_settled(input, orders, host, record) {
                commands.push(Command::SettleOrder { host: host.clone(), fence: order.fence });
            }
        }
    }

    /// Unloads hosts that have left a group, and frees those that are idle. Both have to wait
    /// until every view that names the group has expired.
    fn free_leaving(&self, input: &PlannerInput<'_>, commands: &mut Vec<Command>) {
        for (host, since) in &self.leaving_since {
            let waited = input.now.saturating_duration_since(*since);
            let Some(record) = input.state.hosts.get(host) else {
                continue;
            };
            let Some(announcement) = input.observations.fresh(host) else {
                continue;
            };
            if waited < VIEW_DRAIN || record.order.is_some() {
                continue;
            }
            if announcement.membership.is_none() {
                commands.push(Command::FreeHost { host: host.clone(), fence: record.fence });
            } else if announcement.running == 0 || waited > DRAIN_TIMEOUT {
                commands.push(Command::Unload {
                    host: host.clone(),
                    incarnation: announcement.incarnation,
                    checks_fence: announcement.checks_fence,
                });
            }
        }
    }

    /// Repairs or dissolves groups; returns those that are dissolved.
    fn reconcile_groups(
        &self,
        input: &PlannerInput<'_>,
        free: &mut FreeHosts<'_>,
        commands: &mut Vec<Command>,
    ) -> BTreeSet<GroupId> {
        let mut ended = BTreeSet::new();
        for (id, group) in &input.state.groups {
            let command = match input.manifest.model(&group.model) {
                Some(model)
                    if has_size_of(model, group)
                        && !is_out(input.state, &group.domain, input.wall_s) =>
                {
                    repair(input, *id, group, model, free)
                }
                _ => Some(Command::DissolveGroup { group: *id }),
            };
            if let Some(command) = command {
                if matches!(command, Command::DissolveGroup { .. }) {
                    ended.insert(*id);
                }
                commands.push(command);
            }
        }
        ended
    }
}

fn awaits_time(input: &PlannerInput<'_>) -> bool {
    let PlannerInput { state, observations, .. } = input;
    let is_fresh = |host: &HostId| observations.fresh(host).is_some();
    let hosts = state.hosts_with_orders.iter().chain(&state.leaving).any(is_fresh);
    // The wall clocks of two control processes may differ a little.
    let is_stopping = |out: &DomainOut| out.stop_at_s + WALL_SLACK_S >= input.wall_s;
    let domains = state.domains_out.values().any(is_stopping);
    hosts || domains || observations.lost_recently(input.now)
}

fn has_size_of(model: &Model, group: &Group) -> bool {
    group.members.len() == model.hosts_per_replica as usize
}

/// An order is settled when its outcome is announced, when the backend server that it was for
/// has been replaced by a new incarnation, or when the server still shows no outcome after
/// the time limit of the order.
fn order_is_settled(
    input: &PlannerInput<'_>,
    orders: &OrderTracker,
    host: &HostId,
    record: &HostRecord,
) -> bool {
    let (Some(order), Some(announcement)) = (&record.order, input.observations.fresh(host)) else {
        return false;
    };
    if announcement.incarnation != order.incarnation {
        return true;
    }
    let is_overdue = orders.is_overdue(host, record, input.now);
    match (&order.action, &announcement.membership) {
        (OrderAction::Load { .. }, Some(runs)) => runs.fence == order.fence || is_overdue,
        (OrderAction::Load { .. }, None) => is_overdue,
        (OrderAction::Unload, None) => true,
        (OrderAction::Unload, Some(_)) => is_overdue,
    }
}

/// Replaces the lost members of a group with free hosts of its fabric domain, or dissolves
/// the group if there are too few.
fn repair(
    input: &PlannerInput<'_>,
    id: GroupId,
    group: &Group,
    model: &Model,
    free: &mut FreeHosts<'_>,
) -> Option<Command> {
    let conditions = input.conditions(id, group);
    let needs_repair = conditions
        .iter()
        .any(|condition| matches!(condition, MemberCondition::Lost | MemberCondition::OutOfSync));
    if !needs_repair {
        return None;
    }
    let mut kept = Vec::new();
    for (member, condition) in group.members.iter().zip(&conditions) {
        if *condition == MemberCondition::Lost {
            continue;
        }
        // A silent member may come back: wait until it is present or counts as lost.
        let announcement = input.observations.fresh(&member.host)?;
        let record = input.state.hosts.get(&member.host)?;
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
