//! A driver that leads alone, with a clock of the test.

use async_channel::{Receiver, bounded};
use base::{
    clock::{Clock, SystemClock},
    metrics::Metrics,
    secret::Secret,
};
use coordinator::{
    Call, Config, Counters, Driver, Event, Handle, Orders, Reply, StoredManifest, Tolerance,
};
use fleet::{
    CallerLimits, ColdLimit, ControlMessage, EntryMessage, EntryStatus, HostOrder, HostReport,
    HostState, LOG_SESSION_PATH, Manifest, RoutingView, Service,
};
use futures_lite::{FutureExt, future, future::Boxed};
use googletest::prelude::*;
use groups::{Limits, OrderResult};
use model::ids::HostId;
use net::start_pool;
use peer::Links;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime},
};
use store::Store;

const SESSION: u64 = 1;
const REPORT_EVERY: Duration = Duration::from_millis(100);

/// A clock that advances at each reading, as if each step of the driver took that long.
#[derive(Debug)]
struct SlowHost {
    now: Mutex<Instant>,
    step: Duration,
}

impl Clock for SlowHost {
    fn now(&self) -> Instant {
        let mut now = self.now.lock().expect("the lock");
        *now += self.step;
        *now
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

struct NoOrders;

impl Orders for NoOrders {
    fn send(&self, _: &HostOrder) -> Boxed<OrderResult> {
        future::ready(OrderResult::NoAnswer).boxed()
    }

    fn query_state(&self, _: &HostId, _: SocketAddr) -> Boxed<Option<HostState>> {
        future::ready(None).boxed()
    }
}

fn manifest() -> Manifest {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let service = Service {
        name: "desk".into(),
        connections_max: 10,
        cold_limit: ColdLimit { per_s: 0.0 },
        engine: None,
    };
    Manifest { number: 1, routes: vec![], services: vec![service], limits, teams: vec![] }
}

fn report(host: &str, sequence: u64, leaving: bool) -> HostReport {
    HostReport {
        host: host.into(),
        incarnation: 1,
        sequence,
        service: "desk".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        domain: "d".into(),
        fabric: "".into(),
        leaving,
        cold_remaining: Duration::ZERO,
        slots: 1,
        staged: vec![],
        last_model: None,
        membership: None,
    }
}

fn status(manifest: Option<u64>) -> EntryMessage {
    EntryMessage::Status(EntryStatus {
        entry: "e".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        accepts: true,
        forwarded: 0,
        demand: vec![],
        request_rate: 0.0,
        progressing: vec![],
        stalled: vec![],
        manifest,
        limits: vec![],
    })
}

/// Starts a driver on an empty disk. It stops when the process does.
fn start(clock: Arc<dyn Clock>) -> Handle {
    let pool = start_pool(1).expect("a pool");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let disk = tempfile::tempdir().expect("a directory").keep();
    let (store, loaded) = Store::open(&disk, 7).expect("an empty store");
    let (handle, events) = Handle::new();
    let config = Config {
        name: "c".into(),
        peer_address: address,
        public_address: address,
        seeds: vec![address],
        domain: "d".into(),
        tolerance: Tolerance { nodes: 0, domains: 0 },
        may_bootstrap: true,
        report_every: REPORT_EVERY,
        limits: Limits::new(REPORT_EVERY),
    };
    let links = Links::new(pool, address.ip(), Secret::new("s"), LOG_SESSION_PATH, Arc::default());
    let counters = Counters::register(&Metrics::default());
    let driver = Driver::new(
        config,
        store,
        loaded,
        links,
        Arc::new(NoOrders),
        pool,
        handle.clone(),
        counters,
        clock,
    );
    thread::spawn(move || driver.run(&events));
    handle
}

fn wait_for(reply: &Receiver<Reply>) -> Option<Reply> {
    reply.recv_blocking().ok()
}

/// Sends a call until the driver leads and takes it.
fn call(handle: &Handle, call: impl Fn() -> Call) {
    while !matches!(wait_for(&handle.call(call())), Some(Reply::Done)) {
        thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against an acknowledged departure that entries have not been told of.
#[gtest]
fn run_acknowledges_a_leaving_host_before_the_view() {
    let now = Mutex::new(Instant::now());
    let handle = start(Arc::new(SlowHost { now, step: Duration::from_millis(20) }));
    let (tx, rx) = bounded(10_000);
    let body = Vec::new();
    let stored = StoredManifest { body, manifest: manifest() };
    call(&handle, || Call::manifest(stored.clone()));
    handle.send(Event::EntryOpened { session: SESSION, tx });
    handle.send(Event::Entry { session: SESSION, message: status(Some(1)) });
    let mut latest = RoutingView::default();
    let mut offers = |host: &str| {
        while let Ok(message) = rx.try_recv() {
            if let ControlMessage::View(view) = message {
                latest = view;
            }
        }
        latest.replicas.iter().any(|replica| &*replica.host == host)
    };
    for round in 0..10 {
        let host = format!("h{round}");
        call(&handle, || Call::Report(report(&host, 1, false)));
        while !offers(&host) {
            thread::sleep(Duration::from_millis(1));
        }
        // The first call is not answered, or its answer is lost, and the host repeats it.
        let first = handle.call(Call::Report(report(&host, 2, true)));
        let second = handle.call(Call::Report(report(&host, 3, true)));
        for reply in [second, first] {
            expect_true!(matches!(wait_for(&reply), Some(Reply::Done)));
            expect_false!(offers(&host), "acknowledged before the view");
        }
    }
}

/// Guards against a new leader that gives the first entry that reports the whole of each shared
/// rate, while the others still use the parts that the leader before gave them.
#[gtest]
fn run_divides_rates_before_all_entries_have_reported() {
    let handle = start(Arc::new(SystemClock));
    let (tx, rx) = bounded(10_000);
    let (other_tx, _other_rx) = bounded(10_000);
    handle.send(Event::EntryOpened { session: SESSION, tx });
    handle.send(Event::EntryOpened { session: SESSION + 1, tx: other_tx });
    let mut led_at = None;
    let mut sizes = Vec::new();
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        handle.send(Event::Entry { session: SESSION, message: status(None) });
        while let Ok(message) = rx.try_recv() {
            match message {
                ControlMessage::NotLeader { .. } => continue,
                ControlMessage::RateShare(share) => sizes.push(share.size),
                _ => {}
            }
            led_at.get_or_insert(Instant::now());
        }
        // An entry finds a new leader within a report interval of the others.
        if led_at.is_some_and(|at| at.elapsed() > REPORT_EVERY) {
            handle.send(Event::Entry { session: SESSION + 1, message: status(None) });
        }
        thread::sleep(Duration::from_millis(10));
    }
    expect_that!(sizes, not(is_empty()));
    expect_that!(sizes, each(le(&0.6)));
}
