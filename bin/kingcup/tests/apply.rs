//! `kingcup apply`

use googletest::prelude::*;
use std::process::Output;
use testbed::process::{Cluster, ClusterConfig, HttpRequest, small_manifest};

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn apply(cluster: &Cluster, text: &str) -> Output {
    let file = cluster.write("some.json", text);
    cluster.kingcup(&["apply", &file, "--wait"])
}

fn in_force(cluster: &Cluster) -> (u64, String) {
    let status = cluster.status();
    let digest = status["manifest"]["digest"].as_str().unwrap_or_default().to_owned();
    (status["manifest"]["number"].as_u64().unwrap_or(0), digest)
}

#[googletest::test]
fn apply_numbers() {
    let cluster = Cluster::start(ClusterConfig::default());
    let output = apply(&cluster, &small_manifest(5, 1, 1));
    expect_that!(output.status.code(), some(eq(0)), "{}", err(&output));
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(out, contains_substring("acted on by 1 of 1 entries"));
    let first = in_force(&cluster);
    expect_that!(first.0, eq(5));

    // The same number and content again: the same acceptance.
    let output = apply(&cluster, &small_manifest(5, 1, 1));
    expect_that!(output.status.code(), some(eq(0)));
    // The same number with other content, and a lower number: refused, with what holds.
    for (number, replicas) in [(5, 2), (4, 1)] {
        let output = apply(&cluster, &small_manifest(number, 1, replicas));
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(err(&output), contains_substring("manifest 5 with digest"));
        expect_that!(err(&output), contains_substring(first.1.clone()));
    }
    expect_that!(in_force(&cluster), eq(&first));
}

#[googletest::test]
fn apply_token() {
    let cluster = Cluster::start(ClusterConfig { number: 1, ..ClusterConfig::default() });
    let put = |token: Option<&str>| {
        let exchange = HttpRequest::new("PUT", cluster.operator(1), "/v1/manifest");
        let exchange = match token {
            Some(token) => exchange.header("authorization", &format!("Bearer {token}")),
            None => exchange,
        };
        exchange.body(small_manifest(1, 1, 1)).send().expect("an answer")
    };
    for token in [None, Some("wrong-token"), Some("")] {
        let answer = put(token);
        expect_that!(answer.status, eq(401));
        expect_that!(answer.body, contains_substring("Authorization: Bearer"));
    }
    expect_that!(cluster.status()["manifest"].is_null(), eq(true));
    let metrics = HttpRequest::new("GET", cluster.control_admin(1), "/metrics").send();
    let metrics = metrics.expect("an answer").body;
    expect_that!(metrics, contains_substring("kingcup_tokens_refused_total 3"));
    expect_that!(put(Some(cluster.token())).status, eq(200));
}

#[googletest::test]
fn apply_faulty_manifest_sent_past_the_tool() {
    let cluster = Cluster::start(ClusterConfig { number: 2, ..ClusterConfig::default() });
    let put = |body: &str| {
        cluster.operator_call("PUT", cluster.operator(1), "/v1/manifest", body).expect("an answer")
    };
    let answer = put("{\"number\": }");
    expect_that!(answer.status, eq(422));
    expect_that!(answer.body, contains_substring("1:12: not JSON"));
    let answer = put(&small_manifest(1, 0, 1));
    expect_that!(answer.status, eq(422));
    expect_that!(answer.body, contains_substring("`hosts_per_replica` must be at least 1"));
    let answer = put(&"x".repeat(5 << 20));
    expect_that!(answer.status, eq(413));
    expect_that!(cluster.status()["manifest"].is_null(), eq(true));
}

#[googletest::test]
fn apply_nobody_answers() {
    let cluster = Cluster::start(ClusterConfig { number: 3, ..ClusterConfig::default() });
    let file = cluster.write("some.json", &small_manifest(1, 1, 1));
    let output = cluster.kingcup(&["--operator", "127.0.0.1:9", "apply", &file]);
    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(err(&output), contains_substring("127.0.0.1:9"));
}
