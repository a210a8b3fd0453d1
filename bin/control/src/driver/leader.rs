//! The work of the leader: observations, plans, views, leases, claims and orders.

use super::{
    Driver,
    event::{OperatorCall, OperatorReply, Waiter},
    publisher::{Publisher, Subscriber},
};
use crate::sessions::SessionId;
use async_channel::Sender;
use base::limits::{DISCOVERY_PERIOD, DISCOVERY_PERIOD_MIN, IDLE_PLAN_INTERVAL, PLAN_INTERVAL};
use log::info;
use model::{ids::EntryId, view::View};
use peer::{ControlToEntry, EntryHello, EntryToControl};
use plan::{Observations, OrderTracker, Planner, PlannerInput, Policy, build_view};
use replog::{Index, Role};
use state::{Command, Rejection};
use std::time::{Duration, Instant, SystemTime};

/// Minimum time between two published views.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);

/// State kept only while this process leads.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) since: Instant,
    pub(super) observations: Observations,
    pub(super) order_tracker: OrderTracker,
    pub(super) publisher: Publisher,
    planner: Planner,
    /// The index of this leader's first record.
    first_index: Index,
    /// The last log index at the end of the last planning pass.
    last_planned_index: Index,
    next_plan_at: Instant,
    published_at: Instant,
    /// Whether the input of the view has changed since it was last built.
    pub(super) changed: bool,
    /// Whether something has changed since the last planning pass.
    plan_needed: bool,
    learned: bool,
}

impl LeaderState {
    fn new(term: u64, first_index: Index, policy: Policy, since: Instant) -> LeaderState {
        LeaderState {
            since,
            observations: Observations::default(),
            order_tracker: OrderTracker::default(),
            publisher: Publisher::new(term),
            planner: Planner::new(policy),
            first_index,
            last_planned_index: 0,
            next_plan_at: since,
            published_at: since,
            changed: true,
            plan_needed: true,
            learned: false,
        }
    }

    /// Returns whether enough reports have arrived to treat an unreported host as absent.
    pub(super) fn has_learned(&self) -> bool {
        self.learned
    }
}

impl Driver {
    /// Starts or stops the leader's work when the role of the node changes.
    pub(super) fn update_role(&mut self, now: Instant) {
        let leads = self.log.node.role() == Role::Leader;
        match (leads, &self.leader_state) {
            (true, None) => {
                info!("event=lead term={} name={}", self.log.node.term(), self.name);
                self.metrics.elections_won.inc();
                self.metrics.leads.set(1);
                let first_index = self.log.node.last_index();
                self.leader_state =
                    Some(LeaderState::new(self.log.node.term(), first_index, self.policy, now));
            }
            (false, Some(_)) => {
                info!("event=follow term={} name={}", self.log.node.term(), self.name);
                self.step_down();
            }
            (true, Some(leader)) if self.log.node.elected_at() > Some(leader.since) => {
                // The leadership was lost and won again between two batches: the collected state
                // may be stale.
                self.step_down();
                self.update_role(now);
            }
            _ => {}
        }
    }

    fn step_down(&mut self) {
        self.leader_state = None;
        self.metrics.leads.set(0);
        let leader = self.leader_address();
        for subscriber in self.subscribers.values_mut() {
            subscriber.sent_version = None;
            let _ = subscriber.tx.try_send(ControlToEntry::NotLeader { leader });
        }
        for waiter in self.log.take_waiters() {
            waiter.abandon();
        }
    }

    fn leader_address(&self) -> Option<std::net::SocketAddr> {
        let leader = self.log.node.leader()?;
        self.peers.get(&leader).map(|peer| peer.hello.address)
    }

    /// Runs the tasks that are due, if this leader holds the lease.
    pub(super) fn run_leader(&mut self, now: Instant) {
        if !self.log.node.holds_lease(now) {
            return;
        }
        let wall_s = self.wall_s();
        self.update_learned(now);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.observations.expire(now);
        if !leader.learned {
            return;
        }
        self.publish(now, wall_s);
        self.promote_entries(now);
        self.plan(now, wall_s);
        self.send_orders(now);
    }

    fn update_learned(&mut self, now: Instant) {
        let Some(leader) = self.leader_state.as_mut().filter(|leader| !leader.learned) else {
            return;
        };
        let elapsed = now.saturating_duration_since(leader.since);
        let mut members = self.state.groups.values().flat_map(|group| &group.members);
        let all_reported = members.all(|member| leader.observations.fresh(&member.host).is_some());
        leader.learned =
            elapsed >= DISCOVERY_PERIOD || (elapsed >= DISCOVERY_PERIOD_MIN && all_reported);
    }

    fn publish(&mut self, now: Instant, wall_s: u64) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        // Without other changes, the view depends on time only through the state of entries and
        // of domains that are going out of service.
        let interval =
            if leader.planner.awaits_time() { PLAN_INTERVAL } else { IDLE_PLAN_INTERVAL };
        let due = leader.changed || now >= leader.published_at + interval;
        if !due || now < leader.published_at + MIN_PUBLISH_INTERVAL {
            return;
        }
        leader.published_at = now;
        leader.plan_needed |= leader.changed;
        leader.changed = false;
        if let Some(manifest) = &self.manifest {
            leader.observations.set_longest_request(manifest.longest_deadline());
        }
        let view = match &self.manifest {
            Some(manifest) => build_view(&self.state, manifest, &leader.observations, now, wall_s),
            None => View::default(),
        };
        let before = leader.publisher.view().groups.len();
        let serving = view.groups.len();
        if leader.publisher.publish(view, self.subscribers.values_mut()) {
            self.metrics.views_published.inc();
            self.metrics.groups_serving.set(serving as i64);
            if before != serving {
                info!("event=groups_serving before={before} now={serving}");
            }
        }
    }

    fn promote_entries(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let in_view = |entry: &EntryId| leader.publisher.view().entries.contains_key(entry);
        let published = leader.publisher.version();
        leader.changed |= leader.observations.promote(published, &in_view, now);
    }

    fn plan(&mut self, now: Instant, wall_s: u64) {
        let (Some(leader), Some(manifest)) = (&mut self.leader_state, &self.manifest) else {
            return;
        };
        // Commands proposed but not yet applied would be decided twice.
        if now < leader.next_plan_at || self.state.applied < leader.last_planned_index {
            return;
        }
        let is_idle = !leader.plan_needed && !leader.planner.awaits_time();
        if is_idle && now < leader.next_plan_at + IDLE_PLAN_INTERVAL {
            return;
        }
        leader.next_plan_at = now + PLAN_INTERVAL;
        leader.plan_needed = false;
        let situation = PlannerInput {
            state: &self.state,
            manifest,
            observations: &leader.observations,
            now,
            wall_s,
        };
        let commands = leader.planner.plan(&situation, &leader.order_tracker);
        for command in commands {
            log_command(&command);
            self.propose(&command, Waiter::None);
        }
        let last = self.log.node.last_index();
        if let Some(leader) = &mut self.leader_state {
            leader.last_planned_index = last;
        }
    }

    fn send_orders(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let due =
            leader.order_tracker.due(&self.state, &leader.observations, leader.first_index, now);
        for order in due {
            self.orders.send(order);
        }
    }

    pub(super) fn handle_entry_opened(
        &mut self,
        session: SessionId,
        hello: EntryHello,
        tx: Sender<ControlToEntry>,
        now: Instant,
    ) {
        let mut subscriber =
            Subscriber { entry: hello.entry, address: hello.address, tx, sent_version: None };
        if !self.log.node.holds_lease(now) {
            let leader = self.leader_address();
            let _ = subscriber.tx.try_send(ControlToEntry::NotLeader { leader });
        } else if let Some(leader) = &self.leader_state
            && leader.publisher.has_published()
        {
            leader.publisher.send_snapshot(&mut subscriber);
        }
        self.subscribers.insert(session, subscriber);
    }

    pub(super) fn handle_entry_message(
        &mut self,
        session: SessionId,
        message: EntryToControl,
        now: Instant,
    ) {
        let Some(subscriber) = self.subscribers.get_mut(&session) else {
            return;
        };
        let tx = subscriber.tx.clone();
        let entry = subscriber.entry.clone();
        let (Some(leader), true) = (&mut self.leader_state, self.log.node.holds_lease(now)) else {
            let leader = self.leader_address();
            let _ = tx.try_send(ControlToEntry::NotLeader { leader });
            return;
        };
        let now_s = wall_seconds(self.clock.wall());
        match message {
            EntryToControl::Hello(_) => {}
            EntryToControl::Report { number, report } => {
                let known = leader.observations.entries().contains_key(&entry);
                leader.changed |=
                    !report.announcements.is_empty() || !report.lost.is_empty() || !known;
                let full_report_requested = !known && !report.full;
                let address = subscriber.address;
                leader.observations.report(&entry, address, report, now);
                let _ = tx.try_send(ControlToEntry::Lease { number, full_report_requested });
                self.metrics.leases_granted.inc();
            }
            EntryToControl::Claim { token, key, request } => {
                let command = Command::Claim { key, entry, token, request_digest: request, now_s };
                self.propose(&command, Waiter::Claim { token, tx });
            }
            EntryToControl::CloseClaim { token, key, answer } => {
                let command = Command::CloseClaim { key, token, answer };
                self.propose(&command, Waiter::Claim { token, tx });
            }
            EntryToControl::ReleaseClaim { token, key } => {
                let command = Command::ReleaseClaim { key, token };
                self.propose(&command, Waiter::Claim { token, tx });
            }
        }
    }

    pub(super) fn handle_call(
        &mut self,
        call: OperatorCall,
        reply: Sender<OperatorReply>,
        now: Instant,
    ) {
        if !self.log.node.holds_lease(now) {
            let _ = reply.try_send(OperatorReply::NotLeader);
            return;
        }
        let known = |domain: &str| {
            self.manifest.as_ref().is_some_and(|manifest| {
                manifest.failure_domains.iter().any(|name| **name == *domain)
            })
        };
        let command = match call {
            OperatorCall::Apply(checked) => Command::ApplyManifest {
                number: checked.manifest.number,
                digest: checked.digest,
                body: checked.body,
            },
            OperatorCall::DomainOut { domain, .. } | OperatorCall::DomainBack { domain }
                if !known(&domain) =>
            {
                let _ = reply.try_send(OperatorReply::Rejected(Rejection::UnknownDomain));
                return;
            }
            OperatorCall::DomainOut { domain, notice } => {
                let stop_at_s = self.wall_s() + notice.as_secs();
                info!("event=domain_out domain={domain} notice_s={}", notice.as_secs());
                Command::DomainOut { domain, stop_at_s }
            }
            OperatorCall::DomainBack { domain } => {
                info!("event=domain_back domain={domain}");
                Command::DomainBack { domain }
            }
            OperatorCall::Status => {
                let status = Box::new(self.status(now));
                let _ = reply.try_send(OperatorReply::Status(status));
                return;
            }
        };
        self.propose(&command, Waiter::Operator(reply));
    }

    pub(super) fn wall_s(&self) -> u64 {
        wall_seconds(self.clock.wall())
    }
}

fn wall_seconds(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}

fn log_command(command: &Command) {
    match command {
        Command::FormGroup { model, fabric, placements, .. } => {
            info!("event=form_group model={model} fabric={fabric} hosts={}", placements.len());
        }
        Command::Regroup { group, fence, .. } => {
            info!("event=repair_group group={group} fence={fence}");
        }
        Command::DissolveGroup { group } => info!("event=dissolve_group group={group}"),
        _ => {}
    }
}
