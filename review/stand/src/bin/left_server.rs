//! A backend server that says that it is gone to a control process which has just become the leader,
//! and a report that the server sent before, which arrives after that.

use review_stand::{
    desk::Desk,
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
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "desk-app";
const KEY: &str = "key-1";
/// `drain_ms` of the settings.
const DRAIN: f64 = 2.0;
/// `contact_ms` of the settings.
const CONTACT: f64 = 3.0;
/// How long the server goes on serving after its departure is acknowledged.
const SERVES_ON: Duration = Duration::from_millis(4500);

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book\",\"host\":\"a.example\",\"path_prefix\":\"/book/\",\
         \"route_type\":\"non_idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"max_attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\
         \"cold_per_s\":0.0}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"counter\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn give_up(why: &str, record: &Record) -> ! {
    record.line(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    exit(NOT_RUN)
}

/// Books at the entries until `stop` is set. Counts the bookings and those that got no answer of a server.
fn caller(number: usize, entries: Vec<SocketAddr>, stop: Arc<AtomicBool>, counts: Arc<(AtomicUsize, AtomicUsize)>, record: Record) {
    let key = format!("{}{KEY}", names::key_scheme());
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("b{number}-{count}");
        let headers = [
            ("Host", "a.example"),
            ("Authorization", key.as_str()),
            (names::header("ATTEMPT_ID"), id.as_str()),
            (names::header("TIMEOUT"), "1000"),
        ];
        let entry = entries[(number + count) % entries.len()];
        let reply = call(entry, "POST", "/book/1", &headers, b"one gouge", Duration::from_secs(2));
        let status = reply.map_or(0, |reply| reply.status());
        record.line(format!("caller {id}: {status}"));
        match status {
            200 => counts.0.fetch_add(1, Ordering::SeqCst),
            _ => counts.1.fetch_add(1, Ordering::SeqCst),
        };
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
    let Some(leader) = system.leader() else {
        drop(system);
        give_up("no control process leads", &record);
    };
    record.line(format!("control-{leader} leads"));
    let desks: Vec<Arc<Desk>> = (0..3)
        .map(|number| {
            let address = format!("{}.{}:8080", system.net, 101 + number).parse().expect("an address");
            let zone = ["z-a", "z-b", "z-c"][number];
            let work = Duration::from_millis(30);
            Desk::start(&format!("i-{number}"), address, SERVICE, zone, work, system.controls.clone(), &record)
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new((AtomicUsize::new(0), AtomicUsize::new(0))));
    let callers: Vec<_> = (0..12)
        .map(|number| {
            let (entries, stop, counts) = (system.entries.clone(), stop.clone(), counts.clone());
            let record = record.clone();
            thread::spawn(move || caller(number, entries, stop, counts, record))
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let leaver = desks[0].clone();
    let others: Vec<SocketAddr> =
        (0..3).filter(|number| *number != leader).map(|number| system.controls[number]).collect();
    let mut late = Vec::new();
    leaver.reports.store(false, Ordering::SeqCst);
    let killed_at = record.seconds();
    if trouble {
        system.lose(leader);
        // The reports after the loss of the leader go to the other nodes and are under way for seconds.
        for node in &others {
            let (sequence, body) = leaver.report_body("ready");
            record.line(format!("report of {} sequence {sequence} to {node} is held up", leaver.id));
            late.push((*node, sequence, body, record.seconds()));
            thread::sleep(Duration::from_secs(1));
        }
    }
    thread::sleep(Duration::from_millis(500));
    record.line(format!("{} begins to leave", leaver.id));
    let began = Instant::now();
    let mut acked_at = None;
    while acked_at.is_none() && began.elapsed() < Duration::from_secs(10) {
        for node in system.controls.clone() {
            if leaver.send("DELETE", node, "").is_some() {
                acked_at = Some(record.seconds());
                break;
            }
            record.line(format!("the departure of {} is not acknowledged by {node}", leaver.id));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let Some(acked_at) = acked_at else {
        record.line(format!("leader: {:?}, ended: {:?}", system.leader(), system.ended()));
        drop(system);
        give_up("the departure was not acknowledged", &record);
    };
    if trouble && acked_at < killed_at + CONTACT {
        drop(system);
        give_up("the departure was acknowledged while the processes were not in touch", &record);
    }
    record.line(format!("the departure of {} is acknowledged, {:.3} s after the loss", leaver.id, acked_at - killed_at));
    for (node, sequence, body, sent_at) in &late {
        let headers = [("Content-Type", "application/json")];
        let path = names::replica_path(&leaver.id);
        let reply = call(*node, "PUT", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        let status = reply.map_or(0, |reply| reply.status());
        record.line(format!("late report of {} sequence {sequence} sent at {sent_at:.3} reaches {node}: {status}", leaver.id));
    }
    thread::sleep(SERVES_ON);
    leaver.end();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let ended = system.ended();
    drop(system);
    if let Some(ended) = ended {
        give_up(&ended, &record);
    }
    let arrivals = leaver.arrivals.lock().expect("the lock");
    let is_late = |at: f64| at > acked_at + DRAIN && at > killed_at + CONTACT;
    let broken = arrivals.iter().filter(|arrival| is_late(arrival.at)).count();
    let (answered, others) = (counts.0.load(Ordering::SeqCst), counts.1.load(Ordering::SeqCst));
    let line = format!(
        "{answered} bookings answered, {others} not; {broken} reached {} later than {DRAIN} s after it was gone",
        leaver.id
    );
    record.line(&line);
    println!("{line}");
    if answered == 0 {
        give_up("no request was answered", &record);
    }
    exit(if broken > 0 { BROKEN } else { HELD });
}
