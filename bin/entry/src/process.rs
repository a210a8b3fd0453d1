//! Starts the tasks of the process and shuts them down.

use crate::{
    announce::AnnounceHandler,
    caller::CallerHandler,
    claims::ClaimService,
    config::{Config, PROGRAM},
    control::ControlClient,
    drain::drain,
    entry_state::EntryState,
    metrics::EntryMetrics,
};
use async_io::Timer;
use base::{clock::SystemClock, limits::REQUESTS_MAX, metrics::Metrics, settings::exit_usage};
use futures_lite::FutureExt;
use http::{ByteBudget, Limits, Server, serve_admin};
use log::info;
use miette::{IntoDiagnostic, Report};
use net::{Stop, bind, start_pool, wait_for_stop_signal};
use std::{sync::Arc, time::Duration};

/// Interval at which expired leases, announcements and requests are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the process until a stop signal or a drain request. Exits with code 2 if a setting is
/// invalid.
pub fn run_or_exit(config: Config) {
    if let Err(report) = run(config) {
        exit_usage(&report);
    }
}

fn run(config: Config) -> Result<(), Report> {
    let pool = start_pool(config.workers).into_diagnostic()?;
    let listener = bind("listen", config.listen)?;
    let backend_listener = bind("backend-listen", config.backend_listen)?;
    let admin_listener = bind("admin-listen", config.admin_listen)?;
    let metrics = Arc::new(Metrics::default());
    let entry_metrics = EntryMetrics::register(&metrics);
    let state = Arc::new(EntryState::new(&config, pool, entry_metrics, Arc::new(SystemClock)));
    info!("event=start program={PROGRAM} name={} listen={}", config.name, config.listen);

    let control = Arc::new(ControlClient::start(&state, config.control, config.secret.clone()));
    let ticked = state.clone();
    pool.spawn(async move {
        loop {
            Timer::after(TICK_INTERVAL).await;
            ticked.tick();
        }
    })
    .detach();
    let bodies = Arc::new(ByteBudget::new(REQUESTS_MAX));
    let callers = Server {
        pool,
        listener,
        limits: config.limits,
        bodies: bodies.clone(),
        handler: Arc::new(CallerHandler::new(state.clone(), ClaimService::new(control))),
        stop: state.stop.clone(),
    };
    pool.spawn(callers.run()).detach();
    let announcements = Server {
        pool,
        listener: backend_listener,
        limits: Limits::default(),
        bodies,
        handler: Arc::new(AnnounceHandler { state: state.clone(), secret: config.secret }),
        stop: Stop::default(),
    };
    pool.spawn(announcements.run()).detach();
    serve_admin(pool, admin_listener, metrics, state.clone(), Stop::default());

    async_io::block_on(async {
        let drain_requested = async {
            state.drain_requested.wait().await;
            Ok(())
        };
        wait_for_stop_signal().or(drain_requested).await.into_diagnostic()?;
        drain(&state).await;
        Ok::<(), Report>(())
    })?;
    info!("event=stop program={PROGRAM} name={}", state.name);
    Ok(())
}
