//! The coordinator's state for one service: which targets may hold which keys, and until when.
//!
//! **Architecture Invariant:** a target is granted keys only when no other incarnation of any
//! target can hold them: each previous owner has released them, its hold has expired, or another
//! target has its address.
//!
//! **Architecture Invariant:** a target is granted keys only after the store names it as their
//! owner, so that the next coordinator knows all targets that may hold them.

mod entry;
mod former_hold;
mod lost_orders;
mod order;
mod outcomes;
mod previous_owner;
mod recovery;
mod rows;
mod unresponsive;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use self::{
    entry::Entry,
    lost_orders::LostOrders,
    order::InFlightOrder,
    previous_owner::{InterimGrant, PreviousOwner},
    recovery::Recovery,
    unresponsive::Unresponsive,
};
pub use self::{
    former_hold::{FormerHold, HoldEnd},
    order::{GrantOutcome, GrantTiming, Order, OrderId, OrderKind, ReleaseOutcome},
    recovery::Memory,
};
use crate::{FencingToken, Incarnation, Key, KeyRange, Millis, Phase, Slice, SliceRow};

/// Time after a grant within which a refused request is assumed to have been sent before the grant
/// arrived, so that it does not cause another grant.
const REFUSAL_GRACE_MS: u64 = 100;

/// Number of low bits of a fencing token that count the assignments within a term; the high bits
/// are the term.
const TOKEN_COUNTER_BITS: u32 = 24;

/// Grants the slices of one service to targets and moves slices between targets.
#[derive(Clone, Debug)]
pub struct SliceManager {
    service: Arc<str>,
    timing: GrantTiming,
    /// How long new grants last: `hold_ms` or `max_hold_ms` of `timing`.
    hold_ms: u64,
    last_token: FencingToken,
    next_order_id: u64,
    /// Slices by their first key.
    entries: BTreeMap<Key, Entry>,
    /// Start of the process by target, for the targets that exist.
    incarnations: BTreeMap<Arc<str>, u64>,
    /// Orders whose outcome is not known yet.
    in_flight: HashMap<OrderId, InFlightOrder>,
    /// Rows that the store is known to hold, by name.
    stored: BTreeMap<String, SliceRow>,
    /// Targets with an undelivered or unanswered grant and no successful order since.
    unresponsive: BTreeMap<Arc<str>, Unresponsive>,
    lost_orders: LostOrders,
    /// Set while targets that the slices do not name may hold keys.
    recovery: Option<Recovery>,
    /// First keys of the slices that changed since the last call of `take_changed`.
    changed: BTreeSet<Key>,
    /// Holds of previous owners that ended since the last call of `take_former_holds`.
    former_holds: Vec<FormerHold>,
}

impl SliceManager {
    /// Takes over the slices that `rows` describe, at `now`, as the coordinator of `term`.
    ///
    /// Each owner is granted its slices again with a new fencing token, so that targets refuse
    /// orders of an earlier coordinator that are still in flight.
    #[must_use]
    pub fn new(
        service: Arc<str>,
        term: u64,
        timing: GrantTiming,
        rows: Vec<SliceRow>,
        now: Millis,
    ) -> Self {
        let mut manager = Self {
            service,
            timing,
            hold_ms: timing.hold_ms,
            last_token: term << TOKEN_COUNTER_BITS,
            next_order_id: 0,
            entries: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            in_flight: HashMap::new(),
            stored: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            lost_orders: LostOrders::default(),
            recovery: None,
            changed: BTreeSet::new(),
            former_holds: Vec::new(),
        };
        let until = now + timing.longest_grant_ms();
        let mut rows = rows;
        rows.sort_by_key(|it| it.token);
        for row in rows {
            manager.stored.insert(row.name(), row.clone());
            manager.remove_range(row.range);
            let token = manager.next_token();
            let previous_owners = row
                .previous_owners
                .into_iter()
                .map(|incarnation| PreviousOwner::new(incarnation, until));
            let entry = Entry::taken_over(
                row.range,
                row.owner,
                token,
                previous_owners.collect(),
                until,
            );
            manager.insert(entry);
        }
        manager
    }

    /// Replaces the list of targets that exist, draining ones included.
    ///
    /// A restarted target with the same name holds none of the keys that it held before, but it may
    /// have accepted grants that were sent to its predecessor.
    pub fn set_incarnations(
        &mut self,
        incarnations: impl IntoIterator<Item = Incarnation>,
        now: Millis,
    ) {
        self.incarnations = incarnations
            .into_iter()
            .map(|it| (it.target, it.started_ms))
            .collect();
        self.unresponsive
            .retain(|it, _| self.incarnations.contains_key(it));
        for entry in self.entries.values_mut() {
            entry.on_incarnations(&self.incarnations, now);
        }
    }

    /// Switches between grants of the longest duration and of the usual one. When extended grants
    /// begin, all grants are renewed at once.
    pub fn set_extended_grants(&mut self, extended: bool, now: Millis) {
        let hold_ms = if extended {
            self.timing.max_hold_ms
        } else {
            self.timing.hold_ms
        };
        if extended && self.hold_ms < hold_ms {
            for entry in self.entries.values_mut() {
                entry.renew_grants(now);
            }
        }
        self.hold_ms = hold_ms;
    }

    /// Assigns the keys in `range` to `owner`. Keys that it owns already are not touched. A
    /// previous owner that is responsive keeps its keys until the store names the new one.
    ///
    /// # Panics
    ///
    /// Never panics: entries that overlap the range share keys with it.
    pub fn assign(&mut self, range: KeyRange, owner: &Incarnation, now: Millis) {
        for gap in self.find_gaps(range) {
            let token = self.next_token();
            self.insert(Entry::new(gap, owner.clone(), token));
        }
        let starts: Vec<Key> = self.overlapping(range).map(|it| it.range.first).collect();
        for start in starts {
            if self.entries[&start].owner == *owner {
                continue;
            }
            let Some(mut entry) = self.entries.remove(&start) else {
                continue;
            };
            let moved = entry
                .range
                .intersection(range)
                .expect("overlapping entries share keys with the range");
            let sides = [
                entry.range.below(moved.first),
                entry.range.above(moved.last),
            ];
            for side in sides.into_iter().flatten() {
                self.insert(entry.with_range(side));
            }
            entry = entry.with_range(moved);
            let token = self.next_token();
            let is_responsive = !self.unresponsive.contains_key(&entry.owner.target);
            entry.reassign(owner.clone(), token, is_responsive, now);
            self.insert(entry);
        }
    }

    /// Drops previous owners that cannot hold keys any more, and returns the orders that are due at
    /// `now`.
    pub fn step(&mut self, now: Millis) -> Vec<Order> {
        let mut orders = Vec::new();
        let blocked = self.step_recovery(&mut orders, now);
        for entry in self.entries.values_mut() {
            let range = entry.range;
            // A renewal gives the owner no keys that it does not hold already.
            let may_grant = entry.granted || !blocked.contains_any(range);
            entry.drop_cleared_owners(now, &mut self.former_holds);
            let is_running = |incarnation: &Incarnation| {
                self.incarnations.get(&incarnation.target) == Some(&incarnation.started_ms)
            };
            for previous in &mut entry.previous_owners {
                if !is_running(&previous.incarnation) {
                    continue;
                }
                let id = OrderId(self.next_order_id);
                let (token, kind) = if let Some(token) = previous.due_grant(now)
                    && may_grant
                {
                    previous.inflight_grant = Some(id);
                    let hold_ms = self.hold_ms;
                    let handover = None;
                    (token, OrderKind::Grant { hold_ms, handover })
                } else if !entry.owner_lost && previous.is_release_due(now) {
                    // The token of a lost owner is not above those of its grants, which its
                    // successor may still accept.
                    previous.inflight_release = Some(id);
                    (entry.token, OrderKind::Release)
                } else {
                    continue;
                };
                self.next_order_id += 1;
                orders.push(Order {
                    id,
                    incarnation: previous.incarnation.clone(),
                    range,
                    token,
                    kind,
                });
            }
            if !may_grant || !entry.is_grant_due(now) || !is_running(&entry.owner) {
                continue;
            }
            let id = OrderId(self.next_order_id);
            self.next_order_id += 1;
            entry.inflight_grant = Some(id);
            entry.granted = true;
            orders.push(Order {
                id,
                incarnation: entry.owner.clone(),
                range,
                token: entry.token,
                kind: OrderKind::Grant {
                    hold_ms: self.hold_ms,
                    handover: entry.handover.clone(),
                },
            });
        }
        self.probe_unresponsive(&mut orders, now);
        for order in &orders {
            self.in_flight
                .insert(order.id, InFlightOrder::new(order, now));
        }
        orders
    }

    /// Returns the slices that need a new owner: `is_usable` rejects theirs, or it has ended.
    pub fn orphans(&self, is_usable: impl Fn(&Incarnation) -> bool) -> Vec<Slice> {
        self.entries
            .values()
            .filter(|it| it.owner_lost || !is_usable(&it.owner))
            .map(Entry::slice)
            .collect()
    }

    /// Returns the keys that have never been assigned to a target.
    #[must_use]
    pub fn unassigned(&self) -> Vec<KeyRange> {
        self.find_gaps(KeyRange::ALL)
    }

    /// Returns all slices in key order.
    pub fn slices(&self) -> impl Iterator<Item = Slice> {
        self.entries.values().map(Entry::slice)
    }

    /// Whether the slice with `key` can be moved without waiting for a hold to expire.
    #[must_use]
    pub fn is_settled(&self, key: Key) -> bool {
        self.entries
            .range(..=key)
            .next_back()
            .is_some_and(|(_, it)| it.is_settled())
    }

    /// Returns when the first grant that the target did not answer was sent; `None` if it answers.
    #[must_use]
    pub fn unresponsive_since(&self, target: &str) -> Option<Millis> {
        self.unresponsive.get(target).map(|it| it.since)
    }

    /// Returns the fraction of recent orders that got no answer, from 0 to 1.
    #[must_use]
    pub fn lost_ratio(&self, now: Millis) -> f64 {
        self.lost_orders.ratio(now)
    }

    /// Schedules a new grant of the slice with `key` at once, because its owner refused a request
    /// for the key.
    pub fn on_request_refused(&mut self, key: Key, target: &str, now: Millis) {
        let Some((_, entry)) = self.entries.range_mut(..=key).next_back() else {
            return;
        };
        let is_holder = entry.phase == Phase::Held && *entry.owner.target == *target;
        // A grant that is in flight or was just accepted already covers the key.
        if is_holder
            && entry.inflight_grant.is_none()
            && now + self.timing.renew_ms > entry.renew_at + REFUSAL_GRACE_MS
        {
            entry.renew_at = now;
        }
    }

    /// Returns the slices that hosts need for looking up owners: those that changed since the last
    /// call and whose owner the store names.
    pub fn take_changed(&mut self) -> Vec<Slice> {
        let changed = std::mem::take(&mut self.changed);
        let entries = changed.iter().filter_map(|it| self.entries.get(it));
        entries.filter(|it| it.recorded).map(Entry::slice).collect()
    }

    /// Returns the holds of previous owners that ended since the last call.
    pub fn take_former_holds(&mut self) -> Vec<FormerHold> {
        std::mem::take(&mut self.former_holds)
    }

    fn next_token(&mut self) -> FencingToken {
        self.last_token += 1;
        self.last_token
    }

    fn insert(&mut self, entry: Entry) {
        self.changed.insert(entry.range.first);
        self.entries.insert(entry.range.first, entry);
    }

    /// Removes `range` from all entries.
    fn remove_range(&mut self, range: KeyRange) {
        let starts: Vec<Key> = self.overlapping(range).map(|it| it.range.first).collect();
        for start in starts {
            let Some(entry) = self.entries.remove(&start) else {
                continue;
            };
            let sides = [
                entry.range.below(range.first),
                entry.range.above(range.last),
            ];
            for side in sides.into_iter().flatten() {
                self.insert(entry.with_range(side));
            }
        }
    }

    fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = &Entry> {
        self.entries
            .range(..=range.last)
            .map(|(_, it)| it)
            .filter(move |it| it.range.last >= range.first)
    }

    fn find_gaps(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut remaining = Some(range);
        for entry in self.overlapping(range) {
            let Some(uncovered) = remaining else { break };
            gaps.extend(uncovered.below(entry.range.first));
            remaining = uncovered.above(entry.range.last);
        }
        gaps.extend(remaining);
        gaps
    }
}
