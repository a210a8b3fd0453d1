//! Measures how the cost of each role grows with the size of the system, with the real crates and
//! processes.

use argh::FromArgs;
use base::{secret::Secret, settings::parse_or_exit};
use bench::{
    announcers,
    fit::{Point, print_slope},
    pure::{
        SteadyState, announce_micros, apply_micros, manifest, micros_of, plan_micros, route_micros,
        state_bytes, view_bytes,
    },
    sample::{Usage, core_percent, usage},
    sim_cluster::SimCluster,
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

/// Measures the growth of cost with the size of the system.
#[derive(Debug, FromArgs)]
struct Args {
    /// seconds for which the resource usage of each process is measured (default 8)
    #[argh(option, default = "8")]
    watch_seconds: u64,
}

const GROUP_COUNTS: [usize; 4] = [10, 100, 1000, 7400];
const ENTRY_COUNTS: [usize; 3] = [4, 16, 64];
const TOKEN: &str = "token-of-the-bench";
const SECRET: &str = "secret-of-the-bench";

fn main() {
    let args: Args = parse_or_exit("slopes", &[]);
    pure_slopes();
    let pool = start_pool(4).expect("start the thread pool");
    let duration = Duration::from_secs(args.watch_seconds);
    control_by_groups(pool, duration);
    control_by_entries(pool, duration);
    control_by_changes(pool, duration);
    entry_by_hosts(pool, duration);
}

fn points<T: Copy + TryInto<u32>>(sizes: &[T], mut value: impl FnMut(T) -> f64) -> Vec<Point> {
    sizes
        .iter()
        .map(|size| {
            let number = (*size).try_into().unwrap_or(u32::MAX);
            Point { size: f64::from(number), value: value(*size) }
        })
        .collect()
}

fn pure_slopes() {
    let steady: Vec<(usize, SteadyState)> =
        GROUP_COUNTS.iter().map(|groups| (*groups, SteadyState::new(*groups))).collect();
    let at_each_size = |value: &dyn Fn(&SteadyState) -> f64| -> Vec<Point> {
        let point = |(groups, steady): &(usize, SteadyState)| Point {
            size: *groups as f64,
            value: value(steady),
        };
        steady.iter().map(point).collect()
    };
    let plan = at_each_size(&plan_micros);
    print_slope("planning pass, nothing to do", "microseconds", "groups", &plan);
    let view = at_each_size(&|steady| micros_of(|| drop(steady.view())));
    print_slope("building the view", "microseconds", "groups", &view);
    let state = at_each_size(&|steady| state_bytes(steady) as f64);
    print_slope("replicated state", "bytes", "groups", &state);
    let bytes = at_each_size(&|steady| view_bytes(steady) as f64);
    print_slope("whole view", "bytes", "groups", &bytes);
    let apply = at_each_size(&apply_micros);
    print_slope("applying a record", "microseconds", "groups", &apply);
    let rack = points(&GROUP_COUNTS[1..], |groups| {
        let mut steady = SteadyState::new(groups);
        steady.lose_hosts(32);
        plan_micros(&steady)
    });
    print_slope("planning pass after the loss of 32 hosts", "microseconds", "groups", &rack);
    let announce = points(&[100_u32, 1000, 4000], |hosts| announce_micros(hosts as usize));
    print_slope("taking an announcement", "microseconds", "hosts held", &announce);
    for choice in [BalancingPolicy::Affinity, BalancingPolicy::LeastRunning] {
        let route = points(&GROUP_COUNTS, |groups| route_micros(groups, choice));
        let name = format!("routing a request, {choice:?}");
        print_slope(&name, "microseconds", "groups of the model", &route);
    }
}

/// A control process with simulated hosts and entries.
struct Control {
    program: Program,
    _folder: tempfile::TempDir,
    cluster: Arc<SimCluster>,
    subscribers: Arc<Subscribers>,
    operator: SocketAddr,
}

struct ControlUsage {
    core_percent: f64,
    resident_mb: f64,
    sent_per_entry: f64,
    received_per_entry: f64,
}

/// Returns an address for a run. Every run uses other addresses, so that connections closed by an
/// earlier run do not interfere.
fn address(run: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, 9, run, 1], port))
}

impl Control {
    fn start(pool: Pool, run: u8, groups: usize, entries: usize) -> Control {
        let folder = tempfile::tempdir().expect("create a temporary directory");
        let file = |name: &str, text: &str| {
            let path = folder.path().join(name);
            std::fs::write(&path, text).expect("write the file");
            path.to_string_lossy().into_owned()
        };
        let (secret, token) = (file("secret", SECRET), file("token", TOKEN));
        let data = folder.path().join("data").to_string_lossy().into_owned();
        let operator = address(run, 7200);
        let flags = [
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
            flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let program = Program::start("kingcup-control", &args, &folder.path().join("log"));
        let hosts = groups + groups / 50 + 3;
        let cluster = SimCluster::start(pool, address(run, 8000), hosts, 32);
        let secret = Secret::new(SECRET);
        let subscribers = Subscribers::start(pool, address(run, 7100), &secret, entries, &cluster);
        let control = Control { program, _folder: folder, cluster, subscribers, operator };
        control.form_groups(groups);
        control
    }

    fn form_groups(&self, groups: usize) {
        let models = (groups / 100).clamp(1, 40);
        let body =
            serde_json::to_string(&manifest(groups, models)).expect("serialize the manifest");
        wait_until("the manifest to be accepted", || self.put_manifest(&body) == Some(200));
        wait_until("all groups to serve", || {
            self.subscribers.groups.load(Ordering::Relaxed) == groups as u64
        });
        // The orders and entry updates of the formation complete shortly after all groups serve.
        thread::sleep(Duration::from_secs(4));
    }

    fn put_manifest(&self, body: &str) -> Option<u16> {
        HttpRequest::new("PUT", self.operator, "/v1/manifest")
            .header("authorization", &format!("Bearer {TOKEN}"))
            .body(body)
            .send()
            .map(|response| response.status)
    }

    fn usage(&self) -> Usage {
        usage(self.program.id()).expect("control is running")
    }

    fn measure(
        &self,
        duration: Duration,
        entries: usize,
        mut meanwhile: impl FnMut(&Control),
    ) -> ControlUsage {
        let bytes = &self.subscribers.bytes;
        let (before, received, sent) = (self.usage(), bytes.received(), bytes.sent());
        let end = Instant::now() + duration;
        while Instant::now() < end {
            meanwhile(self);
        }
        let after = self.usage();
        let per_entry = |bytes: u64| bytes as f64 / duration.as_secs_f64() / entries as f64;
        ControlUsage {
            core_percent: core_percent(before, after),
            resident_mb: after.resident as f64 / 1e6,
            sent_per_entry: per_entry(bytes.received() - received),
            received_per_entry: per_entry(bytes.sent() - sent),
        }
    }
}

fn idle(_: &Control) {
    thread::sleep(Duration::from_millis(100));
}

fn print_control_usage(of: &str, usages: &[(usize, ControlUsage)]) {
    let slope = |name: &str, unit: &str, value: &dyn Fn(&ControlUsage) -> f64| {
        let points: Vec<Point> = usages
            .iter()
            .map(|(size, usage)| Point { size: *size as f64, value: value(usage) })
            .collect();
        print_slope(name, unit, of, &points);
    };
    slope("control: processor", "percent of a core", &|usage| usage.core_percent);
    slope("control: memory", "MB resident", &|usage| usage.resident_mb);
    slope("control to an entry", "bytes/s", &|usage| usage.sent_per_entry);
    slope("an entry to control", "bytes/s", &|usage| usage.received_per_entry);
}

fn control_by_groups(pool: Pool, duration: Duration) {
    println!("\n== one control process, 4 entries, at rest");
    let run = |(number, groups): (usize, &usize)| {
        let control = Control::start(pool, 10 + number as u8, *groups, 4);
        (*groups, control.measure(duration, 4, idle))
    };
    let usages: Vec<_> = GROUP_COUNTS.iter().enumerate().map(run).collect();
    print_control_usage("groups", &usages);
}

fn control_by_entries(pool: Pool, duration: Duration) {
    println!("\n== one control process, 1000 groups, at rest");
    let run = |(number, entries): (usize, &usize)| {
        let control = Control::start(pool, 20 + number as u8, 1000, *entries);
        (*entries, control.measure(duration, *entries, idle))
    };
    let usages: Vec<_> = ENTRY_COUNTS.iter().enumerate().map(run).collect();
    print_control_usage("entries", &usages);
}

fn control_by_changes(pool: Pool, duration: Duration) {
    println!("\n== one control process, 1000 groups, 16 entries, hosts that restart");
    let run = |(number, rate): (usize, &usize)| {
        let control = Control::start(pool, 30 + number as u8, 1000, 16);
        let mut next = 0;
        let usage = control.measure(duration, 16, |control| {
            thread::sleep(Duration::from_millis(100));
            let due = (*rate).div_ceil(10);
            control.cluster.restart((next..next + due).map(|host| host % 1000));
            next += due;
        });
        (*rate, usage)
    };
    let usages: Vec<_> = [10_usize, 50, 100].iter().enumerate().map(run).collect();
    print_control_usage("restarts a second", &usages);
}

struct EntryUsage {
    hosts: usize,
    accepted_per_second: f64,
    core_percent: f64,
    resident_mb: f64,
}

fn entry_by_hosts(pool: Pool, duration: Duration) {
    println!("\n== one entry process that takes announcements, 2.5 a second from each host");
    let run = |(number, hosts): (usize, &usize)| {
        let run = 40 + number as u8;
        let folder = tempfile::tempdir().expect("create a temporary directory");
        let secret = folder.path().join("secret");
        std::fs::write(&secret, SECRET).expect("write the file");
        let flags = [
            ("--name", "entry".to_owned()),
            ("--control", address(run, 7100).to_string()),
            ("--listen", address(run, 7000).to_string()),
            ("--backend-listen", address(run, 7500).to_string()),
            ("--admin-listen", address(run, 7400).to_string()),
            ("--secret-file", secret.to_string_lossy().into_owned()),
        ];
        let args: Vec<String> =
            flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let program = Program::start("kingcup-entry", &args, &folder.path().join("log"));
        let from = address(run, 0).ip();
        let accepted = announcers::start(pool, from, address(run, 7500), SECRET, *hosts);
        wait_until("an average of three announcements per host", || {
            accepted.load(Ordering::Relaxed) > 3 * *hosts as u64
        });
        let read = || usage(program.id()).expect("the entry is running");
        let (before, count) = (read(), accepted.load(Ordering::Relaxed));
        thread::sleep(duration);
        let (after, end) = (read(), accepted.load(Ordering::Relaxed));
        EntryUsage {
            hosts: *hosts,
            accepted_per_second: (end - count) as f64 / duration.as_secs_f64(),
            core_percent: core_percent(before, after),
            resident_mb: after.resident as f64 / 1e6,
        }
    };
    let usages: Vec<_> = [100_usize, 400, 1600].iter().enumerate().map(run).collect();
    let slope = |name: &str, unit: &str, value: &dyn Fn(&EntryUsage) -> f64| {
        let point = |usage: &EntryUsage| Point { size: usage.hosts as f64, value: value(usage) };
        let points: Vec<Point> = usages.iter().map(point).collect();
        print_slope(name, unit, "hosts", &points);
    };
    slope("entry: announcements taken", "a second", &|usage| usage.accepted_per_second);
    slope("entry: processor", "percent of a core", &|usage| usage.core_percent);
    slope("entry: memory", "MB resident", &|usage| usage.resident_mb);
}
