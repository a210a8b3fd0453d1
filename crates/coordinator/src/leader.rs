//! The work of the leader: reports, groups, orders and routing views.

use crate::{
    driver::Driver,
    events::{Event, Reply, SessionId},
    ledger::Command,
    shares::PlaceShares,
};
use async_channel::Sender;
use fleet::{
    ControlMessage, EntryMessage, EntryStatus, GroupMember, GroupName, HostReport, HostState,
    Manifest, OrderKind, RoutingView,
};
use groups::{
    EntriesSeen, HostUse, OrderOutcome, OrderResult, Phase, Planner, PlannerInput, Registry,
    routing_view,
};
use log::info;
use model::ids::{HostId, ServiceId};
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
    engine_service: Option<ServiceId>,
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
                    "gone": seen.gone,
                    "age_ms": now.saturating_duration_since(seen.heard).as_millis() as u64,
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
            engine_service: None,
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

    /// Asks the members of all groups how they are: they report in their own time, and
    /// entries that know nothing wait for this leader.
    fn ask_members(&self) {
        let term = self.log.node.term();
        for member in self.ledger.groups.values().flat_map(|record| &record.members).cloned() {
            let asked = self.orders.ask(&member.host, member.address);
            let handle = self.handle.clone();
            self.pool
                .spawn(async move {
                    let state = asked.await;
                    handle.send(Event::MemberSeen { term, member, state });
                })
                .detach();
        }
    }

    pub(crate) fn take_state(
        &mut self,
        term: u64,
        member: &GroupMember,
        state: Option<HostState>,
        now: Instant,
    ) {
        let own_term = self.log.node.term();
        let Some(leading) = self.leading.as_mut().filter(|_| term == own_term) else {
            return;
        };
        let Some(state) = state else {
            info!("event=host_asked host={} answer=none", member.host);
            return;
        };
        let part = format!("{:?}", state.membership);
        if let Some(service) = &leading.engine_service
            && leading.registry.take_state(member, service, state, now)
        {
            info!("event=host_asked host={} answer=taken part=\"{part}\"", member.host);
            leading.changed = true;
        }
    }

    pub(crate) fn end_leading(&mut self) {
        info!("event=follow term={}", self.log.node.term());
        self.leading = None;
        self.counters.leads.set(0);
        self.fail_pending();
        let message = self.not_leader();
        for tx in self.entries.values() {
            let _ = tx.try_send(message.clone());
        }
    }

    fn not_leader(&self) -> ControlMessage {
        let leader = self.leader().map(|gossip| gossip.peer_address);
        ControlMessage::NotLeader { leader, known: self.known() }
    }

    fn known(&self) -> Vec<std::net::SocketAddr> {
        let others = self.peers.values().map(|peer| peer.gossip.peer_address);
        others.chain([self.config.peer_address]).collect()
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
        leading.engine_service = engine.map(|service| service.name.clone());
        leading.planner.set_engine_service(leading.engine_service.clone());
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

    pub(crate) fn open_entry(
        &mut self,
        session: SessionId,
        tx: Sender<ControlMessage>,
        now: Instant,
    ) {
        match &self.leading {
            Some(leading) if self.log.node.holds_lease(now) => {
                if let Some(manifest) = &leading.manifest {
                    push(&tx, ControlMessage::Manifest(manifest.clone()));
                }
                if let Some(view) = &leading.view {
                    push(&tx, ControlMessage::View(view.clone()));
                }
            }
            _ => push(&tx, self.not_leader()),
        }
        self.entries.insert(session, tx);
    }

    pub(crate) fn close_entry(&mut self, session: SessionId) {
        self.entries.remove(&session);
        if let Some(leading) = &mut self.leading {
            // A process that has ended closes its conversation.
            if let Some((status, _)) = leading.entries.remove(&session) {
                info!("event=entry_lost entry={}", status.entry);
                leading.changed = true;
            }
        }
    }

    pub(crate) fn take_entry(&mut self, session: SessionId, message: EntryMessage, now: Instant) {
        let EntryMessage::Status(status) = message;
        match &mut self.leading {
            Some(leading) if self.log.node.holds_lease(now) => {
                let before = leading.entries.get(&session);
                let differs = before.is_none_or(|(before, _)| before.accepts != status.accepts);
                if differs {
                    info!("event=entry entry={} accepts={}", status.entry, status.accepts);
                    leading.changed = true;
                }
                leading.traffic |= status.served > 0;
                let old = before.map(|(before, _)| &before.stalled);
                leading.changed |= !status.stalled.is_empty() && old != Some(&status.stalled);
                leading.entries.insert(session, (status, now));
            }
            _ => {
                let message = self.not_leader();
                if let Some(tx) = self.entries.get(&session) {
                    push(tx, message);
                }
            }
        }
    }

    pub(crate) fn take_report(&mut self, report: HostReport, reply: Sender<Reply>, now: Instant) {
        let Some(leading) = &mut self.leading else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        self.counters.reports.inc();
        let leaving = report.leaving;
        let before = leading.registry.hosts().get(&report.host);
        let news = before.is_none_or(|seen| {
            let old = &seen.report;
            old.born != report.born
                || old.membership != report.membership
                || old.leaving != report.leaving
                || old.staged != report.staged
        });
        let host = report.host.clone();
        let what = format!("{:?}", report.membership);
        let place = format!("fabric={:?} staged={:?}", report.fabric, report.staged);
        if leading.registry.take(report, now) {
            if news {
                info!("event=host host={host} leaving={leaving} {place} part=\"{what}\"");
                leading.changed = true;
            }
        } else {
            self.counters.reports_stale.inc();
        }
        if leaving && news {
            leading.after_view.push(reply);
        } else {
            let _ = reply.try_send(Reply::Done);
        }
    }

    pub(crate) fn take_left(&mut self, host: &HostId, reply: Sender<Reply>) {
        let Some(leading) = &mut self.leading else {
            let _ = reply.try_send(Reply::NotLeader(None));
            return;
        };
        if leading.registry.remove(host) {
            info!("event=host_left host={host}");
        }
        leading.changed = true;
        leading.after_view.push(reply);
    }

    pub(crate) fn take_outcome(&mut self, outcome: &OrderOutcome, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let word = outcome.order.kind.word();
        info!(
            "event=order_end host={} order={word} result={:?}",
            outcome.order.host, outcome.result
        );
        if !matches!(outcome.result, OrderResult::Begun | OrderResult::Done) {
            self.counters.orders_failed.inc();
        }
        let unanswered = matches!(outcome.result, OrderResult::NoAnswer | OrderResult::Unreachable);
        if outcome.order.kind == OrderKind::Probe && unanswered {
            leading.registry.suspect(&outcome.order.host);
        }
        // An order of an earlier term must not settle one of this term.
        if outcome.order.fence == self.log.node.term() {
            leading.planner.outcome(outcome, now);
            leading.changed = true;
        }
    }

    /// Does what is due for a leader that holds the lease.
    pub(crate) fn lead(&mut self, now: Instant) {
        if !self.log.node.holds_lease(now) {
            return;
        }
        let known = self.known();
        let Some(leading) = &mut self.leading else {
            return;
        };
        let learn = match leading.resumes {
            true => self.config.limits.learn,
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
        let (Some(manifest), Some(name)) = (&leading.manifest, &leading.engine_service) else {
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
            service: name,
            engine,
            domains_out: &self.ledger.domains_out,
            demand: &demand,
            alive: &alive,
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

    /// Counts and logs what hosts were used for since the last time.
    fn account(&mut self, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let passed = now.saturating_duration_since(leading.account_at);
        if passed < ACCOUNT_EVERY {
            return;
        }
        leading.account_at = now;
        let uses = leading.planner.host_uses(&leading.registry, &self.ledger.domains_out, now);
        let mut line = String::new();
        for what in HostUse::ALL {
            let hosts = uses.values().filter(|other| **other == what).count();
            self.counters.count_hosts(what, hosts, passed);
            if hosts > 0 {
                line += &format!(" {}={hosts}", what.word());
            }
        }
        info!("event=hosts{line}");
        let mut by: BTreeMap<_, Vec<String>> = BTreeMap::new();
        for (host, what) in &uses {
            let report = &leading.registry.hosts()[*host].report;
            by.entry(report.fabric.clone()).or_default().push(format!(
                "{}:{}",
                what.word(),
                report
                    .loaded
                    .as_ref()
                    .map_or_else(|| format!("[{}]", report.staged.join("+")), |m| m.to_string())
            ));
        }
        for (f, mut v) in by {
            v.sort();
            info!("event=fabric fabric={f} hosts=\"{}\"", v.join(" "));
        }
    }

    fn publish(&mut self, is_complete: bool, now: Instant) {
        let Some(leading) = &mut self.leading else {
            return;
        };
        let entries = leading.entries.values().filter(|(status, _)| status.accepts);
        let mut entries: Vec<_> = entries.map(|(status, _)| status.address).collect();
        entries.sort_unstable();
        entries.dedup();
        let entries = EntriesSeen { accepting: entries, senders: leading.entries.len() };
        let view = routing_view(
            &leading.planner,
            &leading.registry,
            &self.ledger.domains_out,
            entries,
            is_complete,
            &self.config.limits,
            now,
        );
        if !is_complete && view.replicas.is_empty() {
            return;
        }
        let old = leading.view.as_ref();
        let same = old.is_some_and(|old| old.same_routes(&view));
        if same && (old == Some(&view) || now < leading.view_at + COLD_STEP) {
            return;
        }
        let serving = view.replicas.iter().filter(|replica| replica.group.is_some()).count();
        if !same {
            info!(
                "event=view replicas={} groups={serving} entries={}",
                view.replicas.len(),
                view.entries.len()
            );
        }
        self.counters.views.inc();
        self.counters.groups_serving.set(serving as i64);
        for tx in self.entries.values() {
            push(tx, ControlMessage::View(view.clone()));
        }
        leading.view_at = now;
        leading.view = Some(view);
    }
}

impl Leading {
    fn divide_places(&mut self) -> Vec<(SessionId, f64)> {
        let asked = self.entries.iter().map(|(session, (status, _))| (*session, status.asked));
        self.shares.divide(&asked.collect())
    }

    fn expire_entries(&mut self, now: Instant) {
        let before = self.entries.len();
        self.entries.retain(|_, (_, heard)| now.saturating_duration_since(*heard) <= ENTRY_SILENCE);
        self.changed |= self.entries.len() != before;
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

/// Sends a message to an entry. One that does not read must start a new conversation.
fn push(tx: &Sender<ControlMessage>, message: ControlMessage) {
    if tx.try_send(message).is_err() {
        tx.close();
    }
}
