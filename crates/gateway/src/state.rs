//! The state that the tasks of an entry share.

use admission::{Backends, LinkState, Links, Relays, RetryBudget, RouteTable, Shutdown};
use async_io::Timer;
use base::{clock::Clock, sync::lock};
use fleet::{EntryStatus, Manifest, Relay, RoutingView};
use model::ids::{CulpritId, EntryId, PromptPartId, RequestDigest, ServiceId};
use net::Stop;
use quarantine::{Blocklist, EvidenceLog};
use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Limits on retries that hold for all entries together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// The sliding window in which retries are counted.
    pub window: Duration,
    /// Retries allowed per request of a service.
    pub ratio: f64,
    /// Retries allowed per window in addition to these.
    pub slack: f64,
}

/// The time within which a head must have produced output to count as progressing.
const PROGRESS_WINDOW: Duration = Duration::from_millis(300);
/// The time without output after which a head with work counts as stalled: several passes of a
/// fully loaded engine.
const STALLED_AFTER: Duration = Duration::from_millis(400);
/// The fraction of the allowed retries that entries use. The rest is a margin, as each entry knows
/// only its own requests.
const RETRY_BUDGET_FACTOR: f64 = 0.7;

/// The state that the tasks of an entry share. Each lock is held for one call, and no two at once,
/// except that `status` reads `view_received_at`, `table` and `shutdown` while it holds `backends`.
pub struct GatewayState {
    /// The entry's name.
    pub name: EntryId,
    /// The address that callers connect to.
    pub address: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    retry_budget: RetryBudgetConfig,
    table: Mutex<Option<Arc<RouteTable>>>,
    pub(crate) backends: Mutex<Backends>,
    pub(crate) links: Mutex<Links>,
    pub(crate) relays: Mutex<Relays>,
    /// Where this entry takes requests of others.
    relay: Relay,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    directory: Mutex<Vec<SocketAddr>>,
    view_received_at: Mutex<Option<Instant>>,
    has_complete_view: AtomicBool,
    shutdown: Mutex<Option<Shutdown>>,
    /// Triggered once `shutdown` is set.
    leaving: Stop,
    pub(crate) evidence: Mutex<EvidenceLog>,
    blocklist: Mutex<Blocklist>,
    forwarded: AtomicU64,
}

impl fmt::Debug for GatewayState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayState").field("name", &self.name).finish_non_exhaustive()
    }
}

impl GatewayState {
    /// Creates the state of an entry without a manifest or a view, which takes requests of other
    /// entries at `relay`.
    pub fn new(
        name: EntryId,
        address: SocketAddr,
        relay: Relay,
        retry_budget: RetryBudgetConfig,
        clock: Arc<dyn Clock>,
    ) -> GatewayState {
        GatewayState {
            name,
            address,
            clock,
            retry_budget,
            table: Mutex::default(),
            backends: Mutex::new(Backends::new(relay.domain.clone(), fastrand::f64())),
            links: Mutex::default(),
            relays: Mutex::new(Relays::new(relay.domain.clone())),
            relay,
            budgets: Mutex::default(),
            directory: Mutex::default(),
            view_received_at: Mutex::default(),
            has_complete_view: AtomicBool::new(false),
            shutdown: Mutex::default(),
            leaving: Stop::default(),
            evidence: Mutex::default(),
            blocklist: Mutex::default(),
            forwarded: AtomicU64::new(0),
        }
    }

    /// The current manifest, with indexes.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        lock(&self.table).clone()
    }

    /// The number of the current manifest.
    fn manifest_number(&self) -> Option<u64> {
        lock(&self.table).as_ref().map(|table| table.manifest().number)
    }

    /// The addresses of the entries that accept callers.
    pub fn directory(&self) -> Vec<SocketAddr> {
        lock(&self.directory).clone()
    }

    /// Whether this entry accepts callers.
    pub fn is_ready(&self) -> bool {
        let has_view = lock(&self.view_received_at).is_some();
        has_view && self.manifest_number().is_some() && !self.is_leaving()
    }

    /// Whether the process is shutting down.
    pub fn is_leaving(&self) -> bool {
        lock(&self.shutdown).is_some()
    }

    /// Marks the entry as leaving, which takes it out of the directory. It keeps serving until
    /// `end` at the latest.
    pub fn leave(&self, end: Instant) {
        *lock(&self.shutdown) = Some(Shutdown { began: self.clock.now(), end });
        self.leaving.trigger();
    }

    /// Waits until the process is about to end, so that requests in flight need a response now.
    pub(crate) async fn wait_for_end(&self) {
        self.leaving.wait().await;
        let respond_by = lock(&self.shutdown).map(|shutdown| shutdown.respond_by());
        if let Some(at) = respond_by {
            Timer::after(at.saturating_duration_since(self.clock.now())).await;
        }
    }

    /// Whether a request with this deadline may be accepted, which [`Shutdown::accepts`] decides
    /// once the entry is leaving.
    pub(crate) fn accepts(&self, deadline: Instant) -> bool {
        let now = self.clock.now();
        lock(&self.shutdown).is_none_or(|shutdown| shutdown.accepts(now, deadline))
    }

    /// Replaces the manifest, unless the known one is at least as new.
    pub(crate) fn set_manifest(&self, manifest: Arc<Manifest>) {
        let mut table = lock(&self.table);
        let known = table.as_ref().map_or(0, |table| table.manifest().number);
        if table.is_some() && manifest.number <= known {
            return;
        }
        log::info!("event=manifest number={} before={known}", manifest.number);
        *table = Some(Arc::new(RouteTable::new(manifest.clone())));
        drop(table);
        lock(&self.backends).set_manifest(manifest);
    }

    /// Replaces the view, unless the new one is incomplete and the known one is complete.
    pub(crate) fn set_view(&self, view: RoutingView) {
        if !view.is_complete && self.has_complete_view.load(Ordering::Acquire) {
            return;
        }
        self.has_complete_view.store(view.is_complete, Ordering::Release);
        *lock(&self.directory) = view.entries.clone();
        lock(&self.relays).set_view(&view.relays, Some(self.relay.address));
        lock(&self.backends).set_view(view, self.clock.now());
        *lock(&self.view_received_at) = Some(self.clock.now());
    }

    /// Sets this entry's share of the slots at the backend servers.
    pub(crate) fn set_share(&self, share: f64) {
        lock(&self.backends).set_share(share);
    }

    /// Replaces the prompt parts and requests in quarantine, each with the time left.
    pub(crate) fn set_blocklist(&self, culprits: &[(CulpritId, Duration)]) {
        lock(&self.blocklist).set(culprits, self.clock.now());
    }

    /// How long requests with these prompt parts are still rejected, if they are.
    pub(crate) fn parts_blocked_for(&self, parts: &[PromptPartId]) -> Option<Duration> {
        lock(&self.blocklist).remaining_for_parts(parts, self.clock.now())
    }

    /// How long a request is still rejected, if it is.
    pub(crate) fn request_blocked_for(&self, digest: RequestDigest) -> Option<Duration> {
        lock(&self.blocklist).remaining_for_request(digest, self.clock.now())
    }

    /// Milliseconds since the last view was received, 0 if there was none.
    pub(crate) fn view_age_ms(&self) -> u128 {
        let now = self.clock.now();
        lock(&self.view_received_at).map_or(0, |at| now.saturating_duration_since(at).as_millis())
    }

    /// Whether this entry reaches backend servers.
    pub fn link_state(&self) -> LinkState {
        lock(&self.links).state()
    }

    /// Whether this entry reaches backend servers, and since when it does not.
    pub(crate) fn links(&self) -> (LinkState, Option<Instant>) {
        let links = lock(&self.links);
        (links.state(), links.down_since())
    }

    /// Counts a request sent to a backend server.
    pub(crate) fn count_forwarded(&self) {
        self.forwarded.fetch_add(1, Ordering::Relaxed);
    }

    /// The status that this entry reports to control.
    pub(crate) fn status(&self) -> EntryStatus {
        let now = self.clock.now();
        let links = self.link_state();
        let takes_relayed = links != LinkState::Down && !self.is_leaving();
        let backends = lock(&self.backends);
        EntryStatus {
            demand: backends.demand(now),
            request_rate: backends.request_rate(now),
            entry: self.name.clone(),
            address: self.address,
            accepts: self.is_ready(),
            forwarded: self.forwarded.load(Ordering::Relaxed),
            progressing: backends.progressing(PROGRESS_WINDOW, now),
            // Without links, all heads seem to stall.
            stalled: match links {
                LinkState::Up => backends.stalled(STALLED_AFTER, now),
                _ => Vec::new(),
            },
            relay: takes_relayed.then(|| self.relay.clone()),
            manifest: self.manifest_number(),
            limits: backends.limits(now),
        }
    }

    /// Counts a request towards its service's retry budget.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget, now| budget.record_request(now));
    }

    /// Takes a retry from a service's budget, if one is left.
    pub(crate) fn take_retry(&self, service: &ServiceId) -> bool {
        self.with_budget(service, |budget, now| budget.try_retry(now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let now = self.clock.now();
        let entries = lock(&self.directory).len().max(1);
        let slack = self.retry_budget.slack * RETRY_BUDGET_FACTOR / entries as f64;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = self.retry_budget.ratio * RETRY_BUDGET_FACTOR;
            RetryBudget::new(self.retry_budget.window, ratio, slack)
        });
        act(budget, now)
    }
}
