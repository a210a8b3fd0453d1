//! `kingcup-fake`: a stand-in for a model engine or a plain service.

mod announcer;
mod config;
mod engine;
mod faults;
mod front;
mod machine;
mod process;
mod report;
mod service;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
