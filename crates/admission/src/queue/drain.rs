//! When the slots of a queue become free.

/// Expected progress of the slots: running work first, then the work that waits.
#[derive(Clone, Debug)]
pub(super) struct Drain {
    /// Time before which nothing starts.
    pause_us: u64,
    /// Expected time until each slot is free, shortest first.
    free_us: Vec<u64>,
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
        Self {
            pause_us,
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
        let mut busy_us = 0;
        let mut active = 0_u64;
        for (idx, free_us) in self.free_us.iter().enumerate() {
            busy_us += free_us;
            active += 1_000;
            let rate = match active.checked_sub(arriving) {
                None | Some(0) => continue,
                Some(rate) => rate,
            };
            let level_us = ((ahead_us + busy_us) * 1_000 / rate).max(*free_us);
            if self.free_us.get(idx + 1).is_none_or(|it| level_us <= *it) {
                return Some(self.pause_us + level_us);
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
