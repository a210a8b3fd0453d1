//! What the tasks of an entry share.

use admission::{Backends, Departure, RetryBudget, Table};
use base::{clock::Clock, sync::lock};
use fleet::{EntryStatus, Manifest, RoutingView};
use model::ids::{DomainId, EntryId, ServiceId};
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

/// Limits that all entries keep together.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudgetConfig {
    /// The sliding window in which repeats are counted.
    pub window: Duration,
    /// Repeats allowed for each request of a service.
    pub ratio: f64,
    /// Further repeats allowed in a window.
    pub slack: f64,
}

/// How lately a head must have produced something to count as working.
const ALIVE_WITHIN: Duration = Duration::from_millis(300);
/// How long a head with work must have produced nothing to count as stalled: several
/// passes of a full engine.
const STALLED_AFTER: Duration = Duration::from_millis(400);
/// Part of the allowed repeats that entries use, as each knows only its own requests.
const REPEAT_SHARE: f64 = 0.7;

/// What the tasks of an entry share. Locks are held for one call, and one at a time.
pub struct GatewayState {
    /// The entry's name.
    pub name: EntryId,
    /// Where it takes callers.
    pub address: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    bounds: RetryBudgetConfig,
    table: Mutex<Option<Arc<Table>>>,
    pub(crate) backends: Mutex<Backends>,
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
    directory: Mutex<Vec<SocketAddr>>,
    view_at: Mutex<Option<Instant>>,
    has_complete_view: AtomicBool,
    departure: Mutex<Option<Departure>>,
    served: AtomicU64,
}

impl fmt::Debug for GatewayState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayState").field("name", &self.name).finish_non_exhaustive()
    }
}

impl GatewayState {
    /// An entry that knows nothing yet.
    pub fn new(
        name: EntryId,
        address: SocketAddr,
        domain: DomainId,
        bounds: RetryBudgetConfig,
        clock: Arc<dyn Clock>,
    ) -> GatewayState {
        GatewayState {
            name,
            address,
            clock,
            bounds,
            table: Mutex::default(),
            backends: Mutex::new(Backends::new(domain, fastrand::f64())),
            budgets: Mutex::default(),
            directory: Mutex::default(),
            view_at: Mutex::default(),
            has_complete_view: AtomicBool::new(false),
            departure: Mutex::default(),
            served: AtomicU64::new(0),
        }
    }

    /// The manifest in force, with indexes.
    pub fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table).clone()
    }

    /// Addresses of the entries that take callers.
    pub fn directory(&self) -> Vec<SocketAddr> {
        lock(&self.directory).clone()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        lock(&self.view_at).is_some() && !self.is_leaving()
    }

    /// Whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        lock(&self.departure).is_some()
    }

    /// Takes the entry out of the directory; it goes on serving, until `end` at the latest.
    pub fn leave(&self, end: Instant) {
        *lock(&self.departure) = Some(Departure { began: self.clock.now(), end });
    }

    /// Whether a request may be accepted that its caller awaits until `deadline`.
    pub(crate) fn accepts(&self, deadline: Instant) -> bool {
        let now = self.clock.now();
        lock(&self.departure).is_none_or(|departure| departure.accepts(now, deadline))
    }

    /// Takes a manifest, unless a newer one is known.
    pub(crate) fn set_manifest(&self, manifest: Arc<Manifest>) {
        let mut table = lock(&self.table);
        let known = table.as_ref().map_or(0, |table| table.manifest().number);
        if table.is_some() && manifest.number <= known {
            return;
        }
        log::info!("event=manifest number={} before={known}", manifest.number);
        *table = Some(Arc::new(Table::new(manifest.clone())));
        drop(table);
        lock(&self.backends).set_manifest(manifest);
    }

    /// Takes a view, unless it is incomplete and a complete one is known.
    pub(crate) fn set_view(&self, view: RoutingView) {
        if !view.is_complete && self.has_complete_view.load(Ordering::Acquire) {
            return;
        }
        self.has_complete_view.store(view.is_complete, Ordering::Release);
        *lock(&self.directory) = view.entries.clone();
        lock(&self.backends).set_view(view, self.clock.now());
        if lock(&self.table).is_some() {
            *lock(&self.view_at) = Some(self.clock.now());
        }
    }

    /// Takes this entry's part of the places at the backend servers.
    pub(crate) fn set_share(&self, part: f64) {
        lock(&self.backends).set_share(part);
    }

    /// The time since the last view came, in milliseconds; 0 if none has come.
    pub(crate) fn view_age_ms(&self) -> u128 {
        let now = self.clock.now();
        lock(&self.view_at).map_or(0, |at| now.saturating_duration_since(at).as_millis())
    }

    pub(crate) fn note_served(&self) {
        self.served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn status(&self) -> EntryStatus {
        let now = self.clock.now();
        let backends = lock(&self.backends);
        EntryStatus {
            demand: backends.demand(now),
            asked: backends.asked(now),
            entry: self.name.clone(),
            address: self.address,
            accepts: self.is_ready(),
            served: self.served.load(Ordering::Relaxed),
            alive: backends.alive(ALIVE_WITHIN, now),
            stalled: backends.stalled(STALLED_AFTER, now),
        }
    }

    /// Counts a request of a service.
    pub(crate) fn count_request(&self, service: &ServiceId) {
        self.with_budget(service, |budget, now| budget.request(now));
    }

    /// Takes a repeat out of a service's budget, if it has one.
    pub(crate) fn try_repeat(&self, service: &ServiceId) -> bool {
        self.with_budget(service, |budget, now| budget.try_repeat(now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        act: impl FnOnce(&mut RetryBudget, Instant) -> T,
    ) -> T {
        let now = self.clock.now();
        let entries = lock(&self.directory).len().max(1);
        let spare = self.bounds.slack * REPEAT_SHARE / entries as f64;
        let mut budgets = lock(&self.budgets);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = self.bounds.ratio * REPEAT_SHARE;
            RetryBudget::new(self.bounds.window, ratio, spare)
        });
        act(budget, now)
    }
}
