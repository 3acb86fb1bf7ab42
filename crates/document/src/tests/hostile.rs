//! Guards against short texts, or texts within the limits, that take excessive memory or time.

use std::{
    fmt::Write,
    time::{Duration, Instant},
};

use super::examples::CAVALLUCCI;
use crate::{TEXT_LIMIT_BYTES, parse};

/// Maximum duration of one validation; without the limits, several of the texts take minutes.
const TIME_LIMIT: Duration = Duration::from_secs(20);

struct Case {
    text: String,
    message: &'static str,
}

fn check(case: &Case) {
    let start = Instant::now();
    let problems = parse(&case.text).expect_err("the text exceeds a limit");
    let shown: Vec<_> = problems.iter().map(ToString::to_string).collect();
    assert!(
        shown.iter().any(|it| it.contains(case.message)),
        "{}: {:?}",
        case.message,
        shown.first()
    );
    assert!(
        start.elapsed() < TIME_LIMIT,
        "{}: {:?}",
        case.message,
        start.elapsed()
    );
}

#[test]
fn limits_hold() {
    let mut nested = String::from("a0: &a0 [x]\n");
    for index in 1..30 {
        let aliases = format!("*a{}, ", index - 1).repeat(10);
        writeln!(nested, "a{index}: &a{index} [{aliases}]").expect("writing to a string succeeds");
    }
    let pardons = format!("pardons:\n{}", "  - x\n".repeat(5_000));
    let cases = [
        Case {
            text: " ".repeat(TEXT_LIMIT_BYTES + 1),
            message: "must have at most 4194304 bytes",
        },
        Case {
            text: "[".repeat(TEXT_LIMIT_BYTES),
            message: "must have at most 64 brackets that are not closed",
        },
        Case {
            text: "? ".repeat(TEXT_LIMIT_BYTES / 2),
            message: "must have at most 500000 lines and punctuation characters",
        },
        Case {
            text: format!("[{}]", "a,".repeat(400_000)),
            message: "more than 250000 values",
        },
        Case {
            text: nested,
            message: "repetition limit exceeded",
        },
        Case {
            text: format!(
                "a: &a [{}]\nb: [{}]",
                "x,".repeat(1_000),
                "*a,".repeat(1_000)
            ),
            message: "more than 250000 values",
        },
        Case {
            text: format!(
                "a: &a {}\nb: [{}]",
                "x".repeat(1 << 20),
                "*a,".repeat(1_000)
            ),
            message: "the strings exceed 8388608 bytes",
        },
        Case {
            text: "- ".repeat(1_000),
            message: "the nesting is deeper than 16 levels",
        },
        Case {
            text: CAVALLUCCI.replace("pardons: []", &pardons),
            message: "has 9000 more problems",
        },
    ];
    cases.iter().for_each(check);
}
