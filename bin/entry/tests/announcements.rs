//! Announcements of backend servers: inconsistent ones, stale ones and ones without the secret.

use googletest::prelude::*;
use serde_json::{Value, json};
use std::net::IpAddr;
use testbed::process::{Cluster, ClusterConfig, HttpRequest, HttpResponse};

fn announcement(cluster: &Cluster, change: Value) -> Value {
    let mut announcement = json!({
        "host": "h1",
        "incarnation": 1,
        "sequence": 1,
        "address": cluster.address(99, 8000),
        "failure_domain": "a",
        "fabric_domain": "a-1",
        "offer": { "accelerators": 4 },
    });
    for (field, value) in change.as_object().into_iter().flatten() {
        announcement[field] = value.clone();
    }
    announcement
}

fn post(cluster: &Cluster, from: IpAddr, secret: &str, body: &str) -> HttpResponse {
    HttpRequest::new("POST", cluster.backend_address(1), "/kingcup/announce")
        .header("kingcup-secret", secret)
        .from(from)
        .body(body)
        .send()
        .expect("an answer")
}

fn announce(cluster: &Cluster, host: u8, change: Value) -> HttpResponse {
    let from = cluster.address(host, 0).ip();
    post(cluster, from, cluster.secret(), &announcement(cluster, change).to_string())
}

fn live(cluster: &Cluster) -> Option<u64> {
    cluster.status()["hosts_live"].as_u64()
}

#[googletest::test]
fn announce_contradictions() {
    let cluster = Cluster::start(ClusterConfig::default());
    let runs = json!({ "group": 1, "fence": 1, "model": "m", "phase": "ready", "cold": false });
    let cases = [
        (json!({ "host": "" }), "`host` is empty"),
        (json!({ "failure_domain": "" }), "`failure_domain` is empty"),
        (json!({ "address": "127.0.0.1:8000" }), "differs from the sender's"),
        (json!({ "offer": { "accelerators": 0 } }), "name at least 1"),
        (json!({ "offer": { "service": "" } }), "`service` is empty"),
        (json!({ "offer": { "service": "ledger" }, "runs": runs }), "cannot run a group"),
        (json!({ "colour": "red" }), "unknown field `colour`"),
        (json!({ "incarnation": "one" }), "invalid type"),
    ];
    for (change, cause) in cases {
        let answer = announce(&cluster, 99, change.clone());
        expect_that!(answer.status, eq(400), "{change}");
        expect_that!(answer.body, contains_substring(cause));
    }
    expect_that!(live(&cluster), some(eq(0)));
}

#[googletest::test]
fn announce_name_of_another_host() {
    let cluster = Cluster::start(ClusterConfig { number: 1, ..ClusterConfig::default() });
    expect_that!(announce(&cluster, 99, json!({})).status, eq(200));
    let other = json!({ "address": cluster.address(98, 8000), "incarnation": 2 });
    let answer = announce(&cluster, 98, other);
    expect_that!(answer.status, eq(409));
    expect_that!(answer.body, contains_substring("the host's name is held by"));
    // A stale announcement, with a sequence number seen before, is refused as well.
    let answer = announce(&cluster, 99, json!({ "sequence": 1 }));
    expect_that!(answer.status, eq(409));
    expect_that!(announce(&cluster, 99, json!({ "sequence": 2 })).status, eq(200));
}

#[googletest::test]
fn announce_wrong_secret_or_address() {
    let cluster = Cluster::start(ClusterConfig { number: 2, ..ClusterConfig::default() });
    let body = announcement(&cluster, json!({})).to_string();
    let from = cluster.address(99, 0).ip();
    for secret in ["", "wrong-secret"] {
        let answer = post(&cluster, from, secret, &body);
        expect_that!(answer.status, eq(403));
    }
    // The callers' listener takes no announcements.
    let answer = HttpRequest::new("POST", cluster.entry(1), "/kingcup/announce")
        .header("kingcup-secret", cluster.secret())
        .from(from)
        .body(body)
        .send()
        .expect("an answer");
    expect_that!(answer.status, eq(503), "no manifest, so no route");
    let metrics = HttpRequest::new("GET", cluster.entry_admin(1), "/metrics").send();
    let metrics = metrics.expect("an answer").body;
    expect_that!(metrics, contains_substring("kingcup_secrets_refused_total 2"));
    expect_that!(live(&cluster), some(eq(0)));
}
