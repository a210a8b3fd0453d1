//! Tests of `kingcup check`.

use googletest::prelude::*;
use testbed::process::{run_program, small_manifest};

fn check(text: &str) -> (i32, String, String) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("manifest.json");
    std::fs::write(&file, text).expect("the file is written");
    let args = ["check".to_owned(), file.to_string_lossy().into_owned()];
    let output = run_program("kingcup", &args, &[]);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

#[googletest::test]
fn check_valid_manifest() {
    let (code, out, _) = check(&small_manifest(1, 2, 3));
    expect_that!(code, eq(0));
    expect_that!(out, starts_with("manifest 1: 1 models, 1 services, 2 teams, digest "));
}

#[googletest::test]
fn check_reports_error_positions() {
    let text = small_manifest(1, 2, 3)
        .replace("\"floor\": 1", "\"floor\": 9")
        .replace("\"slots\"", "\"slotz\"");
    let (code, _, err) = check(&text);
    expect_that!(code, eq(2));
    expect_that!(err, contains_substring("manifest.json:7:22: `floor` 9 is above `replicas` 3"));
    expect_that!(err, contains_substring("manifest.json:11:25: unknown field `slotz`"));
}

#[googletest::test]
fn check_missing_file() {
    let args = ["check".to_owned(), "no-such-file.json".to_owned()];
    let output = run_program("kingcup", &args, &[]);
    expect_that!(output.status.code(), some(eq(2)));
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(err, contains_substring("no-such-file.json"));
    expect_that!(err, contains_substring("check the path"));
}

#[googletest::test]
fn check_no_command() {
    let output = run_program("kingcup", &[], &[]);
    expect_that!(output.status.code(), some(eq(2)));
    let help = run_program("kingcup", &["--help".to_owned()], &[]);
    expect_that!(help.status.code(), some(eq(0)));
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    for command in ["apply", "check", "domain", "drain", "dump", "entries", "status"] {
        expect_that!(text, contains_substring(command));
    }
}
