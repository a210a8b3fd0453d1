//! Tests of `kingcup apply`.

use googletest::prelude::*;
use std::process::Output;
use testbed::process::{Cluster, ClusterConfig, HttpRequest, small_manifest};

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn apply(cluster: &Cluster, text: &str) -> Output {
    let file = cluster.write("manifest.json", text);
    cluster.kingcup(&["apply", &file, "--wait"])
}

fn manifest_in_force(cluster: &Cluster) -> (u64, String) {
    let status = cluster.status();
    let digest = status["manifest"]["digest"].as_str().unwrap_or_default().to_owned();
    (status["manifest"]["number"].as_u64().unwrap_or(0), digest)
}

#[googletest::test]
fn apply_numbers() {
    let cluster = Cluster::start(ClusterConfig::default());
    let output = apply(&cluster, &small_manifest(5, 1, 1));
    expect_that!(output.status.code(), some(eq(0)), "{}", stderr(&output));
    let out = String::from_utf8_lossy(&output.stdout).into_owned();
    expect_that!(out, contains_substring("acted on by 1 of 1 entries"));
    let first = manifest_in_force(&cluster);
    expect_that!(first.0, eq(5));

    // The same number with the same content is accepted again.
    let output = apply(&cluster, &small_manifest(5, 1, 1));
    expect_that!(output.status.code(), some(eq(0)));
    // The same number with other content, and a lower number, are refused with an error that
    // names the manifest in force.
    for (number, replicas) in [(5, 2), (4, 1)] {
        let output = apply(&cluster, &small_manifest(number, 1, replicas));
        expect_that!(output.status.code(), some(eq(1)));
        expect_that!(stderr(&output), contains_substring("manifest 5 with digest"));
        expect_that!(stderr(&output), contains_substring(first.1.clone()));
    }
    expect_that!(manifest_in_force(&cluster), eq(&first));
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
        exchange.body(small_manifest(1, 1, 1)).send().expect("a response")
    };
    for token in [None, Some("wrong-token"), Some("")] {
        let response = put(token);
        expect_that!(response.status, eq(401));
        expect_that!(response.body, contains_substring("Authorization: Bearer"));
    }
    expect_that!(cluster.status()["manifest"].is_null(), eq(true));
    let metrics = HttpRequest::new("GET", cluster.control_admin(1), "/metrics").send();
    let metrics = metrics.expect("a response").body;
    expect_that!(metrics, contains_substring("kingcup_tokens_refused_total 3"));
    expect_that!(put(Some(cluster.token())).status, eq(200));
}

#[googletest::test]
fn apply_invalid_manifest_without_the_tool() {
    let cluster = Cluster::start(ClusterConfig { number: 2, ..ClusterConfig::default() });
    let put = |body: &str| {
        cluster.operator_call("PUT", cluster.operator(1), "/v1/manifest", body).expect("a response")
    };
    let response = put("{\"number\": }");
    expect_that!(response.status, eq(422));
    expect_that!(response.body, contains_substring("1:12: not JSON"));
    let response = put(&small_manifest(1, 0, 1));
    expect_that!(response.status, eq(422));
    expect_that!(response.body, contains_substring("`hosts_per_replica` must be at least 1"));
    let response = put(&"x".repeat(5 << 20));
    expect_that!(response.status, eq(413));
    expect_that!(cluster.status()["manifest"].is_null(), eq(true));
}

#[googletest::test]
fn apply_control_unreachable() {
    let cluster = Cluster::start(ClusterConfig { number: 3, ..ClusterConfig::default() });
    let file = cluster.write("manifest.json", &small_manifest(1, 1, 1));
    let output = cluster.kingcup(&["--operator", "127.0.0.1:9", "apply", &file]);
    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(stderr(&output), contains_substring("127.0.0.1:9"));
}
