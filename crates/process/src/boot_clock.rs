//! The clock for leases.

use rustix::time::{ClockId, clock_gettime};

/// A clock in milliseconds that also counts the time for which the host is suspended. The monotonic
/// clock stops during a suspension, so that a lease that expired meanwhile would seem to be in
/// force.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start_ms: u64,
}

impl BootClock {
    /// Creates a clock that starts at 0.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start_ms: read_ms(),
        }
    }

    /// Milliseconds since the clock was created.
    #[must_use]
    pub fn now(&self) -> u64 {
        read_ms().saturating_sub(self.start_ms)
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

fn read_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds * 1_000 + nanos / 1_000_000
}
