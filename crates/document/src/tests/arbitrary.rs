//! Guards against texts that make the validation panic, run for too long or fail without saying
//! what is wrong.

use std::time::{Duration, Instant};

use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof},
    proptest,
    sample::{Index, select},
    test_runner::TestCaseError,
};
use serde_json::{Value, json};

use super::examples::{CAVALLUCCI, TROIS_RIVIERES, document};
use crate::parse;

/// Maximum duration of one validation, far above the usual one because test machines may be busy.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// Texts that edits insert.
const PIECES: [&str; 24] = [
    "\n", "  ", "\t", "- ", ": ", "[", "]", "{", "}", ",", "&a ", "*a", "!x ", "#", "\"", "'", "|",
    "? ", "%", "null", "-1", "1e400", ".nan", "\u{0}é",
];

fn check(text: &str) -> Result<(), TestCaseError> {
    let start = Instant::now();
    let parsed = parse(text);
    prop_assert!(start.elapsed() < TIME_LIMIT, "{:?}", start.elapsed());
    let problems = match parsed {
        Ok(document) => {
            let rewritten = serde_yaml_ng::to_string(&document).expect("a document is valid YAML");
            prop_assert_eq!(parse(&rewritten), Ok(document));
            return Ok(());
        }
        Err(problems) => problems,
    };
    prop_assert!(!problems.is_empty());
    for it in problems {
        let complete = !it.path.is_empty() && !it.rule.is_empty() && !it.remedy.is_empty();
        prop_assert!(complete, "{it:?}");
    }
    Ok(())
}

/// Replaces up to `length` bytes, starting at `at`, by `piece`.
fn edit(text: &mut String, at: Index, length: usize, piece: &str) {
    let start = text.floor_char_boundary(at.index(text.len() + 1));
    let end = text.floor_char_boundary((start + length).min(text.len()));
    text.replace_range(start..end.max(start), piece);
}

fn replacement() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        Just(json!([])),
        Just(json!({})),
        Just(json!({"name": "x"})),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        (-3..20_000_i64).prop_map(Value::from),
        ".{0,50}".prop_map(Value::from),
        select(vec![
            "/",
            "/archive",
            "a01",
            "127.0.0.1:7102",
            "GET",
            "x-horse"
        ])
        .prop_map(Value::from),
    ]
}

/// Collects the JSON pointers of `value` and all values inside it.
fn collect_pointers(value: &Value, at: &str, found: &mut Vec<String>) {
    found.push(at.to_owned());
    match value {
        Value::Array(list) => {
            for (index, it) in list.iter().enumerate() {
                collect_pointers(it, &format!("{at}/{index}"), found);
            }
        }
        Value::Object(fields) => {
            for (name, it) in fields {
                collect_pointers(it, &format!("{at}/{name}"), found);
            }
        }
        _ => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, ..ProptestConfig::default() })]

    #[test]
    fn any_text(text in any::<String>()) {
        check(&text)?;
    }

    #[test]
    fn any_punctuation(text in "[-\\[\\]{}:,&*!|>'\"%#?@`ab01.~= \n\t]{0,300}") {
        check(&text)?;
    }

    #[test]
    fn edited_examples(
        text in select(vec![CAVALLUCCI, TROIS_RIVIERES]),
        edits in vec((any::<Index>(), 0..30_usize, select(PIECES.to_vec())), 1..6),
    ) {
        let mut text = text.to_owned();
        for (at, length, piece) in edits {
            edit(&mut text, at, length, piece);
        }
        check(&text)?;
    }

    #[test]
    fn replaced_values(
        text in select(vec![CAVALLUCCI, TROIS_RIVIERES]),
        edits in vec((any::<Index>(), replacement()), 1..6),
    ) {
        let mut value = serde_json::to_value(document(text)).expect("a document is valid JSON");
        for (at, replacement) in edits {
            let mut found = Vec::new();
            collect_pointers(&value, "", &mut found);
            let entry = value.pointer_mut(at.get::<String>(&found)).expect("the pointer exists");
            *entry = replacement;
        }
        check(&serde_yaml_ng::to_string(&value).expect("the value is valid YAML"))?;
    }
}
