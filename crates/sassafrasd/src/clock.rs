//! The monotonic clock of the process.

use std::time::{Duration, Instant};

/// A time of the process's monotonic clock in milliseconds.
pub type Millis = u64;

/// Measures the time since the process started. `CLOCK_MONOTONIC` goes on while a process is
/// paused, so that a resumed process sees that a lease has expired in the meantime.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The time left until `deadline`; zero if it has passed.
    pub fn until(&self, deadline: Millis) -> Duration {
        Duration::from_millis(deadline.saturating_sub(self.now()))
    }
}
