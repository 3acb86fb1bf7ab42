//! Which refusals are worth another attempt.

use refusal::{Ran, Reason};

/// Retries of a request that did not run.
const MAX_RETRIES: u32 = 3;
/// Retries of an idempotent request that may have run. A second loss of the same request points
/// to the request rather than to the target.
const MAX_RERUNS: u32 = 1;
/// Remaining time below which a retry cannot be answered: two hops within a region (1 ms one way
/// each, forth and back) and the shortest backoff.
const MIN_REMAINING_MS: u64 = 5;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Idempotency {
    /// Running it again does no harm.
    Idempotent,
    /// It must run at most once.
    NonIdempotent,
}

/// Where the next attempt would go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryScope {
    /// It stays within the region.
    SameRegion,
    /// It crosses the paid link between regions.
    CrossRegion,
}

/// A refused attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempt {
    /// Why it was refused.
    pub reason: Reason,
    /// What the refusal says about execution; this can differ from the reason's usual promise.
    pub ran: Ran,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Number of the attempt; the first is 0.
    pub attempt: u32,
    /// Milliseconds left until the deadline.
    pub remaining_ms: u64,
    /// Where the next attempt would go.
    pub scope: RetryScope,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again, if the [`RetryBudget`](crate::RetryBudget) allows it.
    Retry,
    /// Answer the caller with the refusal.
    GiveUp,
}

/// Decides whether a refused attempt is tried again. A request that may have run is tried again
/// only if it is idempotent, and nothing is retried over the link between regions.
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

/// Whether another attempt can help. Refusals by a busy queue are not retried, because attempts
/// would add to the overload (`queue_full`, `caller_share`, `deadline_before_start`).
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
