//! `kingcup check FILE`

use crate::error::{CliError, CliResult};
use argh::FromArgs;
use model::manifest::{CheckedManifest, check_manifest};
use std::{
    fs,
    path::{Path, PathBuf},
};

/// validate a manifest without sending it
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "kingcup check examples/cooperative.json",
    note = "Prints each error as FILE:LINE:COLUMN: CAUSE. Unknown fields are errors."
)]
pub struct Args {
    /// manifest file in JSON
    #[argh(positional)]
    file: PathBuf,
}

pub fn run(args: &Args) -> CliResult {
    let (_, checked) = read_manifest(&args.file)?;
    let manifest = &checked.manifest;
    println!(
        "manifest {}: {} models, {} services, {} teams, digest {}",
        manifest.number,
        manifest.models.len(),
        manifest.services.len(),
        manifest.teams.len(),
        checked.digest
    );
    Ok(())
}

/// Reads and validates a manifest file. Returns its text and the validated manifest.
pub fn read_manifest(file: &Path) -> Result<(String, CheckedManifest), CliError> {
    let text = fs::read_to_string(file)
        .map_err(|cause| CliError::File { file: file.to_owned(), cause })?;
    let checked = check_manifest(&text)
        .map_err(|findings| CliError::Manifest { file: file.to_owned(), findings })?;
    Ok((text, checked))
}
