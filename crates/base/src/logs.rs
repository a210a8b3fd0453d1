//! Structured logs: one line for each change of state, as `key=value` pairs.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io;

/// Starts logging to standard error at the level `info`.
///
/// A second call in the same process has no effect.
pub fn start() {
    start_to(io::stderr());
}

/// Starts logging to standard output at the level `info`.
///
/// A second call in the same process has no effect.
pub fn start_to_stdout() {
    start_to(io::stdout());
}

fn start_to(target: impl io::Write + Send + 'static) {
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let _ = WriteLogger::init(LevelFilter::Info, cfg, target);
}

/// Ends the process when any of its threads panics: the others would go on without it.
/// The exit code tells a panic from a wrong setting and from a fault of the storage.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        log::error!("event=panic cause=\"{}\"", info.to_string().replace(['"', '\n'], " "));
        std::process::exit(EXIT_PANIC)
    }));
}

const EXIT_PANIC: i32 = 4;
