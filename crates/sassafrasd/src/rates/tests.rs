//! Guards against loads that are lost, counted twice or taken from a single round when slices are
//! split or merged and when a key gets more requests. The planner would move slices for them.

use super::*;

struct Case {
    name: &'static str,
    bounds: &'static [(u64, u64)],
    /// Expected loads by lowest hash.
    loads: &'static [(u64, f64)],
}

const BEFORE: [(u64, u64); 2] = [(0, 99), (100, 199)];

/// In the first round, both slices have 100 requests a second, and 60 of those to the lower slice
/// are for key 50. In the second round, only key 150 is measured.
fn check(case: &Case) {
    let mut rates = SmoothedRates::default();
    let requests_per_s = 100.0;
    let (remote, bytes) = (0.0, 0);
    let mut slices = HashMap::from(BEFORE.map(|(low, _)| {
        let rate = SliceRate {
            requests_per_s,
            remote,
            bytes,
        };
        (low, rate)
    }));
    let mut keys = vec![HotKey {
        hash: 50,
        load: 60.0,
    }];
    rates.smooth(BEFORE.into(), &mut slices, &mut keys);

    slices.clear();
    keys = vec![HotKey {
        hash: 150,
        load: 50.0,
    }];
    let bounds = case.bounds.iter().copied().collect();
    rates.smooth(bounds, &mut slices, &mut keys);
    let rounded = |load: f64| (load * 1_000.0).round() / 1_000.0;
    let found = slices
        .iter()
        .map(|(low, it)| (*low, rounded(it.requests_per_s)));
    let mut found: Vec<_> = found.collect();
    found.sort_by_key(|it| it.0);
    assert_eq!(found, case.loads, "{}", case.name);
    keys.sort_by_key(|it| it.hash);
    let keys: Vec<_> = keys.iter().map(|it| (it.hash, it.load)).collect();
    assert_eq!(keys, [(50, 48.0), (150, 10.0)], "{}", case.name);
}

#[test]
fn changed_slices_keep_their_load() {
    let case = |name, bounds, loads| Case {
        name,
        bounds,
        loads,
    };
    let cases = [
        case("unchanged", &BEFORE, &[(0, 80.0), (100, 80.0)]),
        case(
            "halved",
            &[(0, 99), (100, 149), (150, 199)],
            &[(0, 80.0), (100, 40.0), (150, 40.0)],
        ),
        case(
            "key split out",
            &[(0, 49), (50, 50), (51, 99), (100, 199)],
            &[(0, 16.0), (50, 48.32), (51, 15.68), (100, 80.0)],
        ),
        case("merged", &[(0, 199)], &[(0, 160.0)]),
    ];
    for case in &cases {
        check(case);
    }
}
