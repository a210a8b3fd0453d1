//! `kingcup domain out NAME [--notice 10m] [--wait]` and `kingcup domain back NAME`

use crate::{
    config::Config,
    error::{CliError, CliResult},
};
use argh::FromArgs;
use base::units::parse_duration;
use hyper::Method;
use model::status::Status;
use serde_json::{Value, json};
use std::{
    thread,
    time::{Duration, Instant},
};

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// take a failure domain out of service, or return it to service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "domain", example = "kingcup domain out taichung-a --notice 10m")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Action {
    Out(Out),
    Back(Back),
}

/// take a failure domain out of service: no new work goes to it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
struct Out {
    /// name of the failure domain, as in the manifest
    #[argh(positional)]
    domain: String,
    /// time for replacements to form elsewhere before work stops, such as 10m
    #[argh(option)]
    notice: Option<String>,
    /// wait until no group or service replica in the domain serves
    #[argh(switch)]
    wait: bool,
    /// longest wait in seconds with --wait, beyond the notice (default 30)
    #[argh(option, default = "30")]
    wait_seconds: u64,
}

/// return a failure domain to service
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "back")]
struct Back {
    /// name of the failure domain, as in the manifest
    #[argh(positional)]
    domain: String,
}

pub fn run(cfg: &Config, args: &Args) -> CliResult {
    match &args.action {
        Action::Out(out) => {
            let body = out
                .notice
                .as_ref()
                .map_or_else(String::new, |notice| json!({ "notice": notice }).to_string());
            let path = format!("/v1/domains/{}/out", out.domain);
            let _: Value = cfg.call_leader(Method::POST, &path, body)?;
            println!("failure domain {} is out", out.domain);
            if out.wait {
                wait_until_empty(cfg, out)?;
            }
        }
        Action::Back(back) => {
            let path = format!("/v1/domains/{}/back", back.domain);
            let _: Value = cfg.call_leader(Method::POST, &path, String::new())?;
            println!("failure domain {} is back", back.domain);
        }
    }
    Ok(())
}

fn wait_until_empty(cfg: &Config, out: &Out) -> CliResult {
    let notice = out.notice.as_deref().map_or(Ok(Duration::ZERO), parse_duration);
    let timeout = notice.unwrap_or_default() + Duration::from_secs(out.wait_seconds);
    let deadline = Instant::now() + timeout;
    loop {
        let status: Status = cfg.call_leader(Method::GET, "/v1/status", String::new())?;
        let serving = status.serving_by_domain.get(&*out.domain).copied().unwrap_or(0);
        if serving == 0 {
            println!("nothing serves in {}", out.domain);
            return Ok(());
        }
        if Instant::now() >= deadline {
            let message = format!(
                "failure domain {}: {serving} groups and service replicas still serve after {} s: \
                 raise --wait-seconds to wait longer",
                out.domain,
                timeout.as_secs()
            );
            return Err(CliError::Incomplete(message));
        }
        thread::sleep(POLL_INTERVAL);
    }
}
