//! `kingcup`: the command-line tool for operators.

mod cmd;
mod config;
mod error;

use base::settings::parse_or_exit;
use cmd::Command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: cmd::Args = parse_or_exit(config::PROGRAM, &config::FLAGS);
    let outcome = config::Config::new(&args).and_then(|cfg| match args.command {
        Command::Apply(args) => cmd::apply::run(&cfg, &args),
        Command::Check(args) => cmd::check::run(&args),
        Command::Domain(args) => cmd::domain::run(&cfg, &args),
        Command::Drain(args) => cmd::drain::run(&cfg, &args),
        Command::Dump(args) => cmd::dump::run(&cfg, &args),
        Command::Entries(args) => cmd::entries::run(&cfg, &args),
        Command::Explain(args) => cmd::explain::run(&args),
        Command::Status(args) => cmd::status::run(&cfg, &args),
    });
    error::report(outcome)
}
