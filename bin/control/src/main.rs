//! `kingcup-control`: the replicated log, the planner, orders, and the operators' API.

mod config;
mod driver;
mod entries;
mod metrics;
mod operator;
mod orders;
mod process;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
