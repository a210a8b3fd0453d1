//! Invalid settings: `kingcup-fake` must exit with code 2 and name the flag unless exactly one of
//! `--accelerators` (1 or more) and `--service` is given.

use googletest::prelude::*;
use testbed::process::run_program;

#[googletest::test]
fn settings_what_is_offered() {
    let flags = "--name h --listen 127.98.0.1:8000 --admin-listen 127.98.0.1:8001 \
                 --entries 127.98.0.2:7500 --failure-domain a --fabric-domain a --secret-file none";
    for offer in ["", "--accelerators 0", "--accelerators 4 --service ledger"] {
        let args: Vec<String> =
            flags.split_whitespace().chain(offer.split_whitespace()).map(str::to_owned).collect();
        let output = run_program("kingcup-fake", &args, &[]);
        expect_that!(output.status.code(), some(eq(2)));
        let err = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(err, contains_substring("--accelerators"));
    }
}
