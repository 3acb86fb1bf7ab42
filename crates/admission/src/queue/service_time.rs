//! Estimated service time of a target.

/// Weight of the earlier estimate, out of [`TOTAL_WEIGHT`]. The estimate follows a change within
/// about 32 answers. With 15 of 16, the noise of the estimate alone costs 0.8 percent of the
/// goodput at short deadlines.
const PAST_WEIGHT: u64 = 31;
/// Sum of the weights of the earlier estimate and a new sample.
const TOTAL_WEIGHT: u64 = 32;
/// Mean deviations that are added to the mean for the high estimate. The result is the 99th
/// percentile of exponentially distributed service times, since 99 percent of the started requests
/// must meet their deadline. With 6, another 1.8 percent of the goodput is lost.
const DEVIATIONS: u64 = 5;
/// Largest part of a request's budget that is reserved for its service. With 90 percent, more
/// requests are late when the deadline is 5 mean service times, for the same goodput.
const MAX_SERVICE_PERCENT: u64 = 95;

/// Exponential moving averages of the service time and of its absolute deviation from the mean.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    mean_us: u64,
    deviation_us: u64,
    has_samples: bool,
}

impl ServiceTime {
    pub(super) fn on_answer(&mut self, took_ms: u64) {
        let sample_us = took_ms * 1_000;
        if !self.has_samples {
            self.has_samples = true;
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2;
            return;
        }
        let sample_deviation_us = sample_us.abs_diff(self.mean_us);
        self.mean_us = (self.mean_us * PAST_WEIGHT + sample_us) / TOTAL_WEIGHT;
        self.deviation_us = (self.deviation_us * PAST_WEIGHT + sample_deviation_us) / TOTAL_WEIGHT;
    }

    /// Records a request that ended without an answer after `took_ms`. An answer would have come
    /// later, so the request counts only if this is above the high estimate.
    pub(super) fn on_censored(&mut self, took_ms: u64) {
        if took_ms > self.high_estimate_ms() {
            self.on_answer(took_ms);
        }
    }

    pub(super) fn has_samples(&self) -> bool {
        self.has_samples
    }

    pub(super) fn mean_us(&self) -> u64 {
        self.mean_us
    }

    pub(super) fn deviation_us(&self) -> u64 {
        self.deviation_us
    }

    /// High estimate of the service time, about its 99th percentile.
    pub(super) fn high_estimate_ms(&self) -> u64 {
        self.estimate_ms(DEVIATIONS)
    }

    /// Time that must be left at the start of a request whose whole budget is `budget_ms`. If the
    /// budget is too short for the high estimate, [`MAX_SERVICE_PERCENT`] of it is enough (or the
    /// mean, if that is longer), since otherwise all such requests would be refused.
    pub(super) fn needed_ms(&self, budget_ms: u64) -> u64 {
        self.needed_with_ms(budget_ms, DEVIATIONS)
    }

    /// Like [`needed_ms`](Self::needed_ms), with another number of mean deviations.
    pub(super) fn needed_with_ms(&self, budget_ms: u64, deviations: u64) -> u64 {
        let mean_ms = self.mean_us.div_ceil(1_000);
        let max_ms = budget_ms.saturating_mul(MAX_SERVICE_PERCENT) / 100;
        self.estimate_ms(deviations).min(mean_ms.max(max_ms))
    }

    fn estimate_ms(&self, deviations: u64) -> u64 {
        (self.mean_us + deviations * self.deviation_us).div_ceil(1_000)
    }
}
