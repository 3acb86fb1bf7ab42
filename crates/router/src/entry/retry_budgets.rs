//! Retry budgets, one for each service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use admission::{RetryBudget, RetryVerdict};
use coordinator::Millis;

/// Fraction of the configured retry ratio that each host uses, so that all hosts together stay
/// within the ratio although requests are not spread evenly.
const HOST_RATIO_FRACTION: f64 = 0.75;

/// Retry budgets, one for each service.
pub struct RetryBudgets {
    /// Retries that this host allows for every 100 requests.
    percent: u32,
    /// Time after which unused budget expires.
    saved_window_ms: Millis,
    services: Mutex<HashMap<Arc<str>, RetryBudget>>,
}

impl RetryBudgets {
    /// Creates budgets that allow `ratio` retries for each request in any window of `window`
    /// seconds.
    ///
    /// Budget that was saved before a window can be spent in it in addition to what is earned
    /// within it, so unused budget expires after the fraction of a window for which both together
    /// stay within the ratio.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings bound the ratio and the window"
    )]
    pub fn new(ratio: f64, window: f64) -> Self {
        Self {
            percent: (ratio * HOST_RATIO_FRACTION * 100.0).clamp(0.0, 1_000.0) as u32,
            saved_window_ms: (window * 1_000.0 * (1.0 / HOST_RATIO_FRACTION - 1.0)) as Millis,
            services: Mutex::default(),
        }
    }

    /// Counts a request.
    pub fn on_request(&self, service: &Arc<str>, now: Millis) {
        self.with(service, |it| it.on_request(now));
    }

    /// Asks whether a request may be retried, and counts the retry if so.
    pub fn try_retry(&self, service: &Arc<str>, now: Millis) -> RetryVerdict {
        self.with(service, |it| it.try_retry(now))
    }

    fn with<T>(&self, service: &Arc<str>, use_budget: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut services = self.services.lock().expect("lock is not poisoned");
        let budget = services
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(self.percent).with_window(self.saved_window_ms));
        use_budget(budget)
    }
}

#[cfg(test)]
mod tests;
