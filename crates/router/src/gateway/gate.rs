//! The queue and the connections of one target.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admission::{Decision, Decisions, End, Limits, Offer, Queue, Ticket};
use coordinator::Millis;
use pool::Pool;
use process::BootClock;
use refusal::Reason;
use tokio::sync::oneshot;

use crate::state::TargetEntry;

/// Requests that wait for one slot of a target.
const DEPTH_PER_SLOT: usize = 32;

/// Waiting requests of one caller in percent of the queue; callers are not told apart.
const CALLER_SHARE: u32 = 100;

/// The queue and the connections of one target.
pub struct Gate {
    /// Connections to the target.
    pub pool: Pool,
    clock: BootClock,
    inner: Mutex<Inner>,
}

struct Inner {
    queue: Queue,
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
    next: u64,
}

/// The place of a running request; it must be ended.
pub struct Turn {
    gate: Arc<Gate>,
    id: u64,
    started: Millis,
    ended: bool,
}

impl Gate {
    /// Creates the gate of a target.
    pub fn new(entry: &TargetEntry, connections: usize, clock: BootClock) -> Self {
        let slots = usize::try_from(entry.slots).unwrap_or(1).max(1);
        let limits = Limits {
            slots,
            depth: slots * DEPTH_PER_SLOT,
            caller_share: CALLER_SHARE,
        };
        Self {
            pool: Pool::new(entry.address, connections),
            clock,
            inner: Mutex::new(Inner {
                queue: Queue::new(limits),
                waiting: HashMap::new(),
                next: 0,
            }),
        }
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.lock().queue.running()
    }

    /// Waits for a slot.
    pub async fn enter(
        self: &Arc<Self>,
        priority: u8,
        key: u64,
        deadline: Millis,
    ) -> Result<Turn, Reason> {
        let (id, decided) = {
            let mut inner = self.lock();
            let id = inner.next;
            inner.next += 1;
            let now = self.clock.now();
            let ticket = Ticket {
                id,
                key,
                caller: 0,
                priority,
                deadline,
            };
            match inner.queue.offer(now, ticket) {
                Offer::Start => return Ok(self.turn(id)),
                Offer::Refuse(reason) => return Err(reason),
                Offer::Wait => {}
            }
            let (sender, decided) = oneshot::channel();
            inner.waiting.insert(id, sender);
            let decisions = inner.queue.expire(now);
            inner.tell(decisions);
            (id, decided)
        };
        let mut place = Place {
            gate: Arc::clone(self),
            id,
            left: false,
        };
        let decision = self.wait(decided).await;
        place.left = true;
        match decision {
            Decision::Start(_) => Ok(self.turn(id)),
            Decision::Refuse(_, reason) => Err(reason),
        }
    }

    async fn wait(&self, mut decided: oneshot::Receiver<Decision>) -> Decision {
        loop {
            let due = {
                let mut inner = self.lock();
                let now = self.clock.now();
                let decisions = inner.queue.expire(now);
                inner.tell(decisions);
                inner.queue.next_due(now).map(|it| it.saturating_sub(now))
            };
            let pause = Duration::from_millis(due.unwrap_or(1_000).clamp(1, 1_000));
            match tokio::time::timeout(pause, &mut decided).await {
                Ok(decision) => {
                    return decision.expect("a waiting request is told what becomes of it");
                }
                Err(_) => {}
            }
        }
    }

    fn turn(self: &Arc<Self>, id: u64) -> Turn {
        Turn {
            gate: Arc::clone(self),
            id,
            started: self.clock.now(),
            ended: false,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    fn tell(&mut self, decisions: Decisions) {
        for decision in decisions {
            let id = match decision {
                Decision::Start(id) | Decision::Refuse(id, _) => id,
            };
            if let Some(sender) = self.waiting.remove(&id) {
                // The request withdraws itself when its caller is gone.
                let _ = sender.send(decision);
            }
        }
    }
}

/// A waiting request; withdrawn if its caller goes away.
struct Place {
    gate: Arc<Gate>,
    id: u64,
    left: bool,
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        let mut inner = self.gate.lock();
        inner.waiting.remove(&self.id);
        let now = self.gate.clock.now();
        let decisions = inner.queue.cancel(now, self.id);
        inner.tell(decisions);
    }
}

impl Turn {
    /// Ends the request and starts the next one.
    pub fn end(mut self, end: End) {
        self.finish(end);
    }

    fn finish(&mut self, end: End) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.gate.clock.now();
        let mut inner = self.gate.lock();
        let took = now.saturating_sub(self.started);
        let decisions = inner.queue.finish(now, self.id, took, end);
        inner.tell(decisions);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.finish(End::Cancelled);
    }
}
