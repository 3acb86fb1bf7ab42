use super::*;

/// Guards against allowance that is saved up in quiet times and spent within one window, so that
/// all hosts together repeat more requests than the stated ratio.
#[test]
fn saved_allowance_stays_within_the_ratio() {
    /// Requests a second of one host.
    const RATE: u64 = 20;
    const WINDOW_MS: u64 = 10_000;
    let budgets = Budgets::new(0.2, 10.0);
    let service = Arc::from("archive");
    let mut repeated = 0;
    for now in (0..40_000).step_by(1_000 / 20) {
        budgets.on_request(&service, now);
        let burst = (20_000..20_000 + WINDOW_MS).contains(&now);
        while burst && budgets.try_retry(&service, now) == RetryVerdict::Allowed {
            repeated += 1;
        }
    }
    let allowed = RATE * WINDOW_MS / 1_000 / 5;
    assert!(repeated <= allowed, "{repeated} of {allowed} in a window");
    assert!(repeated * 4 >= allowed * 3, "{repeated} of {allowed}");
}
