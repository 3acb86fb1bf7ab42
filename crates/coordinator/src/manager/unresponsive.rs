//! Targets that do not answer.

use std::sync::Arc;

use super::{Order, OrderId, OrderKind, SliceManager};
use crate::{Incarnation, KeyRange, Millis};

/// Interval at which a silent target is asked whether it answers again.
pub(super) const PROBE_MS: u64 = 1_000;

/// A target that has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct Silence {
    /// When its first grant without an answer was sent.
    pub(super) since: Millis,
    /// When it may be asked whether it answers again.
    pub(super) probe_at: Millis,
}

impl SliceManager {
    /// Asks silent targets that own nothing whether they answer again: a release of what a target
    /// does not hold changes nothing.
    pub(super) fn probe(&mut self, orders: &mut Vec<Order>, now: Millis) {
        for (target, silence) in &mut self.silent {
            let owns = self.entries.values().any(|it| it.owner.target == *target);
            let Some(&started_ms) = self.incarnations.get(target) else {
                continue;
            };
            if owns || now < silence.probe_at {
                continue;
            }
            silence.probe_at = now + PROBE_MS;
            let id = OrderId(self.next_order);
            self.next_order += 1;
            orders.push(Order {
                id,
                incarnation: Incarnation {
                    target: Arc::clone(target),
                    started_ms,
                },
                range: KeyRange::new(0, 0),
                token: 0,
                kind: OrderKind::Release,
            });
        }
    }
}
