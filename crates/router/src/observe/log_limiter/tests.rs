use super::*;

/// Guards against a log that grows with the load, and against lines that are suppressed without
/// being counted.
#[test]
fn lines_are_bounded_and_counted() {
    for kind in LineKind::ALL {
        let rate = kind.rate();
        let limiter = LogLimiter::new(0);
        let (mut written, mut suppressed) = (0, 0);
        let seconds = 20;
        for now in 0..seconds * 1_000 {
            // Three lines a millisecond.
            for _ in 0..3 {
                if let Some(before) = limiter.take(kind, now) {
                    written += 1;
                    suppressed += before;
                }
            }
        }
        let most = rate.burst + seconds * 1_000 / rate.every_ms;
        assert!(written <= most, "{kind:?}: {written} of at most {most}");
        assert!(written + 1 >= most, "{kind:?}: {written} of {most}");
        let later = seconds * 1_000 + rate.every_ms;
        let last = limiter.take(kind, later).expect("the bucket was refilled");
        assert_eq!(written + suppressed + last, seconds * 3_000, "{kind:?}");
    }
}
