//! The pace of requests to cold targets, and the health checks that verify targets.

use std::{sync::Arc, time::Duration};

use admission::{WarmUp, Warmth};
use coordinator::{Incarnation, Millis};
use refusal::Reason;
use routing::ColdLimit;

use super::{AdmissionQueue, Inner};
use crate::{
    gateway::{
        GatewayRequest,
        choice::{Role, role_of},
        confirm::{TargetToVerify, verify},
        member::Member,
    },
    node::Node,
    observe::{self, WarmthChange},
    state::{Evacuations, Targets},
};

/// Age of the list of targets up to which it shows that no target has restarted.
const MAX_LIST_AGE_MS: Millis = 2_000;

/// Interval between two attempts to start a request that the pace allows but the queue does not start.
const RETRY_MS: Millis = 10;

/// Time after the last request to a target for which it counts in the gauge of cold targets.
const IN_USE_MS: Millis = 10_000;

/// The limit of requests to the cold targets of a service.
pub(super) fn cold_limit_of(node: &Node, service: &str) -> Option<ColdLimit> {
    let catalog = node.catalog.load();
    catalog.as_ref()?.service(service)?.cold
}

impl AdmissionQueue {
    /// Records that a connection to a target was refused, timed out or broke.
    pub(in crate::gateway) fn on_connection_failure(&self, node: &Node, incarnation: &Incarnation) {
        self.change_warm_up(node, incarnation, "connection", WarmUp::doubt);
    }

    /// Records the result of a health check of a target that was sent at `sent`: the remaining cold
    /// time, or `None` without a usable answer.
    pub(in crate::gateway) fn on_check(
        &self,
        node: &Node,
        incarnation: &Incarnation,
        sent: Millis,
        cold_ms: Option<Millis>,
    ) {
        self.change_warm_up(node, incarnation, "check", |it, now| {
            it.on_check(now, sent, cold_ms);
        });
    }

    /// Number of targets in use that are not known to be warm.
    pub(in crate::gateway) fn cold_targets(&self) -> usize {
        let now = self.clock.now();
        let inner = self.lock();
        let members = inner.members.iter();
        let cold = members.filter(|it| {
            it.warmth(now) != Warmth::Warm && now < it.last_used.saturating_add(IN_USE_MS)
        });
        cold.count()
    }

    /// Takes the health check of a target that is to be sent now, if any.
    pub(super) fn take_check(
        self: &Arc<Self>,
        incarnation: &Incarnation,
    ) -> Option<TargetToVerify> {
        let mut inner = self.lock();
        let now = self.clock.now();
        let member = inner.member_mut(incarnation)?;
        self.check_of(member, now)
    }

    /// The reason to refuse a request when no target admits any. Targets that are used only while
    /// they are warm are verified first, one for each refused request.
    pub(super) fn none_admits(
        self: &Arc<Self>,
        inner: &mut Inner,
        node: &Arc<Node>,
        request: &GatewayRequest,
        now: Millis,
    ) -> Reason {
        if !inner.members.iter().any(|it| it.only_warm) {
            return Reason::TargetDraining;
        }
        let mut members = inner.members.iter_mut();
        if let Some(check) = members.find_map(|it| self.check_of(it, now)) {
            tokio::spawn(verify(
                Arc::clone(node),
                check,
                Arc::clone(&request.service),
            ));
        }
        Reason::QueueFull
    }

    /// Starts the task that starts waiting requests when the pace of cold targets allows it. Returns
    /// whether requests wait for that.
    pub(super) fn start_pacer(self: &Arc<Self>, inner: &mut Inner, now: Millis) -> bool {
        let Some(next) = inner.next_paced(now) else {
            return false;
        };
        if !inner.pacing {
            inner.pacing = true;
            let queue = Arc::clone(self);
            tokio::spawn(async move { queue.start_paced(next).await });
        }
        true
    }

    async fn start_paced(&self, mut next: Millis) {
        loop {
            let left = next.saturating_sub(self.clock.now());
            tokio::time::sleep(Duration::from_millis(left)).await;
            let mut inner = self.lock();
            let now = self.clock.now();
            inner.start_waiting(now);
            let Some(later) = inner.next_paced(now) else {
                inner.pacing = false;
                return;
            };
            next = later;
        }
    }

    fn check_of(self: &Arc<Self>, member: &mut Member, now: Millis) -> Option<TargetToVerify> {
        let warm_up = member.warm_up.as_mut()?;
        warm_up.take_check(now).then(|| TargetToVerify {
            queue: Arc::clone(self),
            incarnation: member.entry.incarnation(&member.name),
            pool: Arc::clone(&member.pool),
        })
    }

    fn change_warm_up(
        &self,
        node: &Node,
        incarnation: &Incarnation,
        cause: &'static str,
        change: impl FnOnce(&mut WarmUp, Millis),
    ) {
        let mut inner = self.lock();
        let now = self.clock.now();
        let Some(member) = inner.member_mut(incarnation) else {
            return;
        };
        let Some(warm_up) = &mut member.warm_up else {
            return;
        };
        let before = warm_up.warmth(now);
        change(warm_up, now);
        let change = WarmthChange {
            before,
            after: warm_up.warmth(now),
            cause,
        };
        observe::warmth_changed(node, incarnation, change, now);
        inner.start_waiting(now);
    }
}

impl Inner {
    /// Starts the requests that can be started now.
    fn start_waiting(&mut self, now: Millis) {
        self.update_limits(now);
        let decisions = self.queue.expire(now);
        self.notify(decisions);
    }

    fn member_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Member> {
        let mut members = self.members.iter_mut();
        members.find(|it| {
            it.name == incarnation.target && it.entry.started_ms == incarnation.started_ms
        })
    }

    /// When the pace of a cold target with a free slot allows the next request; `None` if no request
    /// waits or there is no such target.
    fn next_paced(&self, now: Millis) -> Option<Millis> {
        if self.cold_limit.is_none() || self.queue.waiting() == 0 {
            return None;
        }
        let free = self.members.iter().filter(|it| {
            it.running < it.unpaced_slots(now) && it.admits(now) && it.next_start(now).is_some()
        });
        let next = free.filter_map(|it| it.next_start(now)).min()?;
        Some(if next > now { next } else { now + RETRY_MS })
    }

    /// Estimated wait in milliseconds of a request that is offered at `now`. With cold targets, it
    /// depends on their pace.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "the numbers are positive and far below 2^52"
    )]
    pub(super) fn estimated_wait_ms(&self, now: Millis) -> u64 {
        let is_paced = self.members.iter().any(|it| it.next_start(now).is_some());
        if !is_paced {
            return self.queue.estimated_wait_ms(now);
        }
        let mean = self.mean_ms().max(1) as f64;
        // Requests that start in a millisecond, and the time of the first one.
        let (mut rate, mut first) = (0.0, u64::MAX);
        for member in self.members.iter().filter(|it| it.admits(now)) {
            let slots = member.unpaced_slots(now);
            if slots == 0 {
                continue;
            }
            let mut capacity = slots as f64 / mean;
            let mut next = now;
            if let (Some(start), Some(it)) = (member.next_start(now), &member.warm_up) {
                capacity = capacity.min(1.0 / it.pace_ms().max(1) as f64);
                next = start;
            }
            if member.running >= slots {
                next = next.max(now + (mean / slots as f64) as u64);
            }
            rate += capacity;
            first = first.min(next);
        }
        if rate <= 0.0 {
            return self.queue.estimated_wait_ms(now);
        }
        let behind = self.queue.waiting() as f64 / rate;
        first.saturating_sub(now) + behind as u64
    }

    /// The state of a target that this host is about to use for the first time, or that has replaced
    /// `former`.
    ///
    /// It is known to be warm only if this host has seen the incarnation in the list for longer than
    /// a warm-up takes. In the steady state, a host that becomes a gateway therefore sends no health
    /// check; after its own start it sends one to each target that it uses.
    pub(super) fn new_warm_up(
        &self,
        former: Option<&Member>,
        node: &Node,
        targets: &Targets,
        name: &str,
        now: Millis,
    ) -> Option<WarmUp> {
        let limit = self.cold_limit?;
        if let Some(former) = former.and_then(|it| it.warm_up.clone()) {
            let mut warm_up = former;
            warm_up.on_restart(now);
            return Some(warm_up);
        }
        let mut warm_up = WarmUp::new(limit.interval_ms, limit.warmup_ms);
        let times = targets.times(name);
        let is_old = times.is_some_and(|it| it.registered + limit.warmup_ms <= now);
        if !is_old || node.targets_age_ms() > MAX_LIST_AGE_MS {
            warm_up.doubt(now);
        }
        Some(warm_up)
    }

    /// Updates the state of a target from its entry, the limit and the evacuations.
    pub(super) fn update_warm_up(
        &self,
        member: &mut Member,
        node: &Node,
        targets: &Targets,
        evacuations: &Evacuations,
        now: Millis,
    ) {
        let Some(limit) = self.cold_limit else {
            member.warm_up = None;
            return;
        };
        let mut warm_up = member.warm_up.take().unwrap_or_else(|| {
            let mut new = WarmUp::new(limit.interval_ms, limit.warmup_ms);
            new.doubt(now);
            new
        });
        let before = warm_up.warmth(now);
        warm_up.set_limits(limit.interval_ms, limit.warmup_ms);
        if let Some(at) = evacuations.returned_at(&member.entry.place) {
            warm_up.on_revoked(at);
        }
        if let Some(times) = targets.times(&member.name) {
            warm_up.on_entry(times.learned, member.entry.cold_ms);
        }
        let change = WarmthChange {
            before,
            after: warm_up.warmth(now),
            cause: "store",
        };
        member.warm_up = Some(warm_up);
        let incarnation = member.entry.incarnation(&member.name);
        observe::warmth_changed(node, &incarnation, change, now);
    }

    /// While the list of targets is old, doubts the targets that this host has neither used nor
    /// verified for the time of a warm-up: another process may have taken their place.
    pub(super) fn doubt_unheard(&mut self, node: &Node, now: Millis) {
        let Some(limit) = self.cold_limit else { return };
        if node.targets_age_ms() <= MAX_LIST_AGE_MS {
            return;
        }
        for member in &mut self.members {
            let Some(warm_up) = &mut member.warm_up else {
                continue;
            };
            let heard = member.last_used.max(warm_up.stated());
            if heard + limit.warmup_ms <= now && warm_up.warmth(now) == Warmth::Warm {
                warm_up.doubt(now);
            }
        }
    }

    /// Updates the pace of cold targets from the role of this host.
    pub(super) fn update_role(&mut self, node: &Node, service: &str, now: Millis) {
        if self.members.iter().all(|it| it.warmth(now) == Warmth::Warm) {
            return;
        }
        let role = role_of(node, service, &self.id);
        for member in &mut self.members {
            member.only_warm = role == Role::Stray;
            if let Some(it) = &mut member.warm_up {
                it.set_shared(role != Role::Sole);
            }
        }
    }
}
