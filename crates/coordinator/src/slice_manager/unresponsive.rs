//! Probes of targets that do not answer.

use std::sync::Arc;

use super::{Order, OrderId, OrderKind, SliceManager};
use crate::{Incarnation, KeyRange, Millis};

/// Interval between two probes of an unresponsive target.
pub(super) const PROBE_INTERVAL_MS: u64 = 1_000;

/// State of a target that does not answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Unresponsive {
    /// When its first unanswered grant was sent.
    pub(super) since: Millis,
    /// When the next probe is due.
    pub(super) probe_at: Millis,
}

impl SliceManager {
    /// Adds probes that show whether unresponsive targets that own no keys answer again. A probe is
    /// a release with token 0 of a key that the target does not hold, which changes nothing.
    pub(super) fn probe_unresponsive(&mut self, orders: &mut Vec<Order>, now: Millis) {
        for (target, unresponsive) in &mut self.unresponsive {
            let owns_keys = self.entries.values().any(|it| it.owner.target == *target);
            let Some(&started_ms) = self.incarnations.get(target) else {
                continue;
            };
            if owns_keys || now < unresponsive.probe_at {
                continue;
            }
            unresponsive.probe_at = now + PROBE_INTERVAL_MS;
            let id = OrderId(self.next_order_id);
            self.next_order_id += 1;
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
