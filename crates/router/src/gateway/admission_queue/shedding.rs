//! The order of an admission queue, and when the callers that it refuses should return.

use std::hash::{DefaultHasher, Hash, Hasher};

use admission::{QueueOrder, Ticket};

use super::{AdmissionQueue, Inner};
use crate::{gateway::GatewayRequest, node::Node, settings::OrderSetting};

impl AdmissionQueue {
    /// Milliseconds after which the caller of a refused request should return, when a slot is
    /// expected for it; `None` if the queue does not go by objective.
    pub(in crate::gateway) fn slot_return_ms(&self, request: &GatewayRequest) -> Option<u64> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let queue = &mut inner.queue;
        queue.return_ms(now, &request.ticket(0), request.deadline)
    }
}

impl Inner {
    /// Chooses the order that the settings and the configuration in force call for.
    pub(super) fn update_order(&mut self, node: &Node, service: &str) {
        let catalog = node.catalog.load();
        let chosen = catalog.as_ref();
        let by_objective = node.settings.queue_order == OrderSetting::Objective
            && chosen.is_some_and(|it| it.goes_by_objective(service));
        if by_objective == self.by_objective {
            return;
        }
        self.by_objective = by_objective;
        self.queue.set_order(if by_objective {
            QueueOrder::Objective
        } else {
            QueueOrder::default()
        });
    }
}

impl GatewayRequest {
    /// The request as it is offered to an admission queue.
    pub(super) fn ticket(&self, id: u64) -> Ticket {
        let mut route = DefaultHasher::new();
        self.route.hash(&mut route);
        Ticket {
            id,
            key: self.key.map_or(0, u64::from),
            // Callers are not distinguished.
            caller: 0,
            priority: self.priority,
            route: route.finish(),
            objective: self.objective,
            deadline: self.end,
        }
    }
}
