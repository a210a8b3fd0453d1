//! `kingcup-load` sends load, verifies every response and writes a report.

mod caller;
mod cmd;
mod error;
mod ledger;
mod mix;
mod record;
mod report;
mod status;

use base::settings::{Flag, parse_or_exit};
use cmd::Command;
use std::process::ExitCode;

const PROGRAM: &str = "kingcup-load";

/// No flag can be set by an environment variable.
const FLAGS: [Flag; 0] = [];

fn main() -> ExitCode {
    let args: cmd::Args = parse_or_exit(PROGRAM, &FLAGS);
    let outcome = match args.command {
        Command::Report(args) => cmd::report::run(&args),
        Command::Run(args) => cmd::run::run(&args),
    };
    error::report(outcome)
}
