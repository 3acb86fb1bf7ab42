//! Requests in flight on one target.

use std::collections::BTreeMap;

use crate::{Millis, Permit};

/// Counts the requests in flight by the range of their slice.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct InFlight {
    ranges: BTreeMap<(u64, u64), RangeInFlight>,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct RangeInFlight {
    count: u64,
    last_start: Millis,
}

impl InFlight {
    pub(super) fn started(&mut self, now: Millis, permit: &Permit) {
        let range = self.ranges.entry((permit.low, permit.high)).or_default();
        range.count += 1;
        range.last_start = range.last_start.max(now);
    }

    pub(super) fn finished(&mut self, permit: &Permit) {
        let key = (permit.low, permit.high);
        let Some(range) = self.ranges.get_mut(&key) else {
            return;
        };
        range.count = range.count.saturating_sub(1);
        if range.count == 0 {
            self.ranges.remove(&key);
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns whether a request for a part of `low..=high` is in flight.
    pub(super) fn overlaps(&self, low: u64, high: u64) -> bool {
        self.last_start(low, high).is_some()
    }

    /// Returns when the newest request that is in flight for a part of `low..=high` was started.
    pub(super) fn last_start(&self, low: u64, high: u64) -> Option<Millis> {
        let ranges = self.ranges.range(..=(high, u64::MAX));
        let overlaps = ranges.filter(|((_, it_high), _)| *it_high >= low);
        overlaps.map(|(_, range)| range.last_start).max()
    }
}
