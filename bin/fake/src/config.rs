//! Settings of the fake backend server.

use argh::FromArgs;
use base::{
    secret::Secret,
    settings::{Flag, exit_usage, invalid_value, parse_addresses, parse_or_exit, read_secret},
    units::parse_duration,
};
use miette::Report;
use model::{
    announce::Offer,
    ids::{DomainId, FabricId, HostId},
};
use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// The name of the program.
pub const PROGRAM: &str = "kingcup-fake";

const FLAGS: [Flag; 9] = [
    Flag::new("name", "a name of this host"),
    Flag::new("listen", "IP:PORT for requests and orders"),
    Flag::new("admin-listen", "IP:PORT for metrics, dump, faults and ledger"),
    Flag::new("entries", "IP:PORT,IP:PORT,... of the entries' --backend-listen"),
    Flag::new("failure-domain", "a name"),
    Flag::new("fabric-domain", "a name"),
    Flag::new("accelerators", "a number of 1 or more"),
    Flag::new("service", "the name of a plain service"),
    Flag::new("secret-file", "a file with the cluster's secret"),
];

/// Fake backend server for tests: a model engine (--accelerators) or a plain service (--service).
#[derive(Debug, FromArgs)]
struct Args {
    /// name of this host
    #[argh(option)]
    name: String,
    /// IP:PORT for requests and orders
    #[argh(option)]
    listen: SocketAddr,
    /// IP:PORT for metrics, dump, faults and ledger
    #[argh(option)]
    admin_listen: SocketAddr,
    /// addresses on which entries accept announcements, separated by commas
    #[argh(option)]
    entries: String,
    /// failure domain of this host
    #[argh(option)]
    failure_domain: String,
    /// fabric domain of this host
    #[argh(option)]
    fabric_domain: String,
    /// accelerators that a model engine offers
    #[argh(option)]
    accelerators: Option<u32>,
    /// plain service to offer in place of accelerators
    #[argh(option)]
    service: Option<String>,
    /// file with the secret that the system's processes and backend servers share
    #[argh(option)]
    secret_file: PathBuf,
    /// time to load a model (default 300ms)
    #[argh(option, default = "Duration::from_millis(300)", from_str_fn(duration))]
    load_time: Duration,
    /// time to the first token when warm (default 10ms)
    #[argh(option, default = "Duration::from_millis(10)", from_str_fn(duration))]
    first_token: Duration,
    /// time between tokens (default 2ms)
    #[argh(option, default = "Duration::from_millis(2)", from_str_fn(duration))]
    token_time: Duration,
    /// time to process a request of a service (default 2ms)
    #[argh(option, default = "Duration::from_millis(2)", from_str_fn(duration))]
    service_time: Duration,
    /// number of completed requests after which a cold engine is warm (default 20)
    #[argh(option, default = "20")]
    warm_after: u64,
    /// concurrent requests at which a cold engine counts a further one as a violation (default 2)
    #[argh(option, default = "2")]
    cold_limit: u32,
    /// concurrent requests at which a warm engine counts a further one as a violation (default 16)
    #[argh(option, default = "16")]
    warm_limit: u32,
    /// capacity of the prefix cache (default 64)
    #[argh(option, default = "64")]
    cached_prefixes: usize,
    /// delay of the reported load (default 0ms)
    #[argh(option, default = "Duration::ZERO", from_str_fn(duration))]
    report_lag: Duration,
    /// execute orders with an old fence as well
    #[argh(switch)]
    ignore_fence: bool,
    /// worker threads (default 1)
    #[argh(option, default = "1")]
    workers: usize,
}

fn duration(text: &str) -> Result<Duration, String> {
    parse_duration(text)
}

/// Simulated speed and limits of the backend server.
#[derive(Debug, Clone)]
pub struct Performance {
    /// Time to load a model.
    pub load_time: Duration,
    /// Time to the first token when warm.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// Time to process a request of a service.
    pub service_time: Duration,
    /// Number of completed requests after which a cold engine is warm.
    pub warm_after: u64,
    /// Maximum number of concurrent requests of a cold engine.
    pub cold_limit: u32,
    /// Maximum number of concurrent requests of a warm engine.
    pub warm_limit: u32,
    /// Capacity of the prefix cache.
    pub cached_prefixes: usize,
    /// Delay of the reported load.
    pub report_lag: Duration,
}

/// Checked settings.
#[derive(Debug)]
pub struct Config {
    /// The name of this host.
    pub name: HostId,
    /// Address that accepts requests and orders.
    pub listen: SocketAddr,
    /// Address that serves metrics, dump, faults and ledger.
    pub admin_listen: SocketAddr,
    /// Addresses of the entries that receive announcements.
    pub entries: Vec<SocketAddr>,
    /// The failure domain.
    pub failure_domain: DomainId,
    /// The fabric domain.
    pub fabric_domain: FabricId,
    /// The accelerators or service offered.
    pub offer: Offer,
    /// The cluster's secret.
    pub secret: Secret,
    /// Simulated speed and limits.
    pub performance: Performance,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
    /// Worker threads.
    pub workers: usize,
}

impl Config {
    /// Reads the arguments and environment. Exits with code 2 if they are invalid.
    pub fn from_process() -> Config {
        let args: Args = parse_or_exit(PROGRAM, &FLAGS);
        Config::check(args).unwrap_or_else(|report| exit_usage(&report))
    }

    fn check(args: Args) -> Result<Config, Report> {
        let offer = match (args.accelerators, args.service) {
            (Some(count), None) if count > 0 => Offer::Accelerators(count),
            (None, Some(name)) => Offer::Service(name.into()),
            (count, _) => {
                let text = count.map_or_else(String::new, |count| count.to_string());
                let expected = "a number of 1 or more, or leave it out and set --service";
                return Err(invalid_value(
                    "accelerators",
                    &text,
                    "not what a host can offer",
                    expected,
                ));
            }
        };
        let entries = parse_addresses("entries", &args.entries)?;
        if entries.is_empty() {
            return Err(invalid_value("entries", "", "no address", "IP:PORT,IP:PORT,..."));
        }
        let secret = read_secret("secret-file", &args.secret_file)?;
        Ok(Config {
            name: args.name.into(),
            listen: args.listen,
            admin_listen: args.admin_listen,
            entries,
            failure_domain: args.failure_domain.into(),
            fabric_domain: args.fabric_domain.into(),
            offer,
            secret,
            performance: Performance {
                load_time: args.load_time,
                first_token: args.first_token,
                token_time: args.token_time,
                service_time: args.service_time,
                warm_after: args.warm_after,
                cold_limit: args.cold_limit,
                warm_limit: args.warm_limit,
                cached_prefixes: args.cached_prefixes,
                report_lag: args.report_lag,
            },
            checks_fence: !args.ignore_fence,
            workers: args.workers,
        })
    }
}
