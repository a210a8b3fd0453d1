//! Structured logs: one line of `key=value` pairs for each decision or state change.
//!
//! Lines go through a bounded queue to a writer thread, so that no task blocks on the output.
//! Lines that exceed the queue or the rate limit are dropped and counted.

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

/// Capacity of the queue to the writer thread: one second at the rate limit.
const QUEUE_LINES: usize = 2000;
/// Rate limit in lines per second: about ten lines for each request of one entry's share of the
/// users' load.
const LINES_PER_S: u64 = 2000;
/// Maximum time to wait for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
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

/// Waits until all queued lines are written, or until `FLUSH_TIMEOUT` expires.
pub fn flush() {
    log::logger().flush();
}

/// Flushes the log and exits with `code`.
pub fn exit(code: i32) -> ! {
    flush();
    std::process::exit(code)
}

/// Flushes the log when it is dropped at the end of `main`.
#[derive(Debug)]
#[must_use = "without it, the last lines of the process are lost"]
pub struct LogGuard(());

impl Drop for LogGuard {
    fn drop(&mut self) {
        flush();
    }
}

/// The number of lines dropped since the process started.
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Installs a panic hook that exits the process, since the other threads would otherwise continue
/// without the one that panicked. The exit code differs from those for invalid settings and
/// storage faults.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        let cause = info.to_string().replace(['"', '\n'], " ");
        // Bypasses the queue, since the writer thread may never drain it again.
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

/// A message to the writer thread.
enum Message {
    Line(Vec<u8>),
    /// Requests an acknowledgement once all preceding lines are written.
    Flush(SyncSender<()>),
}

/// Assembles the logger's output into lines and enqueues them without blocking.
struct LineQueue {
    tx: SyncSender<Message>,
    line: Vec<u8>,
    window_start: Instant,
    lines_in_window: u64,
}

impl LineQueue {
    fn new(tx: SyncSender<Message>) -> LineQueue {
        LineQueue { tx, line: Vec::new(), window_start: Instant::now(), lines_in_window: 0 }
    }

    fn enqueue_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if self.window_start.elapsed() >= Duration::from_secs(1) {
            self.window_start = Instant::now();
            self.lines_in_window = 0;
        }
        self.lines_in_window += 1;
        if self.lines_in_window > LINES_PER_S || self.tx.try_send(Message::Line(line)).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        if self.line.ends_with(b"\n") {
            self.enqueue_line();
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (ack, rx) = sync_channel(1);
        if self.tx.try_send(Message::Flush(ack)).is_ok() {
            // A blocked output must not prevent the process from exiting.
            let _ = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Body of the writer thread: batches the queued lines and writes them.
fn write_lines(rx: &Receiver<Message>, mut target: impl Write) {
    let mut reported_drops = 0;
    while let Ok(first) = rx.recv() {
        let mut buf = Vec::new();
        let mut acks = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            match message {
                Message::Line(line) => buf.extend_from_slice(&line),
                Message::Flush(ack) => acks.push(ack),
            }
            next = rx.try_recv().ok();
        }
        let dropped = dropped();
        if dropped > reported_drops {
            buf.extend_from_slice(format!("event=lines_dropped total={dropped}\n").as_bytes());
            reported_drops = dropped;
        }
        // If the output fails, there is nowhere to report the error.
        let _ = target.write_all(&buf).and_then(|()| target.flush());
        for ack in acks {
            let _ = ack.try_send(());
        }
    }
}
