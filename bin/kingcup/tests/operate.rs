//! Tests of `kingcup status`, `domain`, `drain`, `dump` and `entries`.

use googletest::prelude::*;
use serde_json::Value;
use std::process::Output;
use testbed::process::{Cluster, ClusterConfig, HttpRequest, small_manifest, wait_until};

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn start_cluster(number: u8) -> Cluster {
    let shape = ClusterConfig {
        number,
        entries: 2,
        engines_per_domain: 1,
        ledgers: 1,
        ..ClusterConfig::default()
    };
    let cluster = Cluster::start(shape);
    cluster.apply(&small_manifest(1, 1, 2));
    cluster.wait_all_serving();
    cluster
}

#[googletest::test]
fn status_table_and_json() {
    let cluster = start_cluster(0);
    let table = stdout(&cluster.kingcup(&["status"]));
    for line in
        ["leader    control-1", "voter", "manifest  1", "entry     entry-2", "2 of 2 groups serve"]
    {
        expect_that!(table, contains_substring(line));
    }
    let json: Value = serde_json::from_str(&stdout(&cluster.kingcup(&["status", "--json"])))
        .expect("status --json is JSON");
    expect_that!(json["services_serving"].as_u64(), some(eq(1)));
}

#[googletest::test]
fn domain_out_and_back() {
    let cluster = start_cluster(1);
    let output = cluster.kingcup(&["domain", "out", "nowhere"]);
    expect_that!(output.status.code(), some(eq(1)));
    let err = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(err, contains_substring("not in the manifest"));
    let output = cluster.kingcup(&["domain", "out", "a", "--notice", "soon"]);
    expect_that!(output.status.code(), some(eq(1)));

    let serving_in_a = |status: &Value| status["serving_by_domain"]["a"].as_u64().unwrap_or(0);
    cluster.wait_status("a serves", |status| serving_in_a(status) > 0);
    let output = cluster.kingcup(&["domain", "out", "a", "--notice", "20s", "--wait"]);
    expect_that!(stdout(&output), contains_substring("nothing serves in a"));
    cluster.wait_all_serving();
    expect_that!(serving_in_a(&cluster.status()), eq(0));
    expect_that!(stdout(&cluster.kingcup(&["status"])), contains_substring("out       a"));

    expect_that!(cluster.kingcup(&["domain", "back", "a"]).status.success(), eq(true));
    cluster.wait_status("a is in", |status| {
        status["domains_out"].as_array().is_some_and(Vec::is_empty)
    });
    // Groups that already serve elsewhere are not moved back. The replica of the ledger returns.
    let groups_in_a = |status: &Value| {
        let groups = status["groups"].as_array().expect("the status lists groups");
        groups.iter().filter(|group| group["domain"] == "a").count()
    };
    expect_that!(groups_in_a(&cluster.status()), eq(0));
    cluster.wait_status("the ledger is back in a", |status| serving_in_a(status) == 1);
    expect_that!(groups_in_a(&cluster.status()), eq(0));
}

#[googletest::test]
fn drain_entry() {
    let mut cluster = start_cluster(2);
    let admin = cluster.entry_admin(2).to_string();
    let refused = cluster.kingcup(&[
        "--token-file",
        &cluster.write("other", "another-token"),
        "drain",
        &admin,
    ]);
    expect_that!(refused.status.code(), some(eq(1)));
    wait_until("both entries in the directory", || {
        stdout(&cluster.kingcup(&["entries"])).lines().count() == 3
    });
    expect_that!(cluster.kingcup(&["drain", &admin]).status.success(), eq(true));
    let leaving = cluster.entry(2).to_string();
    wait_until("the entry leaves the directory", || {
        !stdout(&cluster.kingcup(&["entries"])).contains(&leaving)
    });
    let entry = cluster.programs.get_mut("entry-2").expect("the entry was started");
    expect_that!(entry.wait().success(), eq(true));
    expect_that!(entry.log(), contains_substring("all_answered=true"));
}

#[googletest::test]
fn dump_each_program() {
    let cluster = start_cluster(3);
    let dump = |admin: std::net::SocketAddr| -> Value {
        let output = cluster.kingcup(&["dump", &admin.to_string()]);
        serde_json::from_str(&stdout(&output)).expect("a dump is JSON")
    };
    expect_that!(dump(cluster.control_admin(1))["role"].as_str(), some(eq("Leader")));
    wait_until("the entry knows both groups", || dump(cluster.entry_admin(1))["groups"] == 2);
    let admins = [cluster.control_admin(1), cluster.entry_admin(1), cluster.fake_admin(1)];
    for admin in admins {
        let get = |path: &str| HttpRequest::new("GET", admin, path).send().expect("a response");
        expect_that!(get("/healthz").status, eq(200));
        expect_that!(get("/metrics").body, contains_substring("# TYPE kingcup_"));
        expect_that!(get("/nowhere").status, eq(404));
    }
    expect_that!(dump(cluster.fake_admin(1))["host"].as_str(), some(eq("host-1")));
}
