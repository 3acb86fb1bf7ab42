//! Applies the outcomes of orders.

use std::sync::Arc;

use super::{
    GrantOutcome, OrderId, ReleaseOutcome, SliceManager,
    unresponsive::{PROBE_INTERVAL_MS, Unresponsive},
};
use crate::{Incarnation, Millis, Phase};

impl SliceManager {
    /// Applies the outcome of a grant, received at `now`.
    pub fn on_grant(&mut self, id: OrderId, outcome: GrantOutcome, now: Millis) {
        let Some(sent) = self.in_flight.remove(&id) else {
            return;
        };
        let read_by = match outcome {
            GrantOutcome::NoAnswer => now + self.timing.unread_ms,
            _ => now,
        };
        let until = self.timing.latest_end(read_by, sent.hold_ms);
        let earlier_until = self.timing.latest_end(now, self.timing.max_hold_ms);
        let target = Arc::clone(&sent.incarnation.target);
        match outcome {
            GrantOutcome::Accepted => {
                self.unresponsive.remove(&target);
                self.lost_orders.record(now, false);
            }
            GrantOutcome::NotSent | GrantOutcome::NoAnswer => {
                let unresponsive = Unresponsive {
                    since: sent.sent_at,
                    probe_at: now + PROBE_INTERVAL_MS,
                };
                self.unresponsive.entry(target).or_insert(unresponsive);
                self.lost_orders
                    .record(now, outcome == GrantOutcome::NoAnswer);
            }
            GrantOutcome::Gone => self.on_incarnation_ended(&sent.incarnation, now),
            GrantOutcome::Superseded | GrantOutcome::Refused => {}
        }
        // Grants that were in flight when extended grants began are too short and are renewed at
        // once.
        let is_short = sent.hold_ms < self.hold_ms;
        let renew_at = if is_short {
            now
        } else {
            sent.sent_at + self.timing.renew_ms
        };
        let retry_at = now + self.timing.retry_ms;
        let mut superseded = Vec::new();
        for entry in self.entries.values_mut() {
            if entry.range.intersection(sent.range).is_none() {
                continue;
            }
            for previous in &mut entry.previous_owners {
                if previous.inflight_grant == Some(id) {
                    previous.on_grant(outcome, renew_at, retry_at);
                }
                // A grant that was in flight when its slice moved or its target was restarted may
                // still be in force.
                if previous.incarnation.target == sent.incarnation.target && outcome.may_hold() {
                    previous.until = previous.until.max(until);
                }
            }
            if entry.owner != sent.incarnation || entry.token != sent.token {
                continue;
            }
            if entry.inflight_grant == Some(id) {
                entry.inflight_grant = None;
            }
            if outcome.may_hold() && !entry.owner_lost {
                entry.until = entry.until.max(until);
            }
            match outcome {
                GrantOutcome::Accepted => {
                    entry.on_accepted(sent.range, renew_at, earlier_until);
                    if entry.phase == Phase::Pending {
                        entry.phase = Phase::Held;
                        self.changed.insert(entry.range.first);
                    }
                }
                GrantOutcome::NoAnswer => entry.renew_at = now,
                GrantOutcome::Gone | GrantOutcome::NotSent | GrantOutcome::Refused => {
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

    /// Applies the outcome of a release, received at `now`.
    pub fn on_release(&mut self, id: OrderId, outcome: &ReleaseOutcome, now: Millis) {
        let Some(sent) = self.in_flight.remove(&id) else {
            return;
        };
        match outcome {
            ReleaseOutcome::Gone => self.on_incarnation_ended(&sent.incarnation, now),
            ReleaseOutcome::Done { .. } => {
                self.unresponsive.remove(&sent.incarnation.target);
                self.lost_orders.record(now, false);
            }
            ReleaseOutcome::NoAnswer => self.lost_orders.record(now, true),
        }
        let retry_ms = self.timing.retry_ms;
        if let Some(recovery) = &mut self.recovery {
            recovery.on_release(id, &sent.incarnation, outcome, now + retry_ms);
        }
        for entry in self.entries.values_mut() {
            let is_covered = entry.range.intersection(sent.range) == Some(entry.range);
            if !is_covered {
                continue;
            }
            entry.on_release(id, &sent.incarnation, outcome, now, retry_ms);
        }
    }

    /// Drops all holds of an incarnation whose process has ended.
    fn on_incarnation_ended(&mut self, incarnation: &Incarnation, now: Millis) {
        for entry in self.entries.values_mut() {
            entry.on_incarnation_ended(incarnation, now, &mut self.former_holds);
        }
    }
}
