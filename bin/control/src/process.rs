//! Startup and shutdown of the process.

use crate::{
    config::{Config, PROGRAM},
    driver::{Driver, DriverHandle, Event},
    metrics::ControlMetrics,
    operator,
    orders::HttpOrders,
    sessions::SessionAcceptor,
};
use base::{clock::SystemClock, logs, metrics::Metrics, settings::exit_usage};
use http::{Dump, serve_admin};
use log::{error, info};
use miette::{IntoDiagnostic, Report};
use net::{Pool, Stop, bind, start_pool, wait_for_stop_signal};
use peer::{ByteCount, CONTROL_PATH, Links};
use std::{sync::Arc, thread, time::Duration};
use store::{Loaded, Store};

const EXIT_STORAGE: i32 = 3;

const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the process until a stop signal. Exits with code 2 on an invalid setting and with
/// code 3 on a storage error.
pub fn run_or_exit(config: Config) {
    if let Err(report) = run(config) {
        exit_usage(&report);
    }
}

fn run(config: Config) -> Result<(), Report> {
    let pool = start_pool(config.workers).into_diagnostic()?;
    let peer_listener = bind("peer-listen", config.peer_listen)?;
    let operator_listener = bind("operator-listen", config.operator_listen)?;
    let admin_listener = bind("admin-listen", config.admin_listen)?;
    let (store, loaded) = open_store(&config);
    let metrics = Arc::new(Metrics::default());
    let counters = ControlMetrics::register(&metrics);
    let bytes = Arc::new(ByteCount::default());
    let stop = Stop::default();
    info!(
        "event=start program={PROGRAM} name={} identity={:016x} records={} cut_bytes={}",
        config.name,
        loaded.identity,
        loaded.restored.entries.len(),
        loaded.cut_bytes
    );

    let from = config.peer_listen.ip();
    let mut links = Links::new(pool, from, config.secret.clone(), CONTROL_PATH, bytes.clone());
    for to in &config.peers {
        links.ensure(*to);
    }
    let (handle, events) = DriverHandle::new();
    let orders = Arc::new(HttpOrders::new(pool, &config, handle.clone(), counters.clone()));
    let driver = Driver::new(
        &config,
        store,
        loaded,
        links,
        orders,
        counters.clone(),
        bytes.clone(),
        Arc::new(SystemClock),
    );
    let driver_thread = thread::Builder::new()
        .name("driver".to_owned())
        .spawn(move || run_driver(driver, events))
        .into_diagnostic()?;

    let acceptor = Arc::new(SessionAcceptor::new(pool, handle.clone(), counters.clone(), bytes));
    pool.spawn(peer::serve(pool, peer_listener, config.secret.clone(), acceptor)).detach();
    operator::serve(pool, operator_listener, &config, handle.clone(), counters, stop.clone());
    let dump = Arc::new(ControlDump { handle: handle.clone() });
    serve_admin(pool, admin_listener, metrics, dump, stop.clone());
    shut_down_on_signal(pool, &stop, &handle)?;
    let _ = driver_thread.join();
    info!("event=stop program={PROGRAM} name={}", config.name);
    Ok(())
}

fn open_store(config: &Config) -> (Store, Loaded) {
    Store::open(&config.data, fastrand::u64(1..)).unwrap_or_else(|e| {
        error!("event=storage_fault cause=\"{e}\"");
        logs::exit(EXIT_STORAGE)
    })
}

fn run_driver(driver: Driver, events: std::sync::mpsc::Receiver<Event>) {
    if let Err(e) = driver.run(&events) {
        // The content of the file is unknown after a failed write or sync, so that only a
        // restart, which reads the file again, is safe.
        error!("event=storage_fault cause=\"{e}\"");
        logs::exit(EXIT_STORAGE);
    }
}

fn shut_down_on_signal(pool: Pool, stop: &Stop, handle: &DriverHandle) -> Result<(), Report> {
    async_io::block_on(pool.run(wait_for_stop_signal())).into_diagnostic()?;
    stop.trigger();
    let drained = stop.drained(Duration::from_secs(5));
    async_io::block_on(drained);
    handle.send(Event::Stop);
    Ok(())
}

struct ControlDump {
    handle: DriverHandle,
}

impl Dump for ControlDump {
    fn dump(&self) -> serde_json::Value {
        let (tx, rx) = std::sync::mpsc::channel();
        self.handle.send(Event::Dump(tx));
        rx.recv_timeout(DUMP_TIMEOUT).unwrap_or_default()
    }

    fn is_healthy(&self) -> bool {
        !self.dump().is_null()
    }
}
