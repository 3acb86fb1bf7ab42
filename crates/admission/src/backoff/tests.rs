use super::*;

/// Guards against delays beyond the cap, and against a shift that overflows after many attempts.
#[test]
fn delays_stay_within_their_bound() {
    let backoff = Backoff::new(10, 1_000);
    let cases = [
        (0, 10),
        (1, 20),
        (3, 80),
        (6, 640),
        (7, 1_000),
        (63, 1_000),
        (64, 1_000),
    ];
    for (attempt, bound) in cases {
        assert_eq!(backoff.max_delay_ms(attempt), bound, "attempt {attempt}");
        assert_eq!(backoff.delay_ms(attempt, bound), bound);
        assert_eq!(
            backoff.delay_ms(attempt, bound + 1),
            0,
            "the jitter is full"
        );
        assert!(backoff.delay_ms(attempt, u64::MAX) <= bound);
    }
    assert_eq!(Backoff::new(1, u64::MAX).delay_ms(64, u64::MAX), u64::MAX);
}
