//! Guards against large answers that block small ones, and against a budget that is never refilled
//! or is refilled twice for the same time.

use super::*;

const RATE_BYTES_PER_S: u64 = 100_000;
const CAPACITY_BYTES: u64 = RATE_BYTES_PER_S / 2;
const LARGE_BYTES: u64 = 200_000;

struct Case {
    name: &'static str,
    charged: u64,
    /// When the request is made; the bytes are charged at 1,000 ms.
    at: Millis,
    small: Crossing,
    large: Crossing,
}

fn check(case: &Case) {
    let link = LinkBudget::new();
    link.charge(1_000, RATE_BYTES_PER_S, case.charged);
    let small = link.request(case.at, RATE_BYTES_PER_S, 1_000);
    let large = link.request(case.at, RATE_BYTES_PER_S, LARGE_BYTES);
    assert_eq!((small, large), (case.small, case.large), "{}", case.name);
}

#[test]
fn small_answers_pass_while_large_ones_are_refused() {
    use Crossing::{Allowed, Refused};
    let case = |name, charged, at, small, large| Case {
        name,
        charged,
        at,
        small,
        large,
    };
    for it in [
        case("unused", 0, 1_000, Allowed, Allowed),
        case(
            "little left",
            CAPACITY_BYTES * 85 / 100,
            1_000,
            Allowed,
            Refused,
        ),
        case("used up", CAPACITY_BYTES, 1_000, Refused, Refused),
        case("partly refilled", CAPACITY_BYTES, 1_050, Allowed, Refused),
        case("refilled", CAPACITY_BYTES, 1_500, Allowed, Allowed),
        case("older clock value", CAPACITY_BYTES, 500, Refused, Refused),
    ] {
        check(&it);
    }
}

/// Guards against a second refill for the same time, when two tasks read the clock and then take
/// the lock in the opposite order.
#[test]
fn older_clock_values_refill_nothing() {
    let link = LinkBudget::new();
    link.charge(1_000, RATE_BYTES_PER_S, CAPACITY_BYTES);
    link.charge(500, RATE_BYTES_PER_S, 0);
    assert_eq!(link.request(1_000, RATE_BYTES_PER_S, 1), Crossing::Refused);
}
