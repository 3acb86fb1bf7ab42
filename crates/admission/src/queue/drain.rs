//! When the slots of a queue become free.

/// Expected progress of the slots: running work first, then the work that waits.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// Time before which nothing starts.
    pause_us: u64,
    /// Expected time until each slot is free, shortest first.
    free_us: Vec<u64>,
    /// Sum of the first entries of `free_us`, by their number.
    sums: Vec<u64>,
}

impl Drain {
    /// The drain of `slots` slots (at least one) in which requests run that are expected to take
    /// `left_us` longer.
    pub(super) fn new(pause_us: u64, slots: usize, mut left_us: Vec<u64>) -> Self {
        let slots = slots.max(1);
        left_us.resize(left_us.len().max(slots), 0);
        left_us.sort_unstable();
        // Requests above the limit free no slot when they end.
        let excess = left_us.len() - slots;
        left_us.drain(..excess);
        let partial = left_us.iter().scan(0, |sum, it| {
            *sum += it;
            Some(*sum)
        });
        Self {
            pause_us,
            sums: std::iter::once(0).chain(partial).collect(),
            free_us: left_us,
        }
    }

    pub(super) fn slots(&self) -> u64 {
        self.free_us.len() as u64
    }

    /// Expected time until a slot is free for a request behind `ahead_us` of waiting work, while
    /// further requests that occupy `arriving` thousandths of a slot go ahead of it. `None` if they
    /// leave it nothing.
    ///
    /// Answers a queue whose length says little because the work of its requests differs.
    pub(super) fn wait_us(&self, ahead_us: u64, arriving: u64) -> Option<u64> {
        // Nothing waits ahead, so the next slot is its own.
        let arriving = if ahead_us == 0 { 0 } else { arriving };
        // The number of slots that contribute before it starts is found by bisection, because the
        // wait of each waiting request is computed and there may be hundreds of both.
        let left_behind = |idx: usize| {
            let at_us = self.free_us[idx];
            let done_us = idx as u64 * at_us - self.sums[idx];
            done_us < ahead_us + arriving * at_us / 1_000
        };
        let later = self.slots_before(left_behind);
        let active = later as u64 * 1_000;
        let rate = active.checked_sub(arriving).filter(|it| *it > 0)?;
        let level_us = (ahead_us + self.sums[later]) * 1_000 / rate;
        Some(self.pause_us + level_us.max(self.free_us[later - 1]))
    }

    /// Number of slots that are free before `still_waits` ends to hold for the next one.
    fn slots_before(&self, still_waits: impl Fn(usize) -> bool) -> usize {
        let (mut low, mut high) = (1, self.free_us.len());
        while low < high {
            let middle = low.midpoint(high);
            if still_waits(middle) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        low
    }
}

#[cfg(test)]
mod tests;
