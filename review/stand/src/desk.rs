//! Stand-ins for backend servers of a plain service, which run single requests.

use crate::{
    http::{self, Message, call, response},
    json::Json,
    names,
    record::Record,
    system::HEARTBEAT_MS,
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that reached a backend server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: f64,
}

/// Bytes that are no answer.
#[derive(Debug, Clone, Copy)]
pub enum Babble {
    /// Interim responses.
    Head,
    /// A chunk in a body whose length never ends.
    Body,
}

/// A backend server of a plain service.
pub struct Desk {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
    pub work: Duration,
    pub record: Record,
    pub nodes: Vec<SocketAddr>,
    pub born: u64,
    sequence: AtomicU64,
    pub reports: AtomicBool,
    ended: Arc<AtomicBool>,
    preferred: Mutex<Option<SocketAddr>>,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    next_connection: AtomicU64,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// What it answers each request with, without end, if it is in trouble.
    pub babble: Mutex<Option<Babble>>,
}

impl Desk {
    /// Starts a backend server, which reports from then on.
    pub fn start(id: &str, address: SocketAddr, service: &str, zone: &str, work: Duration, nodes: Vec<SocketAddr>, record: &Record) -> Arc<Desk> {
        let listener = TcpListener::bind(address).expect("a free address");
        let desk = Arc::new(Desk {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            record: record.clone(),
            nodes,
            born: SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_millis() as u64,
            sequence: AtomicU64::new(0),
            reports: AtomicBool::new(true),
            ended: Arc::default(),
            preferred: Mutex::default(),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
            arrivals: Mutex::default(),
            babble: Mutex::default(),
        });
        let server = desk.clone();
        let handler: http::Handler = Arc::new(move |request, stream| server.handle(request, stream));
        http::serve_until(listener, handler, desk.ended.clone());
        let reporter = desk.clone();
        thread::spawn(move || {
            while !reporter.ended.load(Ordering::SeqCst) {
                if reporter.reports.load(Ordering::SeqCst) {
                    reporter.report_once("ready");
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        desk
    }

    /// The next report.
    pub fn report_body(&self, state: &str) -> (u64, String) {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        (sequence, body)
    }

    /// Reports to the preferred node and then to each other one, until one acknowledges it.
    pub fn report_once(&self, state: &str) -> bool {
        let preferred = self.preferred.lock().expect("the lock").take();
        for node in preferred.into_iter().chain(self.nodes.iter().copied()) {
            let (_, body) = self.report_body(state);
            if let Some(reply) = self.send("PUT", node, &body) {
                let json = Json::parse(&reply.text());
                let url = json.and_then(|json| json.text("heartbeat_url")?.parse().ok());
                *self.preferred.lock().expect("the lock") = url;
                return true;
            }
        }
        false
    }

    /// Sends a call of this server to a node, following redirects twice. Returns the answer if the
    /// call was acknowledged.
    pub fn send(&self, method: &str, node: SocketAddr, body: &str) -> Option<Message> {
        let mut to = node;
        for _ in 0..3 {
            let path = names::replica_path(&self.id);
            let headers = [("Content-Type", "application/json")];
            let reply = call(to, method, &path, &headers, body.as_bytes(), REPORT_TIMEOUT).ok()?;
            match reply.status() {
                200..=299 => return Some(reply),
                307 => {
                    let location = reply.header("location")?.strip_prefix("http://")?.to_owned();
                    to = location.split('/').next()?.parse().ok()?;
                }
                _ => return None,
            }
        }
        None
    }

    /// Ends the server: its connections end, and it takes no more requests.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // The listener is closed before the connections end.
        thread::sleep(Duration::from_millis(5));
        for stream in self.connections.lock().expect("the lock").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format!("{} ends", self.id));
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        if let Ok(handle) = stream.try_clone() {
            self.connections.lock().expect("the lock").insert(number, handle);
        }
        let is_kept = self.run(request, stream);
        self.connections.lock().expect("the lock").remove(&number);
        is_kept && !self.ended.load(Ordering::SeqCst)
    }

    fn run(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let expected = request.header(names::header("EXPECT_REPLICA"));
        let id = request.header(names::header("ATTEMPT_ID")).unwrap_or_default().to_owned();
        let echo = names::header("ATTEMPT_ID");
        if expected.is_some_and(|other| other != self.id) {
            let text = response("421 Misdirected Request", &[(echo, &id)], "");
            return stream.write_all(text.as_bytes()).is_ok();
        }
        let at = self.record.seconds();
        self.arrivals.lock().expect("the lock").push(Arrival { id: id.clone(), at });
        self.record.line(format!("{} runs {} {} of {id}", self.id, request.method(), request.path()));
        let babble = *self.babble.lock().expect("the lock");
        if let Some(babble) = babble {
            self.run_babble(babble, &id, stream);
            return false;
        }
        thread::sleep(self.work);
        if self.ended.load(Ordering::SeqCst) {
            return false;
        }
        let receipt = names::receipt_header();
        let receipt_value = format!("{}.{id}", self.id);
        let headers = [(echo, id.as_str()), (receipt.as_str(), receipt_value.as_str())];
        let body = format!("{{\"ran\":\"{id}\",\"at\":\"{}\"}}", self.id);
        stream.write_all(response("200 OK", &headers, &body).as_bytes()).is_ok()
    }

    /// Sends bytes that are no answer until the caller closes or the server ends.
    fn run_babble(&self, babble: Babble, id: &str, stream: &mut TcpStream) {
        let began = self.record.seconds();
        let (head, text) = match babble {
            Babble::Head => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".repeat(4096)),
            Babble::Body => {
                let (echo, receipt) = (names::header("ATTEMPT_ID"), names::receipt_header());
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{echo}: {id}\r\n{receipt}: {}.{id}\r\nTransfer-Encoding: chunked\r\n\r\n",
                    self.id
                );
                (head, "0".repeat(100_000))
            }
        };
        let mut bytes = 0_u64;
        if stream.write_all(head.as_bytes()).is_ok() {
            while !self.ended.load(Ordering::SeqCst) && stream.write_all(text.as_bytes()).is_ok() {
                bytes += text.len() as u64;
            }
        }
        let took = self.record.seconds() - began;
        self.record.line(format!("{} ends its answer to {id} after {bytes} bytes in {took:.3} s", self.id));
    }
}
