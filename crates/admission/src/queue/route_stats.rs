//! What a queue knows about one route.

use super::{Ticket, arrivals::Arrivals, service_time::ServiceTime};
use crate::Millis;

/// Work and service of one route at a queue.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteStats {
    /// Time that its requests take.
    pub(super) service: ServiceTime,
    pub(super) arrivals: Arrivals,
    pub(super) priority: u8,
    /// Longest time from an arrival to the objective.
    objective_ms: u64,
    last_offer: Millis,
    /// Since when requests arrive of which none was started.
    unserved_since: Option<Millis>,
}

impl RouteStats {
    pub(super) fn on_offer(&mut self, now: Millis, ticket: &Ticket) {
        let objective_ms = ticket.objective.saturating_sub(now);
        self.objective_ms = self.objective_ms.max(objective_ms);
        // A route that sent nothing for so long was not kept from a slot meanwhile.
        if now.saturating_sub(self.last_offer) > self.objective_ms {
            self.unserved_since = None;
        }
        self.unserved_since.get_or_insert(now);
        self.last_offer = now;
        self.priority = ticket.priority;
        self.arrivals.on_arrival(now);
    }

    pub(super) fn on_start(&mut self) {
        self.unserved_since = None;
    }

    /// Whether the route has received nothing for the duration of its longest objective. Answers
    /// more urgent routes that fill all slots for seconds.
    pub(super) fn is_starved(&self, now: Millis) -> bool {
        self.unserved_since
            .is_some_and(|it| now.saturating_sub(it) >= self.objective_ms.max(1))
    }

    pub(super) fn last_offer(&self) -> Millis {
        self.last_offer
    }
}
