//! Tests of `kingcup-load run` and `report`.

use googletest::prelude::*;
use std::process::Output;
use testbed::process::{Cluster, ClusterConfig, run_program, small_manifest};

const MIX: &str = r#"{ "kinds": [
  { "name": "chat", "share": 2, "deadline": "10s",
    "ask": { "chat": { "model": "m", "stream": true, "prefixes": 3, "prompt_bytes": 100, "tokens": 4 } } },
  { "name": "booking", "share": 1, "deadline": "10s", "ask": { "booking": { "path": "/ledger/bookings" } } }
] }"#;

fn run_load(cluster: &Cluster, seconds: &str) -> Output {
    let mix = cluster.write("mix.json", MIX);
    let out = cluster.file("out").to_string_lossy().into_owned();
    let ledgers: Vec<String> =
        (1..=4).map(|number| cluster.fake_admin(number).to_string()).collect();
    let words = ["run", &mix, "--seconds", seconds, "--rate", "20", "--entries"];
    let mut args: Vec<String> = words.iter().map(ToString::to_string).collect();
    args.push(cluster.entry(1).to_string());
    args.extend(["--ledgers".to_owned(), ledgers.join(","), "--out".to_owned(), out]);
    run_program("kingcup-load", &args, &[])
}

#[googletest::test]
fn run_verifies_every_response() {
    let cluster = Cluster::start(ClusterConfig {
        engines_per_domain: 1,
        ledgers: 1,
        fake_flags: vec!["--cold-limit".to_owned(), "4".to_owned()],
        ..ClusterConfig::default()
    });
    cluster.apply(&small_manifest(1, 1, 3));
    cluster.wait_all_serving();
    let output = run_load(&cluster, "3");
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(
        output.status.code(),
        some(eq(0)),
        "{out}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    expect_that!(out, contains_substring("run twice         0"));
    expect_that!(out, contains_substring("ledgers complete  true"));
    let result = cluster.file("out/result.json");
    let args = ["report".to_owned(), result.to_string_lossy().into_owned()];
    expect_that!(run_program("kingcup-load", &args, &[]).status.success(), eq(true));
    let svg =
        std::fs::read_to_string(cluster.file("out/result.svg")).expect("the chart is written");
    expect_that!(svg, contains_substring("groups serving"));
}

#[googletest::test]
fn run_reports_cold_limit_violation() {
    // A cold fake backend server has a limit of one request, but the manifest allows four.
    let cluster = Cluster::start(ClusterConfig {
        number: 1,
        engines_per_domain: 1,
        ledgers: 1,
        fake_flags: ["--cold-limit", "1", "--warm-after", "1000", "--first-token", "300ms"]
            .map(str::to_owned)
            .to_vec(),
        ..ClusterConfig::default()
    });
    cluster.apply(&small_manifest(1, 1, 1));
    cluster.wait_all_serving();
    let output = run_load(&cluster, "3");
    expect_that!(output.status.code(), some(eq(1)));
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(err, contains_substring("requests were above a cold limit"));
}

#[googletest::test]
fn run_invalid_mix() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mix = folder.path().join("mix.json");
    std::fs::write(&mix, "{ \"kinds\": [{ \"nam\": 1 }] }").expect("the file is written");
    let path = mix.to_string_lossy().into_owned();
    let args = ["run", &path, "--entries", "127.0.0.1:9"].map(str::to_owned);
    let output = run_program("kingcup-load", &args, &[]);
    expect_that!(output.status.code(), some(eq(2)));
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(err, contains_substring("mix.json: unknown field `nam`"));
    expect_that!(err, contains_substring("line 1 column 19"));
}
