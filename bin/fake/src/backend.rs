//! State of the fake backend server: the loaded model, whether it is cold, and a ledger of the
//! requests it ran.

use crate::{config::Config, faults::Faults};
use base::sync::lock;
use model::{
    announce::{Announcement, LoadPhase, Membership},
    ids::{Fence, Incarnation},
    order::{Order, OrderAction},
};
use serde::Serialize;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant, SystemTime},
};

/// Counters that a test reads after a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Ledger {
    /// Number of times each booking ran, by key.
    pub bookings: BTreeMap<Box<str>, u32>,
    /// Number of requests that ran.
    pub ran: u64,
    /// Number of requests cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Number of requests accepted above the limit of a cold engine.
    pub above_cold_limit: u64,
    /// Number of requests accepted above the limit of a warm engine.
    pub above_warm_limit: u64,
    /// Number of requests refused because the model was not ready.
    pub refused: u64,
    /// Number of orders refused because of an old fence.
    pub orders_refused: u64,
    /// Number of requests whose prefix was in the cache.
    pub cache_hits: u64,
    /// Arrival time of the last request, in milliseconds since the Unix epoch.
    pub last_request_ms: u64,
}

#[derive(Debug)]
struct BackendState {
    membership: Option<Membership>,
    ready_at: Option<Instant>,
    last_fence: Fence,
    running: u32,
    /// Recent values of `running`, oldest first, for reporting the load with a delay.
    running_history: VecDeque<(Instant, u32)>,
    completed_since_load: u64,
    /// Whether the engine is cold but announces that it is warm.
    is_unannounced_cold: bool,
    prefixes: VecDeque<u64>,
    sequence: u64,
    faults: Faults,
    ledger: Ledger,
}

/// A fake backend server, shared by its tasks.
#[derive(Debug)]
pub struct FakeBackend {
    config: Arc<Config>,
    incarnation: Incarnation,
    state: Mutex<BackendState>,
}

/// A running request. It counts as cancelled if dropped before completion.
#[derive(Debug)]
pub struct ActiveRequest {
    backend: Arc<FakeBackend>,
    completed: bool,
    /// Time to the first token.
    pub first_token: Duration,
}

impl ActiveRequest {
    /// Records that the response is complete.
    pub fn complete(&mut self) {
        self.completed = true;
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.backend.end_request(self.completed);
    }
}

/// Factor of the time to the first token when the prefix is not in the cache.
const CACHE_MISS_FACTOR: u32 = 3;
/// Factor of the time to the first token when the engine is cold.
const COLD_FACTOR: u32 = 4;
/// Divisor of the load time when a server joins a group with the model that it has loaded.
const REJOIN_DIVISOR: u32 = 4;

impl FakeBackend {
    /// Creates a server with no model loaded.
    pub fn new(config: Arc<Config>) -> FakeBackend {
        let state = BackendState {
            membership: None,
            ready_at: None,
            last_fence: 0,
            running: 0,
            running_history: VecDeque::new(),
            completed_since_load: 0,
            is_unannounced_cold: false,
            prefixes: VecDeque::new(),
            sequence: 0,
            faults: Faults::default(),
            ledger: Ledger::default(),
        };
        FakeBackend { config, incarnation: fastrand::u64(1..), state: Mutex::new(state) }
    }

    /// Returns the next announcement, or `None` while the fault `silent` is on.
    pub fn next_announcement(&self) -> Option<Announcement> {
        let mut state = self.lock();
        if state.faults.silent {
            return None;
        }
        self.update_phase(&mut state);
        state.sequence += 1;
        let now = Instant::now();
        let running = state.running;
        state.running_history.push_back((now, running));
        let report_lag = self.config.performance.report_lag;
        while state.running_history.len() > 1 && state.running_history[1].0 + report_lag <= now {
            state.running_history.pop_front();
        }
        Some(Announcement {
            host: self.config.name.clone(),
            incarnation: self.incarnation,
            sequence: state.sequence,
            address: self.config.listen,
            failure_domain: self.config.failure_domain.clone(),
            fabric_domain: self.config.fabric_domain.clone(),
            offer: self.config.offer.clone(),
            membership: state.membership.clone(),
            running: state.running_history.front().map_or(running, |(_, running)| *running),
            leaving: state.faults.leaving,
            checks_fence: self.config.checks_fence,
        })
    }

    /// Executes an order. Returns false if the order is refused because of an old fence.
    pub fn execute(&self, order: &Order) -> bool {
        let mut state = self.lock();
        self.update_phase(&mut state);
        let is_old = order.fence < state.last_fence;
        if is_old && self.config.checks_fence {
            state.ledger.orders_refused += 1;
            return false;
        }
        if order.fence == state.last_fence {
            return true;
        }
        state.last_fence = order.fence;
        match &order.action {
            OrderAction::Unload => {
                state.membership = None;
                state.ready_at = None;
            }
            OrderAction::Load { group, model, .. } => {
                let is_loaded = state.membership.as_ref().is_some_and(|membership| {
                    membership.model == *model && membership.phase == LoadPhase::Ready
                });
                let load_time = self.config.performance.load_time;
                let wait = if is_loaded { load_time / REJOIN_DIVISOR } else { load_time };
                state.ready_at = Some(Instant::now() + wait);
                if !is_loaded {
                    state.completed_since_load = 0;
                    state.prefixes.clear();
                }
                state.membership = Some(Membership {
                    group: *group,
                    fence: order.fence,
                    model: model.clone(),
                    phase: LoadPhase::Loading,
                    cold: true,
                });
            }
        }
        true
    }

    /// Starts a request for `model`. Returns `None` if the model is not ready.
    pub fn start_model(self: &Arc<FakeBackend>, model: &str, prefix: u64) -> Option<ActiveRequest> {
        let mut state = self.lock();
        self.update_phase(&mut state);
        let is_ready = state.membership.as_ref().is_some_and(|membership| {
            *membership.model == *model && membership.phase == LoadPhase::Ready
        });
        if !is_ready {
            state.ledger.refused += 1;
            return None;
        }
        let is_cold = state.is_unannounced_cold
            || state.membership.as_ref().is_some_and(|membership| membership.cold);
        let performance = &self.config.performance;
        if is_cold && state.running >= performance.cold_limit {
            state.ledger.above_cold_limit += 1;
        }
        if state.running >= performance.warm_limit {
            state.ledger.above_warm_limit += 1;
        }
        let mut first_token = performance.first_token;
        if !state.touch_prefix(prefix, performance.cached_prefixes) {
            first_token *= CACHE_MISS_FACTOR;
        }
        if is_cold {
            first_token *= COLD_FACTOR;
        }
        Some(self.begin_request(&mut state, first_token))
    }

    /// Starts a request for the plain service.
    pub fn start_service(self: &Arc<FakeBackend>) -> ActiveRequest {
        let mut state = self.lock();
        self.begin_request(&mut state, self.config.performance.service_time)
    }

    /// Records a run of a booking. Returns how often it has run.
    pub fn book(&self, key: &str) -> u32 {
        let mut state = self.lock();
        let count = state.ledger.bookings.entry(key.into()).or_default();
        *count += 1;
        *count
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.turn_cold {
            state.is_unannounced_cold = true;
            state.completed_since_load = 0;
        }
        state.faults = faults;
    }

    /// Returns the ledger.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// Returns the settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn begin_request(
        self: &Arc<FakeBackend>,
        state: &mut BackendState,
        first_token: Duration,
    ) -> ActiveRequest {
        state.running += 1;
        state.ledger.ran += 1;
        state.ledger.last_request_ms = unix_millis();
        ActiveRequest { backend: self.clone(), completed: false, first_token }
    }

    fn end_request(&self, completed: bool) {
        let mut state = self.lock();
        state.running -= 1;
        if completed {
            state.completed_since_load += 1;
        } else {
            state.ledger.cancelled += 1;
        }
        self.update_phase(&mut state);
    }

    /// Updates loading and warm-up to the current time.
    fn update_phase(&self, state: &mut BackendState) {
        if state.ready_at.is_some_and(|ready_at| ready_at <= Instant::now()) {
            state.ready_at = None;
            if let Some(membership) = &mut state.membership {
                membership.phase = LoadPhase::Ready;
            }
        }
        let is_warm = state.completed_since_load >= self.config.performance.warm_after;
        if is_warm {
            state.is_unannounced_cold = false;
        }
        if let Some(membership) = &mut state.membership {
            membership.cold = !is_warm && !state.is_unannounced_cold;
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        lock(&self.state)
    }
}

fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl BackendState {
    /// Moves or adds a prefix to the newest end of the cache. Returns whether it was cached.
    fn touch_prefix(&mut self, prefix: u64, capacity: usize) -> bool {
        let position = self.prefixes.iter().position(|cached| *cached == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
            self.ledger.cache_hits += 1;
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > capacity {
            self.prefixes.pop_front();
        }
        position.is_some()
    }
}
