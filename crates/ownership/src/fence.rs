//! The rules of a target that checks grants.

use std::sync::Arc;

use crate::{GrantOrder, GrantState, HeldSlice, Millis, Renewal, RenewalReply, RequestFence};

/// Grant state of a target that checks grants, and the rules by which it accepts orders.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Fence {
    incarnation: u64,
    epoch: u64,
    gateway: Arc<str>,
    /// `until` of the last accepted order of the current epoch.
    last_until: Millis,
    /// Common expiry of `held`.
    expiry: Millis,
    held: Vec<HeldSlice>,
    /// Highest generation under which each range was held.
    history: Vec<HeldSlice>,
}

impl Fence {
    /// Creates the fence of a target that has just started.
    #[must_use]
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            epoch: 0,
            gateway: "".into(),
            last_until: 0,
            expiry: 0,
            held: Vec::new(),
            history: Vec::new(),
        }
    }

    /// Decides on `order` at `now` on the target's clock.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the order is fenced: it names another incarnation, a lower
    /// epoch, the current epoch of another gateway, or an `until` that is not above the last one
    /// of the epoch; it lists slices that overlap each other; or it adds a slice under a
    /// generation that is not above every one under which an overlapping range was held.
    pub fn order(&mut self, now: Millis, order: &GrantOrder) -> Result<GrantState, GrantState> {
        if !self.is_current(order) {
            return Err(self.state(now));
        }
        let held = self.unexpired(now).to_vec();
        let held = match &order.slices {
            None => held,
            // Renewals mostly repeat the set, which needs no further checks.
            Some(slices) if *slices == held => held,
            Some(slices) if disjoint(slices) && self.generations_rise(&held, slices) => {
                for slice in slices {
                    self.record_history(slice);
                }
                slices.clone()
            }
            Some(_) => return Err(self.state(now)),
        };
        if order.epoch > self.epoch {
            self.epoch = order.epoch;
            self.gateway = Arc::clone(&order.gateway);
        }
        self.last_until = order.until;
        self.expiry = self.expiry.max(order.until);
        self.held = held;
        Ok(self.state(now))
    }

    /// Decides on `renewal` at `now`, as [`Fence::order`] does on an order that keeps the held
    /// slices and has the incarnation, epoch and gateway of the state that the tag identifies.
    /// `draining` of the answer is always `false`; the target sets it.
    ///
    /// # Errors
    ///
    /// Returns the unchanged state if the renewal is fenced: it names another state than the
    /// target's, or an `until` that is not above the last one of the epoch.
    pub fn renew(&mut self, now: Millis, renewal: &Renewal) -> Result<RenewalReply, GrantState> {
        let state = self.state(now);
        if renewal.tag != state.tag() {
            return Err(state);
        }
        let order = GrantOrder {
            incarnation: state.incarnation,
            epoch: state.epoch,
            gateway: state.gateway,
            until: renewal.until,
            slices: None,
        };
        self.order(now, &order)?;
        Ok(RenewalReply {
            tag: renewal.tag,
            clock: now,
            draining: false,
        })
    }

    fn is_current(&self, order: &GrantOrder) -> bool {
        if order.incarnation != self.incarnation || order.epoch < self.epoch {
            return false;
        }
        order.epoch > self.epoch || order.gateway == self.gateway && order.until > self.last_until
    }

    fn generations_rise(&self, held: &[HeldSlice], slices: &[HeldSlice]) -> bool {
        slices.iter().all(|slice| {
            let continues = held
                .iter()
                .any(|it| covers(it, slice) && it.generation <= slice.generation);
            continues
                || self
                    .history
                    .iter()
                    .all(|it| !overlaps(it, slice) || it.generation < slice.generation)
        })
    }

    fn record_history(&mut self, slice: &HeldSlice) {
        self.history
            .retain(|it| !(covers(slice, it) && it.generation <= slice.generation));
        self.history.push(slice.clone());
    }

    fn unexpired(&self, now: Millis) -> &[HeldSlice] {
        if now < self.expiry { &self.held } else { &[] }
    }

    /// Returns the state of the grants at `now`. `draining` is always `false`; the target sets it.
    #[must_use]
    pub fn state(&self, now: Millis) -> GrantState {
        GrantState {
            incarnation: self.incarnation,
            clock: now,
            epoch: self.epoch,
            gateway: Arc::clone(&self.gateway),
            held: self.unexpired(now).to_vec(),
            draining: false,
        }
    }

    /// Returns whether the target may start a request for `hash` that carries `fence` at `now`.
    #[must_use]
    pub fn admits(&self, now: Millis, fence: &RequestFence, service: &str, hash: u64) -> bool {
        if fence.incarnation != self.incarnation || fence.epoch != self.epoch {
            return false;
        }
        self.unexpired(now).iter().any(|it| {
            *it.service == *service
                && (it.low..=it.high).contains(&hash)
                && it.generation == fence.generation
        })
    }
}

fn disjoint(slices: &[HeldSlice]) -> bool {
    let mut sorted: Vec<&HeldSlice> = slices.iter().collect();
    sorted.sort_unstable_by(|a, b| (&a.service, a.low).cmp(&(&b.service, b.low)));
    !sorted.windows(2).any(|it| overlaps(it[0], it[1]))
}

fn covers(outer: &HeldSlice, inner: &HeldSlice) -> bool {
    outer.service == inner.service && outer.low <= inner.low && inner.high <= outer.high
}

fn overlaps(a: &HeldSlice, b: &HeldSlice) -> bool {
    a.service == b.service && a.low <= b.high && b.low <= a.high
}
