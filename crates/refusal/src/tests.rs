use std::fmt::Write;

use crate::{Ran, Reason, Refusal};

/// Guards against a label that differs between the counter, the body and the lookup by label.
#[test]
fn labels_round_trip() {
    for reason in Reason::ALL {
        let json = serde_json::to_value(Refusal::new(reason)).expect("a refusal serialises");
        assert_eq!(json["reason"], reason.label());
        assert_eq!(Reason::from_label(reason.label()), Some(reason));
    }
}

/// Guards against documentation that gives a reason another status or `ran` than those that are
/// sent.
#[test]
fn table_of_reasons() {
    let mut table =
        String::from("| reason | status | ran | retry after | meaning |\n|---|---|---|---|---|\n");
    for reason in Reason::ALL {
        let ran = match reason.ran() {
            Ran::NotRun => "not_run",
            Ran::Unknown => "unknown",
        };
        let retry = reason
            .retry_ms()
            .map_or(String::from("-"), |it| format!("{it} ms"));
        writeln!(
            table,
            "| `{}` | {} | `{ran}` | {retry} | {reason} |",
            reason.label(),
            reason.status()
        )
        .expect("writing to a string succeeds");
    }
    insta::assert_snapshot!(table);
}
