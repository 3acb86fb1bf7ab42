//! Number of requests that arrived lately.

use crate::Millis;

/// Length of the window in milliseconds. Routes send a single target a few requests a second, so a
/// shorter window would mostly show chance.
const WINDOW_MS: u64 = 250;

/// Sliding count of arrivals, from the counts of the current window and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Arrivals {
    window: u64,
    current: u64,
    previous: u64,
}

impl Arrivals {
    pub(super) fn on_arrival(&mut self, now: Millis) {
        let window = now / WINDOW_MS;
        if window != self.window {
            let follows = window == self.window + 1;
            self.previous = if follows { self.current } else { 0 };
            self.current = 0;
            self.window = window;
        }
        self.current += 1;
    }

    /// Slots, in thousandths, that the arrivals occupy if each takes `work_us`.
    pub(super) fn load(&self, now: Millis, work_us: u64) -> u64 {
        let window = now / WINDOW_MS;
        let (current, previous) = match window.saturating_sub(self.window) {
            0 => (self.current, self.previous),
            1 => (0, self.current),
            _ => return 0,
        };
        let counted = current * WINDOW_MS + previous * (WINDOW_MS - now % WINDOW_MS);
        counted * work_us / (WINDOW_MS * WINDOW_MS)
    }
}
