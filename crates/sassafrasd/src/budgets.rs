//! Retry budgets of one service on one host.

use admission::{RetryBudget, RetryVerdict};

use crate::clock::Millis;

/// Share of requests that may be sent to a target again, in percent. The entry host and the
/// gateway each have such a budget, and 1.04 × 1.04 stays below the limit of 1.1 attempts for each
/// request.
const TARGET_RETRY_PERCENT: u32 = 4;

/// Share of requests that may be forwarded again after the connection to a gateway was lost, in
/// percent. The budget is separate, because such a loss does not show a fault of the target, and
/// all requests in flight on the connection fail together.
const HOP_RETRY_PERCENT: u32 = 10;

/// Where an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailurePoint {
    /// At the target.
    Target,
    /// On the way to the gateway.
    Hop,
}

/// The retry budgets of one service.
#[derive(Debug)]
pub struct Budgets {
    target: RetryBudget,
    hop: RetryBudget,
}

impl Budgets {
    /// Counts the first attempt of a request, which earns retries.
    pub fn on_request(&mut self, now: Millis) {
        self.target.on_request(now);
        self.hop.on_request(now);
    }

    /// Spends budget for one more attempt if there is any.
    pub fn try_retry(&mut self, now: Millis, failed_at: FailurePoint) -> RetryVerdict {
        match failed_at {
            FailurePoint::Target => self.target.try_retry(now),
            FailurePoint::Hop => self.hop.try_retry(now),
        }
    }
}

impl Default for Budgets {
    fn default() -> Self {
        Self {
            target: RetryBudget::new(TARGET_RETRY_PERCENT),
            hop: RetryBudget::new(HOP_RETRY_PERCENT),
        }
    }
}
