//! Guards against differences between the operators' manual and the programs.

use std::process::Command;

use refusal::{Ran, Reason};

const MANUAL: &str = include_str!("../../../docs/operators.md");

#[test]
fn every_refusal_has_advice() {
    for reason in Reason::ALL {
        let ran = match reason.ran() {
            Ran::NotRun => "not_run",
            Ran::Unknown => "unknown",
        };
        let row = format!("| `{}` | {} | `{ran}` | ", reason.label(), reason.status());
        assert!(MANUAL.contains(&row), "{row}");
    }
}

#[test]
fn exit_codes_are_those_of_the_help() {
    let output = Command::new(env!("CARGO_BIN_EXE_sassafrasctl"))
        .arg("--help")
        .output()
        .expect("the client starts");
    let help = String::from_utf8(output.stdout).expect("the output is UTF-8");
    let (_, codes) = help
        .split_once("Exit codes:\n")
        .expect("the help lists exit codes");
    let mut count = 0;
    for line in codes.lines() {
        let (code, meaning) = line
            .trim()
            .split_once("  ")
            .expect("the line has a code and a meaning");
        let (meaning, _) = meaning.split_once(": the change").unwrap_or((meaning, ""));
        let row = format!("| {code} | {meaning} |");
        assert!(MANUAL.contains(&row), "{row}");
        count += 1;
    }
    assert_eq!(count, 6);
}
