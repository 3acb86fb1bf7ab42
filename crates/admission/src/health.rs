//! Health of one target.

use crate::Millis;

/// Consecutive failures after which a target is failing. A single request that always fails does
/// not reach this number as long as other requests are answered.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Failures among the last [`WINDOW_OUTCOMES`] outcomes after which a target is failing.
const WINDOW_FAILURES: u32 = 16;
/// Number of recent outcomes in the sliding window.
const WINDOW_OUTCOMES: u32 = 20;
/// Consecutive failed probes after which a target without recent answers is half-open.
const PROBE_FAILURES: u32 = 3;
/// Time after an answer during which failed probes do not change the state.
const RECENT_ANSWER_MS: u64 = 1_000;
/// First pause of a failing target; it doubles after each failed trial request.
const FIRST_PAUSE_MS: u64 = 250;
/// Longest pause of a failing target. Keys must be served again within 2 s of a recovery.
const MAX_PAUSE_MS: u64 = 2_000;

/// How a dispatched request ended, as it counts for the [`Health`] of its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthOutcome {
    /// The target answered without a server error.
    Answered,
    /// The target shed the request. It is overloaded, not failing.
    Shed,
    /// The target broke the connection, did not answer, or answered with a server error.
    Failed,
}

/// Result of a health probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The target reports that it is healthy.
    Good,
    /// The target answered late, or not before the time-out.
    Slow,
    /// The target refused the probe or reports that it is unhealthy.
    Failed,
}

/// Whether a target takes requests, with the states of a circuit breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthState {
    /// The target takes requests up to its limits.
    Serving,
    /// The target takes no requests until the given time.
    Failing {
        /// When the pause ends and a trial request may be sent.
        until: Millis,
    },
    /// The target takes one request at a time, until one is answered.
    HalfOpen,
}

/// Circuit breaker of one target, driven by the outcomes of requests. Probes are only a hint,
/// because a target can answer probes and fail requests, and a busy one answers probes late.
#[derive(Clone, Debug)]
pub struct Health {
    state: State,
    /// The last [`WINDOW_OUTCOMES`] outcomes, one bit each; 1 is a failure.
    outcomes: u32,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive failed probes.
    failed_probes: u32,
    /// Length of the newest pause; [`FIRST_PAUSE_MS`] before the first one and after a recovery.
    pause_ms: u64,
    last_answer: Option<Millis>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Serving,
    Failing { since: Millis, until: Millis },
    HalfOpen,
}

impl Health {
    /// Creates the half-open state of a target that has not answered yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            state: State::HalfOpen,
            outcomes: 0,
            failures: 0,
            failed_probes: 0,
            pause_ms: FIRST_PAUSE_MS,
            last_answer: None,
        }
    }

    /// Records how a request ended.
    pub fn on_outcome(&mut self, now: Millis, outcome: HealthOutcome) {
        match outcome {
            HealthOutcome::Answered => self.on_success(now),
            HealthOutcome::Shed => {}
            HealthOutcome::Failed => self.on_failure(now),
        }
    }

    /// Records the result of a probe. A good probe halves the pause of a failing target, once per
    /// pause. Failed probes make a target half-open only if no request was answered recently. Slow
    /// probes change nothing.
    pub fn on_probe(&mut self, now: Millis, probe: Probe) {
        match probe {
            Probe::Good => {
                self.failed_probes = 0;
                if let State::Failing { since, until } = self.state {
                    let half = since + self.pause_ms / 2;
                    let until = until.min(half.max(now));
                    self.state = State::Failing { since, until };
                }
            }
            Probe::Slow => {}
            Probe::Failed => {
                self.failed_probes += 1;
                let answered_recently = self
                    .last_answer
                    .is_some_and(|it| now < it + RECENT_ANSWER_MS);
                if self.state == State::Serving
                    && !answered_recently
                    && self.failed_probes >= PROBE_FAILURES
                {
                    self.state = State::HalfOpen;
                }
            }
        }
    }

    /// The state at `now`. A failing target whose pause has ended is half-open.
    #[must_use]
    pub fn state(&self, now: Millis) -> HealthState {
        match self.state {
            State::Serving => HealthState::Serving,
            State::Failing { until, .. } if now < until => HealthState::Failing { until },
            State::Failing { .. } | State::HalfOpen => HealthState::HalfOpen,
        }
    }

    /// Whether a request may be started while `running` others are in flight to the target.
    #[must_use]
    pub fn allows(&self, now: Millis, running: usize) -> bool {
        match self.state(now) {
            HealthState::Serving => true,
            HealthState::Failing { .. } => false,
            HealthState::HalfOpen => running == 0,
        }
    }

    /// The slots of the target's queue at `now`, out of its configured `slots`: none while it is
    /// failing, one while it is half-open.
    #[must_use]
    pub fn slots(&self, now: Millis, slots: usize) -> usize {
        match self.state(now) {
            HealthState::Serving => slots,
            HealthState::Failing { .. } => 0,
            HealthState::HalfOpen => slots.min(1),
        }
    }

    fn on_success(&mut self, now: Millis) {
        self.last_answer = Some(now);
        self.failures = 0;
        self.failed_probes = 0;
        if self.state == State::Serving {
            self.record(0);
            return;
        }
        // Answers to requests that were sent before the pause do not end it.
        if self.state(now) == HealthState::HalfOpen {
            self.state = State::Serving;
            self.outcomes = 0;
            self.pause_ms = FIRST_PAUSE_MS;
        }
    }

    fn on_failure(&mut self, now: Millis) {
        match self.state(now) {
            // Failures of requests that were sent before the pause do not extend it.
            HealthState::Failing { .. } => {}
            HealthState::Serving => {
                self.failures += 1;
                self.record(1);
                if self.failures >= CONSECUTIVE_FAILURES
                    || self.outcomes.count_ones() >= WINDOW_FAILURES
                {
                    self.pause(now);
                }
            }
            HealthState::HalfOpen => {
                if matches!(self.state, State::Failing { .. }) {
                    self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
                }
                self.pause(now);
            }
        }
    }

    fn pause(&mut self, now: Millis) {
        self.outcomes = 0;
        self.failures = 0;
        let until = now + self.pause_ms;
        self.state = State::Failing { since: now, until };
    }

    fn record(&mut self, failed: u32) {
        self.outcomes = (self.outcomes << 1 | failed) & ((1 << WINDOW_OUTCOMES) - 1);
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}

#[cfg(test)]
mod tests;
