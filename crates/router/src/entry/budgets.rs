//! Budgets of repeated requests, one for each service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use admission::{RetryBudget, RetryVerdict};
use coordinator::Millis;

/// Part of the stated ratio that this host uses, so that all hosts together stay within it although
/// requests are not spread evenly.
const USED: f64 = 0.75;

/// Budgets of repeated requests, one for each service.
pub struct Budgets {
    percent: u32,
    budgets: Mutex<HashMap<Arc<str>, RetryBudget>>,
}

impl Budgets {
    /// Creates budgets of `ratio` repeated requests for each request.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings bound the ratio"
    )]
    pub fn new(ratio: f64) -> Self {
        Self {
            percent: (ratio * USED * 100.0).clamp(0.0, 1_000.0) as u32,
            budgets: Mutex::default(),
        }
    }

    /// Counts a request.
    pub fn on_request(&self, service: &Arc<str>, now: Millis) {
        self.with(service, |it| it.on_request(now));
    }

    /// Asks whether a request may be repeated, and counts that.
    pub fn try_retry(&self, service: &Arc<str>, now: Millis) -> RetryVerdict {
        self.with(service, |it| it.try_retry(now))
    }

    fn with<T>(&self, service: &Arc<str>, then: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().expect("no holder of the lock panics");
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| RetryBudget::new(self.percent));
        then(budget)
    }
}
