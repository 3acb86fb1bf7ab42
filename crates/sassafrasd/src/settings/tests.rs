//! Guards against settings that are accepted but cannot work, and against errors that do not tell
//! the operator what to correct.

use proptest::{prelude::any, proptest};

use super::*;

const VALID: &str = "host: h1
data_centre: catania
data: 127.0.0.1:1
peer: 127.0.0.1:2
operators: 127.0.0.1:3
platform: 127.0.0.1:4
platform_timeout_ms: 1000
drain_ms: 30000
seeds: [\"127.0.0.1:5\"]
";

struct Case {
    /// The field of [`VALID`] whose line is replaced.
    field: &'static str,
    value: &'static str,
    /// Texts in the error in addition to the file and the field.
    texts: &'static [&'static str],
}

fn check(case: &Case) {
    let field = format!("{}:", case.field);
    let line = format!("{field} {}", case.value);
    let mut lines: Vec<&str> = VALID.lines().collect();
    lines.retain(|it| !it.starts_with(&field));
    lines.push(&line);
    let text = lines.join("\n");
    let err = Settings::parse("host.yaml", &text).unwrap_err().to_string();
    for part in ["host.yaml", case.field].iter().chain(case.texts) {
        assert!(err.contains(part), "{err} does not name {part}");
    }
}

#[test]
fn each_rule_is_named() {
    const NAME: &str = "1 to 40 of a-z, 0-9 and '-'";
    const PORT: &str = "a port other than 0";
    const DIFFER: &str = "must differ from each other";
    let case = |field, value, texts| Case {
        field,
        value,
        texts,
    };
    Settings::parse("host.yaml", VALID).unwrap();
    for it in [
        case("host", "''", &["\"\"", NAME]),
        case("host", "H1", &["\"H1\"", NAME]),
        case("data_centre", "a/b", &["\"a/b\"", NAME]),
        case("data", "127.0.0.1:0", &["\"127.0.0.1:0\"", PORT]),
        case("peer", "127.0.0.1:0", &["\"127.0.0.1:0\"", PORT]),
        case("operators", "127.0.0.1:0", &["\"127.0.0.1:0\"", PORT]),
        case("platform", "127.0.0.1:0", &["\"127.0.0.1:0\"", PORT]),
        case("seeds", "['127.0.0.1:0']", &["\"127.0.0.1:0\"", PORT]),
        case("peer", "127.0.0.1:1", &["\"127.0.0.1:1\"", DIFFER]),
        case("operators", "127.0.0.1:1", &["\"127.0.0.1:1\"", DIFFER]),
        case("operators", "127.0.0.1:2", &["\"127.0.0.1:2\"", DIFFER]),
        case("platform_timeout_ms", "9", &["\"9\"", "10 to 60000"]),
        case(
            "platform_timeout_ms",
            "60001",
            &["\"60001\"", "10 to 60000"],
        ),
        case("drain_ms", "99", &["\"99\"", "100 to 3600000"]),
        case("drain_ms", "3600001", &["\"3600001\"", "100 to 3600000"]),
        case("data", "localhost:1", &["invalid socket address", "line"]),
        case("drain_ms", "-1", &["-1", "u64"]),
        case("drian_ms", "100", &["unknown field", "line"]),
    ] {
        check(&it);
    }
}

proptest! {
    /// Guards against a text that makes the parser panic or that is accepted without a check.
    #[test]
    fn arbitrary_text(at in 0..VALID.len(), cut in 0_usize..30, piece in any::<String>()) {
        let end = (at + cut).min(VALID.len());
        let text = format!("{}{piece}{}", &VALID[..at], &VALID[end..]);
        for text in [&text, &piece] {
            let Ok(it) = Settings::parse("host.yaml", text) else {
                continue;
            };
            assert!(is_name(&it.host) && is_name(&it.data_centre));
            assert!(it.data != it.peer && it.data.port() > 0 && it.platform_timeout_ms >= 10);
        }
    }
}
