//! `kingcup apply FILE [--wait]`

use crate::{
    cmd::check::read_manifest,
    config::Config,
    error::{CliError, CliResult},
};
use argh::FromArgs;
use hyper::Method;
use model::status::{Accepted, Status};
use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

/// send a manifest to control, which puts it in force
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "kingcup --operator 127.0.1.1:7200 --token-file token apply manifest.json --wait",
    note = "Applying the same manifest again is safe: control accepts it without a change."
)]
pub struct Args {
    /// manifest file in JSON
    #[argh(positional)]
    file: PathBuf,
    /// wait until every live entry acts on the manifest
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds with --wait (default 10)
    #[argh(option, default = "10")]
    wait_seconds: u64,
}

const POLL_INTERVAL: Duration = Duration::from_millis(50);

pub fn run(cfg: &Config, args: &Args) -> CliResult {
    let (text, _) = read_manifest(&args.file)?;
    let accepted: Accepted = cfg.call_leader(Method::PUT, "/v1/manifest", text)?;
    println!("manifest {} in force, digest {}", accepted.number, accepted.digest);
    if args.wait {
        wait_for_entries(cfg, &accepted, Duration::from_secs(args.wait_seconds))?;
    }
    Ok(())
}

fn wait_for_entries(cfg: &Config, accepted: &Accepted, timeout: Duration) -> CliResult {
    let deadline = Instant::now() + timeout;
    loop {
        let status: Status = cfg.call_leader(Method::GET, "/v1/status", String::new())?;
        let acting =
            status.entries.iter().filter(|entry| entry.manifest >= accepted.number).count();
        if acting == status.entries.len() && acting > 0 {
            println!("acted on by {acting} of {acting} entries");
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!(
                "manifest {}: acted on by {acting} of {} entries after {} s: \
                 raise --wait-seconds to wait longer",
                accepted.number,
                status.entries.len(),
                timeout.as_secs()
            );
            return Err(CliError::Incomplete(message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
