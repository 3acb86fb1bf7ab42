//! Guards against a lookup of a key other than the requested one.

use proptest::{prelude::any, proptest};

use super::*;

struct Case {
    text: &'static str,
    decoded: Option<&'static str>,
}

#[test]
fn percent_decoding() {
    let case = |text, decoded| Case { text, decoded };
    for it in [
        case("", Some("")),
        case("a+b", Some("a+b")),
        case("%41%2f", Some("A/")),
        case("%", None),
        case("%4", None),
        case("%zz", None),
        case("%+f", None),
        case("%-1", None),
        case("%ff", None),
        case("%é", None),
    ] {
        assert_eq!(
            percent_decode(it.text).as_deref(),
            it.decoded,
            "{}",
            it.text
        );
    }
}

proptest! {
    #[test]
    fn encoded_text_is_decoded_unchanged(text in any::<String>()) {
        let encoded: Vec<_> = text.bytes().map(|it| format!("%{it:02X}")).collect();
        assert_eq!(percent_decode(&encoded.concat()), Some(text));
    }

    #[test]
    fn arbitrary_text(text in "[%+0-9a-fA-Fé]{0,12}") {
        if let Some(decoded) = percent_decode(&text) {
            assert!(decoded.len() <= text.len());
        }
    }
}

// Guards against a quarantined request that is missing from the status, so that an operator cannot
// pardon it.
#[tokio::test]
async fn status_lists_quarantined_requests() {
    let host = crate::fake::host(([127, 0, 0, 1], 1).into());
    let now = host.clock.now();
    host.with_quarantine(&Arc::from("archive"), |it| {
        it.on_crash(now, &[0xff]);
        it.on_crash(now, &[0xff, 0xfe]);
    });
    let found = serde_json::to_value(status(&host).quarantine).unwrap();
    let expected = json!([{"service": "archive", "fingerprint": "00000000000000ff", "age_s": 0}]);
    assert_eq!(found, expected);
}
