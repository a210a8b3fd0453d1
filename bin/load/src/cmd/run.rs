//! `kingcup-load run MIX --entries IP:PORT,... --seconds N --rate R`

use crate::{
    caller::{Callers, Directory},
    error::{CliResult, LoadError},
    ledger::read_ledgers,
    mix::Mix,
    record::{Recorder, RunResult},
    report,
    status::StatusSampler,
};
use argh::FromArgs;
use async_io::{Timer, block_on};
use base::settings::parse_addresses;
use fastrand::Rng;
use net::{Pool, start_pool};
use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::Arc,
    time::{Duration, Instant},
};

/// send an open-loop load and verify every response
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "run",
    example = "kingcup-load run examples/mix.json --entries 127.0.2.1:7000 --seconds 20 --rate 200",
    note = "Latency is measured from the time a request was due, not from the time it was sent."
)]
pub struct Args {
    /// request mix file in JSON
    #[argh(positional)]
    mix: PathBuf,
    /// IP:PORT of the --listen of entries that serve the directory, separated by commas
    #[argh(option)]
    entries: String,
    /// how long to send requests, in seconds (default 10)
    #[argh(option, default = "10")]
    seconds: u64,
    /// mean number of requests per second (default 100)
    #[argh(option, default = "100.0")]
    rate: f64,
    /// seed of the arrival times and of the generated requests (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of callers, each with its own copy of the directory (default 50)
    #[argh(option, default = "50")]
    callers: usize,
    /// IP:PORT to send all requests to, instead of the addresses in the directory
    #[argh(option)]
    direct: Option<SocketAddr>,
    /// IP:PORT of the --admin-listen of kingcup-fake processes whose ledgers are checked at the
    /// end, separated by commas
    #[argh(option, default = "String::new()")]
    ledgers: String,
    /// IP:PORT of the --operator-listen of control processes whose status is sampled, separated
    /// by commas
    #[argh(option, default = "String::new()")]
    operator: String,
    /// file that contains the operators' bearer token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// folder for result.json and result.svg
    #[argh(option)]
    out: Option<PathBuf>,
    /// stop sending when this file exists
    #[argh(option)]
    until: Option<PathBuf>,
    /// print a progress line every second
    #[argh(switch)]
    progress: bool,
    /// number of worker threads (default 2)
    #[argh(option, default = "2")]
    workers: usize,
}

/// How long to wait for open requests after the last one was sent.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

pub fn run(args: &Args) -> CliResult {
    let mix = Mix::read(&args.mix)?;
    let entries = parse_addresses("entries", &args.entries)?;
    let ledgers = parse_addresses("ledgers", &args.ledgers)?;
    let pool = start_pool(args.workers)?;
    let recorder = Arc::new(Recorder::new(Instant::now()));
    let sampler = StatusSampler::new(
        pool,
        parse_addresses("operator", &args.operator)?,
        args.token_file.as_deref(),
    )?;
    sampler.start(recorder.clone());
    let directory = match args.direct {
        Some(address) => Directory::Fixed(address),
        None => Directory::Entries(entries),
    };
    let callers = Arc::new(Callers::new(pool, directory, args.callers, mix));
    block_on(send_requests(pool, args, &callers, &recorder));
    let ledger = block_on(read_ledgers(pool, &ledgers));
    let result = recorder.result(ledger);
    report::print_table(&result);
    if let Some(out) = &args.out {
        write_result(&result, out)?;
    }
    match result.failed_checks() {
        failed if failed.is_empty() => Ok(()),
        failed => Err(LoadError::Checks(failed)),
    }
}

/// Sends requests at the times of a Poisson process, whether or not earlier ones were answered.
async fn send_requests(pool: Pool, args: &Args, callers: &Arc<Callers>, recorder: &Arc<Recorder>) {
    let mut rng = Rng::with_seed(args.seed);
    let start = recorder.start();
    let end = start + Duration::from_secs(args.seconds);
    let mut due = start;
    let mut tasks = Vec::new();
    let mut last_second = 0;
    let stop_requested = || args.until.as_ref().is_some_and(|file| file.exists());
    while due < end {
        Timer::at(due).await;
        let (task_callers, task_recorder) = (callers.clone(), recorder.clone());
        let seed = rng.u64(..);
        let task = async move { task_callers.send(seed, due, &task_recorder).await };
        tasks.push(pool.spawn(task));
        due += interarrival_time(&mut rng, args.rate);
        let second = start.elapsed().as_secs();
        if second > last_second {
            last_second = second;
            tasks.retain(|task| !task.is_finished());
            if args.progress {
                eprintln!("{}", recorder.progress_line());
            }
            if stop_requested() {
                break;
            }
        }
    }
    let all_done = async {
        for task in tasks {
            task.await;
        }
    };
    // Requests that are still open after the timeout are cancelled and not recorded. A caller gives
    // up 5 s after the deadline, so this can only happen to kinds with a deadline above 25 s.
    let _ = net::with_timeout(DRAIN_TIMEOUT, all_done).await;
}

/// Draws the time between two arrivals of a Poisson process.
fn interarrival_time(rng: &mut Rng, rate: f64) -> Duration {
    let uniform = 1.0 - rng.f64();
    Duration::from_secs_f64(-uniform.ln() / rate)
}

fn write_result(result: &RunResult, out: &Path) -> CliResult {
    fs::create_dir_all(out).map_err(|e| LoadError::file(out, &e))?;
    let json = out.join("result.json");
    let text = serde_json::to_string_pretty(result).unwrap_or_default();
    fs::write(&json, text).map_err(|e| LoadError::file(&json, &e))?;
    report::draw_charts(result, &out.join("result.svg"))
}
