//! Reports of backend servers that arrive seconds late, at a control process that has become the
//! leader meanwhile.

use review_stand::{
    engine::{Engines, Model},
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
    time::Duration,
};

const SERVICE: &str = "assist-llm";
const MODEL: &str = "m-large";
const KEY: &str = "key-1";
/// Backend servers in each failure domain, in two fabric domains of nine.
const SERVERS: u8 = 18;
/// Groups that the servers can form: two of four in each fabric domain.
const GROUPS: usize = 12;
/// The time in which the late reports arrive, one after another.
const LATE_SPREAD: Duration = Duration::from_millis(450);
/// The time from the election to the first of them.
const LATE_BEGIN: Duration = Duration::from_millis(30);

/// A configuration like that of the pages' example, with one engine service.
fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"chat\",\"host\":\"a.example\",\"path_prefix\":\"/chat/\",\
         \"route_type\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":300,\"priority\":1,\
         \"service\":\"{SERVICE}\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true,\"stream_resume\":true,\
         \"target_gap_ms\":300}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\
         \"max_connections\":334,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":28.0,\
         \"engine\":{{\"slots\":26,\"kv_capacity_tokens\":1590000,\"kv_bytes\":327680,\"link_mbps\":400000.0,\
         \"stride\":7,\"models\":[{{\"name\":\"{MODEL}\",\"size\":4,\"share\":1.0,\"pace\":1.0,\"load_s\":16.0,\
         \"warmup_s\":1.6}}],\"step_ms\":5.95,\"per_seq_ms\":0.0445,\"context_per_k\":0.00813,\
         \"read_per_s\":50700.0,\"pairs_per_m\":0.368,\"chunk\":2048,\"report_lag_ms\":200.0,\"loads_per_s\":4.5,\
         \"loads_at_once\":6,\"delays\":[],\"usual\":{{\"prompt\":1115,\"answer\":178}},\"cached_prefixes\":1,\
         \"far_x\":2.5,\"form_ms\":300.0}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"counter\",\
         \"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn give_up(why: &str, record: &Record) -> ! {
    record.line(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    exit(NOT_RUN)
}

/// Sends requests to the entries until `stop` is set, one after another.
fn caller(number: usize, entries: Vec<SocketAddr>, stop: Arc<AtomicBool>, answered: Arc<AtomicUsize>, record: Record) {
    let key = format!("{}{KEY}", names::key_scheme());
    for count in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{number}-{count}");
        let headers = [
            ("Host", "a.example"),
            ("Authorization", key.as_str()),
            (names::header("ATTEMPT_ID"), id.as_str()),
            (names::header("TIMEOUT"), "5000"),
            (names::header("MODEL"), MODEL),
            (names::header("TOKENS"), "1460,80"),
        ];
        let entry = entries[(number + count) % entries.len()];
        let reply = call(entry, "POST", "/chat/1", &headers, b"{}", Duration::from_secs(6));
        let (status, complete) = reply.map_or((0, false), |reply| (reply.status(), reply.complete));
        record.line(format!("caller {id}: {status}{}", if complete { "" } else { ", incomplete" }));
        if status == 200 && complete {
            answered.fetch_add(1, Ordering::SeqCst);
        }
        thread::sleep(Duration::from_millis(150));
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
    let followers: Vec<SocketAddr> =
        (0..3).filter(|number| *number != leader).map(|number| system.controls[number]).collect();
    let models = vec![Model {
        name: MODEL,
        load: Duration::from_millis(1600),
        warmup: Duration::from_millis(1600),
    }];
    let engines = Engines::new(record.clone(), models, SERVICE, system.controls.clone());
    if trouble {
        // The first reports of the servers, to two of the nodes, are under way for seconds.
        engines.hold_reports_to(followers);
    }
    for zone in 0..3_u8 {
        for server in 0..SERVERS {
            let host = 100 + zone * 40 + server;
            let address = format!("{}.{host}:8080", system.net).parse().expect("an address");
            let (zone, fabric) = (["z-a", "z-b", "z-c"][usize::from(zone)], format!("f-{zone}-{}", server / 9));
            engines.start(&format!("i-{host}"), address, zone, &fabric, MODEL, leader + 1);
            thread::sleep(Duration::from_millis(15));
        }
    }
    if !system.wait(Duration::from_secs(15), |_| engines.open_groups() == GROUPS) {
        drop(system);
        give_up("the groups did not form", &record);
    }
    engines.stop_holding();
    record.line(format!("{GROUPS} groups serve"));
    let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let callers: Vec<_> = (0..4)
        .map(|number| {
            let (entries, stop, answered) = (system.entries.clone(), stop.clone(), answered.clone());
            let record = record.clone();
            thread::spawn(move || caller(number, entries, stop, answered, record))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if trouble {
        system.lose(leader);
        let mut late = std::mem::take(&mut *engines.late.lock().expect("the lock"));
        late.sort_by_key(|late| (late.id.clone(), late.sequence));
        record.line(format!("{} reports are still under way", late.len()));
        let leads = |system: &System| system.leader().is_some_and(|other| other != leader);
        if !system.wait(Duration::from_secs(5), leads) {
            drop(system);
            give_up("no other control process leads", &record);
        }
        record.line("another control process leads");
        let count = late.len().max(1) as u64;
        let threads: Vec<_> = late
            .into_iter()
            .enumerate()
            .map(|(number, late)| {
                let engines = engines.clone();
                let after = LATE_BEGIN + LATE_SPREAD * number as u32 / count as u32;
                thread::spawn(move || {
                    thread::sleep(after);
                    engines.deliver(&late);
                })
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let ended = system.ended();
    drop(system);
    if let Some(ended) = ended {
        give_up(&ended, &record);
    }
    let broken = engines.broken.lock().expect("the lock").len();
    let answered = answered.load(Ordering::SeqCst);
    record.line(format!("{answered} requests answered in full; {broken} joins broke the rule"));
    println!("{answered} requests answered in full; {broken} joins broke the rule");
    if answered == 0 {
        give_up("no request was answered", &record);
    }
    exit(if broken > 0 { BROKEN } else { HELD });
}
