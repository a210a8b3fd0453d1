//! The state that all tasks of an entry share.
//!
//! Lock order: `view`, then `router`, then `hosts`. No lock is held across an await.

use crate::{config::Config, metrics::EntryMetrics};
use async_channel::{Receiver, Sender, bounded};
use base::{
    clock::Clock,
    limits::{DIRECTORY_TTL, VIEW_LEASE},
    secret::Secret,
    sync::lock,
};
use fastrand::Rng;
use http::{Body, Client, Dump, Limits, error_response, json_response};
use hyper::{Response, StatusCode};
use log::info;
use model::{
    ids::{EntryId, ManifestNumber},
    manifest::Manifest,
    view::{EntryStanding, View, ViewDelta, ViewVersion},
};
use net::{Pool, Stop};
use peer::ByteCount;
use route::{
    Admission, DispatchId, Evidence, HostTable, Outcome, Refusal, RetryBudget, Router, Routes,
    ServerId, Submission, TicketId,
};
use serde::Serialize;
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};

/// The latest view from control and the lease on it.
#[derive(Debug, Default)]
struct ViewState {
    version: ViewVersion,
    view: View,
    routes: Routes,
    lease_until: Option<Instant>,
    had_lease: bool,
    /// The latest view under which the running requests were within this entry's shares.
    settled: ViewVersion,
}

/// The router and the channels to the requests that wait for a slot.
#[derive(Debug)]
struct RouterState {
    router: Router,
    waiters: BTreeMap<TicketId, Sender<Outcome>>,
}

/// The response to a directory request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Directory {
    /// Addresses of entries, in the order in which the caller should try them.
    pub entries: Vec<SocketAddr>,
    /// Seconds for which the caller may cache the response.
    pub keep_seconds: u64,
}

/// The shared state of an entry.
#[derive(Debug)]
pub struct EntryState {
    /// The name of this entry.
    pub name: EntryId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Limits on what callers send.
    pub limits: Limits,
    /// The worker threads.
    pub pool: Pool,
    /// The client for backend servers.
    pub client: Client,
    /// The metrics.
    pub metrics: EntryMetrics,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Bytes sent to and received from control.
    pub control_bytes: Arc<ByteCount>,
    /// The operators' token. Without one, this entry cannot be drained over HTTP.
    pub token: Option<Secret>,
    /// Triggered when an operator requests a drain.
    pub drain_requested: Stop,
    /// Stops the callers' server.
    pub stop: Stop,
    /// Triggered when the entry leaves the directory. It still serves requests then.
    pub leaving: Stop,
    view: Mutex<ViewState>,
    router: Mutex<RouterState>,
    hosts: Mutex<HostTable>,
    budget: Mutex<RetryBudget>,
}

/// An attempt that may be sent to a backend server. Its slot is released on drop.
#[derive(Debug)]
pub struct Attempt {
    state: Arc<EntryState>,
    dispatch: DispatchId,
    evidence: Evidence,
    /// The backend server.
    pub server: ServerId,
    /// Where to send the request.
    pub address: SocketAddr,
    /// The team's priority.
    pub priority: u32,
}

impl Attempt {
    /// Records what the attempt showed about its backend server.
    pub fn record(&mut self, evidence: Evidence) {
        self.evidence = evidence;
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.state.finish(self.dispatch, self.evidence);
    }
}

/// Withdraws a waiting request on drop, which happens when its caller disconnects.
struct WithdrawOnDrop<'a> {
    state: &'a Arc<EntryState>,
    ticket: Option<TicketId>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.state.withdraw(ticket);
        }
    }
}

impl EntryState {
    /// Creates the state of an entry without a view.
    pub fn new(
        config: &Config,
        pool: Pool,
        metrics: EntryMetrics,
        clock: Arc<dyn Clock>,
    ) -> EntryState {
        let router = Router::new(config.name.clone(), config.choice, Rng::new());
        EntryState {
            name: config.name.clone(),
            listen: config.listen,
            limits: config.limits,
            pool,
            client: Client::new(pool, Some(config.listen.ip())),
            metrics,
            clock,
            control_bytes: Arc::default(),
            token: config.token.clone(),
            drain_requested: Stop::default(),
            stop: Stop::default(),
            leaving: Stop::default(),
            view: Mutex::default(),
            router: Mutex::new(RouterState { router, waiters: BTreeMap::new() }),
            hosts: Mutex::default(),
            budget: Mutex::default(),
        }
    }

    /// Replaces the view, unless the known one is newer.
    pub fn set_view(&self, version: ViewVersion, view: View) {
        let mut state = lock(&self.view);
        if version < state.version {
            return;
        }
        state.version = version;
        state.view = view;
        self.view_changed(&mut state);
    }

    /// Applies a delta; returns false if it is based on another version of the view.
    pub fn apply_delta(&self, base: ViewVersion, version: ViewVersion, delta: ViewDelta) -> bool {
        let mut state = lock(&self.view);
        if state.version != base {
            return false;
        }
        state.version = version;
        state.view.apply(delta);
        self.view_changed(&mut state);
        true
    }

    fn view_changed(&self, state: &mut ViewState) {
        let known = state.routes.manifest().map(|manifest| manifest.number);
        if let Some(manifest) = &state.view.manifest
            && Some(manifest.number) != known
        {
            assert!(Some(manifest.number) > known, "the number of the manifest must not decrease");
            if let Ok(parsed) = serde_json::from_str::<Manifest>(&manifest.body) {
                info!("event=manifest number={}", manifest.number);
                state.routes = Routes::new(Arc::new(parsed));
            }
        }
        let now = self.clock.now();
        let mut router = lock(&self.router);
        router.router.set_view(&state.view, state.routes.manifest().cloned(), now);
        self.deliver(&mut router);
    }

    /// Extends the lease on the view, counted from the time of the request for it.
    pub fn extend_lease(&self, requested_at: Instant, session_has_view: bool) {
        let mut state = lock(&self.view);
        let now = self.clock.now();
        let is_valid = state.lease_until.is_some_and(|until| now < until);
        // A view whose lease expired may be outdated, so it takes one from this session.
        if !is_valid && !session_has_view {
            return;
        }
        state.lease_until = state.lease_until.max(Some(requested_at + VIEW_LEASE));
        if !state.had_lease {
            state.had_lease = true;
            info!("event=lease_held term={} view={}", state.version.term, state.version.number);
        }
    }

    /// Expires the lease, announcements and waiting requests that are due, and updates the gauges.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.view);
        let lost = state.had_lease && state.lease_until.is_none_or(|until| now >= until);
        if lost {
            state.had_lease = false;
            self.metrics.leases_lost.inc();
            info!("event=lease_lost term={} view={}", state.version.term, state.version.number);
        }
        drop(state);
        let mut router = lock(&self.router);
        if lost {
            router.router.refuse_waiting();
        }
        router.router.tick(now);
        self.deliver(&mut router);
        let counts = router.router.counts();
        drop(router);
        self.metrics.waiting.set(counts.waiting as i64);
        self.metrics.running.set(counts.running as i64);
        let mut hosts = lock(&self.hosts);
        hosts.expire(now);
        self.metrics.hosts.set(hosts.len() as i64);
        self.metrics.control_sent_bytes.set(self.control_bytes.sent() as i64);
        self.metrics.control_received_bytes.set(self.control_bytes.received() as i64);
    }

    /// Whether the lease on the view is valid.
    pub fn has_lease(&self) -> bool {
        let now = self.clock.now();
        lock(&self.view).lease_until.is_some_and(|until| now < until)
    }

    /// Whether this entry uses its shares of the slots under a view with a valid lease, and the
    /// latest view under which its running requests were within its shares.
    pub fn share_status(&self) -> (bool, ViewVersion) {
        let now = self.clock.now();
        let mut state = lock(&self.view);
        if lock(&self.router).router.is_within_shares() {
            state.settled = state.version;
        }
        let own = state.view.entries.get(&self.name);
        let uses_share = own.is_some_and(|own| own.standing.uses_share());
        let is_valid = state.lease_until.is_some_and(|until| now < until);
        (uses_share && is_valid, state.settled)
    }

    /// The version of the view.
    pub fn version(&self) -> ViewVersion {
        lock(&self.view).version
    }

    /// The number of the manifest that this entry acts on.
    pub fn manifest_number(&self) -> ManifestNumber {
        lock(&self.view).routes.manifest().map_or(0, |manifest| manifest.number)
    }

    /// The routes of the manifest in force.
    pub fn routes(&self) -> Routes {
        lock(&self.view).routes.clone()
    }

    /// The table of announcements.
    pub fn hosts(&self) -> MutexGuard<'_, HostTable> {
        lock(&self.hosts)
    }

    /// The budget of retries.
    pub fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.budget)
    }

    /// The entries that callers may use, rotated by `offset` so that callers spread over them.
    pub fn directory(&self, offset: usize) -> Directory {
        let state = lock(&self.view);
        let addresses = |standing: EntryStanding| {
            let entries = state.view.entries.values();
            let matching = entries.filter(move |entry| entry.standing == standing);
            matching.map(|entry| entry.address).collect::<Vec<_>>()
        };
        let mut entries = addresses(EntryStanding::Active);
        if entries.is_empty() {
            entries = addresses(EntryStanding::Joining);
        }
        if self.leaving.is_triggered() {
            entries.retain(|address| *address != self.listen);
        }
        if !entries.is_empty() {
            let by = offset % entries.len();
            entries.rotate_left(by);
        }
        Directory { entries, keep_seconds: DIRECTORY_TTL.as_secs() }
    }

    /// Waits for a slot of a backend server. Dropping the future, as happens when the caller
    /// disconnects, withdraws the request.
    ///
    /// # Errors
    ///
    /// Fails if the request is refused. A refused request has not run.
    pub async fn admit(self: &Arc<EntryState>, submission: Submission) -> Result<Attempt, Refusal> {
        if !self.has_lease() {
            return Err(Refusal::NoLease);
        }
        let (ticket, outcome) = self.submit(submission)?;
        let mut withdrawal = WithdrawOnDrop { state: self, ticket: Some(ticket) };
        let outcome = outcome.recv().await;
        withdrawal.ticket = None;
        match outcome {
            Ok(Outcome::Dispatch { dispatch, server, address, priority, .. }) => Ok(Attempt {
                state: self.clone(),
                dispatch,
                evidence: Evidence::Nothing,
                server,
                address,
                priority,
            }),
            Ok(Outcome::Refused { refusal, .. }) => Err(refusal),
            Err(_) => Err(Refusal::NoServer),
        }
    }

    fn submit(&self, submission: Submission) -> Result<(TicketId, Receiver<Outcome>), Refusal> {
        let now = self.clock.now();
        let mut state = lock(&self.router);
        match state.router.submit(submission, now) {
            Admission::Refused(refusal) => Err(refusal),
            Admission::Accepted(ticket) => {
                let (tx, rx) = bounded(1);
                state.waiters.insert(ticket, tx);
                self.deliver(&mut state);
                Ok((ticket, rx))
            }
        }
    }

    fn finish(&self, dispatch: DispatchId, evidence: Evidence) {
        let now = self.clock.now();
        let mut state = lock(&self.router);
        state.router.finish(dispatch, evidence, now);
        self.deliver(&mut state);
    }

    fn withdraw(&self, ticket: TicketId) {
        self.metrics.callers_left.inc();
        let now = self.clock.now();
        let mut state = lock(&self.router);
        // The outcome may have been delivered just before the caller disconnected.
        if let Some(tx) = state.waiters.remove(&ticket) {
            drop(tx);
            state.router.withdraw(ticket);
        }
        state.router.tick(now);
        self.deliver(&mut state);
    }

    fn deliver(&self, state: &mut RouterState) {
        // Releasing the slot of a disconnected caller may dispatch another request.
        loop {
            let outcomes = state.router.take_outcomes();
            if outcomes.is_empty() {
                return;
            }
            for outcome in outcomes {
                self.deliver_one(state, outcome);
            }
        }
    }

    fn deliver_one(&self, state: &mut RouterState, outcome: Outcome) {
        let (ticket, dispatch) = match &outcome {
            Outcome::Dispatch { ticket, dispatch, .. } => (*ticket, Some(*dispatch)),
            Outcome::Refused { ticket, .. } => (*ticket, None),
        };
        let sent = match state.waiters.remove(&ticket) {
            Some(tx) => tx.try_send(outcome).is_ok(),
            None => false,
        };
        // The caller has disconnected, so its slot must be released.
        if let (false, Some(dispatch)) = (sent, dispatch) {
            state.router.finish(dispatch, Evidence::Nothing, self.clock.now());
        }
    }
}

impl Dump for EntryState {
    fn dump(&self) -> Value {
        let state = lock(&self.view);
        let version = state.version;
        let manifest = state.routes.manifest().map(|manifest| manifest.number);
        let groups = state.view.groups.len();
        let services = state.view.services.len();
        let entries = state.view.entries.clone();
        drop(state);
        let counts = lock(&self.router).router.counts();
        json!({
            "name": self.name,
            "term": version.term,
            "view": version.number,
            "has_lease": self.has_lease(),
            "leaving": self.leaving.is_triggered(),
            "manifest": manifest,
            "groups": groups,
            "services": services,
            "entries": entries.values().collect::<Vec<_>>(),
            "hosts": lock(&self.hosts).len(),
            "router": counts,
            "in_flight": self.stop.in_flight(),
        })
    }

    fn is_healthy(&self) -> bool {
        self.has_lease()
    }

    fn handle_action(&self, path: &str, token: Option<&[u8]>) -> Option<Response<Body>> {
        if path != "/drain" {
            return None;
        }
        let own = self.token.as_ref();
        if !own.zip(token).is_some_and(|(own, token)| own.matches(token)) {
            self.metrics.secrets_refused.inc();
            let message = "send the header `Authorization: Bearer TOKEN` with the operators' token";
            return Some(error_response(StatusCode::UNAUTHORIZED, "unauthorized", message));
        }
        self.drain_requested.trigger();
        Some(json_response(StatusCode::OK, &json!({ "draining": true })))
    }
}
