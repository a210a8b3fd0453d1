//! The subcommands, one module each.

pub mod apply;
pub mod check;
pub mod domain;
pub mod drain;
pub mod dump;
pub mod entries;
pub mod explain;
pub mod status;

use argh::FromArgs;
use std::{net::SocketAddr, path::PathBuf};

/// Command-line tool for operators of kingcuparch.
/// Each flag on this page can also be set by an environment variable: KINGCUP_OPERATOR for
/// --operator.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 success, 1 refused, timed out or nothing found, 2 invalid input,\n3 no response."
)]
pub struct Args {
    /// IP:PORT of the --operator-listen of each control process, separated by commas
    #[argh(option, default = "String::new()")]
    pub operator: String,
    /// file that contains the operators' bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// IP:PORT of an entry's --listen, required by `entries`
    #[argh(option)]
    pub entry: Option<SocketAddr>,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Apply(apply::Args),
    Check(check::Args),
    Domain(domain::Args),
    Drain(drain::Args),
    Dump(dump::Args),
    Entries(entries::Args),
    Explain(explain::Args),
    Status(status::Args),
}
