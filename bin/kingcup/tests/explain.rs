//! Tests of `kingcup explain`.

use googletest::prelude::*;
use testbed::process::run_program;

const ENTRY: &str = "\
2026-01-01T00:00:01.100000000Z [INFO] event=placed id=r1 host=h1 group=g1 try=1 running=2
2026-01-01T00:00:01.200000000Z [INFO] event=placed id=r2 host=h2 group=g2 try=1 running=1
not a line of the log
2026-01-01T00:00:02.900000000Z [INFO] event=refused id=r1 cause=lost ran=unknown
";
const CONTROL: &str = "\
2026-01-01T00:00:00.500000000Z [INFO] event=group group=g1 model=m phase=\"Serving\"
2026-01-01T00:00:02.000000000Z [INFO] event=group group=g1 model=m phase=\"Closing\"
2026-01-01T00:00:02.100000000Z [INFO] event=group group=g2 model=m phase=\"Closing\"
";

fn explain(id: &str) -> (i32, String, String) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let mut args = vec!["explain".to_owned(), id.to_owned()];
    for (name, text) in [("control.log", CONTROL), ("entry.log", ENTRY)] {
        let file = folder.path().join(name);
        std::fs::write(&file, text).expect("the file is written");
        args.push(file.to_string_lossy().into_owned());
    }
    let output = run_program("kingcup", &args, &[]);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

#[googletest::test]
fn explain_includes_related_groups() {
    let (code, out, _) = explain("r1");
    expect_that!(code, eq(0));
    let lines: Vec<&str> = out.lines().collect();
    expect_that!(lines, len(eq(3)));
    expect_that!(lines[0], contains_substring("entry.log event=placed id=r1"));
    expect_that!(lines[1], contains_substring("control.log event=group group=g1"));
    expect_that!(lines[1], contains_substring("Closing"));
    expect_that!(lines[2], starts_with("> "));
}

#[googletest::test]
fn explain_unknown_id() {
    let (code, _, err) = explain("r9");
    expect_that!(code, eq(1));
    expect_that!(err, contains_substring("no line of these files has id=r9"));
}

#[googletest::test]
fn explain_missing_file() {
    let args = ["explain".to_owned(), "r1".to_owned(), "no-such.log".to_owned()];
    let output = run_program("kingcup", &args, &[]);
    expect_that!(output.status.code(), some(eq(2)));
}
