//! Command-line flags, with `KINGCUP_*` environment variables as fallback.

use crate::secret::Secret;
use argh::FromArgs;
use miette::{MietteDiagnostic, Report, miette};
use std::{env, io::Write, net::SocketAddr, path::Path, process};

/// Exit code for invalid settings.
pub const EXIT_USAGE: i32 = 2;

/// A flag that can also be set by an environment variable.
#[derive(Debug, Clone, Copy)]
pub struct Flag {
    /// The name without the leading dashes, such as `admin-listen`.
    pub name: &'static str,
    /// The expected form of the value, for error messages, such as `IP:PORT`.
    pub expected: &'static str,
}

impl Flag {
    /// Creates a flag from its name and the expected form of its value.
    pub const fn new(name: &'static str, expected: &'static str) -> Flag {
        Flag { name, expected }
    }

    /// The environment variable that corresponds to the flag.
    pub fn variable(&self) -> String {
        format!("KINGCUP_{}", self.name.to_uppercase().replace('-', "_"))
    }
}

/// Prepends the flags that are set only in the environment, so that they also precede any
/// subcommand.
///
/// `lookup` returns the value of an environment variable.
pub fn merge_environment(
    args: Vec<String>,
    flags: &[Flag],
    lookup: &dyn Fn(&str) -> Option<String>,
) -> Vec<String> {
    let mut merged = Vec::new();
    for flag in flags {
        let long = format!("--{}", flag.name);
        let on_command_line = args.contains(&long);
        if let (false, Some(value)) = (on_command_line, lookup(&flag.variable())) {
            merged.push(long);
            merged.push(value);
        }
    }
    merged.extend(args);
    merged
}

/// Parses arguments into `T`.
///
/// # Errors
///
/// The outer error reports an invalid setting; the inner error is the `--help` text.
pub fn parse<T: FromArgs>(
    program: &str,
    args: &[String],
    flags: &[Flag],
) -> Result<Result<T, String>, Report> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match T::from_args(&[program], &args) {
        Ok(parsed) => Ok(Ok(parsed)),
        Err(exit) if exit.status.is_ok() => Ok(Err(exit.output)),
        Err(exit) => Err(explain(program, exit.output.trim(), flags)),
    }
}

/// Parses the arguments and environment of this process. Exits with code 0 after printing
/// `--help`, and with code 2 after an error.
pub fn parse_or_exit<T: FromArgs>(program: &str, flags: &[Flag]) -> T {
    let args = env::args().skip(1).collect();
    let args = merge_environment(args, flags, &|name| env::var(name).ok());
    match parse(program, &args, flags) {
        Ok(Ok(parsed)) => parsed,
        Ok(Err(help)) => {
            let _ = writeln!(std::io::stdout(), "{}", help.trim_end());
            process::exit(0)
        }
        Err(report) => exit_usage(&report),
    }
}

/// Prints the error and exits with [`EXIT_USAGE`].
pub fn exit_usage(report: &Report) -> ! {
    let _ = writeln!(std::io::stderr(), "{report:?}");
    process::exit(EXIT_USAGE)
}

/// An error that names a flag, its value, the cause and the expected form.
pub fn invalid_value(flag: &str, value: &str, cause: &str, expected: &str) -> Report {
    miette!(help = format!("set --{flag} to {expected}"), "--{flag}: `{value}`: {cause}")
}

/// Reads a secret from the file that a flag names.
///
/// # Errors
///
/// Returns an error that names the flag, the file and the cause.
pub fn read_secret(flag: &str, path: &Path) -> Result<Secret, Report> {
    Secret::read(path).map_err(|e| {
        let expected = "a readable file with a secret of 8 or more characters";
        invalid_value(flag, &path.display().to_string(), &e.to_string(), expected)
    })
}

/// Parses a comma-separated list of addresses, which may be empty.
///
/// # Errors
///
/// Returns an error that names the flag and the item that is not an address.
pub fn parse_addresses(flag: &str, text: &str) -> Result<Vec<SocketAddr>, Report> {
    let expected = "IP:PORT,IP:PORT,...";
    text.split(',')
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .map(|item| item.parse().map_err(|_| invalid_value(flag, item, "not an address", expected)))
        .collect()
}

/// Adds the expected values of the flags that argh's message names.
fn explain(program: &str, text: &str, flags: &[Flag]) -> Report {
    let help = flags
        .iter()
        .filter(|flag| text.contains(&format!("--{}", flag.name)))
        .map(|flag| format!("--{} or {} takes {}", flag.name, flag.variable(), flag.expected))
        .collect::<Vec<_>>()
        .join("\n");
    let help = if help.is_empty() { format!("`{program} --help` lists the flags") } else { help };
    MietteDiagnostic::new(text).with_help(help).into()
}
