//! Recovery of the owners of keys after the store has come back from an older copy of its rows.
//!
//! The rows do not name every target that may hold keys then. What the hosts remember is more
//! recent, but may lack the latest assignments as well. So each target is told to release all keys
//! that it is not believed to own, with a token above all earlier ones, and a slice is granted only
//! after all of these releases for its keys are answered, or when no grant of an earlier coordinator
//! can be in force any more. Owners keep their keys meanwhile.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use smallvec::SmallVec;

use super::rows::is_equivalent;
use super::{Entry, GrantTiming, Order, OrderId, OrderKind, ReleaseOutcome, SliceManager};
use crate::{FencingToken, Incarnation, Key, KeyRange, Millis, Phase, Slice, SliceRow, SliceTable};

/// What the new coordinator knows besides the rows.
#[derive(Clone, Debug)]
pub struct Memory {
    /// The slices of the service as this host last knew them.
    pub slices: Vec<Slice>,
    /// Whether this host knows the targets that may hold keys. If not, nothing is granted before
    /// all earlier grants have ended.
    pub knows_targets: bool,
    /// Targets that were draining or gone: no earlier coordinator can have assigned them keys since
    /// then, so they do not delay grants of slices that others are known to hold.
    pub departed: BTreeSet<Arc<str>>,
    /// Latest end of the lease of an earlier coordinator.
    pub lease_end: Millis,
}

/// The recovery that is under way.
#[derive(Clone, Debug)]
pub(super) struct Recovery {
    /// Latest end of a grant of an earlier coordinator.
    until: Millis,
    knows_targets: bool,
    departed: BTreeSet<Arc<str>>,
    /// Ranges of which the holder was not known.
    unsettled: Vec<KeyRange>,
    /// By target, the releases of all keys that it was not believed to own.
    releases: BTreeMap<Incarnation, Vec<PendingRelease>>,
}

/// A release that has not been answered.
#[derive(Clone, Debug)]
struct PendingRelease {
    range: KeyRange,
    token: FencingToken,
    in_flight: Option<OrderId>,
    /// Earliest time of the next order.
    retry_at: Millis,
}

/// Keys that must not be granted yet.
pub(super) enum Blocked {
    None,
    Ranges(Vec<KeyRange>),
    All,
}

impl Blocked {
    pub(super) fn contains_any(&self, range: KeyRange) -> bool {
        match self {
            Self::None => false,
            Self::Ranges(ranges) => ranges.iter().any(|it| it.intersection(range).is_some()),
            Self::All => true,
        }
    }
}

impl SliceManager {
    /// Takes over the slices at `now` as the coordinator of `term`, where `rows` may be older than
    /// the last assignments.
    #[must_use]
    pub fn recover(
        service: Arc<str>,
        term: u64,
        timing: GrantTiming,
        rows: &[SliceRow],
        memory: Memory,
        now: Millis,
    ) -> Self {
        let mut manager = Self::new(service, term, timing, Vec::new(), now);
        let until = memory.lease_end + timing.max_recovery_ms();
        let mut table = SliceTable::new();
        for row in rows {
            manager.stored.insert(row.name(), row.clone());
            let mut slice = row.slice();
            // Its previous owners may hold the keys.
            if !row.previous_owners.is_empty() {
                slice.phase = Phase::Pending;
            }
            table.merge(&slice);
        }
        for slice in &memory.slices {
            table.merge(slice);
        }
        let mut settled = BTreeSet::new();
        for slice in table.iter() {
            let token = manager.next_token();
            let owner = slice.owner.clone();
            let mut entry = Entry::taken_over(slice.range, owner, token, SmallVec::new(), until);
            let row = entry.row(&manager.service);
            let stored = manager.stored.get(&row.name());
            entry.recorded = stored.is_some_and(|it| is_equivalent(it, &row));
            manager.insert(entry);
            if slice.phase == Phase::Held {
                settled.insert(slice.range.first);
            }
        }
        let mut unsettled = manager.find_gaps(KeyRange::ALL);
        let entries = manager.entries.values().map(|it| it.range);
        unsettled.extend(entries.filter(|it| !settled.contains(&it.first)));
        manager.recovery = Some(Recovery {
            until,
            knows_targets: memory.knows_targets,
            departed: memory.departed,
            unsettled,
            releases: BTreeMap::new(),
        });
        manager
    }

    /// Whether the slices name every target that may hold keys.
    #[must_use]
    pub fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Adds the releases that are due, and returns the keys that must not be granted yet.
    pub(super) fn step_recovery(&mut self, orders: &mut Vec<Order>, now: Millis) -> Blocked {
        let Some(mut recovery) = self.recovery.take() else {
            return Blocked::None;
        };
        if now >= recovery.until {
            return Blocked::None;
        }
        if !recovery.knows_targets {
            self.recovery = Some(recovery);
            return Blocked::All;
        }
        let mut blocked = Vec::new();
        for (target, started_ms) in self.incarnations.clone() {
            let incarnation = Incarnation { target, started_ms };
            let departed = recovery.departed.contains(&incarnation.target);
            let pending = recovery
                .releases
                .entry(incarnation.clone())
                .or_insert_with(|| self.releases_of_foreign_keys(&incarnation));
            // A target has connections for a few orders only, so that it gets one after the other.
            let mut idle = pending.iter().all(|it| it.in_flight.is_none());
            for release in pending {
                if departed {
                    let shared = recovery.unsettled.iter();
                    blocked.extend(shared.filter_map(|it| it.intersection(release.range)));
                } else {
                    blocked.push(release.range);
                }
                if !idle || now < release.retry_at {
                    continue;
                }
                idle = false;
                let id = OrderId(self.next_order_id);
                self.next_order_id += 1;
                release.in_flight = Some(id);
                orders.push(Order {
                    id,
                    incarnation: incarnation.clone(),
                    range: release.range,
                    token: release.token,
                    kind: OrderKind::Release,
                });
            }
        }
        self.recovery = Some(recovery);
        Blocked::Ranges(blocked)
    }

    /// Returns releases of all keys that `incarnation` is not believed to own.
    fn releases_of_foreign_keys(&mut self, incarnation: &Incarnation) -> Vec<PendingRelease> {
        let mut ranges = Vec::new();
        let mut next: Option<Key> = Some(0);
        let owned = self.entries.values().filter(|it| it.owner == *incarnation);
        for range in owned.map(|it| it.range) {
            let rest = next.map(|it| KeyRange::new(it, Key::MAX));
            ranges.extend(rest.and_then(|it| it.below(range.first)));
            next = range.last.checked_add(1);
        }
        ranges.extend(next.map(|it| KeyRange::new(it, Key::MAX)));
        let mut releases = Vec::new();
        for range in ranges {
            releases.push(PendingRelease {
                range,
                token: self.next_token(),
                in_flight: None,
                retry_at: 0,
            });
        }
        releases
    }
}

impl Recovery {
    /// Applies the outcome of a release.
    pub(super) fn on_release(
        &mut self,
        id: OrderId,
        incarnation: &Incarnation,
        outcome: &ReleaseOutcome,
        retry_at: Millis,
    ) {
        let Some(pending) = self.releases.get_mut(incarnation) else {
            return;
        };
        match outcome {
            ReleaseOutcome::Done { .. } | ReleaseOutcome::Gone => {
                pending.retain(|it| it.in_flight != Some(id));
            }
            ReleaseOutcome::NoAnswer => {
                for release in pending.iter_mut().filter(|it| it.in_flight == Some(id)) {
                    release.in_flight = None;
                    release.retry_at = retry_at;
                }
            }
        }
    }
}
