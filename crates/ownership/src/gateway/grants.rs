//! Exchange of grants with a target that checks them.

use std::sync::Arc;

use super::{
    Action, Actions, Draining, Gateway, GrantOutcome, OwnedSlice, OwnedState, Review,
    tenure::{MessageKind, Pending, TenureState, next_generation},
};
use crate::{
    EPOCH_STEP, GRANT_MS, GRANT_RENEW_MS, GRANT_TIMEOUT_MS, GrantOrder, GrantState, HeldSlice,
    Millis, Renewal, RenewalReply, grant,
};

/// Delay before the next message after a refusal, in milliseconds.
const REFUSAL_RETRY_MS: Millis = 50;

impl Gateway {
    /// Processes the outcome of the read, order or renewal that the tick at `sent` returned.
    pub fn on_grant(&mut self, now: Millis, sent: Millis, outcome: GrantOutcome) {
        self.update_tenure(now);
        self.review_due = now;
        let Some(mut tenure) = self.tenure.take() else {
            return;
        };
        let pending = tenure.exchange.pending.take_if(|it| it.sent == sent);
        if let Some(pending) = pending {
            match outcome {
                GrantOutcome::Lost => tenure.exchange.mark_unanswered(now, pending.sent),
                GrantOutcome::Accepted(state) => {
                    self.apply_state(now, &mut tenure, &pending, &state);
                    accepted(now, &mut tenure, pending, &state);
                }
                GrantOutcome::Renewed(reply) => self.renewed(now, &mut tenure, &pending, &reply),
                GrantOutcome::Fenced(state) => {
                    self.apply_state(now, &mut tenure, &pending, &state);
                    self.fenced(now, &mut tenure, &state);
                }
            }
        }
        self.tenure = Some(tenure);
    }

    /// Applies the grant state in an answer of the target.
    fn apply_state(
        &mut self,
        now: Millis,
        tenure: &mut TenureState,
        pending: &Pending,
        state: &GrantState,
    ) {
        let known = tenure.exchange.answer.map(|it| it.incarnation);
        tenure.exchange.record_answer(now, pending.sent, state);
        tenure.unreachable_since = None;
        if known.is_some_and(|it| it != state.incarnation) {
            // The new incarnation has no record of granted generations, so that all those up to now
            // could be granted twice.
            tenure.exchange.reset();
            tenure.epoch = None;
            let newest = self.slices.values().map(|it| it.rev).max();
            tenure.granted_rev = tenure.granted_rev.max(newest.unwrap_or(0));
        }
        match self.draining {
            Draining::ByDriver => {}
            _ if state.draining => self.draining = Draining::ByTarget,
            _ => self.draining = Draining::No,
        }
    }

    /// Processes an accepted renewal: the target holds exactly the slices that it names.
    fn renewed(
        &mut self,
        now: Millis,
        tenure: &mut TenureState,
        pending: &Pending,
        reply: &RenewalReply,
    ) {
        let exchange = &mut tenure.exchange;
        let incarnation = match (&pending.kind, exchange.answer) {
            (MessageKind::Renew { tag }, Some(it)) if *tag == reply.tag => it.incarnation,
            // The answer to another message counts as no answer.
            _ => return exchange.mark_unanswered(now, pending.sent),
        };
        exchange.record_clock(now, pending.sent, incarnation, reply.clock);
        exchange.due = pending.sent + GRANT_RENEW_MS;
        exchange.expires = pending.term_start + GRANT_MS;
        tenure.unreachable_since = None;
        if reply.draining && self.draining == Draining::No {
            self.draining = Draining::ByTarget;
        }
    }

    fn fenced(&self, now: Millis, tenure: &mut TenureState, state: &GrantState) {
        tenure.exchange.due = now + REFUSAL_RETRY_MS;
        tenure.exchange.change_due = now + REFUSAL_RETRY_MS;
        if tenure.epoch == Some(state.epoch) && state.gateway == self.host {
            tenure.exchange.set_granted(&state.held);
            return;
        }
        tenure.epoch = None;
        tenure.exchange.granted.clear();
    }

    /// Sends a read, claim, order or renewal if one is needed at `now`.
    pub(super) fn tick_grants(
        &mut self,
        now: Millis,
        review: Review,
        tenure: &mut TenureState,
        actions: &mut Actions,
    ) {
        if let Some(pending) = &tenure.exchange.pending {
            let sent = pending.sent;
            if now < sent + GRANT_TIMEOUT_MS {
                return;
            }
            tenure.exchange.pending = None;
            tenure.exchange.mark_unanswered(now, sent);
        }
        let row_epoch = self.row.as_ref().map_or(0, |it| it.1.epoch);
        if tenure.epoch.is_some_and(|it| it < row_epoch) {
            tenure.epoch = None;
        }
        let expired = tenure.exchange.unanswered && tenure.grants_expiry() <= now;
        let (Some(answer), false) = (tenure.exchange.answer, expired) else {
            tenure.exchange.read(now, actions);
            return;
        };
        if tenure.exchange.epoch / EPOCH_STEP > row_epoch / EPOCH_STEP {
            // The target was claimed under a forced list that this host has not seen yet.
            if answer.received + GRANT_RENEW_MS <= now {
                tenure.exchange.read(now, actions);
            }
            return;
        }
        let advance = tenure.exchange.min_clock_advance(now, &answer);
        let term_start = answer.sent + advance;
        let mut order = GrantOrder {
            incarnation: answer.incarnation,
            epoch: 0,
            gateway: Arc::clone(&self.host),
            until: answer.clock + advance + GRANT_MS,
            slices: None,
        };
        let Some(epoch) = tenure.epoch else {
            if tenure.exchange.due <= now {
                order.epoch = tenure.exchange.epoch.max(row_epoch) + 1;
                let kind = MessageKind::Claim { epoch: order.epoch };
                tenure.exchange.send(now, term_start, kind);
                actions.push(Action::Grant(order));
            }
            return;
        };
        order.epoch = epoch;
        self.renew(now, review, tenure, (term_start, order), actions);
    }

    /// Sends a message if one is due or the set of slices to hold has changed: a renewal if the
    /// target is known to hold exactly this set, otherwise the order.
    fn renew(
        &self,
        now: Millis,
        review: Review,
        tenure: &mut TenureState,
        (term_start, mut order): (Millis, GrantOrder),
        actions: &mut Actions,
    ) {
        let exchange = &tenure.exchange;
        let due = exchange.due <= now;
        if !due && (review == Review::Later || exchange.unanswered || now < exchange.change_due) {
            return;
        }
        let wanted = self.wanted(tenure);
        let exchange = &mut tenure.exchange;
        let same = wanted.len() == exchange.granted.len()
            && wanted
                .iter()
                .all(|it| exchange.granted.get(&it.low) == Some(it));
        if !due && same {
            return;
        }
        if same && !exchange.unanswered && exchange.possibly_held.len() == wanted.len() {
            let tag = grant::tag(order.incarnation, order.epoch, &self.host, &wanted);
            exchange.send(now, term_start, MessageKind::Renew { tag });
            let until = order.until;
            actions.push(Action::Renew(Renewal { tag, until }));
        } else {
            for slice in &wanted {
                exchange.record_generation(slice);
                exchange.possibly_held.push((slice.low, slice.high));
            }
            exchange.possibly_held.sort_unstable();
            exchange.possibly_held.dedup();
            let ranges = wanted.iter().map(|it| (it.low, it.high)).collect();
            exchange.send(now, term_start, MessageKind::Set(ranges));
            order.slices = Some(wanted);
            actions.push(Action::Grant(order));
        }
    }

    /// Returns the slices that the target should hold.
    fn wanted(&self, tenure: &TenureState) -> Vec<HeldSlice> {
        if !tenure.is_confirmed(self.last_read) {
            return self.wanted_unconfirmed(tenure);
        }
        let remaining = self.slices.values().filter(|it| self.remains(it));
        let held = remaining.filter_map(|owned| {
            Some(HeldSlice {
                service: Arc::clone(&self.target.service),
                low: owned.slice.low,
                high: owned.slice.high,
                generation: generation(tenure, owned)?,
            })
        });
        held.collect()
    }

    /// Returns the slices that the target has held in this tenure. Only this gateway can have moved
    /// them, even if the table lists them differently.
    fn wanted_unconfirmed(&self, tenure: &TenureState) -> Vec<HeldSlice> {
        let mut wanted = Vec::new();
        for used in tenure.exchange.generations.values() {
            let (low, high) = (used.low, used.high);
            let owned = self.slices.range(..=high).map(|it| it.1);
            let mut owned = owned.filter(|it| low <= it.slice.high);
            if !owned.all(|it| self.remains(it)) {
                continue;
            }
            if self.move_reason(low).is_some() && !self.in_flight.overlaps(low, high) {
                continue;
            }
            let generation = match tenure.exchange.granted.get(&low) {
                Some(held) if held.high == high => Some(held.generation),
                _ => next_generation(used.generation, used.generation),
            };
            let Some(generation) = generation else {
                continue;
            };
            wanted.push(HeldSlice {
                generation,
                ..used.clone()
            });
        }
        wanted
    }

    /// Returns whether the slice remains on the target for now.
    pub(super) fn remains(&self, owned: &OwnedSlice) -> bool {
        let (low, high) = (owned.slice.low, owned.slice.high);
        owned.state == OwnedState::Free
            && (self.move_reason(low).is_none() || self.in_flight.overlaps(low, high))
    }
}

fn accepted(now: Millis, tenure: &mut TenureState, pending: Pending, state: &GrantState) {
    let exchange = &mut tenure.exchange;
    match pending.kind {
        MessageKind::Read => {
            exchange.due = now;
            return;
        }
        MessageKind::Claim { epoch } => {
            tenure.epoch = Some(epoch);
            tenure.unannounced = Some(epoch);
            exchange.possibly_held = state.held.iter().map(|it| (it.low, it.high)).collect();
            exchange.due = now;
        }
        // Only `GrantOutcome::Renewed` accepts a renewal.
        MessageKind::Renew { .. } => return,
        MessageKind::Set(ranges) => {
            exchange.possibly_held = ranges;
            exchange.due = pending.sent + GRANT_RENEW_MS;
        }
    }
    exchange.set_granted(&state.held);
    exchange.expires = pending.term_start + GRANT_MS;
}

/// Returns the generation under which the slice can be granted; `None` if that needs a commit of
/// the next step.
pub(super) fn generation(tenure: &TenureState, owned: &OwnedSlice) -> Option<u64> {
    let slice = &owned.slice;
    if let Some(held) = tenure.exchange.find_covering(slice.low, slice.high) {
        return Some(held.generation.max(slice.generation));
    }
    match tenure.exchange.highest_generation(slice.low, slice.high) {
        Some(used) if used >= slice.generation => next_generation(used, slice.generation),
        _ => (owned.rev > tenure.granted_rev).then_some(slice.generation),
    }
}
