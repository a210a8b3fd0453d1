//! Processor time and memory of a process, read from `/proc`.

use std::{
    fs,
    time::{Duration, Instant},
};

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The resource usage of a process at one time.
#[derive(Debug, Clone, Copy)]
pub struct Usage {
    /// The time of the reading.
    pub at: Instant,
    /// Total processor time.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads the resource usage of a process. Returns `None` if it has ended.
pub fn usage(id: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let after_name = stat.rsplit(')').next()?;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kilobytes: u64 = resident.trim().trim_end_matches(" kB").trim().parse().ok()?;
    Some(Usage {
        at: Instant::now(),
        cpu: Duration::from_secs_f64(ticks / TICKS_PER_SECOND),
        resident: kilobytes * 1024,
    })
}

/// Returns the processor usage between two readings, in percent of one core.
pub fn core_percent(before: Usage, after: Usage) -> f64 {
    let wall = after.at.saturating_duration_since(before.at).as_secs_f64();
    (after.cpu.saturating_sub(before.cpu)).as_secs_f64() / wall.max(f64::EPSILON) * 100.0
}
