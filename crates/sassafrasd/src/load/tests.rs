//! Guards against hottest keys that are not reported to the planner, and against counters that
//! grow with the number of keys.

use super::*;

#[test]
fn hottest_keys_are_found_among_many() {
    let mut load = LoadCounters::new();
    for round in 0..2_000_u64 {
        for hot in 0..4 {
            load.count(0, hot, Origin::Local);
        }
        // Each of these keys is requested once.
        load.count(0, 1_000 + round, Origin::Remote);
    }
    assert!(load.keys.len() <= MAX_TRACKED_KEYS);
    let (slices, keys) = load.take(&Arc::from("archive"));
    let mut hottest: Vec<u64> = keys.iter().take(4).map(|it| it.hash).collect();
    hottest.sort_unstable();
    assert_eq!(hottest, [0, 1, 2, 3]);
    assert!(keys.iter().take(4).all(|it| it.requests >= 2_000));
    assert_eq!(keys.len(), MAX_REPORTED_KEYS);
    assert_eq!((slices[0].requests, slices[0].remote), (10_000, 2_000));
    assert!(load.take(&Arc::from("archive")).1.is_empty());
}
