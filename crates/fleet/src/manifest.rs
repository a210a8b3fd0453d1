//! The service manifest: routes, services, engines and teams.

use model::ids::{ModelId, ServiceId, TeamId};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

/// The configuration that operators declare. The manifest with the highest number is in force.
///
/// Unlike `model::manifest::Manifest`, it assigns requests to services by routes of their own
/// rather than per service, and the models belong to the engine of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The number, which orders manifests.
    pub number: u64,
    /// The routes, which assign requests to services.
    pub routes: Vec<Route>,
    /// The services that backend servers offer.
    pub services: Vec<Service>,
    /// Limits on the requests and connections of callers.
    pub limits: CallerLimits,
    /// Teams of callers. If there are none, requests need no key.
    pub teams: Vec<Team>,
}

/// A rule that assigns requests to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: Box<str>,
    /// The host name in the request.
    pub host: Box<str>,
    /// The prefix of the request's path. The longest matching prefix takes precedence.
    pub prefix: Box<str>,
    /// The kind of requests, which decides whether they may be retried.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Duration,
    /// The latency target of the response, or of the first event of a stream.
    pub target: Duration,
    /// The target for the longest gap between two events of a stream.
    pub pause_target: Option<Duration>,
    /// The priority relative to other routes. 0 is the most urgent.
    pub priority: u8,
    /// The services that serve the route, with their weights.
    pub shares: Vec<ServiceShare>,
    /// The maximum number of backend servers that one request may be sent to.
    pub attempts: u32,
    /// Whether the route accepts requests without a key.
    pub is_public: bool,
}

/// The kind of requests on a route, which decides whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// The response is a stream of events.
    Stream {
        /// Whether another backend server can resume the stream after the last delivered event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run more than once, so that it may be retried even if it may have run.
    pub fn may_retry(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// The share of a route's requests that one service takes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// A service. Unlike the one in `model::manifest`, it is either plain or an engine that serves
/// models.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The maximum number of connections that one backend server accepts in total.
    pub connections_max: u32,
    /// The request limit of a backend server in a cold start.
    pub cold_limit: ColdLimit,
    /// The engine, if the service serves models.
    pub engine: Option<Engine>,
}

/// The request limit of a backend server in a cold start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests per second, from all entries together.
    pub per_s: f64,
}

/// The parameters of an engine, which serves models on groups of hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// The number of requests that a group runs concurrently.
    pub slots: u32,
    /// The capacity of a group's KV cache, in tokens.
    pub memory_tokens: u64,
    /// Decoding steps in one pass.
    pub stride: u32,
    /// Base time of a decoding step, in milliseconds.
    pub step_ms: f64,
    /// Additional milliseconds of a step for each request that is being decoded.
    pub step_request_ms: f64,
    /// Additional milliseconds of a step for each 1,000 tokens of context.
    pub step_context_ms: f64,
    /// Prompt tokens processed per second, without the cost of attention (`pairs_ms`).
    pub read_per_s: f64,
    /// Milliseconds of attention for each million pairs of a prompt token and an earlier one.
    pub pairs_ms: f64,
    /// The maximum number of prompt tokens processed in one step.
    pub chunk: u32,
    /// Loads from the weight store that may start per second.
    pub loads_per_s: f64,
    /// The number of concurrent loads above which each takes longer.
    pub loads_at_once: u32,
    /// The time that a head takes to form its group, from the order to open until it serves.
    pub formation_time: Duration,
    /// The models.
    pub models: Vec<EngineModel>,
}

/// A model of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Its name.
    pub name: ModelId,
    /// The number of hosts in a group.
    pub hosts_per_group: usize,
    /// The factor by which all processing times of a group are multiplied for this model.
    pub time_factor: f64,
    /// The share of the demand assumed for this model until entries have measured it.
    pub share: f64,
    /// The time to load the weights from the weight store.
    pub load: Duration,
    /// The time to join a group with weights that are staged on the host.
    pub warmup: Duration,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The maximum size of the request headers, in bytes.
    pub header_bytes: usize,
    /// The maximum size of the request body, in bytes.
    pub body_bytes: usize,
    /// The longest time that the headers of a request may take to arrive.
    pub header_timeout: Duration,
    /// The longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// A team of callers. Unlike the one in `model::manifest`, it is recognized by the key of a
/// request, and a lower priority is more urgent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: TeamId,
    /// The API keys of its callers.
    pub keys: Vec<Box<str>>,
    /// Overrides the priority of the route.
    pub priority: Option<u8>,
}

/// The reason why a manifest is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ManifestError {
    /// A route refers to a service that is not declared.
    UnknownService(Box<str>, ServiceId),
    /// Two routes have the same host and prefix.
    DuplicateRoute(Box<str>, Box<str>),
    /// The weights of a route add up to 0.
    NoWeight(Box<str>),
    /// The timeout of a route is 0.
    NoTimeout(Box<str>),
    /// Two teams have the same key.
    SharedKey(TeamId, TeamId),
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ManifestError::UnknownService(route, service) => {
                write!(f, "route {route} refers to the unknown service {service}: declare it")
            }
            ManifestError::DuplicateRoute(a, b) => {
                write!(f, "routes {a} and {b} have the same host and prefix: change one")
            }
            ManifestError::NoWeight(route) => {
                write!(f, "the weights of route {route} add up to 0: raise one")
            }
            ManifestError::NoTimeout(route) => {
                write!(f, "the timeout of route {route} is 0: raise it")
            }
            ManifestError::SharedKey(a, b) => {
                write!(f, "teams {a} and {b} have the same key: give each its own")
            }
        }
    }
}

impl Manifest {
    /// Checks the constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn check(&self) -> Result<(), ManifestError> {
        let services: BTreeSet<&str> = self.services.iter().map(|s| &*s.name).collect();
        let mut routes_by_match: BTreeMap<(&str, &str), &str> = BTreeMap::new();
        for route in &self.routes {
            let name = route.name.clone();
            for share in &route.shares {
                if !services.contains(&*share.service) {
                    return Err(ManifestError::UnknownService(name, share.service.clone()));
                }
            }
            if let Some(other) = routes_by_match.insert((&route.host, &route.prefix), &route.name) {
                return Err(ManifestError::DuplicateRoute(other.into(), name));
            }
            if route.shares.iter().all(|share| share.weight == 0) {
                return Err(ManifestError::NoWeight(name));
            }
            if route.timeout.is_zero() {
                return Err(ManifestError::NoTimeout(name));
            }
        }
        let mut keys: BTreeMap<&str, &Team> = BTreeMap::new();
        for team in &self.teams {
            for key in &team.keys {
                if let Some(other) = keys.insert(key, team)
                    && other.name != team.name
                {
                    return Err(ManifestError::SharedKey(other.name.clone(), team.name.clone()));
                }
            }
        }
        Ok(())
    }

    /// Looks up a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

impl Engine {
    /// The time of a fully loaded group of the model that one request costs, in seconds: its
    /// prompt is processed alone, and its answer is decoded in a batch with those of the other
    /// slots.
    pub fn group_seconds(
        &self,
        model: &EngineModel,
        prompt_tokens: u64,
        answer_tokens: u64,
    ) -> f64 {
        let (prompt, answer) = (prompt_tokens as f64, answer_tokens as f64);
        let pairs_m = prompt * prompt / 2e6;
        let prompt_ms = prompt * 1000.0 / self.read_per_s + pairs_m * self.pairs_ms;
        let slots = f64::from(self.slots);
        let context_k = (prompt + answer / 2.0) / 1000.0;
        let per_request = self.step_request_ms + self.step_context_ms * context_k;
        let decode_ms = answer * (self.step_ms / slots + per_request);
        model.time_factor * (prompt_ms + decode_ms) / 1000.0
    }

    /// Looks up a model by its name.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        self.models.iter().find(|model| &*model.name == name)
    }
}
