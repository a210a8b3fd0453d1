//! Command-line settings of the entry process.

use argh::FromArgs;
use base::{
    limits::{BODY_MAX, HEADER_MAX},
    secret::Secret,
    settings::{Flag, exit_usage, invalid_value, parse_addresses, parse_or_exit, read_secret},
};
use http::Limits;
use miette::Report;
use model::ids::EntryId;
use route::BalancingPolicy;
use std::{net::SocketAddr, path::PathBuf};

/// The program name.
pub const PROGRAM: &str = "kingcup-entry";

/// The smallest header limit that hyper accepts, in bytes.
const MIN_HEADER_BYTES: usize = 8192;

const FLAGS: [Flag; 11] = [
    Flag::new("name", "a name of this process"),
    Flag::new("listen", "IP:PORT for callers"),
    Flag::new("backend-listen", "IP:PORT for announcements of backend servers"),
    Flag::new("admin-listen", "IP:PORT for metrics, dump and health"),
    Flag::new("control", "IP:PORT,IP:PORT,... of the control processes' --peer-listen"),
    Flag::new("secret-file", "a file with the cluster's secret"),
    Flag::new("token-file", "a file with the operators' token"),
    Flag::new("body-bytes", "the largest request body in bytes"),
    Flag::new("header-bytes", "the largest block of headers in bytes, 8192 or more"),
    Flag::new("choice", "affinity, random or least-running"),
    Flag::new("workers", "a number of threads"),
];

/// Entry of kingcuparch: takes callers' requests and routes them to backend servers.
/// Each flag may be given as a variable instead: KINGCUP_NAME for --name.
#[derive(Debug, FromArgs)]
struct Args {
    /// name of this process
    #[argh(option)]
    name: String,
    /// IP:PORT for callers
    #[argh(option)]
    listen: SocketAddr,
    /// IP:PORT for announcements of backend servers
    #[argh(option)]
    backend_listen: SocketAddr,
    /// IP:PORT for metrics, dump and health
    #[argh(option)]
    admin_listen: SocketAddr,
    /// addresses of the control processes, separated by commas
    #[argh(option)]
    control: String,
    /// file with the secret that the system's processes and backend servers share
    #[argh(option)]
    secret_file: PathBuf,
    /// file with the operators' bearer token, which lets them drain this entry
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// largest request body in bytes (default 4 MiB)
    #[argh(option, default = "BODY_MAX")]
    body_bytes: usize,
    /// largest block of request headers in bytes (default 32 KiB)
    #[argh(option, default = "HEADER_MAX")]
    header_bytes: usize,
    /// choice of group: affinity (default), random or least-running
    #[argh(option, default = "String::from(\"affinity\")")]
    choice: String,
    /// worker threads (default 4)
    #[argh(option, default = "4")]
    workers: usize,
}

/// Validated settings.
#[derive(Debug)]
pub struct Config {
    /// The name of this process.
    pub name: EntryId,
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The address that backend servers send announcements to.
    pub backend_listen: SocketAddr,
    /// The address that serves metrics, dump and health.
    pub admin_listen: SocketAddr,
    /// The addresses of the control processes.
    pub control: Vec<SocketAddr>,
    /// The cluster's secret.
    pub secret: Secret,
    /// The operators' token.
    pub token: Option<Secret>,
    /// Limits on what callers send.
    pub limits: Limits,
    /// The policy by which a group is chosen.
    pub choice: BalancingPolicy,
    /// The number of worker threads.
    pub workers: usize,
}

impl Config {
    /// Reads the arguments and the environment. Exits with code 2 if a setting is invalid.
    pub fn from_process() -> Config {
        let args: Args = parse_or_exit(PROGRAM, &FLAGS);
        Config::validate(args).unwrap_or_else(|report| exit_usage(&report))
    }

    fn validate(args: Args) -> Result<Config, Report> {
        let control = parse_addresses("control", &args.control)?;
        if control.is_empty() {
            return Err(invalid_value("control", "", "no address", "IP:PORT,IP:PORT,..."));
        }
        if args.header_bytes < MIN_HEADER_BYTES {
            let text = args.header_bytes.to_string();
            return Err(invalid_value(
                "header-bytes",
                &text,
                "too small",
                "a number of at least 8192",
            ));
        }
        let secret = read_secret("secret-file", &args.secret_file)?;
        let token = args.token_file.map(|path| read_secret("token-file", &path)).transpose()?;
        let choice = match &*args.choice {
            "affinity" => BalancingPolicy::Affinity,
            "random" => BalancingPolicy::Random,
            "least-running" => BalancingPolicy::LeastRunning,
            other => {
                let takes = "affinity, random or least-running";
                return Err(invalid_value("choice", other, "not a choice", takes));
            }
        };
        Ok(Config {
            name: args.name.into(),
            listen: args.listen,
            backend_listen: args.backend_listen,
            admin_listen: args.admin_listen,
            control,
            secret,
            token,
            limits: Limits {
                header_bytes: args.header_bytes,
                body_bytes: args.body_bytes,
                ..Limits::default()
            },
            choice,
            workers: args.workers,
        })
    }
}
