//! Start and end of the process.

use crate::{
    announcer,
    config::{Config, PROGRAM},
    front::Front,
    machine::Machine,
    report::{FakeMetrics, ReportDoor},
};
use async_channel::bounded;
use base::{limits::DRAIN_TIMEOUT, settings::exit_usage};
use http::{Limits, Server};
use log::info;
use miette::{IntoDiagnostic, Report};
use net::{Stop, bind, start_pool, wait_for_stop_signal};
use std::sync::Arc;

/// Runs the process until a signal; exits with code 2 after a wrong setting.
pub fn run_or_exit(config: Config) {
    if let Err(report) = run(config) {
        exit_usage(&report);
    }
}

fn run(config: Config) -> Result<(), Report> {
    let pool = start_pool(config.workers).into_diagnostic()?;
    let listener = bind("listen", config.listen)?;
    let admin_listener = bind("admin-listen", config.admin_listen)?;
    let machine = Arc::new(Machine::new(Arc::new(config)));
    let (nudge, nudged) = bounded(1);
    let stop = Stop::default();
    info!("event=start program={PROGRAM} host={}", machine.config().name);
    let front = Server {
        pool,
        listener,
        limits: Limits::default(),
        handler: Arc::new(Front { machine: machine.clone(), nudge: nudge.clone() }),
        stop: stop.clone(),
    };
    pool.spawn(front.run()).detach();
    let report = Server {
        pool,
        listener: admin_listener,
        limits: Limits::default(),
        handler: Arc::new(ReportDoor {
            metrics: FakeMetrics::default(),
            machine: machine.clone(),
            nudge,
        }),
        stop: Stop::default(),
    };
    pool.spawn(report.run()).detach();
    pool.spawn(announcer::run(pool, machine, nudged)).detach();
    async_io::block_on(async {
        wait_for_stop_signal().await.into_diagnostic()?;
        stop.trigger();
        stop.drained(DRAIN_TIMEOUT).await;
        Ok::<(), Report>(())
    })?;
    info!("event=stop program={PROGRAM}");
    Ok(())
}
