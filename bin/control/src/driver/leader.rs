//! The work of the leader: observations, plans, views, leases, claims and orders.

use super::{
    Driver,
    event::{OperatorCall, OperatorReply, Waiter},
    publisher::{Publisher, Subscriber},
};
use crate::entries::SessionId;
use async_channel::Sender;
use base::limits::{LEARN_MIN, LEARN_TIME, PLAN_AT_REST, PLAN_EVERY};
use log::info;
use model::{ids::EntryId, view::View};
use peer::{ControlToEntry, EntryHello, EntryToControl};
use plan::{Observations, OrderTracker, Planner, PlannerInput, Policy, build_view};
use replog::{Index, Role};
use state::{Command, Rejection};
use std::time::{Duration, Instant, SystemTime};

/// Shortest time between two publications.
const PUBLISH_PAUSE: Duration = Duration::from_millis(20);

/// What exists only while this process leads.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) since: Instant,
    pub(super) observations: Observations,
    pub(super) desk: OrderTracker,
    pub(super) publisher: Publisher,
    planner: Planner,
    /// The first record of this leader.
    own_from: Index,
    /// The last record that the planner proposed.
    planned_to: Index,
    plan_at: Instant,
    publish_at: Instant,
    pub(super) changed: bool,
    /// Whether something changed since the last planning pass.
    plan_wanted: bool,
    learned: bool,
}

impl Leading {
    fn new(term: u64, own_from: Index, policy: Policy, since: Instant) -> Leading {
        Leading {
            since,
            observations: Observations::default(),
            desk: OrderTracker::default(),
            publisher: Publisher::new(term),
            planner: Planner::new(policy),
            own_from,
            planned_to: 0,
            plan_at: since,
            publish_at: since,
            changed: true,
            plan_wanted: true,
            learned: false,
        }
    }

    /// Whether enough has been heard to act on the absence of a host.
    pub(super) fn has_learned(&self) -> bool {
        self.learned
    }
}

impl Driver {
    /// Starts or ends the leader's work when the part of the node changes.
    pub(super) fn follow_role(&mut self, now: Instant) {
        let leads = self.log.node.role() == Role::Leader;
        match (leads, &self.leading) {
            (true, None) => {
                info!("event=lead term={} name={}", self.log.node.term(), self.name);
                self.metrics.elections_won.inc();
                self.metrics.leads.set(1);
                let own_from = self.log.node.last_index();
                self.leading = Some(Leading::new(self.log.node.term(), own_from, self.policy, now));
            }
            (false, Some(_)) => {
                info!("event=follow term={} name={}", self.log.node.term(), self.name);
                self.end_leading();
            }
            (true, Some(leading)) if self.log.node.elected_at() > Some(leading.since) => {
                // It lost and won between two turns: what it learned may be out of date.
                self.end_leading();
                self.follow_role(now);
            }
            _ => {}
        }
    }

    fn end_leading(&mut self) {
        self.leading = None;
        self.metrics.leads.set(0);
        let leader = self.leader_address();
        for subscriber in self.subscribers.values_mut() {
            subscriber.sent = None;
            let _ = subscriber.tx.try_send(ControlToEntry::NotLeader { leader });
        }
        for waiter in self.log.take_waiters() {
            waiter.lost();
        }
    }

    fn leader_address(&self) -> Option<std::net::SocketAddr> {
        let leader = self.log.node.leader()?;
        self.peers.get(&leader).map(|peer| peer.hello.address)
    }

    /// Does what is due for a leader that holds the lease.
    pub(super) fn lead(&mut self, now: Instant) {
        if !self.log.node.holds_lease(now) {
            return;
        }
        let wall_s = self.wall_s();
        self.learn(now);
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.observations.expire(now);
        if !leading.learned {
            return;
        }
        self.publish(now, wall_s);
        self.promote_entries(now);
        self.plan(now, wall_s);
        self.send_orders(now);
    }

    fn learn(&mut self, now: Instant) {
        let Some(leading) = self.leading.as_mut().filter(|leading| !leading.learned) else {
            return;
        };
        let waited = now.saturating_duration_since(leading.since);
        let mut members = self.state.groups.values().flat_map(|group| &group.members);
        let all_seen = members.all(|member| leading.observations.fresh(&member.host).is_some());
        leading.learned = waited >= LEARN_TIME || (waited >= LEARN_MIN && all_seen);
    }

    fn publish(&mut self, now: Instant, wall_s: u64) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        // Time alone changes only the standing of entries and domains that go.
        let timed = if leading.planner.awaits_time() { PLAN_EVERY } else { PLAN_AT_REST };
        let due = leading.changed || now >= leading.publish_at + timed;
        if !due || now < leading.publish_at + PUBLISH_PAUSE {
            return;
        }
        leading.publish_at = now;
        leading.plan_wanted |= leading.changed;
        leading.changed = false;
        if let Some(manifest) = &self.manifest {
            leading.observations.set_longest_request(manifest.longest_deadline());
        }
        let view = match &self.manifest {
            Some(manifest) => build_view(&self.state, manifest, &leading.observations, now, wall_s),
            None => View::default(),
        };
        let before = leading.publisher.view().groups.len();
        let serving = view.groups.len();
        if leading.publisher.publish(view, self.subscribers.values_mut()) {
            self.metrics.views_published.inc();
            self.metrics.groups_serving.set(serving as i64);
            if before != serving {
                info!("event=groups_serving before={before} now={serving}");
            }
        }
    }

    fn promote_entries(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let named = |entry: &EntryId| leading.publisher.view().entries.contains_key(entry);
        let published = leading.publisher.version();
        leading.changed |= leading.observations.promote(published, &named, now);
    }

    fn plan(&mut self, now: Instant, wall_s: u64) {
        let (Some(leading), Some(manifest)) = (&mut self.leading, &self.manifest) else {
            return;
        };
        // Commands under way would be decided twice.
        if now < leading.plan_at || self.state.applied < leading.planned_to {
            return;
        }
        let at_rest = !leading.plan_wanted && !leading.planner.awaits_time();
        if at_rest && now < leading.plan_at + PLAN_AT_REST {
            return;
        }
        leading.plan_at = now + PLAN_EVERY;
        leading.plan_wanted = false;
        let situation = PlannerInput {
            state: &self.state,
            manifest,
            observations: &leading.observations,
            now,
            wall_s,
        };
        let commands = leading.planner.plan(&situation, &leading.desk);
        for command in commands {
            log_command(&command);
            self.propose(&command, Waiter::Nobody);
        }
        let last = self.log.node.last_index();
        if let Some(leading) = &mut self.leading {
            leading.planned_to = last;
        }
    }

    fn send_orders(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let due = leading.desk.due(&self.state, &leading.observations, leading.own_from, now);
        for order in due {
            self.orders.send(order);
        }
    }

    pub(super) fn open_entry(
        &mut self,
        session: SessionId,
        hello: EntryHello,
        tx: Sender<ControlToEntry>,
        now: Instant,
    ) {
        let mut subscriber =
            Subscriber { entry: hello.entry, address: hello.address, tx, sent: None };
        if !self.log.node.holds_lease(now) {
            let leader = self.leader_address();
            let _ = subscriber.tx.try_send(ControlToEntry::NotLeader { leader });
        } else if let Some(leading) = &self.leading
            && leading.publisher.has_published()
        {
            leading.publisher.send_snapshot(&mut subscriber);
        }
        self.subscribers.insert(session, subscriber);
    }

    pub(super) fn take_entry(&mut self, session: SessionId, message: EntryToControl, now: Instant) {
        let Some(subscriber) = self.subscribers.get_mut(&session) else {
            return;
        };
        let tx = subscriber.tx.clone();
        let entry = subscriber.entry.clone();
        let (Some(leading), true) = (&mut self.leading, self.log.node.holds_lease(now)) else {
            let leader = self.leader_address();
            let _ = tx.try_send(ControlToEntry::NotLeader { leader });
            return;
        };
        let now_s = wall_seconds(self.clock.wall());
        match message {
            EntryToControl::Hello(_) => {}
            EntryToControl::Report { number, report } => {
                let known = leading.observations.entries().contains_key(&entry);
                leading.changed |=
                    !report.announcements.is_empty() || !report.lost.is_empty() || !known;
                let full_wanted = !known && !report.full;
                let address = subscriber.address;
                leading.observations.report(&entry, address, report, now);
                let _ = tx.try_send(ControlToEntry::Lease { number, full_wanted });
                self.metrics.leases_granted.inc();
            }
            EntryToControl::Claim { token, key, request } => {
                let command = Command::Claim { key, entry, token, request, now_s };
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

    pub(super) fn take_call(
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
