//! One target as seen from one of its sponsors: ownership state, queue, health and connections.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use admission::{Decision, End, Health, HealthState, Limits, OfferResult, Outcome, Queue, Ticket};
use ownership::{Gateway, Intent, Permit, PermitError, TargetId};
use platform::Commit;
use pool::Pool;
use refusal::Reason;
use tokio::sync::oneshot;

use crate::{clock::Millis, coalesce::Sharing, host::Host, load::Load};

/// Waiting requests of one caller, in percent of the queue.
const CALLER_SHARE_PERCENT: u32 = 50;

/// Time after its start for which a request whose connection broke is a suspect of a crash.
const SUSPECT_MS: u64 = 2_000;

/// A target, its gateway state machine and everything that its dispatches share.
pub struct Gate {
    /// The target.
    pub id: TargetId,
    /// The address of the target.
    pub address: SocketAddr,
    /// Connections to the target.
    pub pool: Pool,
    /// Requests that share answers.
    pub sharing: Sharing,
    inner: Mutex<Inner>,
}

/// The part of a gate that its lock guards.
pub struct Inner {
    /// The ownership state machine.
    pub gateway: Gateway,
    /// The queue of requests.
    pub queue: Queue,
    /// What requests show of the target's health.
    pub health: Health,
    /// Load since the last summary.
    pub load: Load,
    /// Whether the target says that it is draining.
    pub draining: bool,
    /// When this host became the target's gateway.
    pub since: Option<Millis>,
    /// The target's incarnation in its last grant answer.
    pub incarnation: Option<u64>,
    /// Destinations of planned moves, by the lowest hash of the slice.
    pub planned: HashMap<u64, Arc<str>>,
    /// A commit whose outcome is unknown.
    pub pending: Option<(Intent, Commit)>,
    limits: Limits,
    slots: usize,
    waiting: HashMap<u64, oneshot::Sender<Reason>>,
    starting: HashMap<u64, oneshot::Sender<()>>,
    flying: HashMap<u64, Flight>,
    broken: Vec<Flight>,
    crashed: Option<Millis>,
    next: u64,
}

impl Gate {
    /// Creates the gate of a target.
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
            load: Load::new(),
            draining: false,
            since: None,
            incarnation: None,
            planned: HashMap::new(),
            pending: None,
            waiting: HashMap::new(),
            starting: HashMap::new(),
            flying: HashMap::new(),
            broken: Vec::new(),
            crashed: None,
            next: 0,
        };
        // One connection stays free for grants and probes.
        let pool = Pool::new(address, target.connections.saturating_sub(1).max(1));
        Self {
            id,
            address,
            pool,
            sharing: Sharing::default(),
            inner: Mutex::new(inner),
        }
    }

    /// Locks the gate's state.
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Applies the limits of a new document.
    pub fn set_limits(&self, service: &document::Service, target: &document::Target) {
        self.pool
            .set_limit(target.connections.saturating_sub(1).max(1));
        self.lock().set_limits(limits(service, target));
    }
}

impl Inner {
    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, now: Millis, mut ticket: Ticket, standing: Standing) -> (u64, Entered) {
        let id = self.next;
        self.next += 1;
        ticket.id = id;
        if let HealthState::Failing { until } = self.health.state(now)
            && until >= ticket.deadline
        {
            return (id, Entered::Refused(Reason::TargetFailing));
        }
        self.follow_health(now);
        let offer = match standing {
            Standing::Good => self.queue.offer(now, ticket),
            Standing::Suspect => self.queue.offer_suspect(now, ticket),
        };
        let entered = match offer {
            OfferResult::Start => Entered::Started,
            OfferResult::Refuse(reason) => Entered::Refused(reason),
            OfferResult::Wait => {
                let (start, started) = oneshot::channel();
                let (refuse, refused) = oneshot::channel();
                self.starting.insert(id, start);
                self.waiting.insert(id, refuse);
                // The new request may have pushed out another one.
                self.expire(now);
                Entered::Waiting { started, refused }
            }
        };
        (id, entered)
    }

    /// Ends a request in the queue, whether it waits or runs.
    pub fn leave(&mut self, now: Millis, id: u64, took_ms: u64, end: End) {
        self.flying.remove(&id);
        let decisions = if self.waiting.remove(&id).is_some() {
            self.starting.remove(&id);
            self.queue.cancel(now, id)
        } else {
            self.queue.finish(now, id, took_ms, end)
        };
        self.settle(decisions);
    }

    /// Gives the queue the slots that the target's health allows.
    fn follow_health(&mut self, now: Millis) {
        let slots = self.health.slots(now, self.limits.slots);
        if slots != self.slots {
            self.slots = slots;
            self.queue.set_limits(Limits {
                slots,
                ..self.limits
            });
        }
    }

    /// Refuses the waiting requests that can no longer be answered in time.
    pub fn expire(&mut self, now: Millis) {
        self.follow_health(now);
        let decisions = self.queue.expire(now);
        self.settle(decisions);
    }

    /// Applies the limits of a new document.
    fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        self.slots = limits.slots;
        self.queue.set_limits(limits);
    }

    /// Records that the request was sent.
    pub fn sent(&mut self, now: Millis, id: u64, fingerprint: u64) {
        let flight = Flight {
            fingerprint,
            sent: now,
        };
        self.flying.insert(id, flight);
    }

    /// Records that a connection broke before the answer was complete.
    pub fn broke(&mut self, now: Millis, id: u64) {
        self.health.on_answer(now, Outcome::Failed);
        let Some(flight) = self.flying.remove(&id) else {
            return;
        };
        self.broken.retain(|it| it.sent + SUSPECT_MS > now);
        self.broken.push(flight);
    }

    /// The fingerprints of the requests that were in flight when the target crashed. A request is
    /// charged with one crash only, even if its broken connection is seen after the crash was.
    pub fn suspects(&mut self, now: Millis) -> Vec<u64> {
        let counted = self.crashed.replace(now);
        let broken = self.broken.drain(..);
        let mut out = Vec::new();
        for it in self.flying.values().copied().chain(broken) {
            if counted.is_some_and(|at| it.sent <= at) {
                continue;
            }
            out.push(it.fingerprint);
        }
        out.sort_unstable();
        out.dedup();
        out
    }

    /// Whether a request for this key may be sent now.
    pub fn permit(&self, now: Millis, hash: u64) -> Result<Permit, Reason> {
        self.gateway.may_start(now, hash).map_err(reason_of)
    }

    fn settle(&mut self, decisions: impl IntoIterator<Item = Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(id) => {
                    self.waiting.remove(&id);
                    if let Some(start) = self.starting.remove(&id) {
                        // A receiver that is gone leaves the queue by itself.
                        let _ = start.send(());
                    }
                }
                Decision::Refuse(id, reason) => {
                    self.starting.remove(&id);
                    if let Some(refuse) = self.waiting.remove(&id) {
                        let _ = refuse.send(reason);
                    }
                }
            }
        }
    }
}

/// Whether a request may share a target with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// It may.
    Good,
    /// It was in flight when a target crashed, and runs alone.
    Suspect,
}

/// A request that was sent to the target.
#[derive(Clone, Copy, Debug)]
struct Flight {
    fingerprint: u64,
    sent: Millis,
}

/// How a request entered the queue.
pub enum Entered {
    /// It may start at once.
    Started,
    /// It waits for one of these.
    Waiting {
        /// It may start.
        started: oneshot::Receiver<()>,
        /// It is refused.
        refused: oneshot::Receiver<Reason>,
    },
    /// It is refused.
    Refused(Reason),
}

/// A place in the queue of a gate; leaves the queue when it is dropped.
pub struct Turn {
    host: Arc<Host>,
    gate: Arc<Gate>,
    id: u64,
    begun: Option<Millis>,
    permit: Option<Permit>,
    linger: Option<Millis>,
    end: End,
}

impl Turn {
    /// Creates the guard of the queue entry `id`.
    pub fn new(host: Arc<Host>, gate: Arc<Gate>, id: u64) -> Self {
        Self {
            host,
            gate,
            id,
            begun: None,
            permit: None,
            linger: None,
            end: End::Cancelled,
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
        // A second attempt of the request takes the place of the first.
        if let Some(earlier) = self.permit.take() {
            self.release(inner, now, earlier);
        }
        inner.gateway.started(now, &permit);
        self.begun = Some(now);
        self.permit = Some(permit);
    }

    /// Counts the request as in flight until its deadline unless it is answered, because the target
    /// checks no grants and may work on after its connection is closed.
    pub fn with_linger(mut self, deadline: Millis) -> Self {
        self.linger = Some(deadline);
        self
    }

    /// Ends the part of the request that the ownership rules see.
    fn release(&self, inner: &mut Inner, now: Millis, permit: Permit) {
        let until = self
            .linger
            .filter(|it| *it > now && self.end != End::Answered);
        let Some(until) = until else {
            return inner.gateway.finished(now, &permit);
        };
        let (host, gate) = (Arc::clone(&self.host), Arc::clone(&self.gate));
        tokio::spawn(async move {
            tokio::time::sleep(host.clock.until(until)).await;
            gate.lock().gateway.finished(host.clock.now(), &permit);
            host.wake.notify_one();
        });
    }

    /// Ends the turn.
    pub fn end(mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let now = self.host.clock.now();
        let mut inner = self.gate.lock();
        if let Some(permit) = self.permit.take() {
            self.release(&mut inner, now, permit);
        }
        let took_ms = self.begun.map_or(0, |it| now.saturating_sub(it));
        inner.leave(now, self.id, took_ms, self.end);
        drop(inner);
        self.host.wake.notify_one();
    }
}

fn limits(service: &document::Service, target: &document::Target) -> Limits {
    Limits {
        slots: target.slots,
        depth: service.queue,
        caller_share: CALLER_SHARE_PERCENT,
    }
}

/// The refusal for a denial of the ownership rules.
pub fn reason_of(denial: PermitError) -> Reason {
    match denial {
        PermitError::NoTenure => Reason::NotGateway,
        PermitError::NotHeld | PermitError::Moving => Reason::NoOwner,
        PermitError::Draining => Reason::TargetDraining,
        PermitError::Unreachable => Reason::TargetUnreachable,
    }
}

#[cfg(test)]
mod tests;
