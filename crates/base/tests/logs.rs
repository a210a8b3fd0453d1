//! The log queue: flushing at exit and the rate limit.

use googletest::prelude::*;
use std::process::Command;

/// Runs a case in a child process, since logging can be started only once in a process.
fn run_child(case: &str) -> String {
    let output = Command::new(std::env::current_exe().expect("path of the test binary"))
        .args(["--exact", "child_logs", "--nocapture"])
        .env("LOG_CASE", case)
        .output()
        .expect("child process runs");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn child_logs() {
    let Ok(case) = std::env::var("LOG_CASE") else {
        return;
    };
    let _logs = base::logs::start();
    match case.as_str() {
        "last" => log::info!("event=last_line"),
        _ => (0..10_000).for_each(|number| log::info!("event=many number={number}")),
    }
}

#[gtest]
fn start_last_line_is_written_at_the_end() {
    expect_that!(run_child("last"), contains_substring("event=last_line"));
}

#[gtest]
fn start_lines_above_the_rate_are_dropped_and_counted() {
    let log = run_child("many");
    let lines = log.lines().filter(|line| line.contains("event=many")).count();
    expect_that!(lines, le(4000), "at most two seconds at the rate limit");
    expect_that!(log, contains_substring("event=lines_dropped total="));
}
