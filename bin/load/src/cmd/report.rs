//! `kingcup-load report RESULT`

use crate::{
    error::{CliResult, LoadError},
    record::RunResult,
    report,
};
use argh::FromArgs;
use std::{fs, path::PathBuf};

/// print and draw the report of a recorded run
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "report", example = "kingcup-load report out/result.json")]
pub struct Args {
    /// result.json of a run; the chart is written beside it
    #[argh(positional)]
    result: PathBuf,
}

pub fn run(args: &Args) -> CliResult {
    let text = fs::read_to_string(&args.result).map_err(|e| LoadError::file(&args.result, &e))?;
    let result: RunResult =
        serde_json::from_str(&text).map_err(|e| LoadError::file(&args.result, &e))?;
    let chart = args.result.with_extension("svg");
    report::draw_charts(&result, &chart)?;
    report::print_table(&result);
    println!("report {}", chart.display());
    Ok(())
}
