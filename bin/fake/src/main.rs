//! `kingcup-fake`: a fake backend server for tests, either a model engine or a plain service.

mod admin;
mod announcer;
mod backend;
mod backend_api;
mod config;
mod engine;
mod faults;
mod process;
mod service;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
