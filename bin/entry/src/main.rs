//! `kingcup-entry`: callers' requests, the directory, announcements and routing.

mod announce;
mod caller;
mod claims;
mod config;
mod control;
mod core;
mod dispatch;
mod drain;
mod metrics;
mod process;
mod refusal;
mod stream;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
