//! Constants of the ownership protocol.

/// Milliseconds of a monotonic clock.
pub type Millis = u64;

/// Duration of a vote, in milliseconds; short enough that a lost gateway is replaced before the
/// target's grants expire.
pub const VOTE_MS: Millis = 400;
/// Interval between renewals of a vote, in milliseconds; three in a row may be lost.
pub const VOTE_RENEW_MS: Millis = 100;
/// Duration of a grant, in milliseconds; longer than the replacement of a gateway takes.
pub const GRANT_MS: Millis = 900;
/// Interval between renewals of a grant while they are answered, in milliseconds. Two in a row may
/// be lost, each for `GRANT_TIMEOUT_MS`, before the grant expires.
pub const GRANT_RENEW_MS: Millis = 400;
/// Longest wait for the answer to a message about grants, in milliseconds.
pub const GRANT_TIMEOUT_MS: Millis = 200;
/// Shortest interval between messages to a target that did not answer the last one, in
/// milliseconds.
pub const GRANT_RETRY_MS: Millis = 100;
/// Allowance for clock drift, in percent of the lease that is waited out.
pub const DRIFT_PERCENT: Millis = 2;
/// Distance between the generations that are written to the store; a gateway raises a generation
/// by one in between without a store write.
pub const GENERATION_STEP: u64 = 65_536;
/// Distance between the epochs of a forced voter list and of the list that it replaces. An epoch
/// divided by it identifies the list under which a target was claimed. A holder of the replaced
/// list's tenure, which may be cut off from the store, thus doesn't claim the target again.
pub const EPOCH_STEP: u64 = 1 << 32;
/// Number of voters of a target.
pub const VOTER_COUNT: usize = 3;
/// Milliseconds without an answer after which the holder of the tenure replaces a voter.
pub const VOTER_TIMEOUT_MS: Millis = 3_000;

/// Returns the time to wait on this clock until a lease of `lease_ms` has certainly ended on a
/// clock that runs slower.
#[must_use]
pub fn lengthen_for_drift(lease_ms: Millis) -> Millis {
    lease_ms.saturating_add(lease_ms.saturating_mul(DRIFT_PERCENT).div_ceil(100))
}

/// Returns the least time that has passed on a slower clock after `elapsed_ms` on this clock.
#[must_use]
pub fn shorten_for_drift(elapsed_ms: Millis) -> Millis {
    elapsed_ms - elapsed_ms.saturating_mul(DRIFT_PERCENT).div_ceil(100)
}

/// Returns the first generation of the next step, the next multiple of [`GENERATION_STEP`].
#[must_use]
pub fn next_generation_step(generation: u64) -> u64 {
    (generation / GENERATION_STEP + 1).saturating_mul(GENERATION_STEP)
}
