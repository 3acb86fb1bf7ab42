//! Which requests a stopping host still takes.

use std::time::Duration;

use coordinator::Millis;

use crate::gateway::GatewayRequest;

/// Longest time for which a stopping host still accepts new connections, because the platform's
/// load balancer probes each second and removes a host after two failed probes.
const MAX_NOTICE_MS: u64 = 2_500;

/// Percentage of the grace period after which the process ends by itself.
const EXIT_PERCENT: f64 = 95.0;

/// Time before the end of the process at which the last answers are sent.
const ANSWER_MARGIN_MS: u64 = 100;

/// Latency objectives that must be left for a request which might outlast the grace period.
const SPARE_OBJECTIVES: u64 = 2;

/// The grace period of a host that was asked to stop, in times of its clock.
#[derive(Clone, Copy, Debug)]
pub struct GracePeriod {
    notice_end: Millis,
    answers_end: Millis,
    exit: Millis,
}

impl GracePeriod {
    /// Creates the grace period of `grace` seconds that began at `began`.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings bound the period to 3600 s"
    )]
    pub fn new(began: Millis, grace: f64) -> Self {
        let exit_ms = (grace * 1_000.0 * EXIT_PERCENT / 100.0) as u64;
        Self {
            notice_end: began + MAX_NOTICE_MS.min(exit_ms / 2),
            answers_end: began + exit_ms.saturating_sub(ANSWER_MARGIN_MS),
            exit: began + exit_ms,
        }
    }

    /// Whether a request of a caller that has arrived completely at `now` is taken. The others are
    /// refused, because another host can answer them.
    ///
    /// After the load balancer had time to notice the stop, only requests that must be answered
    /// within the grace period are taken. Before that, so many of them arrive that a request which
    /// is merely likely to be answered in time is taken, too.
    #[must_use]
    pub fn admits(&self, now: Millis, request: &GatewayRequest) -> bool {
        let objective_ms = request.objective.saturating_sub(now);
        let expected_end = now + SPARE_OBJECTIVES * objective_ms;
        self.admits_forwarded(request) || now < self.notice_end && expected_end <= self.answers_end
    }

    /// Whether a request that another host has forwarded is taken. The others are sent to the next
    /// gateway at no cost but the way.
    #[must_use]
    pub fn admits_forwarded(&self, request: &GatewayRequest) -> bool {
        request.end <= self.answers_end
    }

    /// When the last answers are sent.
    #[must_use]
    pub fn answers_end(&self) -> Millis {
        self.answers_end
    }

    /// How long new connections are still accepted.
    #[must_use]
    pub fn notice_left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.notice_end.saturating_sub(now))
    }

    /// How long answers may still be sent.
    #[must_use]
    pub fn answers_left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.answers_end.saturating_sub(now))
    }

    /// How long the process may still run.
    #[must_use]
    pub fn run_left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.exit.saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
