//! Errors of the commands and their exit codes.

use hyper::StatusCode;
use miette::Report;
use model::{manifest::Finding, status::ErrorBody};
use serde::Deserialize;
use std::{fmt, io, net::SocketAddr, path::PathBuf, process::ExitCode};

/// The result of a command.
pub type CliResult = Result<(), CliError>;

/// Why a command failed.
#[derive(Debug)]
pub enum CliError {
    /// A required flag or argument is missing.
    Usage(&'static str),
    /// A flag has an invalid value.
    Setting(Report),
    /// A file could not be read.
    File { file: PathBuf, cause: io::Error },
    /// A manifest is invalid.
    Manifest { file: PathBuf, findings: Vec<Finding> },
    /// A process answered with an error status.
    Refused {
        by: SocketAddr,
        status: StatusCode,
        /// The machine-readable error code of the response body.
        error: Box<str>,
        /// The human-readable message of the response body.
        message: Box<str>,
        /// Errors in the manifest that was sent.
        findings: Vec<Box<str>>,
    },
    /// A process could not be reached, or its response could not be read.
    Unreachable { to: SocketAddr, cause: String },
    /// A wait timed out, or a search found nothing.
    Incomplete(String),
    /// A system call failed.
    Io(io::Error),
}

#[derive(Debug, Default, Deserialize)]
struct FindingsBody {
    #[serde(default)]
    findings: Vec<Box<str>>,
}

impl CliError {
    /// Builds the error for a response with an error status. A body that is not an
    /// `ErrorBody` becomes the message.
    pub fn refused(by: SocketAddr, status: StatusCode, body: &[u8]) -> CliError {
        let text = String::from_utf8_lossy(body);
        let parsed = serde_json::from_slice(body)
            .unwrap_or_else(|_| ErrorBody { error: "refused".into(), message: text.trim().into() });
        let findings = serde_json::from_slice::<FindingsBody>(body).unwrap_or_default().findings;
        CliError::Refused { by, status, error: parsed.error, message: parsed.message, findings }
    }

    /// Whether the same call to another control process, or a later one, may succeed.
    pub fn may_succeed_elsewhere(&self) -> bool {
        match self {
            CliError::Unreachable { .. } => true,
            CliError::Refused { error, .. } => matches!(&**error, "not_leader" | "outcome_unknown"),
            _ => false,
        }
    }

    fn exit_code(&self) -> u8 {
        match self {
            CliError::Refused { status, .. } if *status == StatusCode::UNPROCESSABLE_ENTITY => 2,
            CliError::Refused { .. } | CliError::Incomplete(_) => 1,
            CliError::Usage(_)
            | CliError::Setting(_)
            | CliError::File { .. }
            | CliError::Manifest { .. } => 2,
            CliError::Unreachable { .. } | CliError::Io(_) => 3,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Usage(message) => f.write_str(message),
            CliError::Setting(report) => write!(f, "{report:?}"),
            CliError::File { file, cause } => {
                write!(f, "{}: {cause}: check the path", file.display())
            }
            CliError::Manifest { file, findings } => {
                let lines: Vec<String> = findings
                    .iter()
                    .map(|finding| format!("{}:{finding}", file.display()))
                    .collect();
                f.write_str(&lines.join("\n"))
            }
            CliError::Refused { by, status, message, findings, .. } => {
                write!(f, "{by} refused with status {}: {message}", status.as_u16())?;
                findings.iter().try_for_each(|finding| write!(f, "\n{finding}"))
            }
            CliError::Unreachable { to, cause } => {
                write!(
                    f,
                    "{to}: {cause}: check that the process is running and the address is correct"
                )
            }
            CliError::Incomplete(message) => f.write_str(message),
            CliError::Io(cause) => write!(f, "{cause}"),
        }
    }
}

impl From<io::Error> for CliError {
    fn from(cause: io::Error) -> CliError {
        CliError::Io(cause)
    }
}

impl From<Report> for CliError {
    fn from(report: Report) -> CliError {
        CliError::Setting(report)
    }
}

/// Prints the error, if any, and returns the exit code.
pub fn report(result: CliResult) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_code())
        }
    }
}
