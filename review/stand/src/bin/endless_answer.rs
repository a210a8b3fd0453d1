//! Backend servers in trouble that send bytes without end which are no answer, in a head and in a body.

use review_stand::{
    desk::{Babble, Desk},
    http::call,
    names,
    record::Record,
    system::{BROKEN, HELD, NOT_RUN, System, has_trouble},
};
use std::{
    env,
    net::SocketAddr,
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const SERVICE: &str = "desk-app";
const KEY: &str = "key-1";
/// `timeout_ms` of the routes, and the callers' own.
const TIMEOUT: f64 = 1.0;
/// The time after `timeout_ms` in which a final answer must come.
const SLACK: f64 = 0.5;
/// How long one server is in trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(5);

fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\"service\":\"{SERVICE}\",\
             \"max_attempts\":{attempts},\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"counter\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("book", "non_idempotent", 1),
        route("look", "idempotent", 2)
    )
}

fn give_up(why: &str, record: &Record) -> ! {
    record.line(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    exit(NOT_RUN)
}

/// A request of a caller: when it was sent, and how long it took until its final answer, if it got one.
#[derive(Debug, Clone)]
struct Outcome {
    sent_at: f64,
    took: Option<f64>,
    status: u16,
}

fn caller(number: usize, entries: Vec<SocketAddr>, stop: Arc<AtomicBool>, outcomes: Arc<Mutex<Vec<Outcome>>>, record: Record) {
    let key = format!("{}{KEY}", names::key_scheme());
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("q{number}-{count}");
        let headers = [
            ("Host", "a.example"),
            ("Authorization", key.as_str()),
            (names::header("ATTEMPT_ID"), id.as_str()),
            (names::header("TIMEOUT"), "1000"),
        ];
        let entry = entries[number % entries.len()];
        let (method, path) = if count % 4 == 0 { ("GET", "/look/1") } else { ("POST", "/book/1") };
        let body: &[u8] = if method == "GET" { b"" } else { b"one gouge" };
        let sent_at = record.seconds();
        let wait = Duration::from_secs_f64(TIMEOUT + SLACK + 0.3);
        let reply = call(entry, method, path, &headers, body, wait);
        let took = record.seconds() - sent_at;
        let status = reply.as_ref().map_or(0, |reply| reply.status());
        record.line(format!("caller {id} {method} {path} at {entry}: {status} after {took:.3} s"));
        let took = reply.is_ok().then_some(took);
        outcomes.lock().expect("the lock").push(Outcome { sent_at, took, status });
        thread::sleep(Duration::from_millis(60));
    }
}

fn main() {
    let folder = env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let trouble = has_trouble();
    let mut system = System::start(2, &record);
    if !system.configure(&config(1), Duration::from_secs(20)) {
        drop(system);
        give_up("no configuration was accepted", &record);
    }
    let desks: Vec<Arc<Desk>> = (0..3)
        .map(|number| {
            let address = format!("{}.{}:8080", system.net, 101 + number).parse().expect("an address");
            let zone = ["z-a", "z-b", "z-c"][number];
            let work = Duration::from_millis(30);
            Desk::start(&format!("i-{number}"), address, SERVICE, zone, work, system.controls.clone(), &record)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let (stop, outcomes) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let (entries, stop, outcomes) = (system.entries.clone(), stop.clone(), outcomes.clone());
            let record = record.clone();
            thread::spawn(move || caller(number, entries, stop, outcomes, record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut phases = Vec::new();
    for (desk, babble) in desks.iter().zip([Babble::Head, Babble::Body]) {
        let began = record.seconds();
        if trouble {
            record.line(format!("{} begins to send bytes without end: {babble:?}", desk.id));
            *desk.babble.lock().expect("the lock") = Some(babble);
        }
        thread::sleep(TROUBLE_TIME);
        phases.push((babble, began, record.seconds()));
        desk.end();
        // The callers are served again.
        thread::sleep(Duration::from_secs(4));
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let ended = system.ended();
    drop(system);
    if let Some(ended) = ended {
        give_up(&ended, &record);
    }
    let outcomes = outcomes.lock().expect("the lock");
    let mut broken = false;
    for (babble, began, over) in &phases {
        let during: Vec<&Outcome> = outcomes.iter().filter(|o| o.sent_at >= *began && o.sent_at < *over).collect();
        let lasting: Vec<_> = during.iter().filter(|o| o.took.is_none_or(|took| took > TIMEOUT)).collect();
        let unanswered = lasting.iter().filter(|o| o.took.is_none_or(|took| took > TIMEOUT + SLACK)).count();
        let line = format!(
            "{babble:?}: {} requests in {TROUBLE_TIME:?}, {} longer than their route's timeout, {unanswered} of them without an answer {SLACK} s later",
            during.len(),
            lasting.len()
        );
        record.line(&line);
        println!("{line}");
        broken |= unanswered >= 8 && unanswered * 4 > lasting.len();
    }
    let first = phases.first().map_or(0.0, |phase| phase.1);
    let before = outcomes.iter().filter(|o| o.sent_at < first && o.status == 200).count();
    if before == 0 {
        give_up("no request was answered before", &record);
    }
    exit(if broken { BROKEN } else { HELD });
}
