//! What a voter keeps for one of its targets: ownership state, queue, health and connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use admission::{
    Decision, Health, HealthOutcome, HealthState, OfferResult, Queue, QueueLimits, RequestEnd,
    Ticket,
};
use ownership::{Gateway, Intent, Permit, PermitError, TargetId};
use platform::Commit;
use pool::Pool;
use refusal::Reason;
use tokio::sync::oneshot;

use crate::{clock::Millis, coalesce::Coalescing, host::Host, load::LoadCounters};

/// Maximum number of waiting requests of one caller, in percent of the queue's depth.
const CALLER_SHARE_PERCENT: u32 = 50;

/// A request whose connection broke is suspected of a crash until this time after it was sent.
const SUSPECT_MS: u64 = 2_000;

/// A target, its gateway state machine and everything that requests to it share.
pub struct GatewayTarget {
    pub id: TargetId,
    pub address: SocketAddr,
    /// Connections to the target.
    pub pool: Pool,
    /// Groups of equal requests that share one answer.
    pub coalescing: Coalescing,
    inner: Mutex<Inner>,
}

/// The mutable state of a [`GatewayTarget`], behind its lock.
pub struct Inner {
    /// The ownership state machine.
    pub gateway: Gateway,
    /// The queue of requests.
    pub queue: Queue,
    /// The target's health as derived from answers and failures.
    pub health: Health,
    /// Load since the last summary.
    pub load: LoadCounters,
    /// Whether the target says that it is draining.
    pub draining: bool,
    /// When this host became the target's gateway; `None` while it is not.
    pub gateway_since: Option<Millis>,
    /// The target's incarnation in its last answer to a grant, if any.
    pub incarnation: Option<u64>,
    /// Destinations of planned moves, by the lowest hash of the slice.
    pub planned_moves: HashMap<u64, Arc<str>>,
    /// A commit whose outcome is unknown, with what it is for.
    pub pending_commit: Option<(Intent, Commit)>,
    limits: QueueLimits,
    slots: usize,
    refuse_senders: HashMap<u64, oneshot::Sender<Reason>>,
    start_senders: HashMap<u64, oneshot::Sender<()>>,
    in_flight: HashMap<u64, InFlight>,
    broken: Vec<InFlight>,
    last_crash: Option<Millis>,
    next_id: u64,
}

impl GatewayTarget {
    /// Creates the state of a target, with an empty queue.
    pub fn new(
        id: TargetId,
        address: SocketAddr,
        gateway: Gateway,
        service: &document::Service,
        target: &document::Target,
    ) -> Self {
        let inner = Inner {
            gateway,
            queue: Queue::new(limits(service, target)),
            limits: limits(service, target),
            slots: target.slots,
            health: Health::new(),
            load: LoadCounters::new(),
            draining: false,
            gateway_since: None,
            incarnation: None,
            planned_moves: HashMap::new(),
            pending_commit: None,
            refuse_senders: HashMap::new(),
            start_senders: HashMap::new(),
            in_flight: HashMap::new(),
            broken: Vec::new(),
            last_crash: None,
            next_id: 0,
        };
        // One connection stays free for grants and probes.
        let pool = Pool::new(address, target.connections.saturating_sub(1).max(1));
        Self {
            id,
            address,
            pool,
            coalescing: Coalescing::default(),
            inner: Mutex::new(inner),
        }
    }

    /// Locks the state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("lock is not poisoned")
    }

    /// Applies the limits of a new document.
    pub fn set_limits(&self, service: &document::Service, target: &document::Target) {
        self.pool
            .set_limit(target.connections.saturating_sub(1).max(1));
        self.lock().set_limits(limits(service, target));
    }
}

impl Inner {
    /// Starts, queues or refuses a request. Returns its identifier in the queue with the result.
    pub fn offer(
        &mut self,
        now: Millis,
        mut ticket: Ticket,
        isolation: Isolation,
    ) -> (u64, Admission) {
        let id = self.next_id;
        self.next_id += 1;
        ticket.id = id;
        if let HealthState::Failing { until } = self.health.state(now)
            && until >= ticket.deadline
        {
            return (id, Admission::Refused(Reason::TargetFailing));
        }
        self.apply_health(now);
        let offer = match isolation {
            Isolation::Shared => self.queue.offer(now, ticket),
            Isolation::Alone => self.queue.offer_suspect(now, ticket),
        };
        let admission = match offer {
            OfferResult::Start => Admission::Started,
            OfferResult::Refuse(reason) => Admission::Refused(reason),
            OfferResult::Wait => {
                let (start, started) = oneshot::channel();
                let (refuse, refused) = oneshot::channel();
                self.start_senders.insert(id, start);
                self.refuse_senders.insert(id, refuse);
                // The new request may have evicted another one from the queue.
                self.expire(now);
                Admission::Waiting { started, refused }
            }
        };
        (id, admission)
    }

    /// Removes a waiting or running request from the queue.
    pub fn remove(&mut self, now: Millis, id: u64, took_ms: u64, end: RequestEnd) {
        self.in_flight.remove(&id);
        let decisions = if self.refuse_senders.remove(&id).is_some() {
            self.start_senders.remove(&id);
            self.queue.cancel(now, id)
        } else {
            self.queue.finish(now, id, took_ms, end)
        };
        self.apply(decisions);
    }

    /// Limits the queue to the slots that the target's health allows.
    fn apply_health(&mut self, now: Millis) {
        let slots = self.health.slots(now, self.limits.slots);
        if slots != self.slots {
            self.slots = slots;
            self.queue.set_limits(QueueLimits {
                slots,
                ..self.limits
            });
        }
    }

    /// Refuses the waiting requests that cannot be answered before their deadline.
    pub fn expire(&mut self, now: Millis) {
        self.apply_health(now);
        let decisions = self.queue.expire(now);
        self.apply(decisions);
    }

    /// Applies the limits of a new document.
    fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        self.slots = limits.slots;
        self.queue.set_limits(limits);
    }

    /// Records that the request was sent.
    pub fn record_sent(&mut self, now: Millis, id: u64, fingerprint: u64) {
        let request = InFlight {
            fingerprint,
            sent: now,
        };
        self.in_flight.insert(id, request);
    }

    /// Records that a connection broke before the answer was complete.
    pub fn record_broken(&mut self, now: Millis, id: u64) {
        self.health.on_outcome(now, HealthOutcome::Failed);
        let Some(request) = self.in_flight.remove(&id) else {
            return;
        };
        self.broken.retain(|it| it.sent + SUSPECT_MS > now);
        self.broken.push(request);
    }

    /// Records a crash and returns the fingerprints of the requests that were in flight. A request
    /// is charged with one crash only, even if its broken connection is detected after the crash.
    pub fn take_suspects(&mut self, now: Millis) -> Vec<u64> {
        let previous = self.last_crash.replace(now);
        let broken = self.broken.drain(..);
        let mut out = Vec::new();
        for it in self.in_flight.values().copied().chain(broken) {
            if previous.is_some_and(|at| it.sent <= at) {
                continue;
            }
            out.push(it.fingerprint);
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// The permit to send a request for the key with this hash now.
    pub fn permit(&self, now: Millis, hash: u64) -> Result<Permit, Reason> {
        self.gateway.may_start(now, hash).map_err(reason_of)
    }

    fn apply(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(id) => {
                    self.refuse_senders.remove(&id);
                    if let Some(start) = self.start_senders.remove(&id) {
                        // A cancelled request removes itself from the queue.
                        let _ = start.send(());
                    }
                }
                Decision::Refuse(id, reason) => {
                    self.start_senders.remove(&id);
                    if let Some(refuse) = self.refuse_senders.remove(&id) {
                        let _ = refuse.send(reason);
                    }
                }
            }
        }
    }
}

/// Whether a request may run on a target at the same time as others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Isolation {
    /// It may.
    Shared,
    /// It was in flight when a target crashed, and runs alone.
    Alone,
}

/// A request that was sent to the target.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    fingerprint: u64,
    sent: Millis,
}

/// Whether a request starts, waits or is refused.
pub enum Admission {
    /// It may start at once.
    Started,
    /// It waits in the queue until one of these channels yields.
    Waiting {
        /// Yields when the request may start.
        started: oneshot::Receiver<()>,
        /// Yields the reason when the request is refused.
        refused: oneshot::Receiver<Reason>,
    },
    /// It is refused.
    Refused(Reason),
}

/// Guard of a queue entry or slot of a target. Dropping it removes the request from the queue.
pub struct SlotGuard {
    host: Arc<Host>,
    target: Arc<GatewayTarget>,
    id: u64,
    started_at: Option<Millis>,
    permit: Option<Permit>,
    in_flight_until: Option<Millis>,
    end: RequestEnd,
}

impl SlotGuard {
    /// Creates the guard of the queue entry `id`.
    pub fn new(host: Arc<Host>, target: Arc<GatewayTarget>, id: u64) -> Self {
        Self {
            host,
            target,
            id,
            started_at: None,
            permit: None,
            in_flight_until: None,
            end: RequestEnd::Cancelled,
        }
    }

    /// The identifier in the queue.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Lowest hash of the slice that the request was started for.
    pub fn low(&self) -> Option<u64> {
        self.permit.as_ref().map(|it| it.low)
    }

    /// Records that the request starts under `permit`.
    pub fn begin(&mut self, inner: &mut Inner, now: Millis, permit: Permit) {
        // A second attempt of the request replaces the first.
        if let Some(previous) = self.permit.take() {
            self.release(inner, now, previous);
        }
        inner.gateway.started(now, &permit);
        self.started_at = Some(now);
        self.permit = Some(permit);
    }

    /// Counts the request as in flight until `deadline` unless it is answered. For targets that
    /// check no grants: they may go on with the request after its connection is closed.
    pub fn with_in_flight_until(mut self, deadline: Millis) -> Self {
        self.in_flight_until = Some(deadline);
        self
    }

    /// Tells the ownership state machine that the request has ended, at once or at the deadline
    /// up to which it counts as in flight.
    fn release(&self, inner: &mut Inner, now: Millis, permit: Permit) {
        let until = self
            .in_flight_until
            .filter(|it| *it > now && self.end != RequestEnd::Answered);
        let Some(until) = until else {
            return inner.gateway.finished(now, &permit);
        };
        let (host, target) = (Arc::clone(&self.host), Arc::clone(&self.target));
        tokio::spawn(async move {
            tokio::time::sleep(host.clock.until(until)).await;
            target.lock().gateway.finished(host.clock.now(), &permit);
            host.wake.notify_one();
        });
    }

    /// Removes the request from the queue with this result.
    pub fn end(mut self, end: RequestEnd) {
        self.end = end;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        let mut inner = self.target.lock();
        if let Some(permit) = self.permit.take() {
            self.release(&mut inner, now, permit);
        }
        let took_ms = self.started_at.map_or(0, |it| now.saturating_sub(it));
        inner.remove(now, self.id, took_ms, self.end);
        drop(inner);
        self.host.wake.notify_one();
    }
}

fn limits(service: &document::Service, target: &document::Target) -> QueueLimits {
    QueueLimits {
        slots: target.slots,
        depth: service.queue,
        caller_share: CALLER_SHARE_PERCENT,
    }
}

/// The reason for a refusal if the ownership rules give no permit.
pub fn reason_of(err: PermitError) -> Reason {
    match err {
        PermitError::NoTenure => Reason::NotGateway,
        PermitError::NotHeld | PermitError::Moving => Reason::NoOwner,
        PermitError::Draining => Reason::TargetDraining,
        PermitError::Unreachable => Reason::TargetUnreachable,
    }
}

#[cfg(test)]
mod tests;
