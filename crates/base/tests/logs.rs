//! The queue of log lines.

use googletest::prelude::*;
use std::process::Command;

/// Logs in a process of its own, since a process starts its log once.
fn child(case: &str) -> String {
    let output = Command::new(std::env::current_exe().expect("this program"))
        .args(["--exact", "child_logs", "--nocapture"])
        .env("LOG_CASE", case)
        .output()
        .expect("it runs");
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
    expect_that!(child("last"), contains_substring("event=last_line"));
}

#[gtest]
fn start_lines_above_the_rate_are_dropped_and_counted() {
    let log = child("many");
    let lines = log.lines().filter(|line| line.contains("event=many")).count();
    expect_that!(lines, le(4000), "two seconds' worth at the most");
    expect_that!(log, contains_substring("event=lines_dropped total="));
}
