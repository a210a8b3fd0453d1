//! The commands, one file each.

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

/// Operators' tool of kingcuparch.
/// Each flag may be given as a variable instead: KINGCUP_OPERATOR for --operator.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 done, 1 refused or not reached in time, 2 wrong input, 3 nobody answers."
)]
pub struct Args {
    /// operators' addresses of the control processes, separated by commas
    #[argh(option, default = "String::new()")]
    pub operator: String,
    /// file with the operators' bearer token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// an entry's address for callers, for `entries`
    #[argh(option)]
    pub entry: Option<SocketAddr>,
    #[argh(subcommand)]
    pub command: Command,
}

/// A command.
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
