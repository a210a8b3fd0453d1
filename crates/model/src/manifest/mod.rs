//! The manifest, which declares what the system runs.

mod check;
mod position;

pub use check::{CheckedManifest, Finding, check_manifest};

use crate::ids::{DomainId, ManifestNumber, ModelId, ServiceId, TeamId};
use base::units::{DurationText, SizeText};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::{net::IpAddr, time::Duration};

/// The manifest that the operators' pipeline writes, in JSON.
///
/// Unlike `fleet::Manifest`, it lists models apart from services, and a service holds its own
/// routes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Manifest {
    /// The number, which increases with each change.
    pub number: ManifestNumber,
    /// The failure domains that hosts may belong to.
    pub failure_domains: Vec<DomainId>,
    /// Limits of the weight store.
    pub weight_store: WeightStore,
    /// The models.
    pub models: Vec<Model>,
    /// The plain services.
    pub services: Vec<Service>,
    /// The teams of callers.
    pub teams: Vec<Team>,
}

/// Limits of the weight store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WeightStore {
    /// The maximum number of groups that load weights concurrently.
    pub concurrent_loads: u32,
}

impl Default for WeightStore {
    fn default() -> WeightStore {
        WeightStore { concurrent_loads: 8 }
    }
}

/// A model and the groups that serve it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Model {
    /// The name that callers use.
    pub name: ModelId,
    /// The number of hosts in a replica, which is a group.
    pub hosts_per_replica: u32,
    /// The number of accelerators that each host must offer.
    pub accelerators_per_host: u32,
    /// The target number of replicas.
    pub replicas: u32,
    /// The number of replicas below which this model takes precedence over others.
    pub floor: u32,
    /// The number of requests that a cold replica runs concurrently.
    pub cold_slots: u32,
    /// The number of requests that a warm replica runs concurrently.
    pub warm_slots: u32,
    /// The time within which a response must arrive to be useful.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The size of the weights on each host, in bytes.
    #[serde_as(as = "SizeText")]
    pub load_size: u64,
}

impl Default for Model {
    fn default() -> Model {
        Model {
            name: "".into(),
            hosts_per_replica: 1,
            accelerators_per_host: 1,
            replicas: 1,
            floor: 0,
            cold_slots: 1,
            warm_slots: 8,
            deadline: Duration::from_secs(30),
            load_size: 1 << 30,
        }
    }
}

/// A plain service and its routes. Unlike the one in `fleet`, it never serves models.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The name that its backend servers announce.
    pub name: ServiceId,
    /// The number of requests that a replica runs concurrently.
    pub slots: u32,
    /// The time within which a response must arrive to be useful.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The routes whose requests go to the service.
    pub routes: Vec<ServiceRoute>,
}

impl Default for Service {
    fn default() -> Service {
        Service { name: "".into(), slots: 8, deadline: Duration::from_secs(10), routes: Vec::new() }
    }
}

/// A route, which matches requests by method and path prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceRoute {
    /// The HTTP method.
    pub method: Box<str>,
    /// The prefix of the path.
    pub path_prefix: Box<str>,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The location of the idempotency key, which stays the same when a caller resends a request.
    pub request_key: Option<RequestKey>,
}

/// The location of a request's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKey {
    /// In the header of this name.
    Header(Box<str>),
    /// At this JSON pointer in the body.
    Pointer(Box<str>),
}

/// A team of callers and its limits on each entry. Unlike the one in `fleet`, it is recognized by
/// a header or an address, and a higher priority is more urgent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Team {
    /// The name.
    pub name: TeamId,
    /// The weight of the team when capacity is shared among teams.
    pub weight: u32,
    /// The maximum number of requests of the team that run concurrently on one entry.
    pub max_running: u32,
    /// The maximum number of requests of the team that wait on one entry.
    pub max_waiting: u32,
    /// The priority passed to the engine. A higher one is more urgent.
    pub priority: u32,
    /// The conditions that select the team's callers. A header takes precedence over an address,
    /// and a longer prefix over a shorter one.
    #[serde(rename = "told_by")]
    pub selectors: Vec<TeamSelector>,
}

impl Default for Team {
    fn default() -> Team {
        Team {
            name: "".into(),
            weight: 1,
            max_running: 64,
            max_waiting: 256,
            priority: 0,
            selectors: Vec::new(),
        }
    }
}

/// A condition that selects the callers of a team.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamSelector {
    /// The request has a header with this value.
    Header {
        /// The header's name.
        name: Box<str>,
        /// The header's value.
        value: Box<str>,
    },
    /// The caller's address is in this subnet.
    Address {
        /// The address of the subnet.
        prefix: IpAddr,
        /// The prefix length in bits.
        bits: u8,
    },
}

impl TeamSelector {
    /// Whether an address is in the subnet. Always false for a header.
    pub fn covers(&self, address: IpAddr) -> bool {
        let TeamSelector::Address { prefix, bits } = self else {
            return false;
        };
        match (prefix, address) {
            (IpAddr::V4(prefix), IpAddr::V4(address)) => {
                let shift = 32 - u32::from(*bits).min(32);
                let differing = u64::from(u32::from(*prefix) ^ u32::from(address));
                differing >> shift == 0
            }
            (IpAddr::V6(prefix), IpAddr::V6(address)) => {
                let shift = 128 - u32::from(*bits).min(128);
                let differing = u128::from(*prefix) ^ u128::from(address);
                differing.checked_shr(shift).unwrap_or(0) == 0
            }
            _ => false,
        }
    }
}

impl Manifest {
    /// Looks up a model by its name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| *model.name == *name)
    }

    /// The longest deadline of all models and services.
    pub fn longest_deadline(&self) -> Duration {
        let models = self.models.iter().map(|model| model.deadline);
        let services = self.services.iter().map(|service| service.deadline);
        models.chain(services).max().unwrap_or_default()
    }

    /// Looks up a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}
