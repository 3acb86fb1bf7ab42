//! Guards against unintended changes of messages and rules.

use std::fmt::Write;

use crate::{parse, schema};

fn problems(text: &str) -> String {
    let mut shown = String::new();
    for it in parse(text).expect_err("the document is invalid") {
        writeln!(shown, "{it}").expect("writing to a string succeeds");
    }
    shown
}

#[test]
fn broken_fields() {
    insta::assert_snapshot!(problems(include_str!("broken_fields.yaml")));
}

#[test]
fn broken_rules() {
    insta::assert_snapshot!(problems(include_str!("broken_rules.yaml")));
}

#[test]
fn json_schema() {
    insta::assert_snapshot!(schema());
}
