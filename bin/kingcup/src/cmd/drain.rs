//! `kingcup drain ADMIN`

use crate::{config::Config, error::CliResult};
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;
use std::net::SocketAddr;

/// drain an entry: it leaves the directory, answers its open requests and exits
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain", example = "kingcup --token-file token drain 127.0.2.1:7400")]
pub struct Args {
    /// IP:PORT of the entry's --admin-listen
    #[argh(positional)]
    admin: SocketAddr,
}

pub fn run(cfg: &Config, args: &Args) -> CliResult {
    let _: Value = cfg.call(args.admin, Method::POST, "/drain", String::new())?;
    println!("entry at {} drains", args.admin);
    Ok(())
}
