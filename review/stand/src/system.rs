//! Starts the project's programs on loopback addresses, as the deploy file does.

use crate::{http::call, names, record::Record};
use std::{
    env, fs,
    fs::OpenOptions,
    net::{IpAddr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    time::{Duration, Instant},
};

const CONTROL_PORT: u16 = 8229;
const FRONTEND_PORT: u16 = 8227;
const ADMIN_PORT: u16 = 9464;
const ZONES: [&str; 3] = ["z-a", "z-b", "z-c"];
/// The report interval of backend servers, in milliseconds, as in the pages' settings file.
pub const HEARTBEAT_MS: u64 = 1200;

/// One process of the project.
struct Process {
    name: String,
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// The processes of a run. All are killed when it is dropped.
pub struct System {
    pub net: String,
    pub dir: PathBuf,
    pub controls: Vec<SocketAddr>,
    pub entries: Vec<SocketAddr>,
    processes: Vec<Process>,
    record: Record,
}

impl Drop for System {
    fn drop(&mut self) {
        for number in 0..self.processes.len() {
            self.kill(number);
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("logs: {}", self.dir.display());
        }
    }
}

/// A network of loopback addresses whose ports are free.
fn free_network() -> String {
    let start = std::process::id();
    for number in 0..200 {
        let net = format!("127.{}.{}", 70 + (start / 200 + number) % 100, 1 + (start + number) % 200);
        let is_free = |host: u8, port: u16| {
            TcpListener::bind(format!("{net}.{host}:{port}")).is_ok()
        };
        if (11..=13).all(|host| is_free(host, CONTROL_PORT) && is_free(host, ADMIN_PORT))
            && (21..=24).all(|host| is_free(host, FRONTEND_PORT) && is_free(host, ADMIN_PORT))
        {
            return net;
        }
    }
    panic!("no free loopback network");
}

fn settings(name: &str, class: &str, zone: &str, ip: &str, seeds: &[SocketAddr], bootstrap: bool, data: &str, listen: &str) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "node_name = \"{name}\"\nrole = \"{class}\"\nmachine_class = \"{class}\"\nip = \"{ip}\"\n\
         zone = \"{zone}\"\nregion = \"r\"\ninternal_ports = [7340,7355]\nseed_nodes = [{}]\n\
         bootstrap = {bootstrap}\nfault_counted = {}\ndiscovery = \"registry\"\nentry = \"directory\"\n\
         heartbeat_ms = {HEARTBEAT_MS}\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"places\",\"gangs\"]\n\
         config_mode = \"highest\"\n{data}\n[zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n[listen]\n{listen}\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = 128\n\
         [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\ncatch_up_s = 4\n\
         drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\n\
         outer_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\nbudget_window_s = 10\n\
         budget_slack = 130\ncold_burst_factor = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n\
         pass_ms = 120\nretry_after_s = 0\nstall_ms = 4000\nrequire_fencing = true\nceiling_window_s = 5\n\
         load_burst_factor = 1.1\nttl_max_s = 5\n",
        seeds.join(","),
        class == "core",
    )
}

impl System {
    /// Starts three control processes, one in each failure domain, and some entries.
    pub fn start(entries: u8, record: &Record) -> System {
        let net = free_network();
        let dir = env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let address = |host: u8, port: u16| -> SocketAddr {
            format!("{net}.{host}:{port}").parse().expect("an address")
        };
        let mut system = System {
            controls: (11..14).map(|host| address(host, CONTROL_PORT)).collect(),
            entries: (21..21 + entries).map(|host| address(host, FRONTEND_PORT)).collect(),
            processes: Vec::new(),
            record: record.clone(),
            net: net.clone(),
            dir,
        };
        for number in 0..3 {
            system.add_control(number, true);
        }
        for number in 0..entries {
            let (ip, zone) = (format!("{net}.{}", 21 + number), ZONES[usize::from(number) % 3]);
            let listen = format!(
                "frontend = \"{ip}:{FRONTEND_PORT}\"\nready = \"{ip}:8220\"\ndirectory = \"{ip}:8224\""
            );
            let name = format!("entry-{number}");
            let text = settings(&name, "frontend", zone, &ip, &system.controls, true, "", &listen);
            system.add(name, "target/release/platform-entry", &text);
        }
        for number in 0..system.processes.len() {
            system.start_process(number);
        }
        system
    }

    fn control_settings(&self, number: usize, bootstrap: bool) -> String {
        let ip = format!("{}.{}", self.net, 11 + number);
        let data = format!("data_dir = \"{}\"", self.dir.join(format!("data-{number}")).display());
        let listen = format!("control_plane = \"{ip}:{CONTROL_PORT}\"");
        let name = format!("control-{number}");
        settings(&name, "core", ZONES[number], &ip, &self.controls, bootstrap, &data, &listen)
    }

    fn add_control(&mut self, number: usize, bootstrap: bool) {
        let text = self.control_settings(number, bootstrap);
        self.add(format!("control-{number}"), "target/release/platform-control", &text);
    }

    fn add(&mut self, name: String, program: &'static str, text: &str) {
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        self.processes.push(Process { name, program, settings, child: None });
    }

    /// Starts a process; control processes come first.
    pub fn start_process(&mut self, number: usize) {
        let process = &mut self.processes[number];
        let log = process.settings.with_extension("log");
        let log = OpenOptions::new().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(process.program)
            .env_clear()
            .env("PATH", env::var_os("PATH").unwrap_or_default())
            .env(names::settings_variable(), &process.settings)
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => process.child = Some(child),
            Err(e) => {
                eprintln!("can't start {}: {e}", process.program);
                std::process::exit(2);
            }
        }
        self.record.line(format!("start {}", self.processes[number].name));
    }

    /// Starts a control process again that was killed, which is no first start any more.
    pub fn restart_control(&mut self, number: usize) {
        let text = self.control_settings(number, false);
        fs::write(&self.processes[number].settings, text).expect("a settings file");
        self.start_process(number);
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.processes[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(format!("kill {}", self.processes[number].name));
        }
    }

    /// Ends a process with SIGKILL, or with SIGTERM as for planned work if `LOSS=term` is set.
    pub fn lose(&mut self, number: usize) {
        if env::var("LOSS").is_ok_and(|value| value == "term") {
            self.signal(number, "TERM");
            let ended = |child: &mut Child| child.wait().is_ok();
            self.processes[number].child.take().as_mut().map(ended);
        } else {
            self.kill(number);
        }
    }

    /// Sends a signal to a process.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(child) = &self.processes[number].child {
            let _ = Command::new("kill").args([format!("-{signal}"), child.id().to_string()]).status();
            self.record.line(format!("signal {signal} {}", self.processes[number].name));
        }
    }

    /// The name and exit of a process that has ended by itself, if one has.
    pub fn ended(&mut self) -> Option<String> {
        for process in &mut self.processes {
            if let Some(Ok(Some(status))) = process.child.as_mut().map(Child::try_wait) {
                return Some(format!("{} ended: {status}", process.name));
            }
        }
        None
    }

    /// The control process that leads, by its metrics.
    pub fn leader(&self) -> Option<usize> {
        self.controls.iter().position(|control| self.leads(control.ip()))
    }

    fn leads(&self, ip: IpAddr) -> bool {
        let admin = SocketAddr::new(ip, ADMIN_PORT);
        let reply = call(admin, "GET", "/metrics", &[], b"", Duration::from_millis(300));
        reply.is_ok_and(|reply| reply.text().lines().any(|line| line == "kingcup_leads 1"))
    }

    /// The size of the log file of the first control process.
    pub fn log_bytes(&self) -> f64 {
        let admin = SocketAddr::new(self.controls[0].ip(), ADMIN_PORT);
        let reply = call(admin, "GET", "/metrics", &[], b"", Duration::from_millis(300));
        let text = reply.map(|reply| reply.text()).unwrap_or_default();
        let value = text.lines().find_map(|line| line.strip_prefix("kingcup_log_bytes "));
        value.and_then(|value| value.trim().parse().ok()).unwrap_or(0.0)
    }

    /// Waits until a condition holds. Returns whether it does in time.
    pub fn wait(&self, time: Duration, condition: impl Fn(&System) -> bool) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a configuration as the operator does: to one node after another, again and again
    /// until it is acknowledged. Returns whether it was in time.
    pub fn configure(&self, body: &str, time: Duration) -> bool {
        let end = Instant::now() + time;
        let version = body.split(',').next().unwrap_or_default().to_owned();
        self.record.line(format!("operator sends {version}"));
        while Instant::now() < end {
            for control in &self.controls {
                let reply = call(
                    *control,
                    "PUT",
                    &names::config_path(),
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                    Duration::from_secs(3),
                );
                if reply.is_ok_and(|reply| reply.status() == 200) {
                    self.record.line(format!("operator gets 200 for {version} from {control}"));
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// The exit code of a script: the rule was broken.
pub const BROKEN: i32 = 1;
/// The rule held.
pub const HELD: i32 = 0;
/// The case couldn't run.
pub const NOT_RUN: i32 = 2;

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}
