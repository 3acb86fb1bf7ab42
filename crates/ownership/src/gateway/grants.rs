//! The exchange of grants with a target that checks them.

use std::sync::Arc;

use super::{
    Action, Actions, Draining, Gateway, GrantOutcome, Owned, OwnedState, Review,
    reign::{Kind, Pending, Reign, raise},
};
use crate::{
    EPOCH_STEP, GRANT_MS, GRANT_RENEW_MS, GRANT_TIMEOUT_MS, GrantOrder, GrantState, HeldSlice,
    Millis, Renewal, RenewalReply, grant,
};

/// Milliseconds between attempts after a refusal.
const REFUSED_MS: Millis = 50;

impl Gateway {
    /// Takes in the outcome of the read or order that the tick at `sent` returned.
    pub fn on_grant(&mut self, now: Millis, sent: Millis, outcome: GrantOutcome) {
        self.observe(now);
        self.review = now;
        let Some(mut reign) = self.reign.take() else {
            return;
        };
        let pending = reign.link.pending.take_if(|it| it.sent == sent);
        if let Some(pending) = pending {
            match outcome {
                GrantOutcome::Lost => reign.link.lose(now, pending.sent),
                GrantOutcome::Accepted(state) => {
                    self.note(now, &mut reign, &pending, &state);
                    accepted(now, &mut reign, pending, &state);
                }
                GrantOutcome::Renewed(renewed) => self.renewed(now, &mut reign, &pending, &renewed),
                GrantOutcome::Fenced(state) => {
                    self.note(now, &mut reign, &pending, &state);
                    self.fenced(now, &mut reign, &state);
                }
            }
        }
        self.reign = Some(reign);
    }

    /// Notes what holds for every answer of the target.
    fn note(&mut self, now: Millis, reign: &mut Reign, pending: &Pending, state: &GrantState) {
        let known = reign.link.answer.map(|it| it.incarnation);
        reign.link.note(now, pending.sent, state);
        reign.lost = None;
        if known.is_some_and(|it| it != state.incarnation) {
            // The new incarnation remembers nothing, so that all generations up to now could be
            // granted twice.
            reign.link.reset();
            reign.epoch = None;
            let newest = self.slices.values().map(|it| it.rev).max();
            reign.used_rev = reign.used_rev.max(newest.unwrap_or(0));
        }
        match self.draining {
            Draining::Target => {}
            _ if state.draining => self.draining = Draining::Incarnation,
            _ => self.draining = Draining::No,
        }
    }

    /// Takes in that the target holds what the renewal named, and nothing else.
    fn renewed(
        &mut self,
        now: Millis,
        reign: &mut Reign,
        pending: &Pending,
        renewed: &RenewalReply,
    ) {
        let link = &mut reign.link;
        let incarnation = match (&pending.kind, link.answer) {
            (Kind::Keep { tag }, Some(it)) if *tag == renewed.tag => it.incarnation,
            // An answer to something else counts as none.
            _ => return link.lose(now, pending.sent),
        };
        link.note_clock(now, pending.sent, incarnation, renewed.clock);
        link.due = pending.sent + GRANT_RENEW_MS;
        link.expires = pending.base + GRANT_MS;
        reign.lost = None;
        if renewed.draining && self.draining == Draining::No {
            self.draining = Draining::Incarnation;
        }
    }

    fn fenced(&self, now: Millis, reign: &mut Reign, state: &GrantState) {
        reign.link.due = now + REFUSED_MS;
        reign.link.ready = now + REFUSED_MS;
        if reign.epoch == Some(state.epoch) && state.gateway == self.host {
            reign.link.hold(&state.held);
            return;
        }
        reign.epoch = None;
        reign.link.granted.clear();
    }

    pub(super) fn tick_grants(
        &mut self,
        now: Millis,
        review: Review,
        reign: &mut Reign,
        actions: &mut Actions,
    ) {
        if let Some(pending) = &reign.link.pending {
            let sent = pending.sent;
            if now < sent + GRANT_TIMEOUT_MS {
                return;
            }
            reign.link.pending = None;
            reign.link.lose(now, sent);
        }
        let row_epoch = self.row.as_ref().map_or(0, |it| it.1.epoch);
        if reign.epoch.is_some_and(|it| it < row_epoch) {
            reign.epoch = None;
        }
        let gone = reign.link.silent && reign.lapse() <= now;
        let (Some(answer), false) = (reign.link.answer, gone) else {
            reign.link.read(now, actions);
            return;
        };
        if reign.link.epoch / EPOCH_STEP > row_epoch / EPOCH_STEP {
            // The target was claimed under a forced list that this host has not seen yet.
            if answer.received + GRANT_RENEW_MS <= now {
                reign.link.read(now, actions);
            }
            return;
        }
        let advance = reign.link.advance(now, &answer);
        let base = answer.sent + advance;
        let mut order = GrantOrder {
            incarnation: answer.incarnation,
            epoch: 0,
            gateway: Arc::clone(&self.host),
            until: answer.clock + advance + GRANT_MS,
            slices: None,
        };
        let Some(epoch) = reign.epoch else {
            if reign.link.due <= now {
                order.epoch = reign.link.epoch.max(row_epoch) + 1;
                let kind = Kind::Claim { epoch: order.epoch };
                reign.link.send(now, base, kind);
                actions.push(Action::Grant(order));
            }
            return;
        };
        order.epoch = epoch;
        self.renew(now, review, reign, (base, order), actions);
    }

    /// Sends the order if a renewal is due or the target is to hold other slices than it does.
    fn renew(
        &self,
        now: Millis,
        review: Review,
        reign: &mut Reign,
        (base, mut order): (Millis, GrantOrder),
        actions: &mut Actions,
    ) {
        let link = &reign.link;
        let due = link.due <= now;
        if !due && (review == Review::Later || link.silent || now < link.ready) {
            return;
        }
        let set = self.wanted(reign);
        let link = &mut reign.link;
        let same = set.len() == link.granted.len()
            && set.iter().all(|it| link.granted.get(&it.low) == Some(it));
        if !due && same {
            return;
        }
        if same && !link.silent && link.maybe.len() == set.len() {
            let tag = grant::tag(order.incarnation, order.epoch, &self.host, &set);
            link.send(now, base, Kind::Keep { tag });
            let until = order.until;
            actions.push(Action::Renew(Renewal { tag, until }));
        } else {
            for slice in &set {
                link.uses(slice);
                link.maybe.push((slice.low, slice.high));
            }
            link.maybe.sort_unstable();
            link.maybe.dedup();
            let ranges = set.iter().map(|it| (it.low, it.high)).collect();
            link.send(now, base, Kind::Set(ranges));
            order.slices = Some(set);
            actions.push(Action::Grant(order));
        }
    }

    /// Returns the slices that the target is to hold.
    fn wanted(&self, reign: &Reign) -> Vec<HeldSlice> {
        if !reign.confirmed(self.read) {
            return self.wanted_unconfirmed(reign);
        }
        let free = self.slices.values().filter(|it| self.stays(it));
        let held = free.filter_map(|owned| {
            Some(HeldSlice {
                service: Arc::clone(&self.target.service),
                low: owned.slice.low,
                high: owned.slice.high,
                generation: generation(reign, owned)?,
            })
        });
        held.collect()
    }

    /// Returns the slices that the target has held in this tenure. Nobody else can have moved them,
    /// whatever the table says.
    fn wanted_unconfirmed(&self, reign: &Reign) -> Vec<HeldSlice> {
        let mut wanted = Vec::new();
        for used in reign.link.used.values() {
            let (low, high) = (used.low, used.high);
            let owned = self.slices.range(..=high).map(|it| it.1);
            let mut owned = owned.filter(|it| low <= it.slice.high);
            if !owned.all(|it| self.stays(it)) {
                continue;
            }
            if self.leaving(low).is_some() && !self.flights.overlap(low, high) {
                continue;
            }
            let generation = match reign.link.granted.get(&low) {
                Some(held) if held.high == high => Some(held.generation),
                _ => raise(used.generation, used.generation),
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

    /// Returns whether the slice is to remain on the target for now.
    pub(super) fn stays(&self, owned: &Owned) -> bool {
        let (low, high) = (owned.slice.low, owned.slice.high);
        owned.state == OwnedState::Free
            && (self.leaving(low).is_none() || self.flights.overlap(low, high))
    }
}

fn accepted(now: Millis, reign: &mut Reign, pending: Pending, state: &GrantState) {
    let link = &mut reign.link;
    match pending.kind {
        Kind::Read => {
            link.due = now;
            return;
        }
        Kind::Claim { epoch } => {
            reign.epoch = Some(epoch);
            reign.announce = Some(epoch);
            link.maybe = state.held.iter().map(|it| (it.low, it.high)).collect();
            link.due = now;
        }
        // Nothing but the answer to a renewal accepts one.
        Kind::Keep { .. } => return,
        Kind::Set(ranges) => {
            link.maybe = ranges;
            link.due = pending.sent + GRANT_RENEW_MS;
        }
    }
    link.hold(&state.held);
    link.expires = pending.base + GRANT_MS;
}

/// Returns the generation under which the slice can be granted; `None` if that needs a commit of
/// the next step.
pub(super) fn generation(reign: &Reign, owned: &Owned) -> Option<u64> {
    let slice = &owned.slice;
    if let Some(held) = reign.link.covers(slice.low, slice.high) {
        return Some(held.generation.max(slice.generation));
    }
    match reign.link.used(slice.low, slice.high) {
        Some(used) if used >= slice.generation => raise(used, slice.generation),
        _ => (owned.rev > reign.used_rev).then_some(slice.generation),
    }
}
