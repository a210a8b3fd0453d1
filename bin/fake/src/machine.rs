//! The state of the stand-in: what it runs, how cold it is, and what it has run.

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

/// What a test reads after a run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Ledger {
    /// How often each booking ran, by its key.
    pub bookings: BTreeMap<Box<str>, u32>,
    /// Requests that ran.
    pub ran: u64,
    /// Requests cancelled by a caller that left.
    pub cancelled: u64,
    /// Requests taken above the limit while cold.
    pub above_cold_limit: u64,
    /// Requests taken above the limit while warm.
    pub above_warm_limit: u64,
    /// Requests refused because the model was not ready.
    pub refused: u64,
    /// Orders refused because of an old fence.
    pub orders_refused: u64,
    /// Requests whose prefix was in the cache.
    pub cache_hits: u64,
    /// Milliseconds since the Unix epoch at which the last request arrived.
    pub last_request_ms: u64,
}

#[derive(Debug)]
struct State {
    runs: Option<Membership>,
    ready_at: Option<Instant>,
    last_fence: Fence,
    running: u32,
    lagged: VecDeque<(Instant, u32)>,
    answers_since_load: u64,
    secretly_cold: bool,
    prefixes: VecDeque<u64>,
    sequence: u64,
    faults: Faults,
    ledger: Ledger,
}

/// The stand-in's state, shared by its tasks.
#[derive(Debug)]
pub struct Machine {
    config: Arc<Config>,
    incarnation: Incarnation,
    state: Mutex<State>,
}

/// A request that runs until this is dropped.
#[derive(Debug)]
pub struct Work {
    machine: Arc<Machine>,
    done: bool,
    /// Time to the first token.
    pub first_token: Duration,
}

impl Work {
    /// Notes that the whole answer has been handed over.
    pub fn finish(&mut self) {
        self.done = true;
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.machine.leave(self.done);
    }
}

/// How much longer the first token takes without the prefix in the cache.
const MISS_FACTOR: u32 = 3;
/// How much longer the first token takes in a cold start.
const COLD_FACTOR: u32 = 4;
/// Part of the load time that a server needs to join a group with the model it has.
const REJOIN_DIVISOR: u32 = 4;

impl Machine {
    /// A machine that runs nothing.
    pub fn new(config: Arc<Config>) -> Machine {
        let state = State {
            runs: None,
            ready_at: None,
            last_fence: 0,
            running: 0,
            lagged: VecDeque::new(),
            answers_since_load: 0,
            secretly_cold: false,
            prefixes: VecDeque::new(),
            sequence: 0,
            faults: Faults::default(),
            ledger: Ledger::default(),
        };
        Machine { config, incarnation: fastrand::u64(1..), state: Mutex::new(state) }
    }

    /// The next announcement, or nothing while a fault keeps the host silent.
    pub fn announcement(&self) -> Option<Announcement> {
        let mut state = self.lock();
        if state.faults.silent {
            return None;
        }
        self.advance(&mut state);
        state.sequence += 1;
        let now = Instant::now();
        let running = state.running;
        state.lagged.push_back((now, running));
        let lag = self.config.pace.report_lag;
        while state.lagged.len() > 1 && state.lagged[1].0 + lag <= now {
            state.lagged.pop_front();
        }
        Some(Announcement {
            host: self.config.name.clone(),
            incarnation: self.incarnation,
            sequence: state.sequence,
            address: self.config.listen,
            failure_domain: self.config.failure_domain.clone(),
            fabric_domain: self.config.fabric_domain.clone(),
            offer: self.config.offer.clone(),
            membership: state.runs.clone(),
            running: state.lagged.front().map_or(running, |(_, lagged)| *lagged),
            leaving: state.faults.leaving,
            checks_fence: self.config.checks_fence,
        })
    }

    /// Obeys an order, or refuses one with an old fence.
    pub fn obey(&self, order: &Order) -> bool {
        let mut state = self.lock();
        self.advance(&mut state);
        let old = order.fence < state.last_fence;
        if old && self.config.checks_fence {
            state.ledger.orders_refused += 1;
            return false;
        }
        if order.fence == state.last_fence {
            return true;
        }
        state.last_fence = order.fence;
        match &order.action {
            OrderAction::Unload => {
                state.runs = None;
                state.ready_at = None;
            }
            OrderAction::Load { group, model, .. } => {
                let loaded = state
                    .runs
                    .as_ref()
                    .is_some_and(|runs| runs.model == *model && runs.phase == LoadPhase::Ready);
                let load_time = self.config.pace.load_time;
                let wait = if loaded { load_time / REJOIN_DIVISOR } else { load_time };
                state.ready_at = Some(Instant::now() + wait);
                if !loaded {
                    state.answers_since_load = 0;
                    state.prefixes.clear();
                }
                state.runs = Some(Membership {
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

    /// Starts a request for `model`, or refuses it if the model is not ready.
    pub fn start_model(self: &Arc<Machine>, model: &str, prefix: u64) -> Option<Work> {
        let mut state = self.lock();
        self.advance(&mut state);
        let ready = state
            .runs
            .as_ref()
            .is_some_and(|runs| *runs.model == *model && runs.phase == LoadPhase::Ready);
        if !ready {
            state.ledger.refused += 1;
            return None;
        }
        let cold = state.secretly_cold || state.runs.as_ref().is_some_and(|runs| runs.cold);
        let pace = &self.config.pace;
        if cold && state.running >= pace.cold_limit {
            state.ledger.above_cold_limit += 1;
        }
        if state.running >= pace.warm_limit {
            state.ledger.above_warm_limit += 1;
        }
        let mut first_token = pace.first_token;
        if !state.touch_prefix(prefix, pace.cached_prefixes) {
            first_token *= MISS_FACTOR;
        }
        if cold {
            first_token *= COLD_FACTOR;
        }
        Some(self.enter(&mut state, first_token))
    }

    /// Starts a request for the plain service.
    pub fn start_service(self: &Arc<Machine>) -> Work {
        let mut state = self.lock();
        self.enter(&mut state, self.config.pace.service_time)
    }

    /// Notes that a booking runs.
    pub fn book(&self, key: &str) -> u32 {
        let mut state = self.lock();
        let count = state.ledger.bookings.entry(key.into()).or_default();
        *count += 1;
        *count
    }

    /// The faults in force.
    pub fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Puts faults in force.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.turn_cold {
            state.secretly_cold = true;
            state.answers_since_load = 0;
        }
        state.faults = faults;
    }

    /// What has run.
    pub fn ledger(&self) -> Ledger {
        self.lock().ledger.clone()
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.config
    }

    fn enter(self: &Arc<Machine>, state: &mut State, first_token: Duration) -> Work {
        state.running += 1;
        state.ledger.ran += 1;
        state.ledger.last_request_ms = unix_millis();
        Work { machine: self.clone(), done: false, first_token }
    }

    fn leave(&self, done: bool) {
        let mut state = self.lock();
        state.running -= 1;
        if done {
            state.answers_since_load += 1;
        } else {
            state.ledger.cancelled += 1;
        }
        self.advance(&mut state);
    }

    /// Moves loading and warming on to the present time.
    fn advance(&self, state: &mut State) {
        if state.ready_at.is_some_and(|ready_at| ready_at <= Instant::now()) {
            state.ready_at = None;
            if let Some(runs) = &mut state.runs {
                runs.phase = LoadPhase::Ready;
            }
        }
        let warm = state.answers_since_load >= self.config.pace.warm_after;
        if warm {
            state.secretly_cold = false;
        }
        if let Some(runs) = &mut state.runs {
            runs.cold = !warm && !state.secretly_cold;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl State {
    /// Looks a prefix up in the cache and makes it the newest; returns whether it was there.
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
