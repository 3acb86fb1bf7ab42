use super::*;

const HOUR_MS: Millis = 3_600_000;
const DAY_MS: Millis = 24 * HOUR_MS;

/// Guards against a claim that is deleted too early: by a host that has just taken over and whose
/// clock has any value, because of time between two hosts, or because of a clock that is 2% fast.
#[test]
fn ages_are_never_too_high() {
    for start in [0, 7, u64::MAX / 2] {
        let mut ages = ClaimAges::new(start, Vec::new());
        ages.mark(start, 10, DAY_MS);
        ages.mark(start + 1, 11, DAY_MS);
        assert_eq!(ages.marks(start + 1).count(), 1, "too close together");
        ages.mark(start + HOUR_MS, 20, DAY_MS);
        assert_eq!(ages.older_than(start + DAY_MS, DAY_MS), None, "drift");
        let due = start + DAY_MS + DAY_MS / 50;
        assert_eq!(ages.older_than(due, DAY_MS), Some(10));
        let passed_on: Vec<_> = ages.marks(due - HOUR_MS).copied().collect();
        assert_eq!(passed_on[0].rev, 10);

        for takeover in [0, start, u64::MAX / 2 + 5] {
            let marks = vec![Mark {
                rev: 10,
                age_ms: DAY_MS,
            }];
            let mut next = ClaimAges::new(takeover, marks);
            assert_eq!(next.older_than(takeover, DAY_MS), None);
            assert_eq!(next.older_than(0, DAY_MS), None, "a clock that steps back");
            let due = takeover + DAY_MS / 50;
            assert_eq!(next.older_than(due - 1, DAY_MS), None);
            assert_eq!(next.older_than(due, DAY_MS), Some(10));
        }
    }
}

/// Guards against an unbounded number of marks, and against marks that are dropped before they are
/// old enough to be used.
#[test]
fn marks_are_bounded() {
    let mut ages = ClaimAges::new(0, Vec::new());
    let longest = 30 * DAY_MS;
    for minute in 0..60 * 24 * 60 {
        let now = minute * 60_000;
        ages.mark(now, minute + 1, longest);
        assert!(ages.marks(now).count() <= 100);
        let oldest = ages.older_than(now, DAY_MS);
        assert_eq!(oldest.is_some(), now >= DAY_MS + DAY_MS / 50, "{minute}");
    }
}
