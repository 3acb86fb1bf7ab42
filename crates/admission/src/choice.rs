//! Which of several targets a request is sent to.
//!
//! The load that this answers: targets of unequal speed on shared machines, some of which are slow
//! for a few hundred milliseconds at a time, and requests of other hosts that a gateway hears of late.

use crate::Millis;

/// Time in milliseconds after which a statement of a target about its machine is half as relevant.
/// Neighbours on a machine keep it busy for about 400 ms.
const HALF_LIFE_MS: f64 = 300.0;

/// Expected times that differ by less than this factor count as equal, so that targets of about the
/// same speed take turns.
const TIME_STEP: f64 = 1.25;

/// The load that a target states in an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the target.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time.
    pub slowness: u32,
}

/// What a gateway knows of the load of one target.
#[derive(Clone, Copy, Debug, Default)]
pub struct TargetPace {
    /// Exponential moving average of service times on a machine that is not slow, in milliseconds;
    /// `None` before the first answer.
    usual_ms: Option<f64>,
    /// Slowness of the machine in the latest answer, relative to the usual one.
    slowness: f64,
    /// Requests of other hosts at the target, as of the latest answer.
    foreign: u32,
    /// When the latest answer with a load arrived; `None` before the first one.
    reported: Option<Millis>,
}

impl TargetPace {
    /// Weight of the newest answer in the average of service times.
    const NEWEST_WEIGHT: f64 = 0.1;

    /// Records the load in an answer that arrived at `now`, while this host had `own` requests at the
    /// target, the answered one included.
    pub fn on_report(&mut self, now: Millis, load: ReportedLoad, own: u32) {
        self.slowness = f64::from(load.slowness.clamp(10, 10_000)) / 100.0;
        let total = load.running.saturating_add(load.waiting);
        self.foreign = total.saturating_sub(own);
        self.reported = Some(now);
    }

    /// Records that a request was answered after `took_ms`.
    pub fn on_answer(&mut self, now: Millis, took_ms: u64) {
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 ms")]
        let usual = took_ms as f64 / self.slowness_at(now);
        let mean = self.usual_ms.unwrap_or(usual);
        self.usual_ms = Some(mean + (usual - mean) * Self::NEWEST_WEIGHT);
    }

    /// How much longer work takes at `now` than usual, judged by the latest report and its age.
    #[must_use]
    pub fn slowness_at(&self, now: Millis) -> f64 {
        1.0 + (self.slowness - 1.0) * self.relevance(now)
    }

    /// Requests of other hosts that are expected at the target at `now`.
    #[must_use]
    pub fn foreign_at(&self, now: Millis) -> f64 {
        f64::from(self.foreign) * self.relevance(now)
    }

    /// Expected service time of a request that starts at `now`, in milliseconds; 0 before the first
    /// answer.
    #[must_use]
    pub fn expected_ms(&self, now: Millis) -> f64 {
        self.usual_ms.unwrap_or_default() * self.slowness_at(now)
    }

    /// The relevance of the latest report, from 1 at its arrival to 0.
    fn relevance(&self, now: Millis) -> f64 {
        let Some(reported) = self.reported else {
            return 0.0;
        };
        #[expect(clippy::cast_precision_loss, reason = "far below 2^52 ms")]
        let age = now.saturating_sub(reported) as f64;
        0.5_f64.powf(age / HALF_LIFE_MS)
    }
}

/// A target that a request could be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Requests of this host that it runs.
    pub running: usize,
    /// Requests that it may run at once; 0 if it should get none.
    pub slots: usize,
    /// Requests of other hosts that are expected there.
    pub foreign: f64,
    /// Expected service time in milliseconds; 0 if unknown.
    pub expected_ms: f64,
    /// When it was last sent a request.
    pub last_used: Millis,
}

/// Sort key of a candidate; the one with the lowest is chosen: one with a free slot, then the one
/// with the shortest expected time, then the least busy one, then the one that was unused longest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Preference {
    unusable: bool,
    full: bool,
    time_step: i32,
    busy_per_mille: usize,
    last_used: Millis,
}

impl Preference {
    /// Ranks a candidate.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "times and counts are small positive numbers"
    )]
    pub fn of(candidate: &Candidate) -> Self {
        let slots = candidate.slots.max(1);
        let occupied = candidate.running as f64 + candidate.foreign;
        let time_step = candidate.expected_ms.max(1.0).log(TIME_STEP);
        Self {
            unusable: candidate.slots == 0,
            full: candidate.running >= slots || occupied >= slots as f64 + 0.5,
            time_step: time_step.round() as i32,
            busy_per_mille: (occupied * 1_000.0) as usize / slots,
            last_used: candidate.last_used,
        }
    }
}

#[cfg(test)]
mod tests;
