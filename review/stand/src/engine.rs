//! Stand-ins for backend servers with engines, which form groups.

use crate::{
    http::{self, Message, call, response},
    json::Json,
    names,
    record::Record,
    system::HEARTBEAT_MS,
};
use std::{
    collections::{BTreeMap, VecDeque},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// How long a backend server waits for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of the first attempt to report after all nodes have failed; it doubles.
const FIRST_BACKOFF: Duration = Duration::from_millis(200);
/// Age of the state that a backend server tells when it is asked.
const STATE_LAG: Duration = Duration::from_millis(200);
/// Time to join a group of the model that was the model of the last group.
const REJOIN: Duration = Duration::from_millis(200);

/// A model, as the configuration describes it.
#[derive(Debug, Clone)]
pub struct Model {
    pub name: &'static str,
    pub load: Duration,
    pub warmup: Duration,
}

/// The membership of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    pub group: String,
    pub epoch: u64,
    pub rank: usize,
    pub members: Vec<String>,
    pub state: &'static str,
}

#[derive(Debug, Default)]
struct State {
    membership: Option<Membership>,
    staged: Vec<String>,
    last_model: Option<String>,
    fence: u64,
    epoch: u64,
    orders: u64,
    reports: u64,
    /// Earlier states, to tell them late.
    told: VecDeque<(Instant, String)>,
}

/// A request to a backend server, or its connection, that is held up on the way.
pub struct LateReport {
    pub id: String,
    pub to: SocketAddr,
    pub sequence: u64,
    pub body: String,
    pub sent_at: f64,
}

/// All backend servers of a run, and what they share.
pub struct Engines {
    pub record: Record,
    pub models: Vec<Model>,
    service: String,
    nodes: Vec<SocketAddr>,
    all: Mutex<BTreeMap<String, Arc<Engine>>>,
    /// Whether reports to `held_nodes` are held up on their way.
    holds: AtomicBool,
    held_nodes: Mutex<Vec<SocketAddr>>,
    pub late: Mutex<Vec<LateReport>>,
    /// What broke the rule that a server belongs to one group.
    pub broken: Mutex<Vec<String>>,
    pub served: AtomicUsize,
    /// The server that answers orders and queries with bytes that are no answer, without end.
    pub babbler: Mutex<Option<String>>,
}

/// One backend server.
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    fabric: String,
    born: u64,
    state: Mutex<State>,
    all: Arc<Engines>,
    /// Set when the state has changed, so that it is reported at once.
    changed: AtomicBool,
}

impl Engines {
    pub fn new(record: Record, models: Vec<Model>, service: &str, nodes: Vec<SocketAddr>) -> Arc<Engines> {
        Arc::new(Engines {
            record,
            models,
            service: service.to_owned(),
            nodes,
            all: Mutex::default(),
            holds: AtomicBool::new(false),
            held_nodes: Mutex::default(),
            late: Mutex::default(),
            broken: Mutex::default(),
            served: AtomicUsize::new(0),
            babbler: Mutex::default(),
        })
    }

    /// Holds up reports to these nodes on their way until `deliver_late`.
    pub fn hold_reports_to(&self, nodes: Vec<SocketAddr>) {
        *self.held_nodes.lock().expect("the lock") = nodes;
        self.holds.store(true, Ordering::SeqCst);
    }

    /// New reports are not held up any more.
    pub fn stop_holding(&self) {
        self.holds.store(false, Ordering::SeqCst);
    }

    fn is_held(&self, node: SocketAddr) -> bool {
        self.holds.load(Ordering::SeqCst) && self.held_nodes.lock().expect("the lock").contains(&node)
    }

    /// Starts a backend server. `first_node` is where its list of nodes begins.
    pub fn start(self: &Arc<Engines>, id: &str, address: SocketAddr, zone: &str, fabric: &str, staged: &str, first_node: usize) {
        let listener = TcpListener::bind(address).expect("a free address");
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            fabric: fabric.to_owned(),
            born: SystemTime::now().duration_since(UNIX_EPOCH).expect("a date").as_millis() as u64,
            state: Mutex::new(State { staged: vec![staged.to_owned()], ..State::default() }),
            all: self.clone(),
            changed: AtomicBool::new(false),
        });
        self.all.lock().expect("the lock").insert(id.to_owned(), engine.clone());
        let handler = engine.clone();
        http::serve(listener, Arc::new(move |request, stream| handler.handle(request, stream)));
        thread::spawn(move || engine.report_forever(first_node));
    }

    /// How many groups serve.
    pub fn open_groups(&self) -> usize {
        let all = self.all.lock().expect("the lock");
        let is_open = |engine: &&Arc<Engine>| {
            let state = engine.state.lock().expect("the lock");
            state.membership.as_ref().is_some_and(|part| part.rank == 0 && part.state == "open")
        };
        all.values().filter(is_open).count()
    }

    /// The state of a group at its head: `open`, `closing` or another one, if the head is still in it.
    fn head_state(&self, part: &Membership) -> Option<&'static str> {
        let head = part.members.first()?;
        let head = self.all.lock().expect("the lock").get(head)?.clone();
        let state = head.state.lock().expect("the lock");
        let own = state.membership.as_ref()?;
        (own.group == part.group && own.epoch == part.epoch).then_some(own.state)
    }

    /// Delivers a report that was held up, as the network does in the end.
    pub fn deliver(&self, late: &LateReport) {
        let reply = call(
            late.to,
            "PUT",
            &names::replica_path(&late.id),
            &[("Content-Type", "application/json")],
            late.body.as_bytes(),
            REPORT_TIMEOUT,
        );
        let status = reply.map_or(0, |reply| reply.status());
        self.record.line(format!(
            "late report of {} sequence {} sent at {:.3} reaches {}: {status}",
            late.id, late.sequence, late.sent_at, late.to
        ));
    }
}

impl Engine {
    fn report_body(&self) -> (u64, String) {
        let mut state = self.state.lock().expect("the lock");
        state.reports += 1;
        let own = engine_fields(&state);
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":26,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"sequence\":{},\"born\":{},\
             \"domain\":\"{}\"{own}}}",
            self.all.service, self.address, self.zone, state.reports, self.born, self.fabric
        );
        (state.reports, body)
    }

    /// Reports at intervals, and at once after a change.
    fn report_forever(self: Arc<Engine>, first_node: usize) {
        let mut preferred: Option<SocketAddr> = None;
        let mut next_node = first_node;
        let mut reports = 0_u64;
        loop {
            let began = Instant::now();
            self.changed.store(false, Ordering::SeqCst);
            let mut backoff = FIRST_BACKOFF;
            while !self.report(&mut preferred, &mut next_node) {
                thread::sleep(backoff);
                backoff = (backoff * 2).min(Duration::from_millis(HEARTBEAT_MS));
            }
            // The interval is only approximate.
            let jitter = (u64::from(self.address.port()) + self.born + reports * 7919) % 240;
            reports += 1;
            let interval = Duration::from_millis(HEARTBEAT_MS - 120 + jitter);
            while began.elapsed() < interval
                && !self.changed.load(Ordering::SeqCst)
            {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Tries to report to the preferred address and then to each node once.
    fn report(&self, preferred: &mut Option<SocketAddr>, next_node: &mut usize) -> bool {
        let nodes = &self.all.nodes;
        let mut targets: Vec<SocketAddr> = preferred.take().into_iter().collect();
        for _ in nodes {
            targets.push(nodes[*next_node % nodes.len()]);
            *next_node += 1;
        }
        for target in targets {
            if let Some(url) = self.report_to(target) {
                *preferred = url;
                return true;
            }
        }
        false
    }

    /// Reports to one node, following redirects. Returns the address for later reports if the
    /// report was acknowledged.
    fn report_to(&self, target: SocketAddr) -> Option<Option<SocketAddr>> {
        let (sequence, body) = self.report_body();
        let mut to = target;
        for _ in 0..3 {
            if self.all.is_held(to) {
                let sent_at = self.all.record.seconds();
                let id = self.id.clone();
                self.all.record.line(format!("report of {id} sequence {sequence} to {to} is held up"));
                let late = LateReport { id, to, sequence, body, sent_at };
                self.all.late.lock().expect("the lock").push(late);
                thread::sleep(REPORT_TIMEOUT);
                return None;
            }
            let headers = [("Content-Type", "application/json")];
            let path = names::replica_path(&self.id);
            let reply = call(to, "PUT", &path, &headers, body.as_bytes(), REPORT_TIMEOUT).ok()?;
            match reply.status() {
                200..=299 => {
                    let json = Json::parse(&reply.text());
                    let url = json.and_then(|json| json.text("heartbeat_url")?.parse().ok());
                    return Some(url);
                }
                307 => {
                    let location = reply.header("location")?.strip_prefix("http://")?.to_owned();
                    to = location.split('/').next()?.parse().ok()?;
                }
                _ => return None,
            }
        }
        None
    }

    /// Changes the state and has it reported.
    fn change(&self, state: &mut State, membership: Option<Membership>) {
        state.membership = membership;
        let now = Instant::now();
        let text = state_text(state, self.born);
        state.told.push_back((now, text));
        self.changed.store(true, Ordering::SeqCst);
    }

    /// The state as it was some time ago.
    fn told_state(&self) -> String {
        let mut state = self.state.lock().expect("the lock");
        let now = Instant::now();
        while state.told.len() > 1 && now - state.told[1].0 >= STATE_LAG {
            state.told.pop_front();
        }
        match state.told.front() {
            Some((at, text)) if now - *at >= STATE_LAG => text.clone(),
            Some(_) => state_text(&State::default(), self.born),
            None => state_text(&state, self.born),
        }
    }

    fn handle(self: &Arc<Engine>, request: &Message, stream: &mut TcpStream) -> bool {
        let expected = request.header(names::header("EXPECT_REPLICA"));
        if expected.is_some_and(|id| id != self.id) {
            let _ = stream.write_all(response("421 Misdirected Request", &[], "").as_bytes());
            return true;
        }
        let is_order = request.path() == names::state_path() || request.path() == names::order_path();
        if is_order && self.babbles() {
            self.babble(request, stream);
            return false;
        }
        if request.path() == names::state_path() {
            let headers = [("Content-Type", "application/json")];
            return stream.write_all(response("200 OK", &headers, &self.told_state()).as_bytes()).is_ok();
        }
        if request.path() == names::order_path() {
            let status = self.order(&request.text());
            return stream.write_all(response(status, &[], "").as_bytes()).is_ok();
        }
        self.serve(request, stream)
    }

    fn babbles(&self) -> bool {
        self.all.babbler.lock().expect("the lock").as_ref() == Some(&self.id)
    }

    /// Sends a chunk whose length never ends, until the caller closes or the trouble is over.
    fn babble(&self, request: &Message, stream: &mut TcpStream) {
        self.all.record.line(format!("{} begins an answer without end to {}", self.id, request.text()));
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let text = "0".repeat(100_000);
        let mut bytes = 0_u64;
        if stream.write_all(head.as_bytes()).is_ok() {
            while self.babbles() && stream.write_all(text.as_bytes()).is_ok() {
                bytes += text.len() as u64;
            }
        }
        self.all.record.line(format!("{} ends its answer after {bytes} bytes", self.id));
    }

    /// Carries out an order, and returns the status of the answer.
    fn order(self: &Arc<Engine>, text: &str) -> &'static str {
        const BEGUN: &str = "202 Accepted";
        const DONE: &str = "200 OK";
        const CONFLICT: &str = "409 Conflict";
        const OLD: &str = "412 Precondition Failed";
        let Some(order) = Json::parse(text) else { return "400 Bad Request" };
        let operation = order.text("operation").unwrap_or_default().to_owned();
        let fence = order.number("fencing_token").unwrap_or(0.0) as u64;
        let group = order.text("group").unwrap_or_default().to_owned();
        let epoch = order.number("epoch").unwrap_or(0.0) as u64;
        // Looked up before the own state is locked, as the head's state has a lock of its own.
        let own = self.state.lock().expect("the lock").membership.clone();
        let head = own.as_ref().and_then(|part| self.all.head_state(part));
        let mut state = self.state.lock().expect("the lock");
        if fence < state.fence {
            return OLD;
        }
        state.fence = fence;
        let is_own = state.membership.as_ref().is_some_and(|p| p.group == group && p.epoch == epoch);
        let status = match operation.as_str() {
            "join" => {
                let members = order.texts("members");
                let model = order.text("model").unwrap_or_default().to_owned();
                let Some(rank) = members.iter().position(|id| *id == self.id) else { return CONFLICT };
                let differs = is_own && state.membership.as_ref().is_some_and(|p| p.members != members);
                if epoch < state.epoch || differs {
                    return OLD;
                }
                if is_own {
                    return DONE;
                }
                if let Some(part) = own.as_ref().filter(|_| matches!(head, Some("open" | "closing"))) {
                    let line = format!(
                        "TWO: {} takes the join of {group} epoch {epoch} (members {members:?}) while the head {} of its group {} epoch {} is {}",
                        self.id, part.members[0], part.group, part.epoch, head.unwrap_or_default()
                    );
                    self.all.record.line(&line);
                    self.all.broken.lock().expect("the lock").push(line);
                }
                state.epoch = epoch;
                let part = Membership { group, epoch, rank, members, state: "joining" };
                let time = self.join_time(&state, &model);
                self.change(&mut state, Some(part.clone()));
                state.last_model = Some(model.clone());
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(time);
                    let mut state = engine.state.lock().expect("the lock");
                    if state.membership.as_ref() == Some(&part) {
                        state.staged = vec![model];
                        engine.change(&mut state, Some(Membership { state: "ready", ..part }));
                    }
                });
                BEGUN
            }
            "open" | "close" | "leave" if !is_own => CONFLICT,
            "open" => {
                let part = state.membership.clone().expect("its own group");
                match part.state {
                    "open" => return DONE,
                    "ready" if part.rank == 0 => {}
                    _ => return CONFLICT,
                }
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(300));
                    let mut state = engine.state.lock().expect("the lock");
                    if state.membership.as_ref() == Some(&part) {
                        engine.change(&mut state, Some(Membership { state: "open", ..part }));
                    }
                });
                BEGUN
            }
            "close" => {
                let part = state.membership.clone().expect("its own group");
                if part.state == "ready" {
                    return DONE;
                }
                if part.state != "open" {
                    return CONFLICT;
                }
                self.change(&mut state, Some(Membership { state: "ready", ..part }));
                BEGUN
            }
            "leave" => {
                self.change(&mut state, None);
                DONE
            }
            "stage" => {
                let model = order.text("model").unwrap_or_default().to_owned();
                if state.staged.contains(&model) {
                    return DONE;
                }
                let load = self.all.models.iter().find(|known| known.name == model).map(|m| m.load);
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(load.unwrap_or_default());
                    let mut state = engine.state.lock().expect("the lock");
                    state.staged = vec![model];
                    let membership = state.membership.clone();
                    engine.change(&mut state, membership);
                });
                BEGUN
            }
            _ => return "400 Bad Request",
        };
        if status == BEGUN {
            state.orders += 1;
        }
        drop(state);
        self.all.record.line(format!("{} takes {operation} {text}: {status}", self.id));
        status
    }

    fn join_time(&self, state: &State, model: &str) -> Duration {
        let known = self.all.models.iter().find(|known| known.name == model);
        match known {
            _ if state.last_model.as_deref() == Some(model) => REJOIN,
            Some(known) if state.staged.iter().any(|name| name == model) => known.warmup,
            Some(known) => known.load,
            None => REJOIN,
        }
    }

    /// Runs a request of a caller if this is the head of an open group.
    fn serve(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header(names::header("ATTEMPT_ID")).unwrap_or_default().to_owned();
        let is_open = {
            let state = self.state.lock().expect("the lock");
            state.membership.as_ref().is_some_and(|part| part.rank == 0 && part.state == "open")
        };
        if !is_open {
            let headers = [(names::header("ATTEMPT_ID"), id.as_str())];
            return stream.write_all(response("421 Misdirected Request", &headers, "").as_bytes()).is_ok();
        }
        self.all.served.fetch_add(1, Ordering::SeqCst);
        self.all.record.line(format!("{} runs request {id}", self.id));
        let receipt = names::receipt_header();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{}: {id}\r\n{receipt}: r-{id}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            names::header("ATTEMPT_ID")
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let first = request.header("last-event-id").and_then(|n| n.parse().ok()).unwrap_or(0) + 1;
        for event in first..=5 {
            thread::sleep(Duration::from_millis(60));
            let event = format!("id: {event}\ndata: {id}-{event}\n\n");
            if write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The fields that both reports and answers to queries have.
fn engine_fields(state: &State) -> String {
    let quote = |names: &[String]| {
        names.iter().map(|name| format!("\"{name}\"")).collect::<Vec<_>>().join(",")
    };
    let models = state.last_model.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[]}}")
    });
    let group = state.membership.as_ref().map_or_else(String::new, |part| {
        format!(
            ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{},\"state\":\"{}\"}}",
            part.group, part.epoch, part.rank, part.state
        )
    });
    format!(
        ",\"models\":[{}],\"staged\":[{}]{group}",
        models.collect::<Vec<_>>().join(","),
        quote(&state.staged)
    )
}

fn state_text(state: &State, born: u64) -> String {
    format!(
        "{{\"stage\":\"both\",\"busy\":false,\"sequence\":{},\"waiting\":0,\"running\":0,\"kv_used\":0,\
         \"kv_total\":1590000,\"handles\":0,\"born\":{born}{}}}",
        state.orders,
        engine_fields(state)
    )
}
