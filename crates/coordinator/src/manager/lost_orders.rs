//! How many orders get no answer.

use crate::Millis;

/// Time constant in milliseconds.
const TAU_MS: f64 = 3_000.0;

/// Answered orders that count in advance, so that a single lost one is not taken for a pattern.
const PRIOR: f64 = 5.0;

/// Fading counts of orders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LostOrders {
    lost: f64,
    all: f64,
    at: Millis,
}

impl LostOrders {
    pub(super) fn note(&mut self, now: Millis, lost: bool) {
        let kept = self.kept(now);
        self.lost = self.lost * kept + f64::from(u8::from(lost));
        self.all = self.all * kept + 1.0;
        self.at = now;
    }

    /// Part of the orders that got no answer, from 0 to 1.
    pub(super) fn part(&self, now: Millis) -> f64 {
        let kept = self.kept(now);
        self.lost * kept / (self.all * kept + PRIOR)
    }

    #[expect(clippy::cast_precision_loss, reason = "far below 2^52 ms")]
    fn kept(&self, now: Millis) -> f64 {
        (-(now.saturating_sub(self.at) as f64) / TAU_MS).exp()
    }
}
