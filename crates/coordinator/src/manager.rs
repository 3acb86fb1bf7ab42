//! The coordinator's state for one service: who may hold which keys, and until when.
//!
//! **Architecture Invariant:** a target is granted keys only when no other incarnation of any target can
//! hold them: each earlier owner has released them, its hold has run out, or it was started again.
//!
//! **Architecture Invariant:** a target is granted keys only after the store names it as their
//! owner, so that a later coordinator knows everyone who may hold them.

mod entry;
mod lost_orders;
mod order;
mod previous_owner;
mod rows;
mod unresponsive;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

pub use self::order::{Bounds, GrantOutcome, Order, OrderId, OrderKind, ReleaseOutcome};
use self::{
    entry::Entry,
    lost_orders::LostOrders,
    order::Sent,
    previous_owner::{Earlier, Tenancy},
    unresponsive::{PROBE_MS, Silence},
};
use crate::{FencingToken, Incarnation, Key, KeyRange, Millis, Phase, Slice, SliceRow};

/// Time after a grant in which a refusal of the target is put down to a request that was sent before
/// the grant arrived.
const REFUSED_MS: u64 = 100;

/// Bits of a token that count within a term.
const TOKEN_BITS: u32 = 24;

/// The manager of the slices of one service.
#[derive(Clone, Debug)]
pub struct SliceManager {
    service: Arc<str>,
    bounds: Bounds,
    hold_ms: u64,
    token: FencingToken,
    next_order: u64,
    entries: BTreeMap<Key, Entry>,
    incarnations: BTreeMap<Arc<str>, u64>,
    orders: HashMap<OrderId, Sent>,
    stored: BTreeMap<String, SliceRow>,
    /// Targets that have not answered since their last grant.
    silent: BTreeMap<Arc<str>, Silence>,
    lost_orders: LostOrders,
    changed: BTreeSet<Key>,
}

impl SliceManager {
    /// Takes over the slices that `rows` describe, at `now`, as the coordinator of `term`.
    ///
    /// Each owner is granted its slices again with a new token, so that orders of an earlier
    /// coordinator that are still under way are refused.
    #[must_use]
    pub fn new(
        service: Arc<str>,
        term: u64,
        bounds: Bounds,
        rows: Vec<SliceRow>,
        now: Millis,
    ) -> Self {
        let mut it = Self {
            service,
            bounds,
            hold_ms: bounds.hold_ms,
            token: term << TOKEN_BITS,
            next_order: 0,
            entries: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            orders: HashMap::new(),
            stored: BTreeMap::new(),
            silent: BTreeMap::new(),
            lost_orders: LostOrders::default(),
            changed: BTreeSet::new(),
        };
        let until = now + bounds.longest_ms();
        let mut rows = rows;
        rows.sort_by_key(|it| it.token);
        for row in rows {
            it.stored.insert(row.name(), row.clone());
            it.cut(row.range);
            let token = it.next_token();
            let earlier = row
                .earlier
                .into_iter()
                .map(|incarnation| Earlier::new(incarnation, until));
            let entry = Entry::taken_over(row.range, row.owner, token, earlier.collect(), until);
            it.insert(entry);
        }
        it
    }

    /// Replaces the list of targets that exist, draining ones included.
    ///
    /// A target that was started again under its old name holds nothing of what it held before.
    pub fn set_incarnations(
        &mut self,
        incarnations: impl IntoIterator<Item = Incarnation>,
        now: Millis,
    ) {
        self.incarnations = incarnations
            .into_iter()
            .map(|it| (it.target, it.started_ms))
            .collect();
        self.silent
            .retain(|it, _| self.incarnations.contains_key(it));
        for entry in self.entries.values_mut() {
            entry.on_incarnations(&self.incarnations, now);
        }
    }

    /// Lets grants last as long as they may, or as usual again; the former begins at once.
    pub fn set_extended_grants(&mut self, extended: bool, now: Millis) {
        let hold_ms = if extended {
            self.bounds.max_hold_ms
        } else {
            self.bounds.hold_ms
        };
        if extended && self.hold_ms < hold_ms {
            for entry in self.entries.values_mut() {
                entry.renew(now);
            }
        }
        self.hold_ms = hold_ms;
    }

    /// Gives the keys in `range` to `owner`. What it owns already stays untouched. An owner that
    /// answers keeps its keys until the store names the next one.
    ///
    /// # Panics
    ///
    /// Panics if entries that overlap the range share no key with it.
    pub fn assign(&mut self, range: KeyRange, owner: &Incarnation, now: Millis) {
        for gap in self.gaps(range) {
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
                self.insert(entry.part(side));
            }
            entry = entry.part(moved);
            let token = self.next_token();
            let answers = !self.silent.contains_key(&entry.owner.target);
            entry.give(owner.clone(), token, answers, now);
            self.insert(entry);
        }
    }

    /// The orders that are due at `now`, and what they clear.
    pub fn step(&mut self, now: Millis) -> Vec<Order> {
        let mut orders = Vec::new();
        for entry in self.entries.values_mut() {
            let range = entry.range;
            entry.clear_ended(now);
            let exists = |incarnation: &Incarnation| {
                self.incarnations.get(&incarnation.target) == Some(&incarnation.started_ms)
            };
            for earlier in &mut entry.earlier {
                if !exists(&earlier.incarnation) {
                    continue;
                }
                let id = OrderId(self.next_order);
                let (token, kind) = if let Some(token) = earlier.due(now) {
                    earlier.grant = Some(id);
                    let hold_ms = self.hold_ms;
                    let handover = None;
                    (token, OrderKind::Grant { hold_ms, handover })
                } else if earlier.is_release_due(now) {
                    earlier.release = Some(id);
                    (entry.token, OrderKind::Release)
                } else {
                    continue;
                };
                self.next_order += 1;
                orders.push(Order {
                    id,
                    incarnation: earlier.incarnation.clone(),
                    range,
                    token,
                    kind,
                });
            }
            if !entry.is_due(now) || !exists(&entry.owner) {
                continue;
            }
            let id = OrderId(self.next_order);
            self.next_order += 1;
            entry.grant = Some(id);
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
        self.probe(&mut orders, now);
        for order in &orders {
            self.orders.insert(order.id, Sent::new(order, now));
        }
        orders
    }

    /// Notes how a grant ended at `now`.
    pub fn on_grant(&mut self, id: OrderId, end: GrantOutcome, now: Millis) {
        let Some(sent) = self.orders.remove(&id) else {
            return;
        };
        let until = self.bounds.latest_end(now, sent.hold_ms);
        let target = Arc::clone(&sent.incarnation.target);
        match end {
            GrantOutcome::Accepted => {
                self.silent.remove(&target);
                self.lost_orders.note(now, false);
            }
            GrantOutcome::NotSent | GrantOutcome::NoAnswer => {
                let silence = Silence {
                    since: sent.at,
                    probe_at: now + PROBE_MS,
                };
                self.silent.entry(target).or_insert(silence);
                self.lost_orders.note(now, end == GrantOutcome::NoAnswer);
            }
            GrantOutcome::TargetGone => self.on_ended(&sent.incarnation, now),
            GrantOutcome::Superseded | GrantOutcome::Refused => {}
        }
        // A grant that was under way when longer ones began is too short.
        let short = sent.hold_ms < self.hold_ms;
        let renew_at = if short {
            now
        } else {
            sent.at + self.bounds.renew_ms
        };
        let retry_at = now + self.bounds.retry_ms;
        let mut superseded = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.range.intersection(sent.range).is_none() {
                continue;
            }
            for earlier in &mut entry.earlier {
                if earlier.grant == Some(id) {
                    earlier.on_grant(end, renew_at, retry_at);
                }
                // A grant that was under way when its slice moved may still count.
                if earlier.incarnation == sent.incarnation && end.may_hold() {
                    earlier.until = earlier.until.max(until);
                }
            }
            if entry.owner != sent.incarnation || entry.token != sent.token {
                continue;
            }
            if entry.grant == Some(id) {
                entry.grant = None;
            }
            if end.may_hold() {
                entry.until = entry.until.max(until);
            }
            match end {
                GrantOutcome::Accepted => {
                    entry.renew_at = renew_at;
                    entry.handover = None;
                    if entry.phase == Phase::Pending {
                        entry.phase = Phase::Held;
                        self.changed.insert(entry.range.first);
                    }
                }
                GrantOutcome::NoAnswer => entry.renew_at = now,
                GrantOutcome::TargetGone | GrantOutcome::NotSent | GrantOutcome::Refused => {
                    entry.renew_at = retry_at;
                }
                GrantOutcome::Superseded => superseded.push(entry.range.first),
            }
        }
        for start in superseded {
            let token = self.next_token();
            if let Some(entry) = self.entries.get_mut(&start) {
                entry.token = token;
                entry.renew_at = now;
                self.changed.insert(start);
            }
        }
    }

    /// Notes how a release ended at `now`.
    pub fn on_release(&mut self, id: OrderId, end: &ReleaseOutcome, now: Millis) {
        let Some(sent) = self.orders.remove(&id) else {
            return;
        };
        match end {
            ReleaseOutcome::TargetGone => self.on_ended(&sent.incarnation, now),
            ReleaseOutcome::Done { .. } => {
                self.silent.remove(&sent.incarnation.target);
                self.lost_orders.note(now, false);
            }
            ReleaseOutcome::NoAnswer => self.lost_orders.note(now, true),
        }
        let retry_ms = self.bounds.retry_ms;
        for entry in self.entries.values_mut() {
            let covered = entry.range.intersection(sent.range) == Some(entry.range);
            if !covered {
                continue;
            }
            entry.on_release(id, &sent.incarnation, end, now, retry_ms);
        }
    }

    /// The slices whose owner is not among `usable`; they need a new owner.
    pub fn orphans(&self, usable: impl Fn(&Incarnation) -> bool) -> Vec<Slice> {
        self.entries
            .values()
            .filter(|it| it.lost || !usable(&it.owner))
            .map(Entry::slice)
            .collect()
    }

    /// The keys that no target was ever given.
    #[must_use]
    pub fn unassigned(&self) -> Vec<KeyRange> {
        self.gaps(KeyRange::ALL)
    }

    /// All slices in key order.
    pub fn slices(&self) -> impl Iterator<Item = Slice> {
        self.entries.values().map(Entry::slice)
    }

    /// Whether the slice with `key` can be moved without waiting for a hold to run out.
    #[must_use]
    pub fn is_settled(&self, key: Key) -> bool {
        self.entries
            .range(..=key)
            .next_back()
            .is_some_and(|(_, it)| it.is_settled())
    }

    /// Since when a target has not answered any grant.
    #[must_use]
    pub fn unresponsive_since(&self, target: &str) -> Option<Millis> {
        self.silent.get(target).map(|it| it.since)
    }

    /// Part of the latest orders that got no answer, from 0 to 1.
    #[must_use]
    pub fn lost_ratio(&self, now: Millis) -> f64 {
        self.lost_orders.part(now)
    }

    /// Grants the slice with `key` again at once, because its owner refused a request for it.
    pub fn on_request_refused(&mut self, key: Key, target: &str, now: Millis) {
        let Some((_, entry)) = self.entries.range_mut(..=key).next_back() else {
            return;
        };
        let holds = entry.phase == Phase::Held && *entry.owner.target == *target;
        // A renewal that is under way or has just ended settles the matter.
        if holds
            && entry.grant.is_none()
            && now + self.bounds.renew_ms > entry.renew_at + REFUSED_MS
        {
            entry.renew_at = now;
        }
    }

    /// The slices that changed for those who look owners up, since the last call.
    pub fn take_changed(&mut self) -> Vec<Slice> {
        let changed = std::mem::take(&mut self.changed);
        let entries = changed.iter().filter_map(|it| self.entries.get(it));
        entries.filter(|it| it.recorded).map(Entry::slice).collect()
    }

    /// A incarnation has ended, so that it holds nothing any more.
    fn on_ended(&mut self, incarnation: &Incarnation, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.on_ended(incarnation, now);
        }
    }

    fn next_token(&mut self) -> FencingToken {
        self.token += 1;
        self.token
    }

    fn insert(&mut self, entry: Entry) {
        self.changed.insert(entry.range.first);
        self.entries.insert(entry.range.first, entry);
    }

    /// Removes `range` from all entries.
    fn cut(&mut self, range: KeyRange) {
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
                self.insert(entry.part(side));
            }
        }
    }

    fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = &Entry> {
        self.entries
            .range(..=range.last)
            .map(|(_, it)| it)
            .filter(move |it| it.range.last >= range.first)
    }

    fn gaps(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut rest = Some(range);
        for entry in self.overlapping(range) {
            let Some(open) = rest else { break };
            gaps.extend(open.below(entry.range.first));
            rest = open.above(entry.range.last);
        }
        gaps.extend(rest);
        gaps
    }
}
