//! Decides which refused attempts are retried.

use refusal::{Ran, Reason};

/// Retries of a request that did not run.
const MAX_RETRIES: u32 = 3;
/// Retries of an idempotent request that may have run. If the target is lost a second time with the
/// same request, the request is more likely the cause than the target.
const MAX_RERUNS: u32 = 1;
/// Remaining time below which a retry cannot be answered in time: the round trips of two hops
/// within a region (1 ms one way each) and the shortest backoff.
const MIN_REMAINING_MS: u64 = 5;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// The request may safely run more than once.
    Idempotent,
    /// The request must run at most once.
    NonIdempotent,
}

/// Whether the next attempt would leave the region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryScope {
    /// The next attempt stays within the region.
    SameRegion,
    /// The next attempt crosses the paid link between regions.
    CrossRegion,
}

/// A refused attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Why it was refused.
    pub reason: Reason,
    /// Whether the request ran, as the refusal states; this can differ from the reason's default.
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of the attempt; the first is 0.
    pub attempt: u32,
    /// Milliseconds left until the deadline.
    pub remaining_ms: u64,
    /// Whether the next attempt would leave the region.
    pub scope: RetryScope,
}

/// Whether a refused attempt is retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry, if the [`RetryBudget`](crate::RetryBudget) allows it.
    Retry,
    /// Send the refusal to the caller.
    GiveUp,
}

/// Decides whether a refused attempt is retried. A request that may have run is retried only if it
/// is idempotent, and nothing is retried over the link between regions.
#[must_use]
pub fn retry_decision(attempt: Attempt) -> RetryDecision {
    let limit = match (attempt.ran, attempt.idempotency) {
        (Ran::NotRun, _) => MAX_RETRIES,
        (Ran::Unknown, Idempotency::Idempotent) => MAX_RERUNS,
        (Ran::Unknown, Idempotency::NonIdempotent) => return RetryDecision::GiveUp,
    };
    if attempt.scope == RetryScope::CrossRegion
        || attempt.attempt >= limit
        || attempt.remaining_ms < MIN_REMAINING_MS
    {
        return RetryDecision::GiveUp;
    }
    if is_retried(attempt.reason) {
        RetryDecision::Retry
    } else {
        RetryDecision::GiveUp
    }
}

/// Whether a retry after a refusal for this reason can succeed. Refusals by a busy queue
/// (`queue_full`, `caller_share`, `deadline_before_start`) are not retried, because more attempts
/// would add to the overload.
fn is_retried(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::TargetShed
            | Reason::TargetFailing
            | Reason::TargetDraining
            | Reason::TargetUnreachable
            | Reason::TargetLost
            | Reason::Fenced
            | Reason::NoOwner
            | Reason::NotGateway
            | Reason::OwnerUnreachable
            | Reason::GatewayLost
            | Reason::Stopping
    )
}

#[cfg(test)]
mod tests;
