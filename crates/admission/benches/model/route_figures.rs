//! Statistics of one route of a run.

use admission::RequestEnd;

use super::figures::percent;

/// Statistics of one route; requests are counted, not their retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteFigures {
    /// Requests of callers.
    pub offered: u64,
    /// Answered within the objective of the attempt that was answered.
    pub in_time: u64,
    /// Answered within the objective since the caller sent it first.
    pub in_time_first: u64,
    /// Answered later than that attempt's objective.
    pub late: u64,
    /// Started, and cancelled at the deadline.
    pub cancelled: u64,
    /// Attempts refused when they arrived.
    pub refused_at_once: u64,
    /// Attempts refused after they waited.
    pub refused_held: u64,
    /// Longest time that such an attempt waited.
    pub longest_held_us: u64,
    /// Refused and not answered after the retry either.
    pub lost: u64,
}

impl RouteFigures {
    pub(super) fn on_refusal(&mut self, waited_us: u64, is_last: bool) {
        self.lost += u64::from(is_last);
        if waited_us == 0 {
            self.refused_at_once += 1;
            return;
        }
        self.refused_held += 1;
        self.longest_held_us = self.longest_held_us.max(waited_us);
    }

    pub(super) fn on_end(&mut self, end: RequestEnd, latencies_us: [u64; 2], objective_us: u64) {
        if end != RequestEnd::Answered {
            self.cancelled += 1;
            return;
        }
        let [latency_us, total_us] = latencies_us;
        self.in_time_first += u64::from(total_us <= objective_us);
        if latency_us <= objective_us {
            self.in_time += 1;
        } else {
            self.late += 1;
        }
    }

    /// Requests answered in time, in percent.
    pub fn in_time_percent(&self) -> f64 {
        percent(self.in_time, self.offered)
    }

    /// The route's cells of the table, in Markdown.
    pub fn cells(&self) -> String {
        let of = |part| percent(part, self.offered);
        format!(
            "{:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {:.1}% | {} |",
            self.in_time_percent(),
            of(self.in_time_first),
            of(self.late),
            of(self.cancelled),
            of(self.lost),
            of(self.refused_at_once),
            of(self.refused_held),
            self.longest_held_us / 1_000,
        )
    }
}
