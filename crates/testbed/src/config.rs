//! Configuration of a simulation of control: cluster size, faults and generated hosts.

use crate::host::{FakeHost, HostSpec};
use fastrand::Rng;
use model::{
    ids::EntryId,
    manifest::{Manifest, Model, WeightStore},
};
use plan::Policy;
use std::net::{Ipv4Addr, SocketAddr};

/// A fault or operator action at a point in simulated time.
#[derive(Debug, Clone)]
#[expect(
    missing_docs,
    reason = "the fields are times in milliseconds and indices of hosts, domains and models"
)]
pub enum Fault {
    /// A host is stopped and restarts.
    Kill { at_ms: u64, host: usize, duration_ms: u64 },
    /// A host stops responding and keeps its state.
    Pause { at_ms: u64, host: usize, duration_ms: u64 },
    /// All hosts of a fabric domain pause.
    FabricOutage { at_ms: u64, fabric: usize, duration_ms: u64 },
    /// A failure domain is taken out with notice and later put back.
    DomainOut { at_ms: u64, domain: usize, notice_s: u64, duration_ms: u64 },
    /// Another control process becomes the leader; uncommitted commands may be lost.
    NewLeader { at_ms: u64 },
    /// The manifest changes the number of replicas of a model.
    Replicas { at_ms: u64, model: usize, replicas: u32 },
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct SimConfig {
    /// Number of failure domains.
    pub domains: usize,
    /// Number of fabric domains in each failure domain.
    pub fabrics_per_domain: usize,
    /// Number of hosts in each fabric domain.
    pub hosts_per_fabric: usize,
    /// Hosts per replica and number of replicas, for each model.
    pub models: Vec<(u32, u32)>,
    /// Percentage of hosts that ignore fences.
    pub fence_ignoring_percent: u32,
    /// Time to load a model, in milliseconds.
    pub load_ms: u64,
    /// Maximum number of groups that load at the same time.
    pub concurrent_loads: u32,
    /// Placement policy of the planner.
    pub policy: Policy,
    /// Seed of the random delays and losses.
    pub seed: u64,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

/// Totals of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SimStats {
    /// Seconds for which a group required by the manifest did not serve, summed over groups.
    pub down_group_seconds: f64,
    /// Seconds for which an accelerator of a host that was up did not serve while some model
    /// lacked a replica, summed over accelerators.
    pub stranded_accelerator_seconds: f64,
    /// Number of records committed.
    pub records: u64,
    /// Number of orders sent.
    pub orders: u64,
}

pub(crate) fn domain_name(number: usize) -> Box<str> {
    format!("domain-{number}").into()
}

pub(crate) fn entry_name(number: usize) -> EntryId {
    format!("entry-{number}").into()
}

pub(crate) fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 8000))
}

pub(crate) fn make_manifest(config: &SimConfig) -> Manifest {
    let model = |(number, (hosts_per_replica, replicas)): (usize, &(u32, u32))| Model {
        name: format!("model-{number}").into(),
        hosts_per_replica: *hosts_per_replica,
        replicas: *replicas,
        floor: replicas / 2,
        ..Model::default()
    };
    Manifest {
        number: 1,
        failure_domains: (0..config.domains).map(domain_name).collect(),
        weight_store: WeightStore { concurrent_loads: config.concurrent_loads },
        models: config.models.iter().enumerate().map(model).collect(),
        ..Manifest::default()
    }
}

pub(crate) fn make_hosts(config: &SimConfig, rng: &mut Rng) -> Vec<FakeHost> {
    let mut hosts = Vec::new();
    for domain in 0..config.domains {
        for fabric in 0..config.fabrics_per_domain {
            for _ in 0..config.hosts_per_fabric {
                let number = hosts.len();
                hosts.push(FakeHost::new(HostSpec {
                    host: format!("host-{number:05}").into(),
                    address: address(number),
                    domain: domain_name(domain),
                    fabric: format!("fabric-{domain}-{fabric}").into(),
                    accelerators: 8,
                    checks_fence: rng.u32(..100) >= config.fence_ignoring_percent,
                }));
            }
        }
    }
    hosts
}
