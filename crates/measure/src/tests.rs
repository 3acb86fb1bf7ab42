//! Tests of the measures.

use crate::{
    Measures, Moved, Span, TargetLoad, Traffic, Weights, churn, imbalance, unavailable, weighted,
};

struct Case {
    name: &'static str,
    actual: f64,
    expected: f64,
}

fn check(cases: &[Case]) {
    for case in cases {
        let is_equal = if case.expected.is_infinite() {
            case.actual.is_infinite()
        } else {
            (case.actual - case.expected).abs() < 1e-12
        };
        assert!(
            is_equal,
            "{}: {} instead of {}",
            case.name, case.actual, case.expected
        );
    }
}

fn loads(pairs: &[(f64, f64)]) -> Vec<TargetLoad> {
    let new = |&(load, capacity)| TargetLoad { load, capacity };
    pairs.iter().map(new).collect()
}

// Guards against an imbalance that ignores capacity or divides by zero.
#[test]
fn imbalance_is_peak_to_mean() {
    let case = |name, pairs: &[(f64, f64)], expected| Case {
        name,
        actual: imbalance(&loads(pairs)),
        expected,
    };
    check(&[
        case("no target", &[], 0.0),
        case("no load", &[(0.0, 2.0), (0.0, 0.0)], 0.0),
        case("even", &[(3.0, 2.0), (3.0, 2.0)], 0.0),
        case("even by capacity", &[(3.0, 3.0), (1.0, 1.0)], 0.0),
        case("all on one of two", &[(4.0, 2.0), (0.0, 2.0)], 1.0),
        case("no capacity", &[(1.0, 0.0), (1.0, 2.0)], f64::INFINITY),
    ]);
}

// Guards against a churn that ignores keys, requests, cold starts or bytes.
#[test]
fn churn_counts_cold_starts_and_bytes() {
    let traffic = Traffic {
        bytes: 1_000,
        price: 2.0,
    };
    let case = |name, keys, requests, cold_ms, bytes, expected| Case {
        name,
        actual: churn(
            &[Moved {
                keys,
                requests,
                cold_ms,
                bytes,
            }],
            &traffic,
        ),
        expected,
    };
    check(&[
        case("all keys, warm", 1.0, 1.0, 0, 0, 1.0),
        case("one hot key", 0.0, 0.2, 0, 0, 0.1),
        case("rarely requested keys", 0.2, 0.0, 0, 0, 0.1),
        case("cold start", 0.1, 0.1, 500, 0, 0.15),
        case("another region", 0.1, 0.1, 500, 100, 0.35),
    ]);
}

// Guards against a negative zero in reports.
#[test]
fn no_spans_give_positive_zero() {
    assert!(unavailable(&[]).is_sign_positive());
}

// Guards against a weighted sum that is dominated by one measure because of its unit.
#[test]
fn references_sum_to_one() {
    let weights = Weights {
        churn: 0.6,
        imbalance: 0.1,
        unavailable: 0.3,
    };
    let outage = Span {
        share: 1.0 / 24.0,
        seconds: 2.0,
    };
    let measures = Measures {
        churn: 1.0 / 24.0,
        imbalance: 0.15,
        unavailable: unavailable(&[outage]),
    };
    check(&[
        Case {
            name: "references",
            actual: weighted(&weights, &measures),
            expected: 1.0,
        },
        Case {
            name: "nothing",
            actual: weighted(&weights, &Measures::default()),
            expected: 0.0,
        },
    ]);
}
