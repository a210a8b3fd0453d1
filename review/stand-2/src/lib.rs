//! Stand-ins for scripts: a small system of the project's programs, a backend server and a caller.
//! The names of the wire are taken from the sources of `platform/`.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

const DIALECT: &str = include_str!("../../../platform/src/dialect.rs");
const SETTINGS: &str = include_str!("../../../platform/src/settings.rs");

/// The value of a text constant in a source.
fn constant(source: &str, name: &str) -> String {
    let begin = format!("const {name}: &str = \"");
    let (_, rest) = source.split_once(&begin).expect("the constant exists");
    rest.split('"').next().expect("a value").to_owned()
}

/// The header with the caller's id of one attempt.
pub fn attempt_header() -> String {
    constant(DIALECT, "ATTEMPT_ID")
}

/// The header with the time for which the caller waits.
pub fn timeout_header() -> String {
    constant(DIALECT, "TIMEOUT")
}

/// The header with the signature of the backend server.
pub fn signature_header() -> String {
    attempt_header().replace("attempt-id", "replica-signature")
}

/// A path of the interface for operators and backend servers.
pub fn control_path(name: &str) -> String {
    format!("/-/{name}")
}

/// A request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    message.first_line = line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => message.headers.push((name.to_owned(), value.trim().to_owned())),
            None => return Some(message),
        }
    }
}

/// Reads the body of a message with a length.
pub fn read_body(reader: &mut impl Read, message: &mut Message) -> io::Result<()> {
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)
}

/// Sends a request and reads the response.
pub fn call(to: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?;
    read_body(&mut reader, &mut message).ok()?;
    Some(message)
}

/// The record of what was sent, answered and run.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begin: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), begin: Instant::now() }
    }

    /// Adds a line with the time since the begin.
    pub fn add(&self, line: &str) {
        let line = format!("{:8.3} {line}", self.begin.elapsed().as_secs_f64());
        println!("{line}");
        let mut file = self.file.lock().expect("the lock");
        writeln!(file, "{line}").expect("the record can be written");
    }
}

/// The processes of the system.
pub struct System {
    pub control: SocketAddr,
    pub entry: SocketAddr,
    /// The address of the backend servers, without a port.
    pub servers: String,
    folder: PathBuf,
    control_process: Child,
    entry_process: Child,
}

impl Drop for System {
    fn drop(&mut self) {
        for process in [&mut self.control_process, &mut self.entry_process] {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// The settings of a process, as on the platform's pages.
fn settings(ip: &str, control: &str, role: &str) -> String {
    format!(
        "node_name = \"{role}-{ip}\"\nrole = \"{role}\"\nip = \"{ip}\"\nzone = \"z-a\"\n\
         region = \"r\"\ninternal_ports = [7340, 7355]\nseed_nodes = [\"{control}:8229\"]\n\
         bootstrap = true\nheartbeat_ms = 1200\n"
    )
}

const LIMITS_AND_BOUNDS: &str = "[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\n\
    max_fds = 4200\n[fault_tolerance]\nmachines = 1\nzones = 1\n[bounds]\ncontact_ms = 3000\n\
    drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
    retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 130\nttl_max_s = 5\n";

fn start(program: &str, folder: &Path, name: &str, text: &str) -> Child {
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, text).expect("the settings can be written");
    let log = File::create(folder.join(format!("{name}.log"))).expect("a log file");
    let mut command = Command::new(program);
    command.env(constant(SETTINGS, "PATH_VARIABLE"), file).stdout(log);
    command.spawn().expect("the program starts")
}

impl System {
    /// Starts a control process and an entry with the commands of the deploy file, from the
    /// project's root.
    pub fn start() -> System {
        let id = std::process::id();
        let net = format!("127.{}.{}", 64 + id % 128, 1 + (id / 128) % 250);
        let folder = std::env::temp_dir().join(format!("kingcup-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let (control, entry) = (format!("{net}.11"), format!("{net}.21"));
        let data = folder.join("data").display().to_string();
        let control_text = settings(&control, &control, "control")
            + &format!("data_dir = \"{data}\"\n[listen]\ncontrol_plane = \"{control}:8229\"\n")
            + LIMITS_AND_BOUNDS;
        let entry_text = settings(&entry, &control, "entry")
            + &format!(
                "[listen]\nfrontend = \"{entry}:8227\"\nready = \"{entry}:8220\"\n\
                 directory = \"{entry}:8224\"\n"
            )
            + LIMITS_AND_BOUNDS;
        System {
            control: format!("{control}:8229").parse().expect("an address"),
            entry: format!("{entry}:8227").parse().expect("an address"),
            servers: format!("{net}.31"),
            control_process: start(
                "target/release/platform-control",
                &folder,
                "control",
                &control_text,
            ),
            entry_process: start("target/release/platform-entry", &folder, "entry", &entry_text),
            folder,
        }
    }

    /// Sends a configuration until it is acknowledged. Returns whether it was.
    pub fn configure(&self, config: &str) -> bool {
        for _ in 0..100 {
            let reply = call(self.control, "PUT", &control_path("config"), config);
            if reply.is_some_and(|reply| reply.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Whether the entry is ready within some seconds.
    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.entry.ip(), 8220);
        for _ in 0..100 {
            let reply = call(address, "GET", &control_path("readyz"), "");
            if reply.is_some_and(|reply| reply.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a signal to the entry.
    pub fn signal_entry(&self, signal: &str) {
        let id = self.entry_process.id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        assert!(status.is_ok_and(|status| status.success()), "no signal sent");
    }

    /// Whether the entry's process has ended.
    pub fn has_entry_ended(&mut self) -> bool {
        self.entry_process.try_wait().is_ok_and(|status| status.is_some())
    }
}

/// Reports a backend server of the service `desk` to control for as long as the process runs.
pub fn keep_reporting(control: SocketAddr, id: &str, address: SocketAddr) {
    let id = id.to_owned();
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time after 1970")
        .as_millis();
    thread::spawn(move || {
        for sequence in 1u64.. {
            let body = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"z-a\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            call(control, "PUT", &format!("{}/{id}", control_path("replicas")), &body);
            thread::sleep(Duration::from_millis(1200));
        }
    });
}

/// Starts a backend server that answers each request with what `answer` returns, on connections
/// that stay open.
pub fn serve(
    ip: &str,
    record: &Record,
    answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a socket");
    let address = listener.local_addr().expect("an address");
    let (answer, record) = (Arc::new(answer), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (answer, record) = (answer.clone(), record.clone());
            thread::spawn(move || {
                let mut writer = stream.try_clone().expect("a second handle");
                let mut reader = BufReader::new(stream);
                while let Some(mut request) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request).is_err() {
                        return;
                    }
                    let id = request.header(&attempt_header()).unwrap_or("-").to_owned();
                    let response = answer(&request);
                    let sent = writer.write_all(&response).is_ok();
                    record.add(&format!(
                        "server ran {} id={id} response_bytes={} sent={sent}",
                        request.first_line,
                        response.len()
                    ));
                    if !sent {
                        return;
                    }
                }
            });
        }
    });
    address
}
