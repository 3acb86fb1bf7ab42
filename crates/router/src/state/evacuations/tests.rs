use super::*;

const EVACUATION_MS: Millis = 5_000;

fn news(number: u64, active: bool, age_ms: Millis) -> Evacuation {
    Evacuation {
        place: "kita".into(),
        rev: rev(number),
        active,
        age_ms,
    }
}

fn rev(number: u64) -> Revision {
    Revision {
        generation: 0,
        number,
    }
}

/// Guards against requests that are sent to an evacuated data centre after the bound, which counts
/// from the store's acknowledgement and not from the arrival of the news.
#[test]
fn the_bound_counts_from_the_acknowledgement() {
    struct Case {
        name: &'static str,
        age_ms: Millis,
        now: Millis,
        access: Access,
    }
    let learned = 20_000;
    let cases = [
        Case {
            name: "at once",
            age_ms: 0,
            now: learned,
            access: Access::Ending,
        },
        Case {
            name: "just before the bound",
            age_ms: 0,
            now: learned + EVACUATION_MS - SEND_MARGIN_MS - 1,
            access: Access::Ending,
        },
        Case {
            name: "at the bound",
            age_ms: 0,
            now: learned + EVACUATION_MS - SEND_MARGIN_MS,
            access: Access::Closed,
        },
        Case {
            name: "late news",
            age_ms: 4_800,
            now: learned,
            access: Access::Closed,
        },
    ];
    for case in cases {
        let mut evacuations = Evacuations::default();
        assert!(evacuations.apply(&news(3, true, case.age_ms), learned));
        let access = evacuations.access("kita", case.now, EVACUATION_MS);
        assert_eq!(access, case.access, "{}", case.name);
        let other = evacuations.access("minami", case.now, EVACUATION_MS);
        assert_eq!(other, Access::Open, "{}", case.name);
    }
}

/// Guards against old news that undoes a newer evacuation or return, as from a host that was cut off.
#[test]
fn older_news_changes_nothing() {
    let mut evacuations = Evacuations::default();
    assert!(
        !evacuations.apply(&news(1, false, 0), 10),
        "never evacuated"
    );
    assert!(evacuations.apply(&news(3, true, 0), 100));
    assert!(!evacuations.apply(&news(2, false, 0), 200));
    assert!(evacuations.is_active("kita"));
    assert!(!evacuations.apply(&news(4, true, 0), 300), "written again");
    let closed_from = evacuations.closed_from("kita", EVACUATION_MS);
    assert_eq!(closed_from, Some(100 + EVACUATION_MS - SEND_MARGIN_MS));
    assert!(evacuations.apply(&news(5, false, 0), 400));
    assert!(!evacuations.apply(&news(3, true, 0), 500));
    assert_eq!(evacuations.returned_at("kita"), Some(400));
    assert_eq!(evacuations.closed_from("kita", EVACUATION_MS), None);
}

/// Guards against a data centre that stays evacuated for ever on a host that has missed its return.
#[test]
fn a_complete_list_ends_what_it_lacks() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply(&news(3, true, 0), 100));
    assert!(
        evacuations
            .missing_from(&["kita".into()], rev(9))
            .is_empty()
    );
    assert!(evacuations.missing_from(&[], rev(3)).is_empty());
    assert_eq!(evacuations.missing_from(&[], rev(9)), ["kita".into()]);
}
