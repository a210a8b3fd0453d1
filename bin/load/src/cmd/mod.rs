//! The subcommands, one module each.

pub mod report;
pub mod run;

use argh::FromArgs;

/// Load generator of kingcuparch, which verifies every response.
#[derive(Debug, FromArgs)]
#[argh(
    note = "Exit codes: 0 success and all checks passed, 1 a check failed,\n2 invalid input or a file error."
)]
pub struct Args {
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Report(report::Args),
    Run(Box<run::Args>),
}
