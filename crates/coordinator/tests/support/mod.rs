//! Values that several tests share.

use coordinator::GrantTiming;

/// The durations of the users' deployments.
pub const TIMING: GrantTiming = GrantTiming {
    hold_ms: 3_000,
    max_hold_ms: 10_000,
    renew_ms: 1_000,
    retry_ms: 300,
    timeout_ms: 250,
    unread_ms: 7_000,
    drift_percent: 2,
};
