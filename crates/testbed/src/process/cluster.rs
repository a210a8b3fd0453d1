//! A whole system of real processes in a work folder.

use super::{
    exchange::{HttpRequest, HttpResponse},
    program::{Program, run_program, wait_until},
};
use serde_json::Value;
use std::{
    collections::BTreeMap,
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::Output,
    time::Duration,
};
use tempfile::TempDir;

const SECRET: &str = "secret-of-this-test";
/// A process that may be paused is asked for no longer than this.
const STATUS_LIMIT: Duration = Duration::from_secs(1);
const TOKEN: &str = "token-of-this-test";

/// What a system is made of.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Distinguishes the systems of one test file, so that they use other addresses.
    pub number: u8,
    /// Control processes.
    pub controls: u8,
    /// Voters among them.
    pub voters: u8,
    /// Entries.
    pub entries: u8,
    /// Engine hosts in each of the failure domains `a`, `b` and `c`.
    pub engines_per_domain: u8,
    /// Replicas of the service `ledger`.
    pub ledgers: u8,
    /// More flags of the stand-ins.
    pub fake_flags: Vec<String>,
    /// More flags of control.
    pub control_flags: Vec<String>,
}

impl Default for ClusterConfig {
    fn default() -> ClusterConfig {
        ClusterConfig {
            number: 0,
            controls: 1,
            voters: 1,
            entries: 1,
            engines_per_domain: 0,
            ledgers: 0,
            fake_flags: Vec::new(),
            control_flags: Vec::new(),
        }
    }
}

/// The processes of a system; they end when this is dropped.
#[derive(Debug)]
pub struct Cluster {
    shape: ClusterConfig,
    net: [u8; 2],
    folder: TempDir,
    /// The processes by name, such as `control-1`, `entry-2` or `fake-3`.
    pub programs: BTreeMap<String, Program>,
}

fn strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

impl Cluster {
    /// Starts a system and waits until control has a leader and all hosts are known.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started.
    pub fn start(shape: ClusterConfig) -> Cluster {
        let folder = TempDir::new().expect("a work folder");
        fs::write(folder.path().join("secret"), SECRET).expect("the secret is written");
        fs::write(folder.path().join("token"), TOKEN).expect("the token is written");
        // Test processes that run at the same time get other networks of 127.0.0.0/8.
        let net = [64 + (std::process::id() % 128) as u8, shape.number];
        let mut cluster = Cluster { shape, net, folder, programs: BTreeMap::new() };
        (1..=cluster.shape.controls).for_each(|number| cluster.start_control(number));
        (1..=cluster.shape.entries).for_each(|number| cluster.start_entry(number));
        let engines = cluster.shape.engines_per_domain * 3;
        for number in 1..=engines + cluster.shape.ledgers {
            cluster.start_fake(number, &[]);
        }
        let hosts = u64::from(engines + cluster.shape.ledgers);
        cluster.wait_status("a leader that knows all hosts", |status| {
            status["hosts_live"].as_u64() == Some(hosts)
                && status["entries"]
                    .as_array()
                    .is_some_and(|entries| entries.len() == usize::from(cluster.shape.entries))
        });
        cluster
    }

    /// An address of this system.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Where an entry takes callers' requests.
    pub fn entry(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7000)
    }

    /// Where an entry takes announcements.
    pub fn backend_address(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7500)
    }

    /// The admin address of an entry.
    pub fn entry_admin(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7400)
    }

    /// Where a control process takes operators' calls.
    pub fn operator(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7200)
    }

    /// Where a control process takes conversations of the system's own processes.
    pub fn peer(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7100)
    }

    /// The admin address of a control process.
    pub fn control_admin(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7300)
    }

    /// The admin address of a stand-in.
    pub fn fake_admin(&self, number: u8) -> SocketAddr {
        self.address(40 + number, 8001)
    }

    /// Where a stand-in takes requests and orders.
    pub fn fake(&self, number: u8) -> SocketAddr {
        self.address(40 + number, 8000)
    }

    /// A file in the work folder.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a file in the work folder and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.file(name);
        fs::write(&path, text).expect("the file is written");
        path.to_string_lossy().into_owned()
    }

    /// The secret that processes and backend servers share.
    pub fn secret(&self) -> &'static str {
        SECRET
    }

    /// The operators' token.
    pub fn token(&self) -> &'static str {
        TOKEN
    }

    /// Starts a control process.
    pub fn start_control(&mut self, number: u8) {
        let name = format!("control-{number}");
        let peers: Vec<String> =
            (1..=self.shape.controls).map(|number| self.peer(number).to_string()).collect();
        let mut args = vec![
            ("--name", name.clone()),
            ("--data", self.path(&name)),
            ("--peers", peers.join(",")),
            ("--voters", self.shape.voters.to_string()),
            ("--peer-listen", self.peer(number).to_string()),
            ("--operator-listen", self.operator(number).to_string()),
            ("--admin-listen", self.control_admin(number).to_string()),
            ("--token-file", self.path("token")),
        ];
        args.push(("--secret-file", self.path("secret")));
        let flags = self.shape.control_flags.clone();
        self.start_program("kingcup-control", &name, &args, &flags);
    }

    /// Starts an entry.
    pub fn start_entry(&mut self, number: u8) {
        let name = format!("entry-{number}");
        let control: Vec<String> =
            (1..=self.shape.controls).map(|number| self.peer(number).to_string()).collect();
        let args = vec![
            ("--name", name.clone()),
            ("--control", control.join(",")),
            ("--listen", self.entry(number).to_string()),
            ("--backend-listen", self.backend_address(number).to_string()),
            ("--admin-listen", self.entry_admin(number).to_string()),
            ("--secret-file", self.path("secret")),
            ("--token-file", self.path("token")),
            ("--body-bytes", "65536".to_owned()),
            ("--header-bytes", "8192".to_owned()),
        ];
        self.start_program("kingcup-entry", &name, &args, &[]);
    }

    /// Starts a backend stand-in: engines first, then ledgers.
    pub fn start_fake(&mut self, number: u8, flags: &[&str]) {
        let name = format!("fake-{number}");
        let entries: Vec<String> = (1..=self.shape.entries)
            .map(|number| self.backend_address(number).to_string())
            .collect();
        let per_domain = self.shape.engines_per_domain;
        let engine = number <= per_domain * 3;
        let domain = if engine { (number - 1) / per_domain } else { (number - 1) % 3 };
        let domain = ["a", "b", "c"][usize::from(domain)];
        let offer = if engine { ("--accelerators", "4") } else { ("--service", "ledger") };
        let args = vec![
            ("--name", format!("host-{number}")),
            ("--listen", self.fake(number).to_string()),
            ("--admin-listen", self.fake_admin(number).to_string()),
            ("--entries", entries.join(",")),
            ("--failure-domain", domain.to_owned()),
            ("--fabric-domain", format!("{domain}-1")),
            (offer.0, offer.1.to_owned()),
            ("--secret-file", self.path("secret")),
        ];
        let mut more = self.shape.fake_flags.clone();
        more.extend(strings(flags));
        self.start_program("kingcup-fake", &name, &args, &more);
    }

    fn start_program(
        &mut self,
        program: &str,
        name: &str,
        args: &[(&str, String)],
        flags: &[String],
    ) {
        let mut words = Vec::new();
        for (flag, value) in args {
            words.push((*flag).to_owned());
            words.push(value.clone());
        }
        words.extend(flags.iter().cloned());
        let log = self.file(&format!("{name}.log"));
        self.programs.insert(name.to_owned(), Program::start(program, &words, &log));
    }

    fn path(&self, name: &str) -> String {
        self.file(name).to_string_lossy().into_owned()
    }

    /// Runs the operators' tool with the addresses and token of this system.
    pub fn kingcup(&self, args: &[&str]) -> Output {
        let operators: Vec<String> =
            (1..=self.shape.controls).map(|number| self.operator(number).to_string()).collect();
        let environment = [
            ("KINGCUP_OPERATOR".to_owned(), operators.join(",")),
            ("KINGCUP_TOKEN_FILE".to_owned(), self.path("token")),
            ("KINGCUP_ENTRY".to_owned(), self.entry(1).to_string()),
        ];
        run_program("kingcup", &strings(args), &environment)
    }

    /// The status as the leader reports it; null while there is none.
    pub fn status(&self) -> Value {
        let operators = (1..=self.shape.controls).map(|number| self.operator(number));
        for operator in operators {
            let answer = HttpRequest::new("GET", operator, "/v1/status")
                .header("authorization", &format!("Bearer {TOKEN}"))
                .limit(STATUS_LIMIT)
                .send();
            if let Some(answer) = answer.filter(|answer| answer.status == 200) {
                return answer.json();
            }
        }
        Value::Null
    }

    /// Calls one control process as an operator.
    pub fn operator_call(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<HttpResponse> {
        HttpRequest::new(method, to, path)
            .header("authorization", &format!("Bearer {TOKEN}"))
            .body(body)
            .send()
    }

    /// Waits until the status meets a condition.
    pub fn wait_status(&self, what: &str, mut condition: impl FnMut(&Value) -> bool) {
        wait_until(what, || condition(&self.status()));
    }

    /// Applies a manifest through any control process and waits until entries act on it.
    pub fn apply(&self, manifest: &str) {
        let file = self.write("manifest.json", manifest);
        let output = self.kingcup(&["apply", &file, "--wait"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    /// Waits until every model has all its groups serving.
    pub fn wait_all_serving(&self) {
        self.wait_status("all groups serving", |status| {
            let short = status["short_models"].as_array();
            status["manifest"].is_object() && short.is_some_and(Vec::is_empty)
        });
    }

    /// The number of groups that serve.
    pub fn groups_serving(&self) -> usize {
        let status = self.status();
        let groups = status["groups"].as_array().into_iter().flatten();
        groups.filter(|group| group["serving"] == true).count()
    }

    /// The ledger of a stand-in.
    pub fn ledger(&self, number: u8) -> Value {
        let answer = HttpRequest::new("GET", self.fake_admin(number), "/fake/ledger").send();
        answer.map(|answer| answer.json()).unwrap_or_default()
    }

    /// Switches faults of a stand-in.
    pub fn set_faults(&self, number: u8, faults: &str) {
        let answer =
            HttpRequest::new("PUT", self.fake_admin(number), "/fake/faults").body(faults).send();
        assert!(answer.is_some_and(|answer| answer.status == 200), "the faults were not taken");
    }
}
