//! `kingcup dump ADMIN`

use crate::{config::Config, error::CliResult};
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;

/// print the state of one process as JSON
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump", example = "kingcup dump 127.0.1.1:7300")]
pub struct Args {
    /// IP:PORT of the process's --admin-listen
    #[argh(positional)]
    admin: SocketAddr,
}

pub fn run(cfg: &Config, args: &Args) -> CliResult {
    let dump: Value = cfg.call(args.admin, Method::GET, "/dump", String::new())?;
    println!("{dump:#}");
    Ok(())
}
