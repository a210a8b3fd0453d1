//! Records outcomes by second and latencies by kind, and checks the result of a run.

use crate::ledger::LedgerTotals;
use base::sync::lock;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A correct response within the deadline.
    Answered,
    /// A correct response after the deadline.
    Late,
    /// Refused with a response that says the request has not run.
    RefusedNotRun,
    /// Refused with a response that says the request may have run.
    RefusedUnknown,
    /// The connection failed after it was made.
    Broken,
    /// The directory was not available, or no connection could be made to any of its addresses.
    Unreachable,
    /// No complete response before the caller gave up.
    Unanswered,
    /// A complete response that is not the expected one.
    Wrong,
}

/// The measurements of one request.
#[derive(Debug)]
pub struct Sample {
    /// The name of its kind.
    pub kind: Box<str>,
    /// When the request was due.
    pub due: Instant,
    /// The time from `due` to the end of the request.
    pub latency: Duration,
    /// The time from `due` to the first byte of the response body.
    pub first_byte: Option<Duration>,
    pub outcome: Outcome,
    /// The key, if the request was a booking.
    pub booking: Option<Box<str>>,
}

/// The result for one second of a run.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SecondResult {
    /// Requests due in this second, by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The 95th percentile of the latency of answered requests, in milliseconds.
    pub p95_ms: f64,
    /// The lowest number of serving groups that control reported.
    pub groups_serving: Option<u64>,
}

/// The result for one kind of request. Latencies are those of answered requests, in
/// milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct KindResult {
    /// The number of requests by outcome.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The median latency.
    pub p50_ms: f64,
    /// The 95th percentile of the latency.
    pub p95_ms: f64,
    /// The 99th percentile of the latency.
    pub p99_ms: f64,
    /// The median time to the first byte.
    pub first_byte_p50_ms: f64,
    /// The 95th percentile of the time to the first byte.
    pub first_byte_p95_ms: f64,
    /// The 99th percentile of the time to the first byte.
    pub first_byte_p99_ms: f64,
}

/// The result of a run, which `result.json` contains.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RunResult {
    /// The number of requests of all kinds by outcome.
    pub total: BTreeMap<Outcome, u64>,
    /// The results by kind.
    pub kinds: BTreeMap<Box<str>, KindResult>,
    /// The results by second, counted from the start of the run.
    pub seconds: Vec<SecondResult>,
    /// What the fake backend servers have executed.
    pub ledger: LedgerTotals,
    /// Bookings that ran more than once.
    pub run_twice: u64,
    /// Bookings that ran although they were refused as not run.
    pub false_no: u64,
    /// Bookings that were answered but never ran.
    pub answered_without_run: u64,
}

impl RunResult {
    /// Returns a sentence for each check that failed.
    pub fn failed_checks(&self) -> Vec<String> {
        let wrong = self.total.get(&Outcome::Wrong).copied().unwrap_or(0);
        let checks = [
            (wrong, "responses were not the ones expected"),
            (self.run_twice, "bookings ran more than once"),
            (self.false_no, "bookings ran although they were refused as not run"),
            (self.answered_without_run, "bookings were answered but never ran"),
            (self.ledger.above_cold_limit, "requests were above a cold limit"),
        ];
        checks
            .iter()
            .filter(|(count, _)| *count > 0)
            .map(|(count, violation)| format!("{count} {violation}"))
            .collect()
    }

    /// Returns the share of requests that were answered within their deadline.
    pub fn answered_share(&self) -> f64 {
        let all: u64 = self.total.values().sum();
        let answered = self.total.get(&Outcome::Answered).copied().unwrap_or(0);
        if all == 0 { 0.0 } else { answered as f64 / all as f64 }
    }
}

struct SecondRecord {
    outcomes: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
    groups_serving: Option<u64>,
}

struct KindRecord {
    outcomes: BTreeMap<Outcome, u64>,
    latency: Histogram<u64>,
    first_byte: Histogram<u64>,
}

#[derive(Default)]
struct Records {
    kinds: BTreeMap<Box<str>, KindRecord>,
    seconds: BTreeMap<u64, SecondRecord>,
    bookings: BTreeMap<Box<str>, Outcome>,
}

/// Collects the samples of a run.
pub struct Recorder {
    start: Instant,
    records: Mutex<Records>,
}

/// The precision of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Higher latencies are recorded as this one.
const MAX_LATENCY: Duration = Duration::from_secs(600);

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, micros(MAX_LATENCY), SIGNIFICANT_DIGITS)
        .expect("three digits are supported")
}

fn percentile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn micros(duration: Duration) -> u64 {
    (duration.as_micros() as u64).max(1)
}

impl Recorder {
    /// Creates a recorder for a run that starts at `start`.
    pub fn new(start: Instant) -> Recorder {
        Recorder { start, records: Mutex::default() }
    }

    /// Returns the start of the run.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Records one request, in the second in which it was due.
    pub fn record(&self, sample: Sample) {
        let second = sample.due.saturating_duration_since(self.start).as_secs();
        let answered = sample.outcome == Outcome::Answered;
        let mut records = self.lock();
        let kind = records.kinds.entry(sample.kind).or_insert_with(|| KindRecord {
            outcomes: BTreeMap::new(),
            latency: histogram(),
            first_byte: histogram(),
        });
        *kind.outcomes.entry(sample.outcome).or_default() += 1;
        if answered {
            kind.latency.saturating_record(micros(sample.latency));
            if let Some(first_byte) = sample.first_byte {
                kind.first_byte.saturating_record(micros(first_byte));
            }
        }
        let record = records.second(second);
        *record.outcomes.entry(sample.outcome).or_default() += 1;
        if answered {
            record.latency.saturating_record(micros(sample.latency));
        }
        if let Some(key) = sample.booking {
            records.bookings.insert(key, sample.outcome);
        }
    }

    /// Records the number of serving groups that control reports in the current second.
    pub fn record_groups_serving(&self, serving: u64) {
        let second = self.start.elapsed().as_secs();
        let mut records = self.lock();
        let record = records.second(second);
        let lowest = record.groups_serving.map_or(serving, |previous| previous.min(serving));
        record.groups_serving = Some(lowest);
    }

    /// Returns one line with the counts by outcome so far.
    pub fn progress_line(&self) -> String {
        let records = self.lock();
        let totals = total(&records);
        let counts: Vec<String> =
            totals.iter().map(|(outcome, count)| format!("{outcome:?}={count}")).collect();
        format!("{:>4} s {}", self.start.elapsed().as_secs(), counts.join(" "))
    }

    /// Returns the result. Bookings are checked against the ledgers only if all of these could be
    /// read.
    pub fn result(&self, ledger: LedgerTotals) -> RunResult {
        let records = self.lock();
        let last = records.seconds.keys().next_back().copied().unwrap_or(0);
        let seconds =
            (0..=last).map(|second| second_result(records.seconds.get(&second))).collect();
        let kinds =
            records.kinds.iter().map(|(name, kind)| (name.clone(), kind_result(kind))).collect();
        let bookings_with = |wanted: Outcome| -> BTreeSet<&Box<str>> {
            let keys = records.bookings.iter().filter(|(_, outcome)| **outcome == wanted);
            keys.map(|(key, _)| key).collect()
        };
        let run_count = |key: &str| ledger.bookings.get(key).copied().unwrap_or(0);
        let count_if = |keys: BTreeSet<&Box<str>>, predicate: &dyn Fn(&str) -> bool| {
            if ledger.is_complete {
                keys.iter().filter(|key| predicate(key)).count() as u64
            } else {
                0
            }
        };
        RunResult {
            total: total(&records),
            kinds,
            seconds,
            run_twice: ledger.bookings.values().filter(|times| **times > 1).count() as u64,
            false_no: count_if(bookings_with(Outcome::RefusedNotRun), &|key| run_count(key) > 0),
            answered_without_run: count_if(bookings_with(Outcome::Answered), &|key| {
                run_count(key) == 0
            }),
            ledger,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }
}

impl Records {
    fn second(&mut self, second: u64) -> &mut SecondRecord {
        self.seconds.entry(second).or_insert_with(|| SecondRecord {
            outcomes: BTreeMap::new(),
            latency: histogram(),
            groups_serving: None,
        })
    }
}

fn total(records: &Records) -> BTreeMap<Outcome, u64> {
    let mut totals = BTreeMap::new();
    for kind in records.kinds.values() {
        for (outcome, count) in &kind.outcomes {
            *totals.entry(*outcome).or_default() += count;
        }
    }
    totals
}

fn second_result(record: Option<&SecondRecord>) -> SecondResult {
    record.map_or_else(SecondResult::default, |record| SecondResult {
        outcomes: record.outcomes.clone(),
        p95_ms: percentile_ms(&record.latency, 0.95),
        groups_serving: record.groups_serving,
    })
}

fn kind_result(kind: &KindRecord) -> KindResult {
    KindResult {
        outcomes: kind.outcomes.clone(),
        p50_ms: percentile_ms(&kind.latency, 0.50),
        p95_ms: percentile_ms(&kind.latency, 0.95),
        p99_ms: percentile_ms(&kind.latency, 0.99),
        first_byte_p50_ms: percentile_ms(&kind.first_byte, 0.50),
        first_byte_p95_ms: percentile_ms(&kind.first_byte, 0.95),
        first_byte_p99_ms: percentile_ms(&kind.first_byte, 0.99),
    }
}
