//! A cluster of real processes with a temporary working directory.

use super::{
    program::{Program, run_program, wait_until},
    request::{HttpRequest, HttpResponse},
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
/// Timeout of a status request, short because the process may be paused.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const TOKEN: &str = "token-of-this-test";

/// Configuration of a test cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    /// Number of the cluster within a test file. Each number gives other addresses.
    pub number: u8,
    /// Number of control processes.
    pub controls: u8,
    /// Number of voters among the control processes.
    pub voters: u8,
    /// Number of entries.
    pub entries: u8,
    /// Number of engine hosts in each of the failure domains `a`, `b` and `c`.
    pub engines_per_domain: u8,
    /// Number of replicas of the service `ledger`.
    pub ledgers: u8,
    /// Additional flags of the fake backend servers.
    pub fake_flags: Vec<String>,
    /// Additional flags of the control processes.
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

/// The processes of a test cluster, killed on drop.
#[derive(Debug)]
pub struct Cluster {
    config: ClusterConfig,
    /// Second and third byte of all addresses of the cluster.
    network: [u8; 2],
    folder: TempDir,
    /// The processes by name, such as `control-1`, `entry-2` or `fake-3`.
    pub programs: BTreeMap<String, Program>,
}

fn strings(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

impl Cluster {
    /// Starts a cluster and waits until control has a leader that knows all hosts and entries.
    ///
    /// # Panics
    ///
    /// Panics if a process can't be started or the condition does not hold within 120 s.
    pub fn start(config: ClusterConfig) -> Cluster {
        let folder = TempDir::new().expect("create the working directory");
        fs::write(folder.path().join("secret"), SECRET).expect("write the secret");
        fs::write(folder.path().join("token"), TOKEN).expect("write the token");
        // Test processes that run at the same time use different networks of 127.0.0.0/8.
        let network = [64 + (std::process::id() % 128) as u8, config.number];
        let mut cluster = Cluster { config, network, folder, programs: BTreeMap::new() };
        (1..=cluster.config.controls).for_each(|number| cluster.start_control(number));
        (1..=cluster.config.entries).for_each(|number| cluster.start_entry(number));
        let engines = cluster.config.engines_per_domain * 3;
        for number in 1..=engines + cluster.config.ledgers {
            cluster.start_fake(number, &[]);
        }
        let hosts = u64::from(engines + cluster.config.ledgers);
        cluster.wait_status("a leader that knows all hosts and entries", |status| {
            status["hosts_live"].as_u64() == Some(hosts)
                && status["entries"]
                    .as_array()
                    .is_some_and(|entries| entries.len() == usize::from(cluster.config.entries))
        });
        cluster
    }

    /// Returns an address of this cluster.
    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.network[0], self.network[1], host);
        SocketAddr::new(IpAddr::V4(ip), port)
    }

    /// Returns the address on which an entry accepts callers' requests.
    pub fn entry(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7000)
    }

    /// Returns the address on which an entry accepts announcements.
    pub fn backend_address(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7500)
    }

    /// Returns the admin address of an entry.
    pub fn entry_admin(&self, number: u8) -> SocketAddr {
        self.address(20 + number, 7400)
    }

    /// Returns the address on which a control process accepts operators' requests.
    pub fn operator(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7200)
    }

    /// Returns the address on which a control process accepts sessions of entries and other
    /// control processes.
    pub fn peer(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7100)
    }

    /// Returns the admin address of a control process.
    pub fn control_admin(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 7300)
    }

    /// Returns the admin address of a fake backend server.
    pub fn fake_admin(&self, number: u8) -> SocketAddr {
        self.address(40 + number, 8001)
    }

    /// Returns the address on which a fake backend server accepts requests and orders.
    pub fn fake(&self, number: u8) -> SocketAddr {
        self.address(40 + number, 8000)
    }

    /// Returns the path of a file in the working directory.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a file to the working directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.file(name);
        fs::write(&path, text).expect("write the file");
        path.to_string_lossy().into_owned()
    }

    /// Returns the secret that processes and backend servers share.
    pub fn secret(&self) -> &'static str {
        SECRET
    }

    /// Returns the operators' token.
    pub fn token(&self) -> &'static str {
        TOKEN
    }

    /// Starts a control process.
    pub fn start_control(&mut self, number: u8) {
        let name = format!("control-{number}");
        let peers: Vec<String> =
            (1..=self.config.controls).map(|number| self.peer(number).to_string()).collect();
        let mut args = vec![
            ("--name", name.clone()),
            ("--data", self.path(&name)),
            ("--peers", peers.join(",")),
            ("--voters", self.config.voters.to_string()),
            ("--peer-listen", self.peer(number).to_string()),
            ("--operator-listen", self.operator(number).to_string()),
            ("--admin-listen", self.control_admin(number).to_string()),
            ("--token-file", self.path("token")),
        ];
        args.push(("--secret-file", self.path("secret")));
        let flags = self.config.control_flags.clone();
        self.start_program("kingcup-control", &name, &args, &flags);
    }

    /// Starts an entry.
    pub fn start_entry(&mut self, number: u8) {
        let name = format!("entry-{number}");
        let control: Vec<String> =
            (1..=self.config.controls).map(|number| self.peer(number).to_string()).collect();
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

    /// Starts a fake backend server. Engines have the lowest numbers, followed by ledgers.
    pub fn start_fake(&mut self, number: u8, flags: &[&str]) {
        let name = format!("fake-{number}");
        let entries: Vec<String> = (1..=self.config.entries)
            .map(|number| self.backend_address(number).to_string())
            .collect();
        let per_domain = self.config.engines_per_domain;
        let is_engine = number <= per_domain * 3;
        let domain = if is_engine { (number - 1) / per_domain } else { (number - 1) % 3 };
        let domain = ["a", "b", "c"][usize::from(domain)];
        let offer = if is_engine { ("--accelerators", "4") } else { ("--service", "ledger") };
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
        let mut all_flags = self.config.fake_flags.clone();
        all_flags.extend(strings(flags));
        self.start_program("kingcup-fake", &name, &args, &all_flags);
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

    /// Runs `kingcup` with the addresses and token of this cluster.
    pub fn kingcup(&self, args: &[&str]) -> Output {
        let operators: Vec<String> =
            (1..=self.config.controls).map(|number| self.operator(number).to_string()).collect();
        let environment = [
            ("KINGCUP_OPERATOR".to_owned(), operators.join(",")),
            ("KINGCUP_TOKEN_FILE".to_owned(), self.path("token")),
            ("KINGCUP_ENTRY".to_owned(), self.entry(1).to_string()),
        ];
        run_program("kingcup", &strings(args), &environment)
    }

    /// Returns the status that the leader reports, or null if there is no leader.
    pub fn status(&self) -> Value {
        let operators = (1..=self.config.controls).map(|number| self.operator(number));
        for operator in operators {
            let response = HttpRequest::new("GET", operator, "/v1/status")
                .header("authorization", &format!("Bearer {TOKEN}"))
                .timeout(STATUS_TIMEOUT)
                .send();
            if let Some(response) = response.filter(|response| response.status == 200) {
                return response.json();
            }
        }
        Value::Null
    }

    /// Sends an operator's request to a control process.
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

    /// Waits until the status satisfies a condition.
    pub fn wait_status(&self, what: &str, mut condition: impl FnMut(&Value) -> bool) {
        wait_until(what, || condition(&self.status()));
    }

    /// Applies a manifest through any control process and waits until it is in force on the
    /// entries.
    pub fn apply(&self, manifest: &str) {
        let file = self.write("manifest.json", manifest);
        let output = self.kingcup(&["apply", &file, "--wait"]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }

    /// Waits until all groups of every model serve.
    pub fn wait_all_serving(&self) {
        self.wait_status("all groups serving", |status| {
            let short_models = status["short_models"].as_array();
            status["manifest"].is_object() && short_models.is_some_and(Vec::is_empty)
        });
    }

    /// Returns the number of groups that serve.
    pub fn groups_serving(&self) -> usize {
        let status = self.status();
        let groups = status["groups"].as_array().into_iter().flatten();
        groups.filter(|group| group["serving"] == true).count()
    }

    /// Returns the ledger of a fake backend server.
    pub fn ledger(&self, number: u8) -> Value {
        let response = HttpRequest::new("GET", self.fake_admin(number), "/fake/ledger").send();
        response.map(|response| response.json()).unwrap_or_default()
    }

    /// Sets the faults of a fake backend server, given as JSON.
    pub fn set_faults(&self, number: u8, faults: &str) {
        let response =
            HttpRequest::new("PUT", self.fake_admin(number), "/fake/faults").body(faults).send();
        assert!(response.is_some_and(|response| response.status == 200), "the faults were not set");
    }
}
