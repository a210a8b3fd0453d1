//! The manifest: what operators want the system to run.

mod check;
mod position;

pub use check::{CheckedManifest, Finding, check_manifest};

use crate::ids::{DomainId, ManifestNumber, ModelId, ServiceId, TeamId};
use base::units::{DurationText, SizeText};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::{net::IpAddr, time::Duration};

/// A manifest as the operators' pipeline writes it, in JSON.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Manifest {
    /// Grows with each change.
    pub number: ManifestNumber,
    /// The failure domains that hosts may announce.
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
    /// Groups that may load at the same time.
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
    /// The name that callers give.
    pub name: ModelId,
    /// Hosts of one replica.
    pub hosts_per_replica: u32,
    /// Accelerators that each of these hosts must offer.
    pub accelerators_per_host: u32,
    /// Replicas wanted.
    pub replicas: u32,
    /// Replicas below which this model goes before others.
    pub floor: u32,
    /// Requests that one cold replica bears at a time.
    pub cold_slots: u32,
    /// Requests that one warm replica bears at a time.
    pub warm_slots: u32,
    /// Time within which an answer is of use.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// Size of the weights on one host, in bytes.
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

/// A plain service and its routes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Service {
    /// The name that its backend servers announce.
    pub name: ServiceId,
    /// Requests that one replica bears at a time.
    pub slots: u32,
    /// Time within which an answer is of use.
    #[serde_as(as = "DurationText")]
    pub deadline: Duration,
    /// The requests that belong to the service.
    pub routes: Vec<ServiceRoute>,
}

impl Default for Service {
    fn default() -> Service {
        Service { name: "".into(), slots: 8, deadline: Duration::from_secs(10), routes: Vec::new() }
    }
}

/// Requests of one method and path prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceRoute {
    /// The HTTP method.
    pub method: Box<str>,
    /// The beginning of the path.
    pub path_prefix: Box<str>,
    /// Whether running a request twice does no harm.
    pub idempotent: bool,
    /// Where the key stands that names one booking across resends.
    pub request_key: Option<RequestKey>,
}

/// Where a request's key stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKey {
    /// In the header of this name.
    Header(Box<str>),
    /// At this JSON pointer in the body.
    Pointer(Box<str>),
}

/// A team of callers and its limits on each entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Team {
    /// The name.
    pub name: TeamId,
    /// Its share of the capacity against other teams.
    pub weight: u32,
    /// Requests of the team that may run at a time on one entry.
    pub max_running: u32,
    /// Requests of the team that may wait on one entry.
    pub max_waiting: u32,
    /// The priority passed to the engine; a larger number goes first.
    pub priority: u32,
    /// How callers of the team are told from others.
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

/// A mark of a team's callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TeamSelector {
    /// A header with this value.
    Header {
        /// The header's name.
        name: Box<str>,
        /// The header's value.
        value: Box<str>,
    },
    /// An address that begins with these bits.
    Address {
        /// The address.
        prefix: IpAddr,
        /// The number of leading bits that count.
        bits: u8,
    },
}

impl TeamSelector {
    /// Whether an address belongs to the prefix; false for header marks.
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
    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| *model.name == *name)
    }

    /// The longest time within which an answer of any model or service is of use.
    pub fn longest_deadline(&self) -> Duration {
        let models = self.models.iter().map(|model| model.deadline);
        let services = self.services.iter().map(|service| service.deadline);
        models.chain(services).max().unwrap_or_default()
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| *service.name == *name)
    }
}
