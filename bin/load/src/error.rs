//! Errors of the commands and their exit codes.

use miette::Report;
use std::{
    fmt, io,
    path::{Path, PathBuf},
    process::ExitCode,
};

/// The result of a command.
pub type CliResult = Result<(), LoadError>;

/// Why a command failed.
#[derive(Debug)]
pub enum LoadError {
    /// A flag has an invalid value.
    Usage(Report),
    /// A file could not be read, parsed or written.
    File { file: PathBuf, cause: String },
    /// The checks that failed, one sentence each.
    Checks(Vec<String>),
    /// A system call failed.
    Io(io::Error),
}

impl LoadError {
    /// Creates an error about a file.
    pub fn file(file: &Path, cause: &dyn fmt::Display) -> LoadError {
        LoadError::File { file: file.to_owned(), cause: cause.to_string() }
    }

    fn exit_code(&self) -> u8 {
        match self {
            LoadError::Checks(_) => 1,
            LoadError::Usage(_) | LoadError::File { .. } | LoadError::Io(_) => 2,
        }
    }
}

impl fmt::Display for LoadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoadError::Usage(report) => write!(f, "{report:?}"),
            LoadError::File { file, cause } => write!(f, "{}: {cause}", file.display()),
            LoadError::Checks(failed) => write!(f, "checks failed: {}", failed.join("; ")),
            LoadError::Io(cause) => write!(f, "{cause}"),
        }
    }
}

impl From<Report> for LoadError {
    fn from(report: Report) -> LoadError {
        LoadError::Usage(report)
    }
}

impl From<io::Error> for LoadError {
    fn from(cause: io::Error) -> LoadError {
        LoadError::Io(cause)
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
