//! Validation of a manifest's text.

use googletest::prelude::*;
use model::manifest::{Finding, TeamSelector, check_manifest};

const GOOD: &str = include_str!("../../../examples/cooperative.json");

fn findings(text: &str) -> Vec<String> {
    match check_manifest(text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.iter().map(Finding::to_string).collect(),
    }
}

#[googletest::test]
fn check_manifest_example() {
    let checked = check_manifest(GOOD).expect("the example is valid");
    expect_that!(checked.manifest.models.len(), eq(2));
    // The canonical text reads back as the same manifest.
    let again = check_manifest(&checked.body).expect("the canonical text is valid");
    expect_that!(again, eq(&checked));
}

#[googletest::test]
fn check_manifest_digest_ignores_layout() {
    let checked = check_manifest(GOOD).expect("valid manifest");
    let spaced = check_manifest(&GOOD.replace("  ", "\t")).expect("valid manifest");
    expect_that!(spaced.digest, eq(&checked.digest));
    let other = check_manifest(&GOOD.replace("\"replicas\": 4", "\"replicas\": 5"))
        .expect("valid manifest");
    expect_that!(other.digest, not(eq(&checked.digest)));
}

#[googletest::test]
fn check_manifest_malformed_json() {
    let found = findings("{\n  \"number\": 1,\n  \"models\": [}\n");
    expect_that!(found, elements_are![starts_with("3:14: not JSON")]);
    let found = findings("{\"number\": 1,}");
    expect_that!(found, elements_are![starts_with("1:")]);
    expect_that!(findings("").len(), eq(1));
}

#[googletest::test]
fn check_manifest_duplicate_key() {
    let found = findings("{\n\"number\": 1,\n\"number\": 2\n}");
    expect_that!(found, elements_are![eq("3:1: not JSON: the key `number` appears twice")]);
}

#[googletest::test]
fn check_manifest_reports_all_errors() {
    let text = r#"{
  "number": 0,
  "failure_domains": ["a", "a"],
  "colour": "red",
  "models": [
    { "name": "m", "hosts_per_replica": "two", "accelerators_per_host": 0, "replicas": 1,
      "floor": 2, "cold_slots": 9, "warm_slots": 3, "deadline": "soon" },
    { "name": "m", "hosts_per_replica": 1, "accelerators_per_host": 1, "replicas": 1,
      "cold_slots": 1, "warm_slots": 1, "hue": 3 }
  ],
  "services": [{ "name": "s", "routes": [{ "method": "FETCH", "path_prefix": "x" }] }],
  "teams": [{ "name": "t", "weight": 0, "told_by": [{ "address": { "prefix": "10.0.0.0", "bits": 40 } }] }]
}"#;
    let found = findings(text);
    let expected = [
        ("2:3: ", "`number` must be at least 1"),
        ("3:28: ", "the name `a` appears twice"),
        ("4:3: ", "unknown field `colour`"),
        ("6:20: ", "invalid type: string \"two\""),
        ("6:48: ", "`accelerators_per_host` must be at least 1"),
        ("7:7: ", "`floor` 2 is above `replicas` 1"),
        ("7:19: ", "`cold_slots` 9 is above `warm_slots` 3"),
        ("7:53: ", "`soon` is not a duration"),
        ("8:7: ", "the name `m` appears twice"),
        ("9:41: ", "unknown field `hue`"),
        ("11:42: ", "missing field `idempotent`"),
        ("11:44: ", "`FETCH` is not a supported method"),
        ("11:63: ", "a path prefix must begin with /"),
        ("12:28: ", "`weight` must be at least 1"),
        ("12:53: ", "`bits` 40 is above 32"),
    ];
    expect_that!(found.len(), eq(expected.len()), "{found:#?}");
    for ((position, cause), line) in expected.iter().zip(&found) {
        expect_that!(line, starts_with(*position));
        expect_that!(line, contains_substring(*cause));
    }
}

#[googletest::test]
fn check_manifest_missing_fields() {
    let found = findings("{}");
    let names = ["number", "failure_domains", "models", "teams"];
    for name in names {
        let wanted = format!("missing field `{name}`");
        expect_that!(found.iter().any(|line| line.contains(&wanted)), eq(true), "{name}");
    }
}

#[googletest::test]
fn check_manifest_wrong_types() {
    for text in ["[]", "3", "null", "{\"models\": 3}", "{\"models\": [3]}", "{\"teams\": [[]]}"] {
        expect_that!(findings(text), not(is_empty()), "{text}");
    }
}

#[googletest::test]
fn check_manifest_reserved_path() {
    let text = GOOD.replace("/ledger/status", "/kingcup/entries");
    expect_that!(
        findings(&text),
        elements_are![contains_substring("`/kingcup/entries` is reserved")]
    );
}

#[googletest::test]
fn covers_addresses_in_subnet() {
    let subnet =
        |prefix: &str, bits| TeamSelector::Address { prefix: prefix.parse().expect("ip"), bits };
    let covers =
        |selector: &TeamSelector, address: &str| selector.covers(address.parse().expect("ip"));
    expect_that!(covers(&subnet("10.1.0.0", 16), "10.1.200.3"), eq(true));
    expect_that!(covers(&subnet("10.1.0.0", 16), "10.2.0.3"), eq(false));
    expect_that!(covers(&subnet("0.0.0.0", 0), "200.2.0.3"), eq(true));
    expect_that!(covers(&subnet("10.1.0.1", 32), "10.1.0.1"), eq(true));
    expect_that!(covers(&subnet("10.1.0.1", 32), "10.1.0.2"), eq(false));
    expect_that!(covers(&subnet("fd00::", 8), "fd12::1"), eq(true));
    expect_that!(covers(&subnet("::", 0), "fd12::1"), eq(true));
    expect_that!(covers(&subnet("fd00::", 8), "10.0.0.1"), eq(false));
}
