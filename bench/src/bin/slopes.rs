//! Measures how the cost of each role grows, with the real crates and processes.

use argh::FromArgs;
use base::{secret::Secret, settings::parse_or_exit};
use bench::{
    announcers,
    field::Field,
    fit::{Point, print_slope},
    pure::{
        Settled, announce_micros, apply_micros, manifest, micros_of, plan_micros, route_micros,
        state_bytes, view_bytes,
    },
    sample::{Usage, core_percent, usage},
    subscribers::Subscribers,
};
use net::{Pool, start_pool};
use route::BalancingPolicy;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};
use testbed::process::{HttpRequest, Program, wait_until};

/// Slopes of cost over size.
#[derive(Debug, FromArgs)]
struct Args {
    /// seconds for which each process is watched (default 8)
    #[argh(option, default = "8")]
    watch_seconds: u64,
}

const GROUPS: [usize; 4] = [10, 100, 1000, 7400];
const ENTRIES: [usize; 3] = [4, 16, 64];
const TOKEN: &str = "token-of-the-bench";
const SECRET: &str = "secret-of-the-bench";

fn main() {
    let args: Args = parse_or_exit("slopes", &[]);
    pure_slopes();
    let pool = start_pool(4).expect("threads start");
    let watch = Duration::from_secs(args.watch_seconds);
    control_by_groups(pool, watch);
    control_by_entries(pool, watch);
    control_by_changes(pool, watch);
    entry_by_hosts(pool, watch);
}

fn points<T: Copy + TryInto<u32>>(sizes: &[T], mut figure: impl FnMut(T) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| {
            let number = (*size).try_into().unwrap_or(u32::MAX);
            Point { size: f64::from(number), figure: figure(*size) }
        })
        .collect()
}

fn pure_slopes() {
    let settled: Vec<(usize, Settled)> =
        GROUPS.iter().map(|groups| (*groups, Settled::new(*groups))).collect();
    let of_settled = |figure: &dyn Fn(&Settled) -> f64| -> Vec<Point> {
        let point = |(groups, settled): &(usize, Settled)| Point {
            size: *groups as f64,
            figure: figure(settled),
        };
        settled.iter().map(point).collect()
    };
    let plan = of_settled(&plan_micros);
    print_slope("planning pass, nothing to do", "microseconds", "groups", &plan);
    let view = of_settled(&|settled| micros_of(|| drop(settled.view())));
    print_slope("building the view", "microseconds", "groups", &view);
    let state = of_settled(&|settled| state_bytes(settled) as f64);
    print_slope("replicated state", "bytes", "groups", &state);
    let bytes = of_settled(&|settled| view_bytes(settled) as f64);
    print_slope("whole view", "bytes", "groups", &bytes);
    let apply = of_settled(&apply_micros);
    print_slope("applying a record", "microseconds", "groups", &apply);
    let rack = points(&GROUPS[1..], |groups| {
        let mut settled = Settled::new(groups);
        settled.lose(32);
        plan_micros(&settled)
    });
    print_slope("planning pass after the loss of 32 hosts", "microseconds", "groups", &rack);
    let announce = points(&[100_u32, 1000, 4000], |hosts| announce_micros(hosts as usize));
    print_slope("taking an announcement", "microseconds", "hosts held", &announce);
    for choice in [BalancingPolicy::Affinity, BalancingPolicy::LeastRunning] {
        let route = points(&GROUPS, |groups| route_micros(groups, choice));
        let name = format!("routing a request, {choice:?}");
        print_slope(&name, "microseconds", "groups of the model", &route);
    }
}

struct Control {
    program: Program,
    _folder: tempfile::TempDir,
    field: Arc<Field>,
    subscribers: Arc<Subscribers>,
    operator: SocketAddr,
}

struct Watched {
    core_percent: f64,
    resident_mb: f64,
    sent_per_entry: f64,
    received_per_entry: f64,
}

/// Every run uses addresses of its own, so that closed connections don't matter.
fn address(run: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, run, 1], port))
}

impl Control {
    fn start(pool: Pool, run: u8, groups: usize, entries: usize) -> Control {
        let folder = tempfile::tempdir().expect("a folder");
        let file = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).expect("the file is written");
            path.to_string_lossy().into_owned()
        };
        let (secret, token) = (file("secret", SECRET), file("token", TOKEN));
        let data = folder.path().join("data").to_string_lossy().into_owned();
        let operator = address(run, 7200);
        let words = [
            ("--name", "control".to_owned()),
            ("--data", data),
            ("--voters", "1".to_owned()),
            ("--peers", address(run, 7100).to_string()),
            ("--peer-listen", address(run, 7100).to_string()),
            ("--operator-listen", operator.to_string()),
            ("--admin-listen", address(run, 7300).to_string()),
            ("--secret-file", secret),
            ("--token-file", token),
        ];
        let args: Vec<String> =
            words.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let program = Program::start("kingcup-control", &args, &folder.path().join("log"));
        let hosts = groups + groups / 50 + 3;
        let field = Field::start(pool, address(run, 8000), hosts, 32);
        let secret = Secret::new(SECRET);
        let subscribers = Subscribers::start(pool, address(run, 7100), &secret, entries, &field);
        let control = Control { program, _folder: folder, field, subscribers, operator };
        control.settle(groups);
        control
    }

    fn settle(&self, groups: usize) {
        let models = (groups / 100).clamp(1, 40);
        let body = serde_json::to_string(&manifest(groups, models)).expect("a manifest is JSON");
        wait_until("the manifest is accepted", || self.put(&body) == Some(200));
        wait_until("all groups serve", || {
            self.subscribers.groups.load(Ordering::Relaxed) == groups as u64
        });
        // Orders and entries of the formation are settled a little later.
        thread::sleep(Duration::from_secs(4));
    }

    fn put(&self, body: &str) -> Option<u16> {
        HttpRequest::new("PUT", self.operator, "/v1/manifest")
            .header("authorization", &format!("Bearer {TOKEN}"))
            .body(body)
            .send()
            .map(|answer| answer.status)
    }

    fn usage(&self) -> Usage {
        usage(self.program.id()).expect("control runs")
    }

    fn watch(
        &self,
        time: Duration,
        entries: usize,
        mut meanwhile: impl FnMut(&Control),
    ) -> Watched {
        let bytes = &self.subscribers.bytes;
        let (before, sent, received) = (self.usage(), bytes.received(), bytes.sent());
        let end = Instant::now() + time;
        while Instant::now() < end {
            meanwhile(self);
        }
        let after = self.usage();
        let per_entry = |bytes: u64| bytes as f64 / time.as_secs_f64() / entries as f64;
        Watched {
            core_percent: core_percent(before, after),
            resident_mb: after.resident as f64 / 1e6,
            sent_per_entry: per_entry(bytes.received() - sent),
            received_per_entry: per_entry(bytes.sent() - received),
        }
    }
}

fn idle(_: &Control) {
    thread::sleep(Duration::from_millis(100));
}

fn print_watched(of: &str, watched: &[(usize, Watched)]) {
    let slope = |name: &str, unit: &str, figure: &dyn Fn(&Watched) -> f64| {
        let points: Vec<Point> = watched
            .iter()
            .map(|(size, watched)| Point { size: *size as f64, figure: figure(watched) })
            .collect();
        print_slope(name, unit, of, &points);
    };
    slope("control: processor", "percent of a core", &|watched| watched.core_percent);
    slope("control: memory", "MB resident", &|watched| watched.resident_mb);
    slope("control to an entry", "bytes/s", &|watched| watched.sent_per_entry);
    slope("an entry to control", "bytes/s", &|watched| watched.received_per_entry);
}

fn control_by_groups(pool: Pool, watch: Duration) {
    println!("\n== one control process, 4 entries, at rest");
    let run = |(number, groups): (usize, &usize)| {
        let control = Control::start(pool, 10 + number as u8, *groups, 4);
        (*groups, control.watch(watch, 4, idle))
    };
    let watched: Vec<_> = GROUPS.iter().enumerate().map(run).collect();
    print_watched("groups", &watched);
}

fn control_by_entries(pool: Pool, watch: Duration) {
    println!("\n== one control process, 1000 groups, at rest");
    let run = |(number, entries): (usize, &usize)| {
        let control = Control::start(pool, 20 + number as u8, 1000, *entries);
        (*entries, control.watch(watch, *entries, idle))
    };
    let watched: Vec<_> = ENTRIES.iter().enumerate().map(run).collect();
    print_watched("entries", &watched);
}

fn control_by_changes(pool: Pool, watch: Duration) {
    println!("\n== one control process, 1000 groups, 16 entries, hosts that restart");
    let run = |(number, rate): (usize, &usize)| {
        let control = Control::start(pool, 30 + number as u8, 1000, 16);
        let mut next = 0;
        let watched = control.watch(watch, 16, |control| {
            thread::sleep(Duration::from_millis(100));
            let due = (*rate).div_ceil(10);
            control.field.restart((next..next + due).map(|host| host % 1000));
            next += due;
        });
        (*rate, watched)
    };
    let watched: Vec<_> = [10_usize, 50, 100].iter().enumerate().map(run).collect();
    print_watched("restarts a second", &watched);
}

struct EntryWatched {
    hosts: usize,
    taken_per_second: f64,
    core_percent: f64,
    resident_mb: f64,
}

fn entry_by_hosts(pool: Pool, watch: Duration) {
    println!("\n== one entry process that takes announcements, 2.5 a second from each host");
    let run = |(number, hosts): (usize, &usize)| {
        let run = 40 + number as u8;
        let folder = tempfile::tempdir().expect("a folder");
        let secret = folder.path().join("secret");
        std::fs::write(&secret, SECRET).expect("the file is written");
        let words = [
            ("--name", "entry".to_owned()),
            ("--control", address(run, 7100).to_string()),
            ("--listen", address(run, 7000).to_string()),
            ("--backend-listen", address(run, 7500).to_string()),
            ("--admin-listen", address(run, 7400).to_string()),
            ("--secret-file", secret.to_string_lossy().into_owned()),
        ];
        let args: Vec<String> =
            words.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let program = Program::start("kingcup-entry", &args, &folder.path().join("log"));
        let from = address(run, 0).ip();
        let taken = announcers::start(pool, from, address(run, 7500), SECRET, *hosts);
        wait_until("every host has announced itself", || {
            taken.load(Ordering::Relaxed) > 3 * *hosts as u64
        });
        let read = || usage(program.id()).expect("the entry runs");
        let (before, count) = (read(), taken.load(Ordering::Relaxed));
        thread::sleep(watch);
        let (after, end) = (read(), taken.load(Ordering::Relaxed));
        EntryWatched {
            hosts: *hosts,
            taken_per_second: (end - count) as f64 / watch.as_secs_f64(),
            core_percent: core_percent(before, after),
            resident_mb: after.resident as f64 / 1e6,
        }
    };
    let watched: Vec<_> = [100_usize, 400, 1600].iter().enumerate().map(run).collect();
    let slope = |name: &str, unit: &str, figure: &dyn Fn(&EntryWatched) -> f64| {
        let point = |one: &EntryWatched| Point { size: one.hosts as f64, figure: figure(one) };
        let points: Vec<Point> = watched.iter().map(point).collect();
        print_slope(name, unit, "hosts", &points);
    };
    slope("entry: announcements taken", "a second", &|one| one.taken_per_second);
    slope("entry: processor", "percent of a core", &|one| one.core_percent);
    slope("entry: memory", "MB resident", &|one| one.resident_mb);
}
