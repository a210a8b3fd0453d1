//! The work of the leader: groups, orders, and the times at which the rest is due.

mod entries;
mod hosts;

use crate::{
    driver::Driver,
    events::{Event, Reply, SessionId},
    ledger::Command,
    shares::PlaceShares,
};
use async_channel::Sender;
use entries::push;
use fleet::{ControlMessage, EntryStatus, GroupName, Manifest, RoutingView};
use groups::{OrderOutcome, Phase, Planner, PlannerInput, Registry};
use log::info;
use serde_json::json;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

/// Shortest time between two passes of the planner.
const PLAN_PAUSE: Duration = Duration::from_millis(20);
/// Shortest time between two passes, in times of the last one: planning leaves most of the
/// processor to reports and the log, however many hosts there are.
const PLAN_REST: u32 = 5;
/// Longest time between two passes of the planner.
const PLAN_EVERY: Duration = Duration::from_millis(200);
/// How often entries hear from a leader that has nothing new.
const ALIVE_EVERY: Duration = Duration::from_millis(500);
/// How often places are divided among the entries: as often as these report.
const SHARE_EVERY: Duration = Duration::from_millis(100);
/// How often the uses of hosts are counted.
const ACCOUNT_EVERY: Duration = Duration::from_secs(1);
/// Silence after which an entry leaves the directory: a few of its reports.
const ENTRY_SILENCE: Duration = Duration::from_millis(1500);
/// Report intervals for which the first leader waits, so that every host has reported.
const LEARN_INTERVALS: f64 = 2.3;
/// Work asked for, in groups that it would fill, below which the measure says too little.
const DEMAND_MIN: f64 = 1.0;
/// Shortest time between two views that differ only in remaining cold times.
const COLD_STEP: Duration = Duration::from_millis(1000);

/// What exists only while this process leads.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) since: Instant,
    registry: Registry,
    planner: Planner,
    /// The phases of groups that were logged last.
    phases: BTreeMap<GroupName, Phase>,
    entries: BTreeMap<SessionId, (EntryStatus, Instant)>,
    shares: PlaceShares,
    share_at: Instant,
    account_at: Instant,
    manifest: Option<Arc<Manifest>>,
    view: Option<RoutingView>,
    view_at: Instant,
    alive_at: Instant,
    plan_at: Instant,
    /// No pass before this time.
    plan_rest: Instant,
    changed: bool,
    traffic: bool,
    /// Whether groups of an earlier leader exist.
    resumes: bool,
    /// Calls that are answered once the view that follows from them is on its way.
    after_view: Vec<Sender<Reply>>,
}

impl Leading {
    /// Everything that helps to find a fault.
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
    pub(crate) fn start_leading(&mut self, now: Instant) {
        info!("event=lead term={} manifest={}", self.log.node.term(), self.ledger.number());
        self.counters.elections_won.inc();
        self.counters.leads.set(1);
        self.leading = Some(Leading {
            since: now,
            registry: Registry::default(),
            planner: Planner::resume(
                self.log.node.term(),
                self.config.limits.clone(),
                &self.ledger.groups,
                now,
            ),
            resumes: !self.ledger.groups.is_empty(),
            phases: BTreeMap::new(),
            entries: BTreeMap::new(),
            shares: PlaceShares::default(),
            share_at: now,
            account_at: now,
            manifest: None,
            view: None,
            view_at: now,
            alive_at: now,
            plan_at: now,
            plan_rest: now,
            changed: true,
            traffic: false,
            after_view: Vec::new(),
        });
        self.manifest_changed();
        self.ask_members();
    }

    pub(crate) fn end_leading(&mut self) {
        info!("event=follow term={}", self.log.node.term());
        self.leading = None;
        self.counters.leads.set(0);
        // Without an answer: their records may still be committed by the next leader.
        drop(self.log.take_waiters());
        let message = self.not_leader();
        for tx in self.entries.values() {
            let _ = tx.try_send(message.clone());
        }
    }

    /// Lets the members of a group be told to join.
    pub(crate) fn group_committed(&mut self, name: &GroupName) {
        if let Some(leading) = &mut self.leading {
            leading.planner.committed(name);
        }
    }

    pub(crate) fn mark_changed(&mut self) {
        if let Some(leading) = &mut self.leading {
            leading.changed = true;
        }
    }

    /// Passes a new manifest on to the entries.
    pub(crate) fn manifest_changed(&mut self) {
        let (Some(leading), Some(stored)) = (&mut self.leading, &self.ledger.manifest) else {
            return;
        };
        let manifest = Arc::new(stored.manifest.clone());
        let engine = manifest.services.iter().find(|service| service.engine.is_some());
        leading.planner.set_engine_service(engine.map(|service| service.name.clone()));
        leading.manifest = Some(manifest.clone());
        leading.changed = true;
        for tx in self.entries.values() {
            push(tx, ControlMessage::Manifest(manifest.clone()));
        }
    }

    /// Answers the caller of a change that was applied; entries have been told first.
    pub(crate) fn answer_applied(&mut self, reply: Sender<Reply>) {
        match &mut self.leading {
            Some(leading) => {
                leading.after_view.push(reply);
                leading.changed = true;
            }
            None => {
                let _ = reply.try_send(Reply::Done);
            }
        }
    }

    /// Does what is due for a leader that holds the lease.
    pub(crate) fn lead(&mut self, now: Instant) {
        if !self.log.node.holds_lease(now) {
            return;
        }
        let Some(leading) = &mut self.leading else {
            return;
        };
        let learn = match leading.resumes {
            true => self.config.limits.discovery_period,
            // Nothing serves yet, and a plan needs all hosts.
            false => self.config.report_every.mul_f64(LEARN_INTERVALS),
        };
        leading.expire_entries(now);
        let learned = now >= leading.since + learn;
        let due = leading.changed || now >= leading.plan_at + PLAN_EVERY;
        if due && now >= leading.plan_rest && (learned || leading.resumes) {
            leading.plan_at = now;
            leading.changed = false;
            self.plan(now);
            self.publish(learned, now);
            self.rest_after_plan(now);
        }
        self.account(now);
        let Some(leading) = &mut self.leading else {
            return;
        };
        if learned || leading.manifest.is_none() {
            for reply in leading.after_view.drain(..) {
                let _ = reply.try_send(Reply::Done);
            }
        }
        if now >= leading.share_at + SHARE_EVERY {
            leading.share_at = now;
            for (session, part) in leading.divide_places() {
                if let Some(tx) = self.entries.get(&session) {
                    push(tx, ControlMessage::Share(part));
                }
            }
        }
        if now >= leading.alive_at + ALIVE_EVERY {
            leading.alive_at = now;
            let known = self.known();
            for tx in self.entries.values() {
                push(tx, ControlMessage::Alive { known: known.clone() });
            }
        }
    }

    fn rest_after_plan(&mut self, began: Instant) {
        let took = self.clock.now().saturating_duration_since(began);
        self.counters.plan_seconds.observe(took.as_secs_f64());
        if let Some(leading) = &mut self.leading {
            leading.plan_rest = began + PLAN_PAUSE.max(took * PLAN_REST);
        }
    }

    fn plan(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.registry.forget(&self.config.limits, now);
        let (Some(manifest), Some(name)) = (&leading.manifest, leading.planner.engine_service())
        else {
            return;
        };
        let Some(engine) = manifest.service(name).and_then(|service| service.engine.as_ref())
        else {
            return;
        };
        let statuses = leading.entries.values();
        let mut demand = BTreeMap::new();
        for (model, work) in statuses.clone().flat_map(|(status, _)| &status.demand) {
            *demand.entry(model.clone()).or_insert(0.0) += work;
        }
        if demand.values().sum::<f64>() < DEMAND_MIN {
            demand.clear();
        }
        let alive = statuses.clone().flat_map(|(status, _)| status.alive.iter().cloned()).collect();
        let stalled = statuses.flat_map(|(status, _)| status.stalled.iter().cloned()).collect();
        let input = PlannerInput {
            registry: &leading.registry,
            engine,
            domains_out: &self.ledger.domains_out,
            demand: &demand,
            progressing: &alive,
            stalled: &stalled,
            loads_unlimited: !leading.traffic,
            now,
        };
        let step = leading.planner.step(&input);
        log_phases(&mut leading.phases, &leading.planner);
        for change in step.changes {
            self.propose(&Command::Group(change), None);
        }
        for order in step.orders {
            info!("event=order host={} order={:?}", order.host, order.kind);
            self.counters.orders.inc();
            let sent = self.orders.send(&order);
            let handle = self.handle.clone();
            self.pool
                .spawn(async move {
                    let result = sent.await;
                    handle.send(Event::OrderDone(OrderOutcome { order, result }));
                })
                .detach();
        }
    }
}

/// Logs which groups changed their phase since `logged`.
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
