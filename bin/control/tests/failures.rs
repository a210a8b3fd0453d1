//! Control under failures: leaders killed and paused, concurrent operators, lost disks, and
//! group members that are killed, are paused or ignore fences.

use googletest::prelude::*;
use serde_json::Value;
use std::{collections::BTreeSet, fs, thread};
use testbed::process::{Cluster, ClusterConfig, HttpRequest, small_manifest, wait_until};

fn three_controls(number: u8) -> ClusterConfig {
    ClusterConfig { number, controls: 3, voters: 3, ..ClusterConfig::default() }
}

fn leader(cluster: &Cluster) -> String {
    cluster.status()["leader"].as_str().unwrap_or_default().to_owned()
}

fn number_of(name: &str) -> u8 {
    name.rsplit('-').next().and_then(|digits| digits.parse().ok()).expect("a numbered name")
}

fn voters(status: &Value) -> BTreeSet<String> {
    let controls = status["controls"].as_array().into_iter().flatten();
    controls
        .filter(|control| control["voter"] == true)
        .filter_map(|control| control["name"].as_str().map(str::to_owned))
        .collect()
}

#[googletest::test]
fn leader_killed_keeps_manifest() {
    let mut cluster = Cluster::start(three_controls(0));
    cluster.apply(&small_manifest(1, 1, 1));
    let first = leader(&cluster);
    cluster.programs.get_mut(&first).expect("the leader runs").kill();
    cluster.wait_status("another leader", |status| {
        let name = status["leader"].as_str().unwrap_or_default();
        !name.is_empty() && name != first
    });
    expect_that!(cluster.status()["manifest"]["number"].as_u64(), some(eq(1)));
    // The new leader accepts a resent manifest, and refuses one with an older number.
    cluster.apply(&small_manifest(1, 1, 1));
    cluster.apply(&small_manifest(2, 1, 1));
    let file = cluster.write("old.json", &small_manifest(1, 1, 1));
    expect_that!(cluster.kingcup(&["apply", &file]).status.code(), some(eq(1)));
    // The killed process restarts as a follower.
    cluster.start_control(number_of(&first));
    cluster.wait_status("the old leader follows", |status| {
        let controls = status["controls"].as_array().into_iter().flatten();
        controls
            .filter(|control| control["name"] == first.as_str())
            .any(|control| control["lag"] == 0 && control["silent_ms"].as_u64() < Some(1000))
    });
}

#[googletest::test]
fn leader_paused_serves_no_stale_state() {
    let cluster = Cluster::start(three_controls(1));
    cluster.apply(&small_manifest(1, 1, 1));
    let first = leader(&cluster);
    let paused = number_of(&first);
    cluster.programs[&first].pause();
    cluster.wait_status("another leader", |status| {
        status["leader"].as_str().is_some_and(|name| name != first)
    });
    cluster.apply(&small_manifest(2, 1, 1));
    let term = cluster.status()["term"].as_u64();
    cluster.programs[&first].resume();
    // After it resumes, it must not serve the old manifest.
    for _ in 0..50 {
        let answer = cluster.operator_call("GET", cluster.operator(paused), "/v1/status", "");
        let answer = answer.expect("an answer");
        let number = answer.json()["manifest"]["number"].as_u64();
        expect_that!(answer.status == 503 || number == Some(2), eq(true), "{}", answer.body);
    }
    // It must not cause an election either.
    expect_that!(cluster.status()["term"].as_u64(), eq(term));
}

#[googletest::test]
fn concurrent_operators_one_content_for_a_number() {
    let cluster = Cluster::start(three_controls(2));
    let accepted = |number: u64| -> BTreeSet<String> {
        let cluster = &cluster;
        thread::scope(|scope| {
            let operators: Vec<_> = (1..=6_u32)
                .map(|operator| {
                    scope.spawn(move || {
                        let name = format!("operator-{operator}.json");
                        let file = cluster.write(&name, &small_manifest(number, 1, operator));
                        // Each operator sends its manifest twice, as after a lost response.
                        cluster.kingcup(&["apply", &file]);
                        let output = cluster.kingcup(&["apply", &file]);
                        let out = String::from_utf8_lossy(&output.stdout).into_owned();
                        output.status.success().then_some(out)
                    })
                })
                .collect();
            operators
                .into_iter()
                .filter_map(|operator| operator.join().expect("no panic"))
                .collect()
        })
    };
    for number in 1..=5 {
        let winners = accepted(number);
        expect_that!(winners.len(), eq(1), "{winners:?}");
        let digest = cluster.status()["manifest"]["digest"].as_str().unwrap_or_default().to_owned();
        expect_that!(winners.first(), some(contains_substring(digest.clone())));
    }
}

#[googletest::test]
fn dead_voter_is_replaced_then_a_second_host_fails() {
    let mut cluster = Cluster::start(ClusterConfig {
        number: 3,
        controls: 4,
        voters: 3,
        control_flags: vec!["--replace-after".to_owned(), "1s".to_owned()],
        ..ClusterConfig::default()
    });
    cluster.apply(&small_manifest(1, 1, 1));
    let before = voters(&cluster.status());
    expect_that!(before.len(), eq(3));
    let leader_name = leader(&cluster);
    let dead =
        before.iter().find(|name| **name != leader_name).expect("a follower that votes").clone();
    cluster.programs.get_mut(&dead).expect("the process runs").kill();
    // Its disk is lost as well, so that it never returns under its old identity.
    fs::remove_dir_all(cluster.file(&dead)).expect("its folder is removed");
    cluster.wait_status("the follower has become a voter", |status| {
        let now = voters(status);
        now.len() == 3 && !now.contains(&dead)
    });
    // A second host fails right after the replacement.
    let second = leader(&cluster);
    cluster.programs.get_mut(&second).expect("the process runs").kill();
    cluster.wait_status("another leader", |status| {
        status["leader"].as_str().is_some_and(|name| name != second)
    });
    cluster.apply(&small_manifest(2, 1, 1));
    // The first one restarts with an empty data folder, as a new follower that replaces the
    // second one.
    cluster.start_control(number_of(&dead));
    cluster.wait_status("three running voters", |status| {
        let now = voters(status);
        now.len() == 3 && now.contains(&dead) && !now.contains(&second)
    });
    cluster.apply(&small_manifest(3, 1, 1));
}

fn engines(number: u8, fake_flags: &[&str]) -> Cluster {
    let cluster = Cluster::start(ClusterConfig {
        number,
        engines_per_domain: 3,
        fake_flags: fake_flags.iter().map(|flag| (*flag).to_owned()).collect(),
        ..ClusterConfig::default()
    });
    cluster.apply(&small_manifest(1, 2, 3));
    cluster.wait_all_serving();
    cluster
}

fn members(status: &Value, serving: bool) -> Vec<(u64, Vec<String>)> {
    let groups = status["groups"].as_array().into_iter().flatten();
    groups
        .filter(|group| group["serving"] == serving)
        .map(|group| {
            let members = group["members"].as_array().into_iter().flatten();
            let names = members.filter_map(|name| name.as_str().map(str::to_owned)).collect();
            (group["group"].as_u64().unwrap_or(0), names)
        })
        .collect()
}

fn fake_of(host: &str) -> String {
    format!("fake-{}", number_of(host))
}

#[googletest::test]
fn member_killed_then_group_complete_again() {
    let mut cluster = engines(10, &[]);
    let (group, names) = members(&cluster.status(), true).swap_remove(0);
    let victim = names[1].clone();
    cluster.programs.get_mut(&fake_of(&victim)).expect("the process runs").kill();
    cluster.wait_status("the group is out of service", |status| {
        !members(status, true).iter().any(|(id, names)| *id == group && names.contains(&victim))
    });
    cluster.wait_all_serving();
    let serving = members(&cluster.status(), true);
    expect_that!(serving.iter().any(|(_, names)| names.contains(&victim)), eq(false));
    // The replacement is in the same fabric domain, so the group is repaired in place.
    expect_that!(serving.iter().any(|(id, _)| *id == group), eq(true));
    // The host restarts idle and is available again.
    cluster.start_fake(number_of(&victim), &[]);
    cluster.wait_status("nine live hosts", |status| status["hosts_live"] == 9);
}

#[googletest::test]
fn member_paused_then_it_serves_no_second_group() {
    let cluster = engines(11, &["--ignore-fence"]);
    let (group, names) = members(&cluster.status(), true).swap_remove(0);
    let victim = names[0].clone();
    cluster.programs[&fake_of(&victim)].pause();
    cluster.wait_status("the group is complete with another member", |status| {
        members(status, true).iter().any(|(id, names)| *id == group && !names.contains(&victim))
    });
    cluster.programs[&fake_of(&victim)].resume();
    // The resumed host still runs under its old fence. It is ordered to unload and becomes
    // available.
    let admin = cluster.fake_admin(number_of(&victim));
    wait_until("the paused host is idle", || {
        let dump = HttpRequest::new("GET", admin, "/dump").send().map(|answer| answer.json());
        dump.is_some_and(|dump| dump["runs"].is_null())
    });
    let status = cluster.status();
    let all: Vec<String> =
        members(&status, true).into_iter().flat_map(|(_, names)| names).collect();
    let distinct: BTreeSet<&String> = all.iter().collect();
    expect_that!(distinct.len(), eq(all.len()));
    expect_that!(members(&status, true).len(), eq(3));
}

#[googletest::test]
fn delayed_order_to_a_host_that_ignores_fences() {
    let cluster = engines(12, &["--ignore-fence"]);
    // Free hosts execute their next order only after control has stopped waiting for it.
    for number in 1..=9 {
        cluster.set_faults(number, "{\"order_delay_ms\": 2600}");
    }
    let (_, names) = members(&cluster.status(), true).swap_remove(0);
    cluster.programs[&fake_of(&names[1])].pause();
    wait_until("an order has failed", || {
        let metrics = HttpRequest::new("GET", cluster.control_admin(1), "/metrics").send();
        let metrics = metrics.map(|answer| answer.body).unwrap_or_default();
        metrics.lines().any(|line| {
            line.strip_prefix("kingcup_orders_failed_total ").is_some_and(|count| count != "0")
        })
    });
    for number in (1..=9).filter(|number| format!("host-{number}") != names[1]) {
        cluster.set_faults(number, "{}");
    }
    cluster.wait_all_serving();
    expect_that!(members(&cluster.status(), true).len(), eq(3));
}

#[googletest::test]
fn control_restarted_after_hundreds_of_changes() {
    let mut cluster = Cluster::start(ClusterConfig { number: 13, ..ClusterConfig::default() });
    for number in 1..=300 {
        let body = small_manifest(number, 1, 1);
        let answer = cluster.operator_call("PUT", cluster.operator(1), "/v1/manifest", &body);
        assert_eq!(answer.map(|answer| answer.status), Some(200));
    }
    cluster.programs.get_mut("control-1").expect("the process runs").kill();
    cluster.start_control(1);
    cluster.wait_status("control is back", |status| status["manifest"]["number"] == 300);
}

#[googletest::test]
fn peer_protocol_wrong_secret() {
    let cluster = Cluster::start(ClusterConfig { number: 14, ..ClusterConfig::default() });
    // Plain HTTP/1 at the peer address doesn't open a session.
    let answer = HttpRequest::send_raw(cluster.peer(1), b"GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect_that!(answer, not(contains_substring("200")));
    wait_until("the refusal is counted", || {
        let metrics = HttpRequest::new("GET", cluster.control_admin(1), "/metrics").send();
        metrics.is_some_and(|metrics| !metrics.body.contains("kingcup_peers_refused_total 0"))
    });
}
