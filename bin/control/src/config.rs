//! Settings of the control process.

use argh::FromArgs;
use base::{
    limits::VOTER_REPLACE_AFTER,
    secret::Secret,
    settings::{Flag, exit_usage, invalid_value, parse_addresses, parse_or_exit, read_secret},
    units::parse_duration,
};
use miette::Report;
use plan::Policy;
use std::{net::SocketAddr, path::PathBuf, time::Duration};

/// The name of the program.
pub const PROGRAM: &str = "kingcup-control";

const FLAGS: [Flag; 11] = [
    Flag::new("name", "a name of this process"),
    Flag::new("data", "a folder on a disk of this host"),
    Flag::new("peer-listen", "IP:PORT for the system's own processes"),
    Flag::new("operator-listen", "IP:PORT for operators"),
    Flag::new("admin-listen", "IP:PORT for metrics, dump and health"),
    Flag::new("peers", "IP:PORT,IP:PORT,... of all control processes, this one included"),
    Flag::new("voters", "the number of voters of a new log, 1, 3 or 5"),
    Flag::new("secret-file", "a file with the cluster's secret"),
    Flag::new("token-file", "a file with the operators' token"),
    Flag::new("policy", "first-fit, best-fit or best-fit-with-spares"),
    Flag::new("replace-after", "a duration such as 10s"),
];

/// Replicated log, planner of groups, and operators' API of kingcuparch.
/// Each flag may be given as a variable instead: KINGCUP_NAME for --name.
#[derive(Debug, FromArgs)]
struct Args {
    /// name of this process
    #[argh(option)]
    name: String,
    /// folder for durable state
    #[argh(option)]
    data: PathBuf,
    /// IP:PORT for the system's own processes
    #[argh(option)]
    peer_listen: SocketAddr,
    /// IP:PORT for operators
    #[argh(option)]
    operator_listen: SocketAddr,
    /// IP:PORT for metrics, dump and health
    #[argh(option)]
    admin_listen: SocketAddr,
    /// addresses of all control processes, separated by commas
    #[argh(option)]
    peers: String,
    /// voters of a new log (default 3)
    #[argh(option, default = "3")]
    voters: usize,
    /// file with the secret that the system's processes and backend servers share
    #[argh(option)]
    secret_file: PathBuf,
    /// file with the operators' bearer token
    #[argh(option)]
    token_file: PathBuf,
    /// choice of hosts: first-fit, best-fit or best-fit-with-spares (default)
    #[argh(option, default = "String::from(\"best-fit-with-spares\")")]
    policy: String,
    /// silence after which a follower takes a voter's place (default 10s)
    #[argh(option, default = "String::new()")]
    replace_after: String,
    /// worker threads (default 2)
    #[argh(option, default = "2")]
    workers: usize,
}

/// Validated settings.
#[derive(Debug)]
pub struct Config {
    /// The name of this process.
    pub name: Box<str>,
    /// The folder for durable state.
    pub data: PathBuf,
    /// Where the system's own processes connect.
    pub peer_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Where metrics, dump and health are served.
    pub admin_listen: SocketAddr,
    /// The other control processes.
    pub peers: Vec<SocketAddr>,
    /// The number of voters of a new log.
    pub voters: usize,
    /// The cluster's secret.
    pub secret: Secret,
    /// The operators' token.
    pub token: Secret,
    /// The policy by which hosts are chosen for groups.
    pub policy: Policy,
    /// Silence of a voter after which a follower replaces it.
    pub replace_after: Duration,
    /// Worker threads.
    pub workers: usize,
}

impl Config {
    /// Reads the settings from the arguments and environment; exits with code 2 if they are
    /// invalid.
    pub fn from_process() -> Config {
        let args: Args = parse_or_exit(PROGRAM, &FLAGS);
        Config::check(args).unwrap_or_else(|report| exit_usage(&report))
    }

    fn check(args: Args) -> Result<Config, Report> {
        let mut peers = parse_addresses("peers", &args.peers)?;
        peers.retain(|peer| *peer != args.peer_listen);
        if ![1, 3, 5].contains(&args.voters) || args.voters > peers.len() + 1 {
            let text = args.voters.to_string();
            let cause = "must be odd and at most the number of processes in --peers";
            return Err(invalid_value("voters", &text, cause, "1, 3 or 5"));
        }
        Ok(Config {
            name: args.name.into(),
            data: args.data,
            peer_listen: args.peer_listen,
            operator_listen: args.operator_listen,
            admin_listen: args.admin_listen,
            peers,
            voters: args.voters,
            secret: read_secret("secret-file", &args.secret_file)?,
            token: read_secret("token-file", &args.token_file)?,
            policy: parse_policy(&args.policy)?,
            replace_after: parse_replace_after(&args.replace_after)?,
            workers: args.workers,
        })
    }
}

fn parse_policy(text: &str) -> Result<Policy, Report> {
    match text {
        "first-fit" => Ok(Policy::FirstFit),
        "best-fit" => Ok(Policy::BestFit),
        "best-fit-with-spares" => Ok(Policy::BestFitWithSpares),
        _ => {
            let takes = "first-fit, best-fit or best-fit-with-spares";
            Err(invalid_value("policy", text, "unknown policy", takes))
        }
    }
}

fn parse_replace_after(text: &str) -> Result<Duration, Report> {
    if text.is_empty() {
        return Ok(VOTER_REPLACE_AFTER);
    }
    parse_duration(text)
        .map_err(|cause| invalid_value("replace-after", text, &cause, "a duration such as 10s"))
}
