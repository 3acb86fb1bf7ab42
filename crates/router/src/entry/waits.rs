//! How long requests are expected to wait in the queues of pools, as gateways have told this host.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard},
};

use coordinator::Millis;

use crate::{gateway::QueueId, observe::Distance};

/// Time in milliseconds after which a wait that a gateway stated counts half, because queues empty.
const HALF_LIFE_MS: Millis = 300;

/// Waits below this are not kept apart: a free slot is as good as any other.
const MIN_WAIT_MS: u64 = 5;

/// The expected waits in the queues that this host has sent requests to.
#[derive(Default)]
pub struct Waits {
    known: Mutex<HashMap<QueueId, Wait>>,
}

#[derive(Clone, Copy, Debug)]
struct Wait {
    wait_ms: u64,
    learned: Millis,
}

impl Waits {
    /// Records that a new request would have waited `wait_ms` in a queue at `now`.
    pub fn learn(&self, queue: &QueueId, wait_ms: u64, now: Millis) {
        let mut known = self.known();
        if wait_ms < MIN_WAIT_MS {
            known.remove(queue);
            return;
        }
        let wait = Wait {
            wait_ms,
            learned: now,
        };
        known.insert(queue.clone(), wait);
    }

    /// The expected wait in a queue in milliseconds; 0 if nothing is known.
    pub fn expected_ms(&self, queue: &QueueId, now: Millis) -> u64 {
        let known = self.known();
        let Some(wait) = known.get(queue) else {
            return 0;
        };
        let half_lives = now.saturating_sub(wait.learned) / HALF_LIFE_MS;
        let shift = u32::try_from(half_lives).unwrap_or(u32::MAX);
        wait.wait_ms.checked_shr(shift).unwrap_or_default()
    }

    fn known(&self) -> MutexGuard<'_, HashMap<QueueId, Wait>> {
        self.known.lock().expect("lock is not poisoned")
    }
}

/// The time in milliseconds that a request is worth waiting for, rather than sending it to a data
/// centre at this distance, given the length of its objective. Bytes between regions are dear and
/// slow, so that a request stays in its region while a quarter of its objective suffices.
pub fn detour_ms(distance: Distance, objective_ms: Millis) -> u64 {
    match distance {
        Distance::SamePlace => 0,
        Distance::SameRegion => objective_ms / 40,
        Distance::OtherRegion => objective_ms / 4,
    }
}

#[cfg(test)]
mod tests;
