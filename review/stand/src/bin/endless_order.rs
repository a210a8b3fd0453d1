//! A backend server in trouble that answers orders with bytes without end which are no answer.

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
    thread,
    time::{Duration, Instant},
};

const SERVICE: &str = "assist-llm";
const MODEL: &str = "m-large";
const KEY: &str = "key-1";
/// Backend servers, all in one fabric domain.
const SERVERS: u8 = 9;
/// How long the server is in trouble after it was first ordered to join.
const TROUBLE_TIME: Duration = Duration::from_secs(9);
/// `contact_ms` of the settings, for which the operator reads at least.
const CONTACT: f64 = 3.0;

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
    let models = vec![Model {
        name: MODEL,
        load: Duration::from_millis(1600),
        warmup: Duration::from_millis(1600),
    }];
    let engines = Engines::new(record.clone(), models, SERVICE, system.controls.clone());
    if trouble {
        *engines.babbler.lock().expect("the lock") = Some("i-100".to_owned());
    }
    for server in 0..SERVERS {
        let host = 100 + server;
        let address = format!("{}.{host}:8080", system.net).parse().expect("an address");
        engines.start(&format!("i-{host}"), address, "z-a", "f-0", MODEL, leader);
    }
    thread::sleep(Duration::from_secs(4));
    let mut silent_since = None;
    let mut longest: f64 = 0.0;
    let end = Instant::now() + TROUBLE_TIME;
    while Instant::now() < end {
        let reads = |node: &SocketAddr| {
            let reply = call(*node, "GET", &names::config_path(), &[], b"", Duration::from_millis(1000));
            let status = reply.map_or(0, |reply| reply.status());
            record.line(format!("read at {node}: {status}"));
            status == 200
        };
        if system.controls.iter().any(reads) {
            silent_since = None;
        } else {
            let since = *silent_since.get_or_insert(record.seconds() - 3.0);
            longest = longest.max(record.seconds() - since);
        }
        thread::sleep(Duration::from_millis(200));
    }
    let is_acknowledged = system.configure(&config(2), Duration::from_secs(4));
    *engines.babbler.lock().expect("the lock") = None;
    let recovers = system.configure(&config(3), Duration::from_secs(20));
    let ended = system.ended();
    drop(system);
    if let Some(ended) = ended {
        give_up(&ended, &record);
    }
    let line = format!(
        "control: no read for up to {longest:.1} s; a change was {}acknowledged in 4 s, and {}afterwards",
        if is_acknowledged { "" } else { "not " },
        if recovers { "" } else { "not " }
    );
    record.line(&line);
    println!("{line}");
    exit(if longest > CONTACT + 1.0 && !is_acknowledged { BROKEN } else { HELD });
}
