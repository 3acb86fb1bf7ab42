//! A target with the fencing rules of the users' back ends.

use std::collections::BTreeMap;

use coordinator::{GrantOutcome, Order, OrderKind};

/// Number of keys.
pub const KEYS: u16 = 8;

/// A target with its fencing state.
#[derive(Clone, Debug, Default)]
pub struct Target {
    pub started_ms: u64,
    /// Orders to processes that started before this get the answer that the target has ended.
    pub gone_before: u64,
    /// The start that the list shows until `listed_from`.
    pub previous_start: u64,
    /// When the list shows the present start.
    pub listed_from: u64,
    pub registered: bool,
    /// End of its hold by key.
    pub hold_ends: BTreeMap<u16, u64>,
    /// Highest fencing token that it has seen, by key.
    pub seen_tokens: BTreeMap<u16, u64>,
}

impl Target {
    /// The start that the list shows.
    pub fn listed_start(&self, now: u64) -> u64 {
        if now < self.listed_from {
            self.previous_start
        } else {
            self.started_ms
        }
    }

    pub fn grant(&mut self, now: u64, arrived: u64, order: &Order) -> GrantOutcome {
        let keys = order.range.first..=order.range.last;
        if keys.clone().any(|it| {
            self.seen_tokens
                .get(&it)
                .is_some_and(|seen| *seen > order.token)
        }) {
            return GrantOutcome::Superseded;
        }
        let until = latest_end(arrived, order);
        for key in keys {
            self.seen_tokens.insert(key, order.token);
            if until > now {
                let held = self.hold_ends.entry(key).or_default();
                *held = until.max(*held);
            }
        }
        GrantOutcome::Accepted
    }

    /// The token of a release counts as seen, so later grants with lower tokens are refused. The
    /// users' back ends do the same.
    pub fn release(&mut self, order: &Order) {
        for key in modelled_keys(order) {
            self.hold_ends.remove(&key);
            let seen = self.seen_tokens.entry(key).or_default();
            *seen = order.token.max(*seen);
        }
    }
}

/// Returns the keys of an order that the model has.
fn modelled_keys(order: &Order) -> std::ops::RangeInclusive<u16> {
    order.range.first..=order.range.last.min(KEYS - 1)
}

/// Returns the end of a hold on a target whose clock runs 2% slow.
pub fn latest_end(arrived: u64, order: &Order) -> u64 {
    match order.kind {
        OrderKind::Grant { hold_ms, .. } => arrived + hold_ms * 100 / 98,
        OrderKind::Release => arrived,
    }
}
