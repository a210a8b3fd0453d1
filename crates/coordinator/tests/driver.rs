//! A driver that leads alone, with a clock of the test.

use async_channel::{Receiver, bounded};
use base::{
    clock::{Clock, SystemClock},
    metrics::Metrics,
    secret::Secret,
};
use coordinator::{
    Call, Command, Config, Counters, Driver, Event, Handle, Orders, Reply, StoredManifest,
    Tolerance,
};
use engine::sample_engine;
use fleet::{
    CallerLimits, ColdLimit, ControlMessage, EntryMessage, EntryStatus, GroupChange, GroupName,
    GroupRecord, HostOrder, HostReport, HostState, LOG_SESSION_PATH, Manifest, OrderKind,
    RoutingView, Service,
};
use futures_lite::{FutureExt, future, future::Boxed};
use googletest::prelude::*;
use groups::{Limits, OrderResult};
use model::ids::HostId;
use net::start_pool;
use peer::Links;
use std::{
    cell::RefCell,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime},
};
use store::Store;
use tempfile::TempDir;

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

/// Hosts that begin each order, and are in no group.
#[derive(Default)]
struct Recorder(Mutex<Vec<OrderKind>>);

impl Orders for Recorder {
    fn send(&self, order: &HostOrder) -> Boxed<OrderResult> {
        self.0.lock().expect("the lock").push(order.kind.clone());
        future::ready(OrderResult::Begun).boxed()
    }

    fn query_state(&self, _: &HostId, _: SocketAddr) -> Boxed<Option<HostState>> {
        let state =
            HostState { incarnation: 1, staged: vec![], last_model: None, membership: None };
        future::ready(Some(state)).boxed()
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
    EntryMessage::Status(Box::new(EntryStatus {
        entry: "e".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        accepts: true,
        relay: None,
        forwarded: 0,
        demand: vec![],
        request_rate: 0.0,
        progressing: vec![],
        stalled: vec![],
        manifest,
        limits: vec![],
    }))
}

/// Starts a driver on an empty disk. It stops when the process does.
fn start(clock: Arc<dyn Clock>) -> Handle {
    start_on(&tempfile::tempdir().expect("a directory").keep(), clock).0
}

/// Starts a driver that leads with what the log on a disk says. It stops at an event.
fn start_on(disk: &Path, clock: Arc<dyn Clock>) -> (Handle, JoinHandle<()>) {
    start_with(disk, clock, Arc::new(NoOrders))
}

/// Like [`start_on`], with a client for the hosts.
fn start_with(
    disk: &Path,
    clock: Arc<dyn Clock>,
    orders: Arc<dyn Orders>,
) -> (Handle, JoinHandle<()>) {
    let pool = start_pool(1).expect("a pool");
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (store, loaded) = Store::open(disk, 7).expect("a store");
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
    let driver =
        Driver::new(config, store, loaded, links, orders, pool, handle.clone(), counters, clock);
    let thread = thread::spawn(move || driver.run(&events).expect("the disk works"));
    (handle, thread)
}

/// The driver of a leader that others follow, and what its entry was told.
struct Leaders {
    disk: TempDir,
    clock: Arc<dyn Clock>,
    running: Option<(Handle, JoinHandle<()>)>,
    messages: Receiver<ControlMessage>,
    /// The last view of this leader.
    view: RefCell<RoutingView>,
}

impl Leaders {
    fn start(clock: Arc<dyn Clock>) -> Leaders {
        let disk = tempfile::tempdir().expect("a directory");
        let view = RefCell::default();
        let mut leaders = Leaders { disk, clock, running: None, messages: bounded(1).1, view };
        leaders.change();
        let stored = StoredManifest { body: Vec::new(), manifest: manifest() };
        leaders.call(|| Call::manifest(stored.clone()));
        leaders
    }

    /// Replaces the leader by one that knows the log only.
    fn change(&mut self) {
        if let Some((handle, thread)) = self.running.take() {
            handle.send(Event::Stop);
            thread.join().expect("no panic");
        }
        let (tx, messages) = bounded(10_000);
        let (handle, thread) = start_on(self.disk.path(), self.clock.clone());
        handle.send(Event::EntryOpened { session: SESSION, tx });
        handle.send(Event::Entry { session: SESSION, message: status(Some(1)) });
        self.running = Some((handle, thread));
        self.messages = messages;
        self.view.take();
    }

    fn call(&self, make: impl Fn() -> Call) {
        call(&self.running.as_ref().expect("a leader").0, make);
    }

    /// Whether the last view offers a host, once the leader has had time to send one.
    fn offers(&self, host: &str) -> bool {
        let address = SocketAddr::from(([127, 0, 0, 1], 9001));
        self.call(|| {
            Call::Report(HostReport { address, ..report("other", next_sequence(), true) })
        });
        let mut view = self.view.borrow_mut();
        while let Ok(message) = self.messages.try_recv() {
            if let ControlMessage::View(latest) = message {
                *view = latest;
            }
        }
        view.replicas.iter().any(|replica| &*replica.host == host)
    }
}

/// A number above those of all earlier calls.
fn next_sequence() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
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

/// Guards against a departure that a new leader acknowledges for a host that it has not heard of, and
/// forgets: a late report brought the host back.
#[gtest]
fn run_late_report_after_the_departure_of_an_unknown_host() {
    let mut leaders = Leaders::start(Arc::new(SystemClock));
    leaders.call(|| Call::Report(report("h", 1, false)));
    leaders.change();
    leaders.call(|| Call::Left("h".into()));
    leaders.call(|| Call::Report(report("h", 2, false)));
    expect_false!(leaders.offers("h"));
    leaders.change();
    leaders.call(|| Call::Report(report("h", 3, false)));
    expect_false!(leaders.offers("h"));
    // Its next run starts later.
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time");
    let incarnation = started.as_millis() as u64 + 1;
    leaders.call(|| Call::Report(HostReport { incarnation, ..report("h", 1, false) }));
    expect_true!(leaders.offers("h"));
}

/// Guards against a host that says that it leaves to one leader, and is used again by the next one
/// after a late report.
#[gtest]
fn run_late_report_of_a_leaving_host() {
    let mut leaders = Leaders::start(Arc::new(SystemClock));
    leaders.call(|| Call::Report(report("h", 1, false)));
    expect_true!(leaders.offers("h"));
    leaders.call(|| Call::Report(report("h", 3, true)));
    expect_false!(leaders.offers("h"));
    leaders.change();
    leaders.call(|| Call::Report(report("h", 2, false)));
    expect_false!(leaders.offers("h"));
    leaders.call(|| Call::Report(HostReport { incarnation: 2, ..report("h", 1, false) }));
    expect_true!(leaders.offers("h"));
}

/// Guards against a departure that arrives after its host has started again under the same id, and
/// keeps the host unused for ever.
#[gtest]
fn run_late_departure_of_an_earlier_incarnation() {
    let now = Mutex::new(Instant::now());
    let leaders = Leaders::start(Arc::new(SlowHost { now, step: Duration::from_millis(20) }));
    leaders.call(|| Call::Report(report("h", 1, false)));
    leaders.call(|| Call::Left("h".into()));
    leaders.call(|| Call::Report(report("h", 2, false)));
    expect_false!(leaders.offers("h"));
    // A report that was under way when the host departed, and its repetition, change nothing.
    for _ in 0..400 {
        leaders.call(|| Call::Report(report("h", 3, false)));
    }
    expect_false!(leaders.offers("h"));
    for sequence in 4..400 {
        leaders.call(|| Call::Report(report("h", sequence, false)));
    }
    expect_true!(leaders.offers("h"));
}

/// Guards against a new leader that takes entries it has not heard of for a system without callers,
/// and lets all hosts load weights at once.
#[gtest]
fn run_loads_before_entries_have_reported() {
    let disk = tempfile::tempdir().expect("a directory");
    let (handle, thread) = start_on(disk.path(), Arc::new(SystemClock));
    let mut manifest = manifest();
    let engine = sample_engine();
    let most = engine.loads_at_once as usize;
    manifest.services[0].engine = Some(engine);
    let stored = StoredManifest { body: Vec::new(), manifest };
    call(&handle, || Call::manifest(stored.clone()));
    let record = GroupRecord { epoch: 1, model: "large".into(), members: vec![] };
    let name: GroupName = "g1".into();
    let formed = GroupChange::Formed { name: name.clone(), record };
    call(&handle, || Call::Change(Command::Group(formed.clone())));
    let ended = GroupChange::Ended { name };
    call(&handle, || Call::Change(Command::Group(ended.clone())));
    handle.send(Event::Stop);
    thread.join().expect("no panic");
    let orders = Arc::new(Recorder::default());
    let (handle, _thread) = start_with(disk.path(), Arc::new(SystemClock), orders.clone());
    let began = Instant::now();
    for sequence in 1.. {
        for host in 0..3 * most as u16 {
            let (name, fabric) = (format!("h{host}"), format!("f{}", host % 2).into());
            let address = SocketAddr::from(([127, 0, 0, 1], 9000 + host));
            let report = HostReport { address, fabric, ..report(&name, sequence, false) };
            call(&handle, || Call::Report(report.clone()));
        }
        if began.elapsed() > Duration::from_secs(3) {
            break;
        }
        thread::sleep(REPORT_EVERY);
    }
    let sent = orders.0.lock().expect("the lock");
    let count = |label: &str| sent.iter().filter(|kind| kind.label() == label).count();
    expect_that!(count("stage"), all!(ge(1), le(most)));
    expect_that!(count("join"), eq(0));
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
