use super::Settings;

const VALID: &str = r#"
host: edge-1
place: catania
regions: {"catania": "sicilia-est"}
callers: 127.0.0.1:8144
operators: 127.0.0.1:8140
metrics: 127.0.0.1:9464
peer: 127.0.0.1:7660
forward: 127.0.0.1:7661
cores: 0.2
store: {address: "127.0.0.1:8142", anything: 1}
bounds: {max_hold_s: 10, drain_s: 2, grace_s: 6, retry_ratio: 0.2, retry_slack: 60, retry_window_s: 10}
"#;

/// Guards against accepting settings with which a host cannot work, and against error messages that
/// do not name the field.
#[test]
fn invalid_settings_name_the_field() {
    struct Case {
        from: &'static str,
        to: &'static str,
        message: &'static str,
    }
    Settings::parse("f", VALID).expect("the settings are valid");
    let cases = [
        Case {
            from: "place: catania",
            to: "place: rome",
            message: "f: place: must be one of",
        },
        Case {
            from: "8140",
            to: "8144",
            message: "must be different addresses",
        },
        Case {
            from: "max_hold_s: 10",
            to: "max_hold_s: 0",
            message: "bounds.max_hold_s",
        },
        Case {
            from: "retry_ratio: 0.2",
            to: "retry_ratio: -1",
            message: "bounds.retry_ratio",
        },
        Case {
            from: "host: edge-1\n",
            to: "",
            message: "missing field `host`",
        },
        Case {
            from: "127.0.0.1:8142",
            to: "nowhere",
            message: "store.address",
        },
    ];
    for case in cases {
        let text = VALID.replace(case.from, case.to);
        let err = Settings::parse("f", &text).expect_err(case.to);
        assert!(err.to_string().contains(case.message), "{err}");
    }
}
