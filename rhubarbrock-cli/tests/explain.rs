//! `rhubarbrock explain` on logs of three gateways, one of which has a clock an hour ahead.

use std::path::PathBuf;
use std::process::{Command, Output};

fn explain(request: &str, logs: &[&str]) -> Output {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/explain");
    let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarbrock"));
    command.arg("explain").arg(request).args(logs.iter().map(|log| folder.join(log)));
    command.output().unwrap()
}

const LOGS: [&str; 3] = ["g1.log", "g0.log", "g2.log"];

#[test]
fn shows_request_and_context_lines_in_time_order() {
    let output = explain("a1", &LOGS);
    assert_eq!(output.status.code(), Some(0));
    let shown = String::from_utf8(output.stdout).unwrap();
    let expected = "  -0.435 s g1 endpoint ejected endpoint=r1 outcome=broken\n\
        * +0.000 s g0 attempt failed after_ms=16 endpoint=r1 had_first_event=false \
        max_attempts=1 outcome=broken runs=1 time_left_ms=2695\n\
        * +0.000 s g0 request not answered after_ms=16 reason=Failed(Broken) status=502\n  \
        +1.365 s g2 endpoint changed change=Gone endpoint=r1\n";
    assert_eq!(shown, expected);
}

#[test]
fn reports_skipped_lines_and_corrected_clocks() {
    let errors = String::from_utf8(explain("a1", &LOGS).stderr).unwrap();
    assert!(errors.contains("1 lines skipped: not in the gateways' log format"), "{errors}");
    assert!(errors.contains("g1: clock is 3600.100 s ahead; corrected"), "{errors}");
}

#[test]
fn unknown_request_and_missing_file_have_distinct_exit_codes() {
    assert_eq!(explain("a9", &LOGS).status.code(), Some(4));
    assert_eq!(explain("a1", &["none.log"]).status.code(), Some(2));
    assert_eq!(explain("a1", &[]).status.code(), Some(2));
}
