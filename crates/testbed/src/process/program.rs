//! A running program of this workspace, found next to the test executable.

use std::{
    env,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Output, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Maximum time to wait for a condition. It only keeps a broken test from hanging: the result of a
/// test does not depend on how long something takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running program, killed on drop.
#[derive(Debug)]
pub struct Program {
    child: Child,
    log: PathBuf,
}

fn executable(name: &str) -> PathBuf {
    let own = env::current_exe().expect("the path of the test executable");
    // Test executables are in a folder below that of the programs, benchmarks in the same one.
    own.ancestors()
        .skip(1)
        .map(|folder| folder.join(name))
        .find(|path| path.is_file())
        .unwrap_or_else(|| PathBuf::from(name))
}

fn command(name: &str, args: &[String], environment: &[(String, String)]) -> Command {
    let mut command = Command::new(executable(name));
    for (variable, _) in env::vars() {
        if variable.starts_with("KINGCUP_") {
            command.env_remove(variable);
        }
    }
    command.args(args).envs(environment.iter().cloned());
    command
}

/// Runs a program until it exits and returns its output.
///
/// # Panics
///
/// Panics if the program can't be started.
pub fn run_program(name: &str, args: &[String], environment: &[(String, String)]) -> Output {
    command(name, args, environment).output().expect("start the program")
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if the condition does not hold within 120 s.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

impl Program {
    /// Starts a program and appends its output to the file `log`.
    ///
    /// # Panics
    ///
    /// Panics if the program can't be started.
    pub fn start(name: &str, args: &[String], log: &Path) -> Program {
        let out = File::options().create(true).append(true).open(log).expect("open the log file");
        let err = out.try_clone().expect("duplicate the handle of the log file");
        let child = command(name, args, &[])
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .expect("start the program");
        Program { child, log: log.to_owned() }
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of the program so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("STOP");
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits for the process to exit.
    ///
    /// # Panics
    ///
    /// Panics if the process does not exit within 120 s.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until("the exit of a program", || {
            status = self.child.try_wait().expect("wait for the program");
            status.is_some()
        });
        status.expect("the exit status of the program")
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // SIGKILL also ends a paused process.
        self.kill();
    }
}
