use super::*;

const REFUSED: Refused = Refused {
    drained_us: 300_000,
    work_us: 200_000,
    slots: 4_000,
    arriving: 0,
    longest_ms: 1_000,
};

/// Guards against callers that are refused together, return together and are refused again, and
/// against an invitation at a time at which there is no room.
#[test]
fn places() {
    struct Case {
        name: &'static str,
        refused: Refused,
        told: &'static [u64],
    }
    let cases = [
        Case {
            name: "burst: one after another, as slots become free",
            refused: REFUSED,
            told: &[300, 350, 400, 450],
        },
        Case {
            name: "arrivals take half of the slots",
            refused: Refused {
                arriving: 2_000,
                ..REFUSED
            },
            told: &[300, 400, 500],
        },
        Case {
            name: "overload: a quarter of the slots, then the longest useful time",
            refused: Refused {
                arriving: 9_000,
                ..REFUSED
            },
            told: &[300, 500, 700, 900, 1_000, 1_000],
        },
        Case {
            name: "the deadline is too near for the first place",
            refused: Refused {
                longest_ms: 200,
                ..REFUSED
            },
            told: &[200, 200],
        },
        Case {
            name: "a free slot is left to those that are there",
            refused: Refused {
                drained_us: 0,
                ..REFUSED
            },
            told: &[20, 50],
        },
        Case {
            name: "no slot at all",
            refused: Refused {
                slots: 0,
                ..REFUSED
            },
            told: &[300, 1_000],
        },
    ];
    for Case {
        name,
        refused,
        told,
    } in cases
    {
        let mut returns = Returns::default();
        for told in told {
            assert_eq!(returns.invite(7, refused), *told, "{name}");
        }
    }
}

/// Guards against places that are still kept after their time, or that grow without bound.
#[test]
fn places_end() {
    let mut returns = Returns::default();
    for _ in 0..1_000 {
        assert!(returns.invite(0, REFUSED) <= REFUSED.longest_ms);
    }
    let later = Refused {
        drained_us: 50_000,
        ..REFUSED
    };
    assert_eq!(returns.invite(1_100, later), 50);
}
