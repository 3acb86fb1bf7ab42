//! The slot of a target that a running request occupies.

use std::sync::Arc;

use admission::{HealthOutcome, ReportedLoad, RequestEnd};
use coordinator::{Incarnation, Millis};
use pool::Pool;

use super::AdmissionQueue;
use crate::{
    gateway::{confirm::TargetToVerify, member::Member, standing::Standing},
    node::Node,
    state::{Access, TargetState},
};

/// Time for which a target that may have left, and did not say that it serves, is left alone.
const DOUBT_MS: Millis = 1_000;

/// The slot of a running request; freed on drop.
pub(in crate::gateway) struct SlotGuard {
    queue: Arc<AdmissionQueue>,
    id: u64,
    started: Millis,
    route: Arc<str>,
    ended: bool,
    /// The target that runs it.
    pub(in crate::gateway) incarnation: Incarnation,
    /// Connections to the target.
    pub(in crate::gateway) pool: Arc<Pool>,
}

impl SlotGuard {
    /// Takes a slot of `member` for the request `id`.
    pub(super) fn new(
        queue: &Arc<AdmissionQueue>,
        id: u64,
        started: Millis,
        route: &Arc<str>,
        member: &Member,
    ) -> Self {
        Self {
            queue: Arc::clone(queue),
            id,
            started,
            route: Arc::clone(route),
            ended: false,
            incarnation: member.entry.incarnation(&member.name),
            pool: Arc::clone(&member.pool),
        }
    }

    /// Whether the target may be sent a request now.
    pub(in crate::gateway) fn standing(&self, node: &Node) -> Standing {
        let now = self.queue.clock.now();
        let drain_ms = node.drain_ms();
        let targets = node.targets();
        let entry = targets.get(&self.incarnation.target);
        let current = entry.filter(|it| {
            it.started_ms == self.incarnation.started_ms && it.state != TargetState::Draining
        });
        let closed_from = targets.closed_from(&self.incarnation, drain_ms);
        let evacuated = current.is_some_and(|it| node.access(&it.place, now) == Access::Closed);
        if current.is_none() || evacuated || closed_from.is_some_and(|it| now >= it) {
            return Standing::Left;
        }
        drop(targets);
        let answered = self.with_member(|it| it.serving_at).flatten();
        let known = answered.max(node.targets_synced_at());
        Standing::of_serving(known, now, drain_ms)
    }

    /// Records that the answer to a request which was sent at `sent` shows that the target did not
    /// leave then.
    pub(in crate::gateway) fn on_serving(&self, sent: Millis) {
        self.with_member(|it| it.serving_at = it.serving_at.max(Some(sent)));
    }

    /// Records the load that the target has stated in an answer.
    pub(in crate::gateway) fn on_load(&self, load: ReportedLoad) {
        let now = self.queue.clock.now();
        self.with_member(|it| {
            let own = u32::try_from(it.running).unwrap_or(u32::MAX);
            it.pace.on_report(now, load, own);
        });
    }

    /// Leaves the target alone for a while, because it may have left.
    pub(in crate::gateway) fn doubt(&self) {
        let until = self.queue.clock.now() + DOUBT_MS;
        self.with_member(|it| it.doubted_until = until);
    }

    /// Records that a connection to the target was refused, timed out or broke.
    pub(in crate::gateway) fn on_connection_failure(&self, node: &Node) {
        self.queue.on_connection_failure(node, &self.incarnation);
    }

    /// Records the result of a health check that was sent at `sent`.
    pub(in crate::gateway) fn on_check(&self, node: &Node, sent: Millis, cold_ms: Option<Millis>) {
        self.queue.on_check(node, &self.incarnation, sent, cold_ms);
    }

    /// Takes the health check that is to be sent to the target now, if any.
    pub(in crate::gateway) fn take_check(&self) -> Option<TargetToVerify> {
        self.queue.take_check(&self.incarnation)
    }

    /// Whether the target is in a pause.
    pub(in crate::gateway) fn is_paused(&self) -> bool {
        let pause = self.queue.pauses().get(&self.incarnation);
        pause.is_active(self.queue.clock.now())
    }

    /// Records that the target asked for a pause. Returns whether it was not in one.
    pub(in crate::gateway) fn on_pause(&self, pause_ms: Millis) -> bool {
        self.queue.on_pause(&self.incarnation, pause_ms)
    }

    fn with_member<T>(&self, read: impl FnOnce(&mut Member) -> T) -> Option<T> {
        let mut inner = self.queue.lock();
        let is_own = |it: &&mut Member| {
            it.name == self.incarnation.target && it.entry.started_ms == self.incarnation.started_ms
        };
        inner.members.iter_mut().find(is_own).map(read)
    }

    /// Frees the slot; `outcome` is what the request revealed about the target's health.
    pub(in crate::gateway) fn end(mut self, end: RequestEnd, outcome: Option<HealthOutcome>) {
        self.finish(end, outcome);
    }

    fn finish(&mut self, end: RequestEnd, outcome: Option<HealthOutcome>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.queue.clock.now();
        let took = now.saturating_sub(self.started);
        let mut inner = self.queue.lock();
        if end == RequestEnd::Answered {
            let cost = inner.costs.entry(Arc::clone(&self.route)).or_default();
            cost.0 += 1;
            cost.1 += took;
        }
        let members = &mut inner.members;
        if let Some(member) = members
            .iter_mut()
            .find(|it| it.name == self.incarnation.target)
        {
            member.on_end(now, took, outcome);
        }
        // The slots of a target whose pause has ended return step by step.
        inner.update_limits(now);
        let decisions = inner.queue.finish(now, self.id, took, end);
        inner.notify(decisions);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.finish(RequestEnd::Cancelled, None);
    }
}
