//! State that the planner carries between rounds.

use std::{collections::BTreeMap, sync::Arc};

use crate::tracked_keys::TrackedKey;

/// Minimum time between a move of a slice and its next optional move. Longer than a slice takes to
/// warm up and its measured load takes to settle.
const MIN_MOVE_INTERVAL_MS: u64 = 60_000;

/// State that the planner carries between rounds, as a value. A planner that starts with the
/// default only waits longer before its first optional moves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlannerState {
    /// Time of the last round; `None` before the first.
    pub(crate) last_round_ms: Option<u64>,
    /// Slow moving average of the targets' utilisation relative to the mean.
    pub(crate) average_utilisation: BTreeMap<Arc<str>, f64>,
    /// Accumulated excess of targets over the busy threshold or their average, in relative
    /// utilisation times seconds, until they are relieved.
    pub(crate) busy_excess: BTreeMap<Arc<str>, f64>,
    /// The same below the empty threshold, until the targets are filled.
    pub(crate) empty_excess: BTreeMap<Arc<str>, f64>,
    /// When targets that are being filled last received slices.
    pub(crate) last_intake: BTreeMap<Arc<str>, u64>,
    /// When slices last moved, by lowest hash; kept for [`MIN_MOVE_INTERVAL_MS`].
    pub(crate) moved_at: BTreeMap<u64, u64>,
    /// Keys with slices of their own that are or recently were hot, by hash.
    pub(crate) tracked: BTreeMap<u64, TrackedKey>,
    /// When the load of hot keys rose above the threshold, by hash.
    pub(crate) hot_since: BTreeMap<u64, u64>,
    /// When the load of small slices fell below the threshold, by lowest hash.
    pub(crate) cool_since: BTreeMap<u64, u64>,
}

impl PlannerState {
    /// Removes times of moves that are older than [`MIN_MOVE_INTERVAL_MS`].
    pub(crate) fn expire(&mut self, now_ms: u64) {
        let recent = |moved_ms: &mut u64| now_ms.saturating_sub(*moved_ms) < MIN_MOVE_INTERVAL_MS;
        self.moved_at.retain(|_, at| recent(at));
        self.last_intake.retain(|_, at| recent(at));
    }

    /// Whether the slice moved so recently that it makes no optional move.
    pub(crate) fn has_moved_recently(&self, low: u64) -> bool {
        self.moved_at.contains_key(&low)
    }
}

/// Keeps the times of the keys in `present`, adds new keys with `now_ms` and removes all others.
pub(crate) fn update_start_times<K: Clone + Ord>(
    times: &mut BTreeMap<K, u64>,
    present: impl Iterator<Item = K>,
    now_ms: u64,
) {
    let mut next = BTreeMap::new();
    for key in present {
        let since = times.get(&key).copied().unwrap_or(now_ms);
        next.insert(key, since);
    }
    *times = next;
}
