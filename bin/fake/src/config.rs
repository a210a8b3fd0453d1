//! Settings of the stand-in.

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

/// Stand-in for a model engine (--accelerators) or a plain service (--service).
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
    /// addresses on which entries take announcements, separated by commas
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
    /// plain service that is offered in place of accelerators
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
    /// time that a service needs for a request (default 2ms)
    #[argh(option, default = "Duration::from_millis(2)", from_str_fn(duration))]
    service_time: Duration,
    /// answers after which a cold engine is warm (default 20)
    #[argh(option, default = "20")]
    warm_after: u64,
    /// requests at a time above which a cold engine counts a violation (default 2)
    #[argh(option, default = "2")]
    cold_limit: u32,
    /// requests at a time above which a warm engine counts a violation (default 16)
    #[argh(option, default = "16")]
    warm_limit: u32,
    /// prefixes that the cache holds (default 64)
    #[argh(option, default = "64")]
    cached_prefixes: usize,
    /// delay of the reported load (default 0ms)
    #[argh(option, default = "Duration::ZERO", from_str_fn(duration))]
    report_lag: Duration,
    /// obey orders with an old fence as well
    #[argh(switch)]
    ignore_fence: bool,
    /// worker threads (default 1)
    #[argh(option, default = "1")]
    workers: usize,
}

fn duration(text: &str) -> Result<Duration, String> {
    parse_duration(text)
}

/// How fast the stand-in works.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Time to load a model.
    pub load_time: Duration,
    /// Time to the first token when warm.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_time: Duration,
    /// Time that a service needs for a request.
    pub service_time: Duration,
    /// Answers after which a cold engine is warm.
    pub warm_after: u64,
    /// Requests at a time that a cold engine bears.
    pub cold_limit: u32,
    /// Requests at a time that a warm engine bears.
    pub warm_limit: u32,
    /// Prefixes that the cache holds.
    pub cached_prefixes: usize,
    /// Delay of the reported load.
    pub report_lag: Duration,
}

/// Checked settings.
#[derive(Debug)]
pub struct Config {
    /// The name of this host.
    pub name: HostId,
    /// Where requests and orders are taken.
    pub listen: SocketAddr,
    /// Where metrics, dump, faults and ledger are served.
    pub admin_listen: SocketAddr,
    /// Where announcements are sent.
    pub entries: Vec<SocketAddr>,
    /// The failure domain.
    pub failure_domain: DomainId,
    /// The fabric domain.
    pub fabric_domain: FabricId,
    /// What is offered.
    pub offer: Offer,
    /// The cluster's secret.
    pub secret: Secret,
    /// How fast the stand-in works.
    pub pace: Pace,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
    /// Worker threads.
    pub workers: usize,
}

impl Config {
    /// Reads the arguments and environment, or exits with code 2.
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
                let takes = "a number of 1 or more, or leave it out and set --service";
                return Err(invalid_value(
                    "accelerators",
                    &text,
                    "not what a host can offer",
                    takes,
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
            pace: Pace {
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
