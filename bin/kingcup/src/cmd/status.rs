//! `kingcup status [--json]`

use crate::{config::Config, error::CliResult};
use argh::FromArgs;
use hyper::Method;
use model::{ids::ModelId, status::Status};
use serde_json::Value;
use std::collections::BTreeMap;

/// show the status of the system, as the leader of control reports it
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "kingcup status --json")]
pub struct Args {
    /// print the status as one line of JSON
    #[argh(switch)]
    json: bool,
}

pub fn run(cfg: &Config, args: &Args) -> CliResult {
    if args.json {
        let status: Value = cfg.call_leader(Method::GET, "/v1/status", String::new())?;
        println!("{status}");
        return Ok(());
    }
    let status: Status = cfg.call_leader(Method::GET, "/v1/status", String::new())?;
    print_status(&status);
    Ok(())
}

fn print_status(status: &Status) {
    println!(
        "leader    {} in term {}, {} records committed",
        status.leader, status.term, status.commit
    );
    for control in &status.controls {
        let role = if control.voter { "voter" } else { "follower" };
        println!(
            "control   {:<12} {role:<8} lacks {} records, silent for {} ms",
            control.name, control.lag, control.silent_ms
        );
    }
    match &status.manifest {
        Some(manifest) => println!("manifest  {} {}", manifest.number, manifest.digest),
        None => println!("manifest  none"),
    }
    for domain in &status.domains_out {
        println!("out       {domain}");
    }
    for entry in &status.entries {
        let leaving = if entry.leaving { ", leaving" } else { "" };
        println!(
            "entry     {:<12} manifest {}, holds {} hosts{leaving}",
            entry.entry, entry.manifest, entry.hosts
        );
    }
    for (model, (serving, groups)) in groups_by_model(status) {
        println!("model     {model:<12} {serving} of {groups} groups serve");
    }
    println!("services  {} replicas serve", status.services_serving);
    println!(
        "hosts     {} live, {} of {} accelerators serve",
        status.hosts_live, status.accelerators_serving, status.accelerators_live
    );
    for model in &status.short_models {
        println!("short     {model}");
    }
}

/// Returns the number of serving groups and of all groups for each model.
fn groups_by_model(status: &Status) -> BTreeMap<&ModelId, (usize, usize)> {
    let mut models: BTreeMap<&ModelId, (usize, usize)> = BTreeMap::new();
    for group in &status.groups {
        let counts = models.entry(&group.model).or_default();
        counts.0 += usize::from(group.serving);
        counts.1 += 1;
    }
    models
}
