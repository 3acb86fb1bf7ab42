use super::*;

/// Guards against budget that is saved while there are few retries and then spent within one
/// window, so that all hosts together exceed the configured retry ratio.
#[test]
fn saved_budget_stays_within_the_ratio() {
    /// Requests a second of one host.
    const REQUESTS_PER_S: u64 = 20;
    const WINDOW_MS: u64 = 10_000;
    let budgets = RetryBudgets::new(0.2, 10.0);
    let service = Arc::from("archive");
    let mut retries = 0;
    for now in (0..40_000).step_by(1_000 / 20) {
        budgets.on_request(&service, now);
        let burst = (20_000..20_000 + WINDOW_MS).contains(&now);
        while burst && budgets.try_retry(&service, now) == RetryVerdict::Allowed {
            retries += 1;
        }
    }
    let allowed = REQUESTS_PER_S * WINDOW_MS / 1_000 / 5;
    assert!(retries <= allowed, "{retries} of {allowed} in a window");
    assert!(retries * 4 >= allowed * 3, "{retries} of {allowed}");
}
