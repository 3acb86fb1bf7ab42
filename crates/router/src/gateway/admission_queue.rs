//! The admission queue of one target, or of a pool of interchangeable targets.

mod cold;
mod pause;
mod rejection;
mod shedding;
mod slot_guard;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admission::{Decision, Decisions, OfferResult, Queue, QueueLimits, RequestEnd};
use coordinator::{Key, Millis};
use process::BootClock;
use refusal::Reason;
use routing::ColdLimit;
use tokio::sync::oneshot;

use self::cold::cold_limit_of;
pub use self::rejection::Rejection;
pub(super) use self::slot_guard::SlotGuard;
use super::{GatewayRequest, QueueId, WaitLimit, member::Member, pauses::Pauses};
use crate::{
    node::Node,
    peers::{KeyCount, RouteCost, TargetLoad},
    state::{Access, TargetState},
};

/// Maximum number of waiting requests for each slot of a target.
const DEPTH_PER_SLOT: usize = 32;

/// Maximum share of one caller in the waiting requests, in percent of the queue. It is 100 because
/// callers are not distinguished.
const CALLER_SHARE_PERCENT: u32 = 100;

/// Maximum number of connections to a target whose service is not in the configuration.
const DEFAULT_CONNECTIONS: usize = 16;

/// Interval at which a single request is still sent to a target for keys whose grant has expired.
const EXPIRED_RETRY_MS: u64 = 150;

/// Time after which a request waits again whose target became cold before it was started.
const LOST_TURN_WAIT: Duration = Duration::from_millis(10);

/// Longest time between two refreshes of the state of targets while a request waits.
const MAX_REFRESH_INTERVAL_MS: u64 = 250;

/// The admission queue of one target, or of a pool of interchangeable targets.
pub(super) struct AdmissionQueue {
    clock: BootClock,
    pauses: Arc<Mutex<Pauses>>,
    inner: Mutex<Inner>,
}

struct Inner {
    id: QueueId,
    queue: Queue,
    /// Whether `queue` goes by objective.
    by_objective: bool,
    /// Waiting requests by id, with the channel for the decision about each.
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
    next_id: u64,
    /// Versions of the targets and the evacuations that `members` was built from.
    version: Option<(u64, u64)>,
    members: Vec<Member>,
    /// Whether targets are chosen by the time that they are expected to take.
    by_pace: bool,
    /// The limit of requests to cold targets; `None` if there is none.
    cold_limit: Option<ColdLimit>,
    /// Whether a task starts requests when the pace of cold targets allows it.
    pacing: bool,
    /// The end of the first pause if no member takes requests because of pauses.
    paused_until: Option<Millis>,
    /// Callers that were told when to return, since the queue is paused.
    told: u64,
    /// Arrived requests by key since the last report.
    keys: BTreeMap<Key, u32>,
    /// By route, the answered requests since the last report and the milliseconds for which they
    /// occupied slots.
    costs: BTreeMap<Arc<str>, (u32, u64)>,
    /// Keys that the target refused since the last report because it does not hold them.
    refused: BTreeSet<Key>,
    /// Slices, by first key, that the target should hold but refused, with the time before which no
    /// request for them is sent.
    expired_grants: BTreeMap<Key, Millis>,
}

/// Load of an admission queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLoad {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests that may run at once.
    pub slots: usize,
    /// Estimated wait of a new request in milliseconds.
    pub wait_ms: u64,
}

impl AdmissionQueue {
    pub(super) fn new(id: QueueId, clock: BootClock, pauses: Arc<Mutex<Pauses>>) -> Self {
        let limits = QueueLimits {
            slots: 0,
            depth: 0,
            caller_share: CALLER_SHARE_PERCENT,
        };
        Self {
            clock,
            pauses,
            inner: Mutex::new(Inner {
                id,
                queue: Queue::new(limits),
                by_objective: false,
                waiting: HashMap::new(),
                next_id: 0,
                version: None,
                members: Vec::new(),
                by_pace: false,
                cold_limit: None,
                pacing: false,
                paused_until: None,
                told: 0,
                keys: BTreeMap::new(),
                costs: BTreeMap::new(),
                refused: BTreeSet::new(),
                expired_grants: BTreeMap::new(),
            }),
        }
    }

    /// Waits for a free slot.
    pub(super) async fn acquire_slot(
        self: &Arc<Self>,
        node: &Arc<Node>,
        request: &GatewayRequest,
    ) -> Result<SlotGuard, Rejection> {
        loop {
            if let Some(slot) = self.wait_for_turn(node, request).await? {
                return Ok(slot);
            }
            tokio::time::sleep(LOST_TURN_WAIT).await;
        }
    }

    /// Waits for the turn of a request. Returns `None` if the only free slots are then those of
    /// targets that became cold meanwhile, so that it has to wait again.
    async fn wait_for_turn(
        self: &Arc<Self>,
        node: &Arc<Node>,
        request: &GatewayRequest,
    ) -> Result<Option<SlotGuard>, Rejection> {
        let (id, decided) = {
            let mut inner = self.lock();
            let now = self.clock.now();
            if let Some(key) = request.key {
                *inner.keys.entry(key).or_default() += 1;
            }
            inner.refresh(node, &self.pauses, &request.service, now);
            if inner.members.is_empty() {
                return Err(Rejection::at_once(Reason::NoOwner));
            }
            if inner.is_evacuated(node, now) {
                return Err(Rejection::at_once(Reason::PlaceEvacuated));
            }
            if !inner.members.iter().any(|it| it.admits(now)) {
                let reason = self.none_admits(&mut inner, node, request, now);
                return Err(Rejection::at_once(reason));
            }
            if inner.paused_until.is_some() && matches!(inner.id, QueueId::Pool { .. }) {
                return Err(Rejection::at_once(Reason::TargetPaused));
            }
            if request.wait_limit == WaitLimit::Objective && !inner.meets_objective(now, request) {
                return Err(Rejection::at_once(Reason::QueueFull));
            }
            let id = inner.next_id;
            inner.next_id += 1;
            match inner.queue.offer(now, request.ticket(id)) {
                OfferResult::Start => {
                    let started = self.start(&mut inner, id, request);
                    return started.map_err(Rejection::at_once);
                }
                OfferResult::Refuse(reason) => return Err(Rejection::at_once(reason)),
                OfferResult::Wait => {}
            }
            let (sender, decided) = oneshot::channel();
            inner.waiting.insert(id, sender);
            let decisions = inner.queue.expire(now);
            inner.notify(decisions);
            if self.start_pacer(&mut inner, now) {
                node.metrics.held_for_cold(&request.service);
            }
            (id, decided)
        };
        let mut entry = QueueEntry {
            queue: Arc::clone(self),
            id,
            decided: false,
        };
        let decision = self.wait(node, request, id, decided).await;
        let decision = decision.map_err(Rejection::after_wait)?;
        entry.decided = true;
        match decision {
            Decision::Start(_) => self.start(&mut self.lock(), id, request),
            Decision::Refuse(_, reason) => Err(reason),
        }
        .map_err(Rejection::after_wait)
    }

    /// Whether a request can be expected to be answered within its objective.
    pub(super) fn check_room(&self, node: &Node, request: &GatewayRequest) -> Result<(), Reason> {
        let mut inner = self.lock();
        let now = self.clock.now();
        inner.refresh(node, &self.pauses, &request.service, now);
        if inner.members.is_empty() {
            return Err(Reason::NoOwner);
        }
        if inner.meets_objective(now, request) {
            Ok(())
        } else {
            Err(Reason::QueueFull)
        }
    }

    /// Records that the target refused a key of the slice that begins with `first`.
    pub(super) fn on_refused(&self, first: Key, key: Key) {
        let mut inner = self.lock();
        inner.refused.insert(key);
        let until = self.clock.now() + EXPIRED_RETRY_MS;
        inner.expired_grants.insert(first, until);
    }

    /// Records that the target holds the slice that begins with `first`.
    pub(super) fn on_held(&self, first: Key) {
        self.lock().expired_grants.remove(&first);
    }

    /// Whether a request for the slice may be sent: while its grant has expired, one request in
    /// each `EXPIRED_RETRY_MS`.
    pub(super) fn may_send(&self, first: Key) -> bool {
        let now = self.clock.now();
        match self.lock().expired_grants.get_mut(&first) {
            Some(until) if now < *until => false,
            Some(until) => {
                *until = now + EXPIRED_RETRY_MS;
                true
            }
            None => true,
        }
    }

    /// Returns the load of the queue.
    pub(super) fn load(&self) -> QueueLoad {
        let now = self.clock.now();
        let inner = self.lock();
        QueueLoad {
            waiting: inner.queue.waiting(),
            running: inner.queue.running(),
            slots: inner.members.iter().map(|it| it.slots(now)).sum(),
            wait_ms: inner.estimated_wait_ms(now),
        }
    }

    /// Whether all targets are failing.
    pub(super) fn is_failing(&self) -> bool {
        let now = self.clock.now();
        let inner = self.lock();
        !inner.members.is_empty() && inner.members.iter().all(|it| it.capacity(now) == 0)
    }

    /// Whether a request waits or runs.
    pub(super) fn is_busy(&self) -> bool {
        let inner = self.lock();
        inner.queue.running() + inner.queue.waiting() > 0
    }

    /// Takes the load of the target since the last call; `None` if there were no requests.
    pub(super) fn take_load(&self, target: &Arc<str>) -> Option<TargetLoad> {
        let mut inner = self.lock();
        if inner.keys.is_empty() && inner.costs.is_empty() {
            return None;
        }
        let keys = std::mem::take(&mut inner.keys).into_iter();
        let costs = std::mem::take(&mut inner.costs).into_iter();
        Some(TargetLoad {
            target: Arc::clone(target),
            keys: keys.map(|(key, count)| KeyCount { key, count }).collect(),
            costs: costs
                .map(|(route, (count, busy_ms))| RouteCost {
                    route,
                    count,
                    busy_ms: u32::try_from(busy_ms).unwrap_or(u32::MAX),
                })
                .collect(),
            refused: std::mem::take(&mut inner.refused).into_iter().collect(),
            waiting: u32::try_from(inner.queue.waiting()).unwrap_or(u32::MAX),
        })
    }

    async fn wait(
        self: &Arc<Self>,
        node: &Node,
        request: &GatewayRequest,
        id: u64,
        mut decided: oneshot::Receiver<Decision>,
    ) -> Result<Decision, Reason> {
        loop {
            let due = {
                let mut inner = self.lock();
                let now = self.clock.now();
                inner.refresh(node, &self.pauses, &request.service, now);
                // Not later than the next refresh, so that another data centre has time to answer.
                if inner.is_evacuated(node, now) && inner.waiting.contains_key(&id) {
                    return Err(Reason::PlaceEvacuated);
                }
                let decisions = inner.queue.expire(now);
                inner.notify(decisions);
                self.start_pacer(&mut inner, now);
                inner.queue.next_due(now).map(|it| it.saturating_sub(now))
            };
            let pause = Duration::from_millis(
                due.unwrap_or(MAX_REFRESH_INTERVAL_MS)
                    .clamp(1, MAX_REFRESH_INTERVAL_MS),
            );
            tokio::select! {
                decision = &mut decided => {
                    return Ok(decision.expect("a waiting request gets a decision"));
                }
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn start(
        self: &Arc<Self>,
        inner: &mut Inner,
        id: u64,
        request: &GatewayRequest,
    ) -> Result<Option<SlotGuard>, Reason> {
        let now = self.clock.now();
        let Some(member) = inner.pick_member(now) else {
            if inner.cold_limit.is_some() {
                inner.update_limits(now);
            }
            let decisions = inner.queue.finish(now, id, 0, RequestEnd::Cancelled);
            inner.notify(decisions);
            if inner.members.iter().any(|it| it.admits(now)) {
                return Ok(None);
            }
            return Err(if inner.members.is_empty() {
                Reason::NoOwner
            } else {
                Reason::TargetDraining
            });
        };
        member.on_start(now);
        let slot = SlotGuard::new(self, id, now, &request.route, member);
        Ok(Some(slot))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }
}

impl Inner {
    /// Updates the members from the list of targets, and the limits of the queue from the members.
    fn refresh(&mut self, node: &Node, pauses: &Mutex<Pauses>, service: &str, now: Millis) {
        let targets = node.targets();
        let evacuations = node.evacuations();
        self.update_order(node, service);
        let version = (targets.version(), evacuations.version());
        let cold_limit = cold_limit_of(node, service);
        if self.version != Some(version) || self.cold_limit != cold_limit {
            self.cold_limit = cold_limit;
            self.version = Some(version);
            let catalog = node.catalog.load();
            self.by_pace = catalog.as_ref().is_some_and(|it| it.has_mixed_load());
            let connections = catalog
                .as_ref()
                .and_then(|it| it.service(service).map(|it| it.connections))
                .and_then(|it| usize::try_from(it).ok())
                .unwrap_or(DEFAULT_CONNECTIONS);
            let mut old = std::mem::take(&mut self.members);
            let mut leaving = Vec::new();
            for (name, entry) in targets.registered() {
                let belongs = match &self.id {
                    QueueId::Target(target) => name == target,
                    QueueId::Pool { service, place } => {
                        entry.service == *service && entry.place == *place
                    }
                };
                if !belongs || entry.state == TargetState::Draining {
                    continue;
                }
                let known = old.iter().position(|it| {
                    it.name == *name
                        && it.entry.started_ms == entry.started_ms
                        && it.entry.address == entry.address
                });
                let mut member = if let Some(idx) = known {
                    old.swap_remove(idx)
                } else {
                    let mut new = Member::new(Arc::clone(name), Arc::clone(entry), connections);
                    let former = old.iter().find(|it| it.name == *name);
                    new.warm_up = self.new_warm_up(former, node, &targets, name, now);
                    new
                };
                member.entry = Arc::clone(entry);
                self.update_warm_up(&mut member, node, &targets, &evacuations, now);
                let incarnation = entry.incarnation(name);
                let pauses = pauses.lock().expect("lock is not poisoned");
                let pause = pauses.get(&incarnation);
                if pause.until > member.pause.until {
                    member.pause = pause;
                }
                let departs = targets.closed_from(&incarnation, node.drain_ms());
                let evacuated = evacuations.closed_from(&entry.place, node.evacuation_ms());
                member.closed_from = departs.into_iter().chain(evacuated).min();
                match entry.state {
                    TargetState::Ready => self.members.push(member),
                    TargetState::Leaving | TargetState::Draining => leaving.push(member),
                }
            }
            // Leaving targets serve as long as there are no others.
            if self.members.is_empty() {
                self.members = leaving;
            }
        }
        drop(evacuations);
        drop(targets);
        self.doubt_unheard(node, now);
        self.update_role(node, service, now);
        self.update_limits(now);
    }

    /// Whether nothing is sent to the members, because their data centre is evacuated.
    fn is_evacuated(&self, node: &Node, now: Millis) -> bool {
        let closed = |it: &Member| node.access(&it.entry.place, now) == Access::Closed;
        !self.members.is_empty() && self.members.iter().all(closed)
    }

    /// Whether the request can be expected to be answered within its objective.
    fn meets_objective(&self, now: Millis, request: &GatewayRequest) -> bool {
        let is_paced = self.members.iter().any(|it| it.next_start(now).is_some());
        if self.by_objective && !is_paced {
            return self
                .queue
                .meets_objective(now, request.ticket(self.next_id));
        }
        now + self.estimated_wait_ms(now) + self.mean_ms() <= request.objective
    }

    /// The mean service time of the targets in milliseconds; 0 before the first answer.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a service time is positive and far below 2^63 ms"
    )]
    fn mean_ms(&self) -> u64 {
        let mean = self.members.iter().filter_map(|it| it.mean_ms);
        let (sum, count) = mean.fold((0.0, 0.0), |it, mean| (it.0 + mean, it.1 + 1.0));
        if count > 0.0 { (sum / count) as u64 } else { 0 }
    }

    /// The target for a request: the least busy one, preferring those with a free slot. Where load is
    /// mixed, the one with a free slot that is expected to answer first.
    fn pick_member(&mut self, now: Millis) -> Option<&mut Member> {
        if self.by_pace {
            let members = self.members.iter_mut();
            let admitting = members.filter(|it| it.admits(now) && it.may_start(now));
            return admitting.min_by_key(|it| it.preference(now));
        }
        let busy = |it: &Member| {
            let slots = it.slots(now).max(1);
            let full = it.running >= slots;
            let unusable = it.slots(now) == 0;
            (unusable, full, it.running * 1_000 / slots, it.last_used)
        };
        let admitting = self.members.iter_mut();
        let admitting = admitting.filter(|it| it.admits(now) && it.may_start(now));
        admitting.min_by_key(|it| busy(it))
    }

    fn notify(&mut self, decisions: Decisions) {
        for decision in decisions {
            let id = match decision {
                Decision::Start(id) | Decision::Refuse(id, _) => id,
            };
            if let Some(sender) = self.waiting.remove(&id) {
                // The receiver is gone if the caller left; `QueueEntry` then cancels the request.
                let _ = sender.send(decision);
            }
        }
    }
}

/// A waiting request; dropping it before the decision, because its caller has left, cancels it.
struct QueueEntry {
    queue: Arc<AdmissionQueue>,
    id: u64,
    decided: bool,
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        if self.decided {
            return;
        }
        let mut inner = self.queue.lock();
        inner.waiting.remove(&self.id);
        let now = self.queue.clock.now();
        inner.update_limits(now);
        let decisions = inner.queue.cancel(now, self.id);
        inner.notify(decisions);
    }
}
