//! Startup and shutdown of the process.

use crate::{
    admin::{AdminApi, FakeMetrics},
    announcer,
    backend::FakeBackend,
    backend_api::BackendApi,
    config::{Config, PROGRAM},
};
use async_channel::bounded;
use base::{
    limits::{DRAIN_TIMEOUT, REQUESTS_MAX},
    settings::exit_usage,
};
use http::{ByteBudget, Limits, Server};
use log::info;
use miette::{IntoDiagnostic, Report};
use net::{Stop, bind, start_pool, wait_for_stop_signal};
use std::sync::Arc;

/// Runs the process until it receives a stop signal. Exits with code 2 if a setting is invalid.
pub fn run_or_exit(config: Config) {
    if let Err(report) = run(config) {
        exit_usage(&report);
    }
}

fn run(config: Config) -> Result<(), Report> {
    let pool = start_pool(config.workers).into_diagnostic()?;
    let listener = bind("listen", config.listen)?;
    let admin_listener = bind("admin-listen", config.admin_listen)?;
    let backend = Arc::new(FakeBackend::new(Arc::new(config)));
    let (wake_announcer, wake) = bounded(1);
    let stop = Stop::default();
    info!("event=start program={PROGRAM} host={}", backend.config().name);
    let bodies = Arc::new(ByteBudget::new(REQUESTS_MAX));
    let backend_server = Server {
        pool,
        listener,
        limits: Limits::default(),
        bodies: bodies.clone(),
        handler: Arc::new(BackendApi {
            backend: backend.clone(),
            wake_announcer: wake_announcer.clone(),
        }),
        stop: stop.clone(),
    };
    pool.spawn(backend_server.run()).detach();
    let admin_server = Server {
        pool,
        listener: admin_listener,
        limits: Limits::default(),
        bodies,
        handler: Arc::new(AdminApi {
            metrics: FakeMetrics::default(),
            backend: backend.clone(),
            wake_announcer,
        }),
        stop: Stop::default(),
    };
    pool.spawn(admin_server.run()).detach();
    pool.spawn(announcer::run(pool, backend, wake)).detach();
    async_io::block_on(async {
        wait_for_stop_signal().await.into_diagnostic()?;
        stop.trigger();
        stop.drained(DRAIN_TIMEOUT).await;
        Ok::<(), Report>(())
    })?;
    info!("event=stop program={PROGRAM}");
    Ok(())
}
