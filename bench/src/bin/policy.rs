//! Compares the placement policies of the planner on the same seeded simulations.

use argh::FromArgs;
use base::settings::parse_or_exit;
use fastrand::Rng;
use plan::Policy;
use testbed::{ControlSim, Fault, SimConfig, SimStats};

/// Measures group downtime and stranded accelerators of each policy.
#[derive(Debug, FromArgs)]
struct Args {
    /// number of seeded runs of each policy (default 24)
    #[argh(option, default = "24")]
    runs: u64,
}

const DOMAINS: usize = 3;
const FABRICS_PER_DOMAIN: usize = 4;
const HOSTS_PER_FABRIC: usize = 10;
const RUN_MS: u64 = 600_000;

/// The models and faults of the runs of one table.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    /// Hosts per replica and number of replicas, for each model.
    models: [(u32, u32); 4],
    /// Whether a failure domain is taken out, in place of faults of hosts and a fabric domain.
    domain_out: bool,
}

const SCENARIOS: [Scenario; 2] = [
    Scenario {
        name: "members die, pause and come back, a fabric domain goes dark; 102 of 120 hosts in use",
        models: [(4, 8), (3, 8), (2, 12), (1, 22)],
        domain_out: false,
    },
    Scenario {
        name: "a failure domain leaves with 60 s notice and returns; 76 of 120 hosts in use",
        models: [(4, 9), (3, 6), (2, 8), (1, 6)],
        domain_out: true,
    },
];

fn main() {
    let args: Args = parse_or_exit("policy", &[]);
    let policies = [Policy::FirstFit, Policy::BestFit, Policy::BestFitWithSpares];
    for scenario in SCENARIOS {
        println!("\n{}; mean of {} runs of {} s", scenario.name, args.runs, RUN_MS / 1000);
        println!(
            "{:<20} {:>20} {:>25} {:>8}",
            "policy", "down, group-seconds", "stranded, accel.-seconds", "orders"
        );
        for policy in policies {
            print_policy(scenario, policy, args.runs);
        }
    }
}

fn print_policy(scenario: Scenario, policy: Policy, runs: u64) {
    let stats: Vec<SimStats> = (0..runs).map(|seed| run(scenario, policy, seed)).collect();
    let mean = |value: &dyn Fn(&SimStats) -> f64| {
        stats.iter().map(value).sum::<f64>() / stats.len() as f64
    };
    println!(
        "{:<20} {:>20.1} {:>25.1} {:>8.1}",
        format!("{policy:?}"),
        mean(&|stats| stats.down_group_seconds),
        mean(&|stats| stats.stranded_accelerator_seconds),
        mean(&|stats| stats.orders as f64),
    );
}

fn run(scenario: Scenario, policy: Policy, seed: u64) -> SimStats {
    let mut sim = ControlSim::new(SimConfig {
        domains: DOMAINS,
        fabrics_per_domain: FABRICS_PER_DOMAIN,
        hosts_per_fabric: HOSTS_PER_FABRIC,
        models: scenario.models.to_vec(),
        fence_ignoring_percent: 50,
        load_ms: 5000,
        concurrent_loads: 8,
        policy,
        seed,
        faults: faults(scenario, seed),
    });
    // The first 60 s are not measured: all policies start with the same formation of groups.
    sim.run_until(60_000);
    let start = sim.stats();
    sim.run_until(RUN_MS);
    let end = sim.stats();
    SimStats {
        down_group_seconds: end.down_group_seconds - start.down_group_seconds,
        stranded_accelerator_seconds: end.stranded_accelerator_seconds
            - start.stranded_accelerator_seconds,
        records: end.records - start.records,
        orders: end.orders - start.orders,
    }
}

/// Returns the faults of a run. Either a failure domain is taken out with notice and put back,
/// or hosts are stopped and paused and a fabric domain has an outage.
fn faults(scenario: Scenario, seed: u64) -> Vec<Fault> {
    let mut rng = Rng::with_seed(seed ^ 0x5eed);
    let mut faults = Vec::new();
    if scenario.domain_out {
        let domain = rng.usize(..DOMAINS);
        let at_ms = rng.u64(100_000..300_000);
        faults.push(Fault::DomainOut { at_ms, domain, notice_s: 60, duration_ms: 200_000 });
        return faults;
    }
    let host_count = DOMAINS * FABRICS_PER_DOMAIN * HOSTS_PER_FABRIC;
    for _ in 0..16 {
        let at_ms = rng.u64(70_000..500_000);
        let host = rng.usize(..host_count);
        faults.push(Fault::Kill { at_ms, host, duration_ms: rng.u64(10_000..120_000) });
    }
    for _ in 0..8 {
        let at_ms = rng.u64(70_000..500_000);
        let host = rng.usize(..host_count);
        faults.push(Fault::Pause { at_ms, host, duration_ms: rng.u64(500..20_000) });
    }
    let fabric = rng.usize(..DOMAINS * FABRICS_PER_DOMAIN);
    faults.push(Fault::FabricOutage {
        at_ms: rng.u64(70_000..300_000),
        fabric,
        duration_ms: 30_000,
    });
    faults
}
