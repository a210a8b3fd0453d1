//! `kingcup entries`

use crate::{
    config::Config,
    error::{CliError, CliResult},
};
use argh::FromArgs;
use hyper::Method;
use model::request::DIRECTORY_PATH;
use serde_json::Value;

/// print the directory of entries that callers receive
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entries", example = "kingcup --entry 127.0.2.1:7000 entries")]
pub struct Args {}

pub fn run(cfg: &Config, _args: &Args) -> CliResult {
    let entry = cfg.entry.ok_or(CliError::Usage(
        "--entry is not set: set --entry or KINGCUP_ENTRY to IP:PORT of an entry's --listen",
    ))?;
    let directory: Value = cfg.call(entry, Method::GET, DIRECTORY_PATH, String::new())?;
    for address in directory["entries"].as_array().into_iter().flatten() {
        println!("{}", address.as_str().unwrap_or_default());
    }
    println!("keep for {} s", directory["keep_seconds"]);
    Ok(())
}
