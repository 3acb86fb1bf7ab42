//! The clock for leases.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since the start of the process, the time for which the host was suspended
/// included. The monotonic clock stands still meanwhile, so that a lease that ended during a
/// suspension would seem to be in force.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: u64,
}

impl BootClock {
    /// Creates a clock that starts at 0.
    #[must_use]
    pub fn new() -> Self {
        Self { start: read() }
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now(&self) -> u64 {
        read().saturating_sub(self.start)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

fn read() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}
