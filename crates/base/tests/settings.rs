//! Settings from flags and the environment, units and secrets.

use argh::FromArgs;
use base::{
    secret::Secret,
    settings::{Flag, merge_environment, parse},
    units::{parse_duration, parse_size},
};
use googletest::prelude::*;
use std::{net::SocketAddr, time::Duration};

const FLAGS: [Flag; 2] = [Flag::new("admin-listen", "IP:PORT"), Flag::new("name", "a name")];

/// Test program.
#[derive(Debug, FromArgs)]
struct Args {
    /// address
    #[argh(option)]
    admin_listen: SocketAddr,
    /// name
    #[argh(option)]
    name: String,
}

fn merged(args: &[&str], environment: &[(&str, &str)]) -> Vec<String> {
    let args = args.iter().map(ToString::to_string).collect();
    merge_environment(args, &FLAGS, &|variable| {
        environment.iter().find(|(name, _)| *name == variable).map(|(_, value)| value.to_string())
    })
}

#[googletest::test]
fn merge_environment_flag_takes_precedence() {
    let environment = [("KINGCUP_ADMIN_LISTEN", "127.0.0.1:1"), ("KINGCUP_NAME", "from-env")];
    let args = merged(&["--name", "from-flag"], &environment);
    let parsed = parse::<Args>("test", &args, &FLAGS).expect("valid settings").expect("no help");
    expect_that!(parsed.name, eq("from-flag"));
    expect_that!(parsed.admin_listen.to_string(), eq("127.0.0.1:1"));
}

#[googletest::test]
fn parse_invalid_value() {
    let args = merged(&["--admin-listen", "here", "--name", "x"], &[]);
    let report = parse::<Args>("test", &args, &FLAGS).expect_err("invalid settings");
    let text = format!("{report:?}");
    expect_that!(text, contains_substring("admin-listen"));
    expect_that!(text, contains_substring("here"));
    expect_that!(text, contains_substring("KINGCUP_ADMIN_LISTEN takes IP:PORT"));
}

#[googletest::test]
fn parse_missing_flag() {
    let report = parse::<Args>("test", &merged(&["--name", "x"], &[]), &FLAGS)
        .expect_err("invalid settings");
    expect_that!(format!("{report:?}"), contains_substring("KINGCUP_ADMIN_LISTEN takes IP:PORT"));
}

#[googletest::test]
fn parse_duration_forms() {
    expect_that!(parse_duration("250ms"), ok(eq(&Duration::from_millis(250))));
    expect_that!(parse_duration("10m"), ok(eq(&Duration::from_secs(600))));
    for invalid in ["", "10", "m", "1.5s", "-1s", "10 s", "99999999999999999999s"] {
        expect_that!(parse_duration(invalid), err(anything()), "{invalid}");
    }
}

#[googletest::test]
fn parse_size_forms() {
    expect_that!(parse_size("24GiB"), ok(eq(&(24 << 30))));
    expect_that!(parse_size("100B"), ok(eq(&100)));
    for invalid in ["", "1GB", "GiB", "99999999TiB"] {
        expect_that!(parse_size(invalid), err(anything()), "{invalid}");
    }
}

#[googletest::test]
fn matches_only_the_secret() {
    let secret = Secret::new("correct-horse");
    expect_that!(secret.matches(b"correct-horse"), eq(true));
    for invalid in [&b"correct-hors"[..], b"correct-horsf", b"", b"correct-horse "] {
        expect_that!(secret.matches(invalid), eq(false));
    }
    expect_that!(format!("{secret:?}"), not(contains_substring("horse")));
}
