//! The work of the leader: planning of groups, orders, and the schedule of other tasks.

mod entries;
mod hosts;
mod quarantine;

use self::quarantine::Quarantine;
use crate::{
    distribution::Distribution,
    driver::Driver,
    events::{Event, Reply, SessionId},
    ledger::Command,
    rates::{HostLimits, RateShares},
    shares::SlotShares,
};
use async_channel::Sender;
use entries::send_or_close;
use fleet::{ControlMessage, EntryStatus, GroupName, Manifest, PackedManifest, RoutingView};
use groups::{HostHistory, OrderOutcome, Phase, Planner, PlannerInput, Registry};
use log::info;
use serde_json::json;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Minimum time between two planning passes.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two planning passes, as a multiple of the duration of the last one.
/// It leaves most of the processor time to reports and the log, whatever the number of hosts.
const PLAN_DURATION_FACTOR: u32 = 5;
/// Maximum time between two planning passes.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval of keep-alive messages to the entries.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How often slots are divided among the entries: as often as the entries report.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);
/// How often the uses of hosts are added to the metrics.
const HOST_USE_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which an entry is removed from the directory: a few report intervals.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Report intervals that the first leader waits before it plans, so that every host has
/// reported.
const LEARN_INTERVALS: f64 = 2.3;
/// Total demand, in groups that it would fill, below which it is too low to plan by.
const MIN_DEMAND: f64 = 1.0;
/// Minimum time between two views that differ only in remaining cold times.
const COLD_TIME_INTERVAL: Duration = Duration::from_millis(1000);

/// State kept only while this process leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) since: Instant,
    registry: Registry,
    planner: Planner,
    /// The last logged phase of each group.
    logged_phases: BTreeMap<GroupName, Phase>,
    entries: BTreeMap<SessionId, (EntryStatus, Instant)>,
    shares: SlotShares,
    rate_shares: RateShares,
    host_limits: HostLimits,
    quarantine: Quarantine,
    /// When slots were last divided among the entries.
    shared_at: Instant,
    /// When the uses of hosts were last recorded.
    host_uses_at: Instant,
    manifest: Option<Manifest>,
    /// The manifest as it is sent to entries.
    packed_manifest: Option<PackedManifest>,
    distribution: Distribution,
    view: Option<RoutingView>,
    view_at: Instant,
    keepalive_at: Instant,
    /// When the last planning pass began.
    planned_at: Instant,
    /// The earliest time of the next planning pass.
    next_plan_at: Instant,
    /// Whether the input of the planner has changed since its last pass.
    changed: bool,
    /// Whether any entry has forwarded a request.
    has_traffic: bool,
    /// Whether groups of an earlier leader exist.
    resumes: bool,
    /// Whether an earlier leader has formed groups.
    has_predecessors: bool,
    /// Calls to be answered once the resulting view has been sent.
    replies_after_view: Vec<Sender<Reply>>,
    /// The manifests that this leader has proposed and that aren't applied yet, by number, with
    /// the repeated calls for each.
    pub(crate) proposed_manifests: BTreeMap<u64, Vec<Sender<Reply>>>,
    /// Calls to be answered once the entries hold the manifest.
    replies_after_manifest: Vec<Sender<Reply>>,
}

impl LeaderState {
    /// Whether all entries that may act on what an earlier leader told them have reported, or count
    /// as lost.
    fn knows_entries(&self, now: Instant) -> bool {
        now >= self.since + ENTRY_TIMEOUT
    }

    /// Whether it is certain that callers have not sent any request yet.
    fn has_no_callers(&self, now: Instant) -> bool {
        let all_reported = self.knows_entries(now) && !self.entries.is_empty();
        !self.has_traffic && (all_reported || !self.has_predecessors)
    }

    /// Returns this state for diagnosis.
    pub(crate) fn dump(&self, now: Instant) -> serde_json::Value {
        let groups: Vec<_> = self
            .planner
            .phases()
            .map(|(name, model, phase)| {
                json!({ "group": name, "model": model, "phase": format!("{phase:?}") })
            })
            .collect();
        let hosts: Vec<_> = self
            .registry
            .hosts()
            .values()
            .map(|seen| {
                json!({
                    "report": seen.report,
                    "gone": seen.replaced,
                    "age_ms": now.saturating_duration_since(seen.last_report).as_millis() as u64,
                })
            })
            .collect();
        json!({ "groups": groups, "hosts": hosts, "entries": self.entries.len() })
    }
}

impl Driver {
    pub(crate) fn become_leader(&mut self, now: Instant) {
        info!("event=lead term={} manifest={}", self.log.node.term(), self.ledger.number());
        self.counters.elections_won.inc();
        self.counters.leads.set(1);
        self.leader_state = Some(LeaderState {
            since: now,
            registry: Registry::new(HostHistory {
                departures: self.ledger.departures.clone(),
                leaving: self.ledger.leaving.clone(),
                has_formed_groups: self.ledger.has_formed_groups(),
            }),
            planner: Planner::resume(
                self.log.node.term(),
                self.config.limits.clone(),
                &self.ledger.groups,
                now,
            ),
            resumes: !self.ledger.groups.is_empty(),
            has_predecessors: self.ledger.has_formed_groups(),
            logged_phases: BTreeMap::new(),
            entries: BTreeMap::new(),
            shares: SlotShares::default(),
            rate_shares: RateShares::default(),
            host_limits: HostLimits::default(),
            quarantine: Quarantine::default(),
            shared_at: now,
            host_uses_at: now,
            manifest: None,
            packed_manifest: None,
            distribution: Distribution::default(),
            view: None,
            view_at: now,
            keepalive_at: now,
            planned_at: now,
            next_plan_at: now,
            changed: true,
            has_traffic: false,
            replies_after_view: Vec::new(),
            proposed_manifests: BTreeMap::new(),
            replies_after_manifest: Vec::new(),
        });
        self.publish_manifest();
        self.publish_quarantine();
        self.query_members();
    }

    pub(crate) fn step_down(&mut self) {
        if let Some(leader) = self.leader_state.take() {
            let led = self.clock.now().saturating_duration_since(leader.since);
            info!(
                "event=follow term={} led_ms={} role={:?}",
                self.log.node.term(),
                led.as_millis(),
                self.log.node.role()
            );
        }
        self.counters.leads.set(0);
        // Waiters get no reply: the next leader may still commit their records.
        drop(self.log.take_waiters());
        let message = self.not_leader();
        for tx in self.entries.values() {
            let _ = tx.try_send(message.clone());
        }
    }

    /// Tells the planner that a new group is committed, so that its members may be ordered
    /// to join.
    pub(crate) fn confirm_group(&mut self, name: &GroupName) {
        if let Some(leader) = &mut self.leader_state {
            leader.planner.committed(name);
        }
    }

    pub(crate) fn mark_changed(&mut self) {
        if let Some(leader) = &mut self.leader_state {
            leader.changed = true;
        }
    }

    /// Applies the current manifest to the planner, and has it sent to the entries that lack it.
    pub(crate) fn publish_manifest(&mut self) {
        let (Some(leader), Some(stored)) = (&mut self.leader_state, &self.ledger.manifest) else {
            return;
        };
        let manifest = stored.manifest.clone();
        let engine = manifest.services.iter().find(|service| service.engine.is_some());
        leader.planner.set_engine_service(engine.map(|service| service.name.clone()));
        let packed = PackedManifest::new(&manifest);
        info!("event=manifest number={} packed_bytes={}", packed.number(), packed.size());
        leader.distribution.set_manifest(packed.number(), packed.size());
        leader.packed_manifest = Some(packed);
        leader.manifest = Some(manifest);
        leader.changed = true;
    }

    /// Sends the manifest to entries that lack it, as many as may be sent it at the same time.
    fn distribute_manifest(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(packed) = &leader.packed_manifest else {
            return;
        };
        for session in leader.distribution.take_due(now) {
            if let Some(tx) = self.entries.get(&session) {
                self.counters.manifests_sent.inc();
                send_or_close(tx, ControlMessage::Manifest(packed.clone()));
            }
        }
    }

    /// Answers the caller of a manifest once the entries hold it.
    pub(crate) fn reply_after_manifest(&mut self, reply: Sender<Reply>) {
        match &mut self.leader_state {
            Some(leader) => leader.replies_after_manifest.push(reply),
            None => {
                let _ = reply.try_send(Reply::Done);
            }
        }
    }

    /// Takes up the repeated calls for manifests that are now in force or overtaken.
    pub(crate) fn resolve_proposed_manifests(&mut self) {
        let number = self.ledger.number();
        if let Some(leader) = &mut self.leader_state {
            let mut later = leader.proposed_manifests.split_off(&number);
            let applied = later.remove(&number).unwrap_or_default();
            let overtaken = std::mem::replace(&mut leader.proposed_manifests, later);
            leader.replies_after_manifest.extend(applied);
            leader.replies_after_manifest.extend(overtaken.into_values().flatten());
        }
    }

    /// Answers the caller of an applied change once the resulting view has been sent.
    pub(crate) fn reply_after_view(&mut self, reply: Sender<Reply>) {
        match &mut self.leader_state {
            Some(leader) => {
                leader.replies_after_view.push(reply);
                leader.changed = true;
            }
            None => {
                let _ = reply.try_send(Reply::Done);
            }
        }
    }

    /// Runs the tasks that are due, if this leader holds the lease.
    pub(crate) fn run_leader(&mut self, now: Instant) {
        if !self.log.node.holds_lease(now) {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let learn_time = match leader.resumes {
            true => self.config.limits.discovery_period,
            // No group is serving yet, and the first plan needs reports from all hosts.
            false => self.config.report_every.mul_f64(LEARN_INTERVALS),
        };
        leader.expire_entries(now);
        let learned = now >= leader.since + learn_time;
        let due = leader.changed || now >= leader.planned_at + MAX_PLAN_INTERVAL;
        if due && now >= leader.next_plan_at && (learned || leader.resumes) {
            leader.planned_at = now;
            leader.changed = false;
            self.plan(now);
            self.query_unconfirmed(now);
            self.publish(learned, now);
            self.schedule_next_plan(now);
        }
        self.record_host_uses(now);
        self.run_quarantine(now);
        self.distribute_manifest(now);
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        // A change that came since the last pass of the planner is not in the view yet.
        if leader.manifest.is_none() || (learned && !leader.changed) {
            let mut replies = std::mem::take(&mut leader.replies_after_view);
            if leader.distribution.is_complete(now) {
                replies.append(&mut leader.replies_after_manifest);
            }
            for reply in replies {
                let _ = reply.try_send(Reply::Done);
            }
        }
        if leader.knows_entries(now) && now >= leader.shared_at + SHARE_INTERVAL {
            leader.shared_at = now;
            let request_rates = leader.request_rates();
            let slots = leader.shares.divide(&request_rates).into_iter();
            let slots = slots.map(|(session, share)| (session, ControlMessage::Share(share)));
            let rates = leader.rate_shares.divide(&request_rates, now).into_iter();
            let rates = rates.map(|(session, share)| (session, ControlMessage::RateShare(share)));
            for (session, message) in slots.chain(rates) {
                if let Some(tx) = self.entries.get(&session) {
                    send_or_close(tx, message);
                }
            }
        }
        if now >= leader.keepalive_at + KEEPALIVE_INTERVAL {
            leader.keepalive_at = now;
            let control_addresses = self.control_addresses();
            for tx in self.entries.values() {
                send_or_close(
                    tx,
                    ControlMessage::Keepalive { control_addresses: control_addresses.clone() },
                );
            }
        }
    }

    fn schedule_next_plan(&mut self, began: Instant) {
        let elapsed = self.clock.now().saturating_duration_since(began);
        self.counters.plan_seconds.observe(elapsed.as_secs_f64());
        if let Some(leader) = &mut self.leader_state {
            leader.next_plan_at = began + MIN_PLAN_INTERVAL.max(elapsed * PLAN_DURATION_FACTOR);
        }
    }

    fn plan(&mut self, now: Instant) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.registry.forget(&self.config.limits, now);
        let hosts = leader.registry.hosts();
        leader.host_limits.retain(|host| hosts.contains_key(host), now);
        let (Some(manifest), Some(name)) = (&leader.manifest, leader.planner.engine_service())
        else {
            return;
        };
        let Some(engine) = manifest.service(name).and_then(|service| service.engine.as_ref())
        else {
            return;
        };
        let statuses = leader.entries.values();
        let mut demand = BTreeMap::new();
        for (model, load) in statuses.clone().flat_map(|(status, _)| &status.demand) {
            *demand.entry(model.clone()).or_insert(0.0) += load;
        }
        if demand.values().sum::<f64>() < MIN_DEMAND {
            demand.clear();
        }
        let progressing =
            statuses.clone().flat_map(|(status, _)| status.progressing.iter().cloned()).collect();
        let stalled = statuses.flat_map(|(status, _)| status.stalled.iter().cloned()).collect();
        let input = PlannerInput {
            registry: &leader.registry,
            engine,
            domains_out: &self.ledger.domains_out,
            demand: &demand,
            progressing: &progressing,
            stalled: &stalled,
            loads_unlimited: leader.has_no_callers(now),
            now,
        };
        let step = leader.planner.step(&input);
        log_phases(&mut leader.logged_phases, &leader.planner);
        for change in step.changes {
            self.propose(&Command::Group(change), None);
        }
        for order in step.orders {
            info!("event=order host={} order={:?}", order.host, order.kind);
            self.counters.orders.inc();
            let outcome = self.orders.send(&order);
            let handle = self.handle.clone();
            self.pool
                .spawn(async move {
                    let result = outcome.await;
                    handle.send(Event::OrderDone(OrderOutcome { order, result }));
                })
                .detach();
        }
    }
}

/// Logs the groups whose phase differs from `logged`, and updates `logged`.
fn log_phases(logged: &mut BTreeMap<GroupName, Phase>, planner: &Planner) {
    let mut current = BTreeMap::new();
    for (name, model, phase) in planner.phases() {
        if logged.get(name) != Some(&phase) {
            info!("event=group group={name} model={model} phase=\"{phase:?}\"");
        }
        current.insert(name.clone(), phase);
    }
    for name in logged.keys().filter(|name| !current.contains_key(*name)) {
        info!("event=group group={name} phase=Ended");
    }
    *logged = current;
}
