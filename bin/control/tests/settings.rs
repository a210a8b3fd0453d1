//! Invalid settings and damaged data folders.

use googletest::prelude::*;
use std::{fs, path::Path, process::Output};
use testbed::process::run_program;

/// Runs control on a separate address for each test, because the tests run in parallel.
fn run(address: &str, folder: &Path, changes: &[(&str, &str)]) -> Output {
    fs::write(folder.join("secret"), "long-enough-secret").expect("written");
    fs::write(folder.join("short"), "short").expect("written");
    let path = |name: &str| folder.join(name).to_string_lossy().into_owned();
    let mut args = vec![
        ("--name", "c".to_owned()),
        ("--data", path("data")),
        ("--peer-listen", format!("{address}:7100")),
        ("--operator-listen", format!("{address}:7200")),
        ("--admin-listen", format!("{address}:7300")),
        ("--peers", format!("{address}:7100")),
        ("--voters", "1".to_owned()),
        ("--secret-file", path("secret")),
        ("--token-file", path("secret")),
    ];
    for (flag, value) in changes {
        for arg in &mut args {
            if arg.0 == *flag {
                arg.1 = value.replace("FOLDER", &folder.to_string_lossy());
            }
        }
        if !args.iter().any(|(known, _)| known == flag) {
            args.push((flag, (*value).to_owned()));
        }
    }
    let argv: Vec<String> =
        args.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
    run_program("kingcup-control", &argv, &[])
}

fn stderr_text(output: &Output) -> String {
    // The report may be wrapped, so lines are joined before the comparison.
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    text.split_whitespace().filter(|word| *word != "│").collect::<Vec<_>>().join(" ")
}

#[googletest::test]
fn settings_invalid_values() {
    let cases = [
        ("--peer-listen", "here", "KINGCUP_PEER_LISTEN takes IP:PORT"),
        ("--peers", "127.0.0.1", "set --peers to IP:PORT,IP:PORT,..."),
        ("--voters", "2", "set --voters to 1, 3 or 5"),
        ("--voters", "3", "set --voters to 1, 3 or 5"),
        ("--policy", "worst-fit", "set --policy to first-fit, best-fit or best-fit-with-spares"),
        ("--replace-after", "soon", "set --replace-after to a duration such as 10s"),
        ("--secret-file", "FOLDER/none", "--secret-file"),
        ("--token-file", "FOLDER/short", "shorter than 8 characters"),
        ("--admin-listen", "192.0.2.1:7300", "set --admin-listen to an address of this host"),
    ];
    for (flag, value, message) in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let output = run("127.99.0.1", folder.path(), &[(flag, value)]);
        expect_that!(output.status.code(), some(eq(2)), "{flag} {value}");
        expect_that!(stderr_text(&output), contains_substring(message));
    }
}

#[googletest::test]
fn settings_port_taken() {
    let folder = tempfile::tempdir().expect("a folder");
    let _listener = std::net::TcpListener::bind("127.99.0.2:7300").expect("the port is free");
    let output = run("127.99.0.2", folder.path(), &[("--admin-listen", "127.99.0.2:7300")]);
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(
        stderr_text(&output),
        contains_substring("--admin-listen: can't listen on 127.99.0.2:7300")
    );
    expect_that!(stderr_text(&output), contains_substring("stop the program that uses it"));
}

#[googletest::test]
fn settings_damaged_folder() {
    let folder = tempfile::tempdir().expect("a folder");
    let data = folder.path().join("data");
    fs::create_dir_all(&data).expect("a folder");
    fs::write(data.join("identity"), "00000000000000ff\n").expect("written");
    fs::write(data.join("log"), [7; 200]).expect("written");
    let output = run("127.99.0.3", folder.path(), &[]);
    expect_that!(output.status.code(), some(eq(3)));
    expect_that!(
        stderr_text(&output),
        contains_substring("data/log: the record at byte 0 is damaged")
    );
    expect_that!(stderr_text(&output), contains_substring("start with an empty data folder"));
    // The damaged file is left unchanged for inspection.
    expect_that!(fs::read(data.join("log")).map(|bytes| bytes.len()).ok(), some(eq(200)));
}
