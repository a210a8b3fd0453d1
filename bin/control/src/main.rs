//! `kingcup-control`: the replicated log, the planner, the sender of orders, and the
//! operators' API.

mod config;
mod driver;
mod metrics;
mod operator;
mod orders;
mod process;
mod sessions;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
