//! What a run of control is made of: its size, its faults, and its hosts.

use crate::host::{FakeHost, Site};
use fastrand::Rng;
use model::{
    ids::EntryId,
    manifest::{Manifest, Model, WeightStore},
};
use plan::Policy;
use std::net::{Ipv4Addr, SocketAddr};

/// A fault or an operator's order at a time.
#[derive(Debug, Clone)]
#[expect(missing_docs, reason = "the fields are times in milliseconds and numbers of hosts")]
pub enum Fault {
    /// A host dies and comes back.
    Kill { at_ms: u64, host: usize, duration_ms: u64 },
    /// A host pauses.
    Pause { at_ms: u64, host: usize, duration_ms: u64 },
    /// All hosts of a fabric domain pause.
    FabricOutage { at_ms: u64, fabric: usize, duration_ms: u64 },
    /// A failure domain is taken out, with notice, and brought back.
    DomainOut { at_ms: u64, domain: usize, notice_s: u64, duration_ms: u64 },
    /// Another control process leads; commands under way are lost.
    NewLeader { at_ms: u64 },
    /// The manifest asks for other numbers of replicas.
    Replicas { at_ms: u64, model: usize, replicas: u32 },
}

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct SimConfig {
    /// Failure domains.
    pub domains: usize,
    /// Fabric domains in each failure domain.
    pub fabrics: usize,
    /// Hosts in each fabric domain.
    pub hosts: usize,
    /// Hosts a replica and replicas of each model.
    pub models: Vec<(u32, u32)>,
    /// Hosts in a hundred that ignore fences.
    pub fence_ignoring_percent: u32,
    /// Time to load a model.
    pub load_ms: u64,
    /// Groups that may load at the same time.
    pub concurrent_loads: u32,
    /// The policy.
    pub policy: Policy,
    /// Seed of delays and losses.
    pub seed: u64,
    /// The faults.
    pub faults: Vec<Fault>,
}

/// What a run cost.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Figures {
    /// Seconds in which a wanted group did not serve, summed over groups.
    pub down_group_seconds: f64,
    /// Seconds in which an accelerator of a host that was up did not serve while some
    /// model was short, summed over accelerators.
    pub stranded_accelerator_seconds: f64,
    /// Records committed.
    pub records: u64,
    /// Orders sent.
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

pub(crate) fn make_manifest(plan: &SimConfig) -> Manifest {
    let model = |(number, (hosts, replicas)): (usize, &(u32, u32))| Model {
        name: format!("model-{number}").into(),
        hosts_per_replica: *hosts,
        replicas: *replicas,
        floor: replicas / 2,
        ..Model::default()
    };
    Manifest {
        number: 1,
        failure_domains: (0..plan.domains).map(domain_name).collect(),
        weight_store: WeightStore { concurrent_loads: plan.concurrent_loads },
        models: plan.models.iter().enumerate().map(model).collect(),
        ..Manifest::default()
    }
}

pub(crate) fn make_hosts(plan: &SimConfig, rng: &mut Rng) -> Vec<FakeHost> {
    let mut hosts = Vec::new();
    for domain in 0..plan.domains {
        for fabric in 0..plan.fabrics {
            for _ in 0..plan.hosts {
                let number = hosts.len();
                hosts.push(FakeHost::new(Site {
                    host: format!("host-{number:05}").into(),
                    address: address(number),
                    domain: domain_name(domain),
                    fabric: format!("fabric-{domain}-{fabric}").into(),
                    accelerators: 8,
                    checks_fence: rng.u32(..100) >= plan.fence_ignoring_percent,
                }));
            }
        }
    }
    hosts
}
