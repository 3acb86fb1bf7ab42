//! The fraction of orders that get no answer.

use crate::Millis;

/// Time constant of the exponential decay.
const DECAY_TAU_MS: f64 = 3_000.0;

/// Answered orders that are assumed in advance, so that a single lost order does not make a high
/// ratio.
const PRIOR_ORDERS: f64 = 5.0;

/// Exponentially decaying counts of orders.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LostOrders {
    lost: f64,
    total: f64,
    updated_at: Millis,
}

impl LostOrders {
    pub(super) fn record(&mut self, now: Millis, lost: bool) {
        let remaining = self.decay(now);
        self.lost = self.lost * remaining + f64::from(u8::from(lost));
        self.total = self.total * remaining + 1.0;
        self.updated_at = now;
    }

    /// Returns the fraction of orders that got no answer, from 0 to 1.
    pub(super) fn ratio(&self, now: Millis) -> f64 {
        let remaining = self.decay(now);
        self.lost * remaining / (self.total * remaining + PRIOR_ORDERS)
    }

    #[expect(clippy::cast_precision_loss, reason = "ages are far below 2^52 ms")]
    fn decay(&self, now: Millis) -> f64 {
        (-(now.saturating_sub(self.updated_at) as f64) / DECAY_TAU_MS).exp()
    }
}
