//! Structured logs: one line for each decision or change of belief, as `key=value` pairs.
//!
//! Lines pass through a bounded queue to a thread that writes them, so that no task waits
//! for the output. What does not fit, or exceeds the rate, is dropped and counted.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait to be written: a second of the highest rate.
const QUEUE_LINES: usize = 2000;
/// Most lines a second: some ten for each request of an entry's share of the users' load.
const LINES_PER_S: u64 = 2000;
/// Longest wait for the last lines at the end of a process.
const FLUSH_LIMIT: Duration = Duration::from_millis(300);
const EXIT_PANIC: i32 = 4;

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Starts logging to standard error at the level `info`.
///
/// A second call in the same process has no effect.
pub fn start() -> LogGuard {
    start_to(io::stderr())
}

/// Starts logging to standard output at the level `info`.
///
/// A second call in the same process has no effect.
pub fn start_to_stdout() -> LogGuard {
    start_to(io::stdout())
}

/// Waits until all lines so far are written, for a short time at most.
pub fn flush() {
    log::logger().flush();
}

/// Ends the process with `code` after its last lines are written.
pub fn exit(code: i32) -> ! {
    flush();
    std::process::exit(code)
}

/// Flushes when it is dropped, at the end of `main`.
#[derive(Debug)]
#[must_use = "the last lines are lost without it"]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        flush();
    }
}

/// Lines that were dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Ends the process when any of its threads panics: the others would go on without it.
/// The exit code tells a panic from a wrong setting and from a fault of the storage.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        let cause = info.to_string().replace(['"', '\n'], " ");
        // The queue may never be written any more.
        eprintln!("event=panic cause=\"{cause}\"");
        std::process::exit(EXIT_PANIC)
    }));
}

fn start_to(target: impl Write + Send + 'static) -> LogGuard {
    let cfg = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build();
    let (tx, rx) = sync_channel(QUEUE_LINES);
    let spawned =
        thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&rx, target));
    if spawned.is_ok() {
        let _ = WriteLogger::init(LevelFilter::Info, cfg, LineQueue::new(tx));
    }
    LogGuard(())
}

/// What passes to the thread that writes.
enum Message {
    Line(Vec<u8>),
    /// Asks for an answer once all lines before it are written.
    Flush(SyncSender<()>),
}

/// Collects what the logger writes into lines, and passes them on without waiting.
struct LineQueue {
    tx: SyncSender<Message>,
    line: Vec<u8>,
    second: Instant,
    lines: u64,
}

impl LineQueue {
    fn new(tx: SyncSender<Message>) -> LineQueue {
        LineQueue { tx, line: Vec::new(), second: Instant::now(), lines: 0 }
    }

    fn pass_on(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.lines = 0;
        }
        self.lines += 1;
        if self.lines > LINES_PER_S || self.tx.try_send(Message::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.pass_on();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (written, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(written)).is_ok() {
            // An output that blocks must not keep the process from ending.
            let _ = rx.recv_timeout(FLUSH_LIMIT);
        }
        Ok(())
    }
}

/// Writes lines for as long as the process runs, many at a time where many wait.
fn write_lines(rx: &Receiver<Message>, mut target: impl Write) {
    let mut told = 0;
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        let mut flushed = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => buf.extend_from_slice(&line),
                Message::Flush(written) => flushed.push(written),
            }
            next = rx.try_recv().ok();
        }
        let dropped = dropped();
        if dropped > told {
            buf.extend_from_slice(format!("event=lines_dropped total={dropped}\n").as_bytes());
            told = dropped;
        }
        // Without an output there is nobody to tell.
        let _ = target.write_all(&buf).and_then(|()| target.flush());
        for written in flushed {
            let _ = written.try_send(());
        }
    }
}
