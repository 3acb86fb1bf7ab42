use proptest::prelude::*;

use super::*;

proptest! {
    /// Guards against retries that multiply the load during an outage: every request fails and
    /// is retried as often as the budget allows, at any rate and for any time.
    #[test]
    fn attempts_stay_within_the_budget(
        gaps in prop::collection::vec(0..3_000_u64, 20..800),
        percent in 1..30_u32,
    ) {
        let mut budget = RetryBudget::new(percent);
        let mut now = 0;
        let mut retries = 0;
        for (requests, gap) in (1..).zip(gaps) {
            now += gap;
            budget.on_request(now);
            while budget.try_retry(now) == RetryVerdict::Allowed {
                retries += 1;
            }
            let earned = u64::from(percent) * requests / 100;
            prop_assert!(retries <= earned.max(MIN_RETRIES));
        }
    }
}

struct Case {
    name: &'static str,
    percent: u32,
    requests: u64,
    gap_ms: u64,
    expected: u64,
}

impl Case {
    fn check(self) {
        let mut budget = RetryBudget::new(self.percent);
        for request in 0..self.requests {
            budget.on_request(request * self.gap_ms);
        }
        let now = self.requests.saturating_sub(1) * self.gap_ms;
        let mut retries = 0;
        while budget.try_retry(now) == RetryVerdict::Allowed {
            retries += 1;
        }
        assert_eq!(retries, self.expected, "{}", self.name);
    }
}

/// Guards against a budget that allows a quiet service no retry at all, or that keeps unused
/// allowance for longer than the window.
#[test]
fn allowance_follows_the_window() {
    let case = |name, percent, requests, gap_ms, expected| Case {
        name,
        percent,
        requests,
        gap_ms,
        expected,
    };
    let cases = [
        case("the minimum before the first request", 10, 0, 0, 2),
        case("the minimum covers the first 20 requests", 10, 20, 1, 2),
        case("10 percent of more requests", 10, 100, 1, 10),
        case("only the window counts", 10, 1_000, 100, 10),
        case("a quiet service keeps the minimum", 10, 100, 20_000, 2),
        case("0 percent has no minimum", 0, 100, 1, 0),
    ];
    cases.into_iter().for_each(Case::check);
}
