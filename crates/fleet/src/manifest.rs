//! The service manifest: routes, services, engines and teams.

use model::ids::{ModelId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

/// All that operators declare; the highest number is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// Orders manifests.
    pub number: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// What backend servers offer.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// Teams of callers; if there are none, requests carry no key.
    pub teams: Vec<Team>,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host that callers name.
    pub host: Box<str>,
    /// The beginning of the path; the longest one that fits wins.
    pub prefix: Box<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may wait for its answer.
    pub timeout: Duration,
    /// The time within which an answer is worth most; streams: their first event.
    pub target: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub pause_target: Option<Duration>,
    /// Rank against other routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that serve the route, by weight.
    pub shares: Vec<ServiceShare>,
    /// The most backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether another backend server can go on after the last event delivered.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn may_retry(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// The part of a route's requests that one service takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The most connections that one backend server accepts from all callers.
    pub connections_max: u32,
    /// What a backend server bears in a cold start.
    pub cold: ColdLimit,
    /// The engine, if the service serves models.
    pub engine: Option<Engine>,
}

/// What a backend server bears in a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests a second.
    pub per_s: f64,
}

/// The parameters of a model engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Tokens that fit into a group's memory.
    pub memory_tokens: u64,
    /// Token steps in one pass.
    pub stride: u32,
    /// Milliseconds of a token step.
    pub step_ms: f64,
    /// Further milliseconds of a step for each request that writes.
    pub step_request_ms: f64,
    /// Further milliseconds of a step for each 1,000 tokens of context.
    pub step_context_ms: f64,
    /// Prompt tokens read a second.
    pub read_per_s: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub pairs_ms: f64,
    /// Most prompt tokens read in one step.
    pub chunk: u32,
    /// Loads from the weight store that may start a second.
    pub loads_per_s: f64,
    /// Loads at once beyond which each takes longer.
    pub loads_at_once: u32,
    /// Time for which a head forms its group before it serves.
    pub formation_time: Duration,
    /// The models.
    pub models: Vec<EngineModel>,
}

/// One model of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Its name.
    pub name: ModelId,
    /// Hosts in a group.
    pub hosts_per_group: usize,
    /// A factor on all times of a group.
    pub time_factor: f64,
    /// The part of the work that asks for this model at the start.
    pub share: f64,
    /// Time of a load from the weight store.
    pub load: Duration,
    /// Time of a join with weights that are staged on the host.
    pub warmup: Duration,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest block of headers, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the headers of a request.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// A team of callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// The keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Goes before the priority of the route.
    pub priority: Option<u8>,
}

/// Why a manifest is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestFault {
    /// A route names a service that isn't declared.
    UnknownService(Box<str>, ServiceId),
    /// Two routes have the same host and prefix.
    SamePlace(Box<str>, Box<str>),
    /// The weights of a route add up to 0.
    NoWeight(Box<str>),
    /// The timeout of a route is 0.
    NoTimeout(Box<str>),
    /// Two teams hold the same key.
    SharedKey(TeamId, TeamId),
}

impl fmt::Display for ManifestFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ManifestFault::UnknownService(route, service) => {
                write!(f, "route {route} names the unknown service {service}: declare it")
            }
            ManifestFault::SamePlace(a, b) => {
                write!(f, "routes {a} and {b} have the same host and prefix: change one")
            }
            ManifestFault::NoWeight(route) => {
                write!(f, "the weights of route {route} add up to 0: raise one")
            }
            ManifestFault::NoTimeout(route) => {
                write!(f, "the timeout of route {route} is 0: raise it")
            }
            ManifestFault::SharedKey(a, b) => {
                write!(f, "teams {a} and {b} hold the same key: give each its own")
            }
        }
    }
}

impl Manifest {
    /// Checks what the types can't express.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), ManifestFault> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| &*s.name).collect();
        let mut places: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            let name = route.name.clone();
            for share in &route.shares {
                if !services.contains(&*share.service) {
                    return Err(ManifestFault::UnknownService(name, share.service.clone()));
                }
            }
            if let Some(other) = places.insert((&route.host, &route.prefix), &route.name) {
                return Err(ManifestFault::SamePlace(other.into(), name));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(ManifestFault::NoWeight(name));
            }
            if route.timeout.is_zero() {
                return Err(ManifestFault::NoTimeout(name));
            }
        }
        let mut keys: BTreeMap<&str, &Team> = BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                if let Some(other) = keys.insert(key, team)
                    && other.name != team.name
                {
                    return Err(ManifestFault::SharedKey(other.name.clone(), team.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

impl Engine {
    /// The time of a full group of the model that a request takes up, in seconds: its prompt
    /// is read alone, and its answer is written beside those of the other places.
    pub fn group_seconds(&self, model: &EngineModel, prompt: u64, answer: u64) -> f64 {
        let (prompt, answer) = (prompt as f64, answer as f64);
        let pairs_m = prompt * prompt / 2e6;
        let read_ms = prompt * 1000.0 / self.read_per_s + pairs_m * self.pairs_ms;
        let slots = f64::from(self.slots);
        let context_k = (prompt + answer / 2.0) / 1000.0;
        let per_request = self.step_request_ms + self.step_context_ms * context_k;
        let write_ms = answer * (self.step_ms / slots + per_request);
        model.time_factor * (read_ms + write_ms) / 1000.0
    }

    /// A model by its name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        self.models.iter().find(|model| &*model.name == name)
    }
}
