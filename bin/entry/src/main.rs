//! `kingcup-entry` routes callers' requests to backend servers. It also serves the directory of
//! entries and receives the announcements of backend servers.

mod announce;
mod caller;
mod claims;
mod config;
mod control;
mod dispatch;
mod drain;
mod entry_state;
mod metrics;
mod process;
mod refusal;
mod stream;

fn main() {
    let config = config::Config::from_process();
    let _logs = base::logs::start();
    process::run_or_exit(config);
}
