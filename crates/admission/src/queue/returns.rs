//! When refused callers should return.

use crate::Millis;

/// Shortest time after which a caller is told to return. A slot that is free earlier goes to a
/// request that is already there.
const MIN_RETURN_MS: u64 = 20;
/// Part of the slots that is counted for returns even if arrivals take all of them. Without it all
/// callers are told the longest time in a burst; on 4 slots, requests of the less urgent route that
/// are in time since they were first sent fell from 47 to 42 percent.
const MIN_ROOM_SHARE: u64 = 4;

/// The places of refused callers that were told to return. It remembers only the next free place.
#[derive(Clone, Debug, Default)]
pub(super) struct Returns {
    /// Time of the next free place, in microseconds.
    next_us: u64,
}

/// What decides about the return of one refused caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    /// Expected time until what is ahead has started.
    pub(super) drained_us: u64,
    /// Expected work of the request.
    pub(super) work_us: u64,
    /// Slots of the queue, in thousandths.
    pub(super) slots: u64,
    /// Slots that requests of its priority or a more urgent one occupy, in thousandths.
    pub(super) arriving: u64,
    /// The longest time that is of use to the caller.
    pub(super) longest_ms: u64,
}

impl Returns {
    /// Milliseconds after which a refused caller should return: when its slot is expected to be
    /// free, behind the callers that were told before. Places follow each other at the rate at
    /// which slots become free that arrivals do not take.
    ///
    /// Answers a burst whose refused callers would return together and be refused again. A caller
    /// without a useful place takes none and is told the longest useful time.
    pub(super) fn invite(&mut self, now: Millis, refused: Refused) -> u64 {
        let now_us = now * 1_000;
        let longest_ms = refused.longest_ms.max(MIN_RETURN_MS);
        let place_us = self.next_us.max(now_us + refused.drained_us);
        let told_ms = (place_us - now_us).div_ceil(1_000).max(MIN_RETURN_MS);
        if told_ms > longest_ms {
            return longest_ms;
        }
        let least = refused.slots / MIN_ROOM_SHARE;
        let room = refused.slots.saturating_sub(refused.arriving).max(least);
        self.next_us = place_us + refused.work_us * 1_000 / room.max(1);
        told_ms
    }
}

#[cfg(test)]
mod tests;
