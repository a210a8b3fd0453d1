//! Reads of the configuration right after all control processes were killed and started again.

use review_stand::{
    http::{Message, read_message, write_request},
    names,
    record::Record,
    system::{BROKEN, HELD, NOT_RUN, System, has_trouble},
};
use std::{
    env,
    io::BufReader,
    net::{SocketAddr, TcpStream},
    path::Path,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Routes of the configuration.
const ROUTES: u64 = 350;
/// Concurrent calls of the operator.
const READERS: usize = 8;
/// The time for the changes before the restarts.
const CHANGES_TIME: Duration = Duration::from_secs(60);
/// The time from a read of the newest version to the next loss of all processes.
const PAUSE: Duration = Duration::from_millis(1000);
/// The end of the restarts.
const END: f64 = 90.0;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0 >> 11
    }
}

fn config(version: u64) -> String {
    let mut random = Random(version);
    let routes: Vec<String> = (0..ROUTES)
        .map(|number| {
            let (a, b) = (random.next(), random.next());
            format!(
                "{{\"name\":\"r-{a:x}\",\"host\":\"a.example\",\"path_prefix\":\"/p{number}{b:x}/\",\
                 \"route_type\":\"idempotent\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":2,\
                 \"service\":\"desk-app\",\"max_attempts\":2,\"public\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk-app\",\"health_path\":\"/healthz\",\
         \"max_connections\":96,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"counter\",\"api_keys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn give_up(why: &str, record: &Record) -> ! {
    record.line(format!("could not run: {why}"));
    eprintln!("could not run: {why}");
    exit(NOT_RUN)
}

fn version_of(reply: &Message) -> Option<u64> {
    let start = String::from_utf8_lossy(&reply.body[..reply.body.len().min(40)]).into_owned();
    start.strip_prefix("{\"version\":")?.split(',').next()?.parse().ok()
}

/// Reads the configuration at one node again and again.
fn reader(node: SocketAddr, newest: u64, stop: Arc<AtomicBool>, old: Arc<Mutex<Vec<String>>>, right: Arc<AtomicUsize>, record: Record) {
    let mut stream: Option<BufReader<TcpStream>> = None;
    while !stop.load(Ordering::SeqCst) {
        let sent_at = record.seconds();
        let reply = (|| {
            let mut reader = match stream.take() {
                Some(reader) => reader,
                None => {
                    let stream = TcpStream::connect_timeout(&node, Duration::from_millis(200)).ok()?;
                    stream.set_nodelay(true).ok()?;
                    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                    BufReader::new(stream)
                }
            };
            let headers = [("Connection", "keep-alive")];
            write_request(reader.get_mut(), "GET", &names::config_path(), &headers, b"").ok()?;
            let reply = read_message(&mut reader, true).ok()?;
            stream = Some(reader);
            Some(reply)
        })();
        let Some(reply) = reply else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        if reply.status() != 200 {
            continue;
        }
        match version_of(&reply) {
            Some(version) if version == newest => {
                if right.fetch_add(1, Ordering::SeqCst) == 0 {
                    record.line(format!("{node} answers version {version}"));
                }
                return;
            }
            version => {
                let line = format!("read sent to {node} at {sent_at:.3} is answered with version {version:?}, newest is {newest}");
                record.line(&line);
                old.lock().expect("the lock").push(line);
            }
        }
    }
}

fn main() {
    let folder = env::args().nth(1).expect("the folder of the case");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let trouble = has_trouble();
    let mut system = System::start(1, &record);
    let began = Instant::now();
    let mut version = 0;
    let mut compacted_at = None;
    let mut most = 0.0;
    loop {
        version += 1;
        if began.elapsed() > CHANGES_TIME || !system.configure(&config(version), Duration::from_secs(20)) {
            drop(system);
            give_up("not enough changes were accepted", &record);
        }
        let bytes = system.log_bytes();
        if bytes < most && compacted_at.is_none() {
            record.line(format!("the log was compacted, {most} to {bytes} bytes"));
            compacted_at = Some(version);
        }
        most = bytes.max(most);
        if compacted_at.is_some_and(|at| version >= at + 3) {
            break;
        }
    }
    thread::sleep(Duration::from_millis(2500));
    let (old, mut restarts) = (Arc::new(Mutex::new(Vec::new())), 0);
    loop {
        if trouble {
            for number in 0..3 {
                system.kill(number);
            }
            thread::sleep(Duration::from_millis(300));
            for number in 0..3 {
                system.restart_control(number);
            }
            restarts += 1;
        }
        let (stop, right) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let readers: Vec<_> = (0..READERS)
            .map(|number| {
                let node = system.controls[number % 3];
                let (stop, old, right, record) = (stop.clone(), old.clone(), right.clone(), record.clone());
                thread::spawn(move || reader(node, version, stop, old, right, record))
            })
            .collect();
        let is_read = system.wait(Duration::from_secs(12), |_| right.load(Ordering::SeqCst) > 0);
        stop.store(true, Ordering::SeqCst);
        for reader in readers {
            let _ = reader.join();
        }
        if !is_read {
            drop(system);
            give_up("the configuration could not be read", &record);
        }
        if !trouble || record.seconds() > END || !old.lock().expect("the lock").is_empty() {
            break;
        }
        thread::sleep(PAUSE);
    }
    drop(system);
    let old = old.lock().expect("the lock").len();
    let line = format!("{restarts} restarts, {old} reads answered with an older version");
    record.line(&line);
    println!("{line}");
    exit(if old > 0 { BROKEN } else { HELD });
}
