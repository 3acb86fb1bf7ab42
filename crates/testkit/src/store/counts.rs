//! Counters of calls and their peak rates.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Window over which a peak rate is counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A counter with the highest count within any one second.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Count {
    /// Calls in total.
    pub total: u64,
    /// Highest number of calls within one second.
    pub peak_s: u64,
    #[serde(skip)]
    recent: VecDeque<Instant>,
}

impl Count {
    fn increment(&mut self) {
        let now = Instant::now();
        self.total += 1;
        self.recent.push_back(now);
        while self
            .recent
            .front()
            .is_some_and(|it| now.duration_since(*it) >= WINDOW)
        {
            self.recent.pop_front();
        }
        self.peak_s = self.peak_s.max(self.recent.len() as u64);
    }
}

/// Counters of the platform stand-in.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Calls that read rows, objects or members.
    pub reads: Count,
    /// Calls that write: transactions and stored objects.
    pub writes: Count,
    /// Transactions that were applied.
    pub commits: Count,
    /// Rows written by applied transactions.
    pub rows: Count,
    /// Calls whose connection the fault `down` closed; no other counter includes them.
    pub refused: Count,
}

impl Counts {
    /// Counts a read.
    pub fn add_read(&mut self) {
        self.reads.increment();
    }

    /// Counts a call that writes.
    pub fn add_write(&mut self) {
        self.writes.increment();
    }

    /// Counts an applied transaction and its rows.
    pub fn add_commit(&mut self, rows: usize) {
        self.commits.increment();
        for _ in 0..rows {
            self.rows.increment();
        }
    }

    /// Counts a call whose connection was closed without effect.
    pub fn add_refused(&mut self) {
        self.refused.increment();
    }
}
