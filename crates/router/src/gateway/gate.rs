//! The queue in front of one target, or of several that can replace each other.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admission::{Decision, Decisions, End, Limits, Offer, Outcome, Queue, Ticket};
use coordinator::{Incarnation, Key, Millis};
use pool::Pool;
use process::BootClock;
use refusal::Reason;
use tokio::sync::oneshot;

use super::{GateId, Patience, Task, member::Member};
use crate::{
    node::Node,
    peers::{KeyCount, RouteCost, TargetLoad},
    state::TargetState,
};

/// Requests that wait for one slot of a target.
const DEPTH_PER_SLOT: usize = 32;

/// Waiting requests of one caller in percent of the queue; callers are not told apart.
const CALLER_SHARE: u32 = 100;

/// Connections to a target of a service that the configuration does not name.
const CONNECTIONS: usize = 16;

/// Interval at which a request is sent to a target for keys whose grant has lapsed.
const LAPSED_MS: u64 = 150;

/// Longest time between two looks at the state of targets while a request waits.
const LOOK_MS: u64 = 250;

/// The queue in front of one target, or of several that can replace each other.
pub(super) struct Gate {
    clock: BootClock,
    inner: Mutex<Inner>,
}

struct Inner {
    queue: Queue,
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
    next: u64,
    /// Version of the list of targets that `members` come from.
    version: Option<u64>,
    members: Vec<Member>,
    keys: BTreeMap<Key, u32>,
    costs: BTreeMap<Arc<str>, (u32, u64)>,
    refused: BTreeSet<Key>,
    /// First keys of slices that the target does not hold although it should, and until when no
    /// request for them is sent.
    lapsed: BTreeMap<Key, Millis>,
}

/// How busy a gate is.
#[derive(Clone, Copy, Debug)]
pub struct GateLoad {
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests that may run.
    pub slots: usize,
    /// Milliseconds that a request can be expected to wait.
    pub wait_ms: u64,
}

/// The place of a running request.
pub(super) struct Turn {
    gate: Arc<Gate>,
    id: u64,
    started: Millis,
    route: Arc<str>,
    ended: bool,
    /// The target that runs it.
    pub(super) life: Incarnation,
    /// Connections to the target.
    pub(super) pool: Arc<Pool>,
}

impl Gate {
    pub(super) fn new(clock: BootClock) -> Self {
        let limits = Limits {
            slots: 0,
            depth: 0,
            caller_share: CALLER_SHARE,
        };
        Self {
            clock,
            inner: Mutex::new(Inner {
                queue: Queue::new(limits),
                waiting: HashMap::new(),
                next: 0,
                version: None,
                members: Vec::new(),
                keys: BTreeMap::new(),
                costs: BTreeMap::new(),
                refused: BTreeSet::new(),
                lapsed: BTreeMap::new(),
            }),
        }
    }

    /// Waits for a slot.
    pub(super) async fn enter(self: &Arc<Self>, node: &Node, task: &Task) -> Result<Turn, Reason> {
        let (id, decided) = {
            let mut inner = self.lock();
            let now = self.clock.now();
            if let Some(key) = task.key {
                *inner.keys.entry(key).or_default() += 1;
            }
            inner.refresh(node, &task.gate, &task.service, now);
            if inner.members.is_empty() {
                return Err(Reason::NoOwner);
            }
            if task.patience == Patience::Objective && !inner.is_quick(now, task) {
                return Err(Reason::QueueFull);
            }
            let id = inner.next;
            inner.next += 1;
            let ticket = Ticket {
                id,
                key: task.key.map_or(0, u64::from),
                caller: 0,
                priority: task.priority,
                deadline: task.end,
            };
            match inner.queue.offer(now, ticket) {
                Offer::Start => return self.turn(&mut inner, id, task),
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
        let decision = self.wait(node, task, decided).await;
        place.left = true;
        match decision {
            Decision::Start(_) => self.turn(&mut self.lock(), id, task),
            Decision::Refuse(_, reason) => Err(reason),
        }
    }

    /// Notes that the target does not hold a key of the slice that begins with `first`.
    pub(super) fn on_refused(&self, first: Key, key: Key) {
        let mut inner = self.lock();
        inner.refused.insert(key);
        let until = self.clock.now() + LAPSED_MS;
        inner.lapsed.insert(first, until);
    }

    /// Notes that the target holds the slice that begins with `first`.
    pub(super) fn on_held(&self, first: Key) {
        self.lock().lapsed.remove(&first);
    }

    /// Whether a request for the slice may be sent: while its grant has lapsed, one now and then.
    pub(super) fn may_send(&self, first: Key) -> bool {
        let now = self.clock.now();
        match self.lock().lapsed.get_mut(&first) {
            Some(until) if now < *until => false,
            Some(until) => {
                *until = now + LAPSED_MS;
                true
            }
            None => true,
        }
    }

    /// How busy the gate is.
    pub(super) fn load(&self) -> GateLoad {
        let now = self.clock.now();
        let inner = self.lock();
        GateLoad {
            waiting: inner.queue.waiting(),
            running: inner.queue.running(),
            slots: inner.members.iter().map(|it| it.slots(now)).sum(),
            wait_ms: inner.queue.wait_estimate(now),
        }
    }

    /// Whether a request waits or runs.
    pub(super) fn is_busy(&self) -> bool {
        let inner = self.lock();
        inner.queue.running() + inner.queue.waiting() > 0
    }

    /// What the gate saw of its target since the last call.
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
        &self,
        node: &Node,
        task: &Task,
        mut decided: oneshot::Receiver<Decision>,
    ) -> Decision {
        loop {
            let due = {
                let mut inner = self.lock();
                let now = self.clock.now();
                inner.refresh(node, &task.gate, &task.service, now);
                let decisions = inner.queue.expire(now);
                inner.tell(decisions);
                inner.queue.next_due(now).map(|it| it.saturating_sub(now))
            };
            let pause = Duration::from_millis(due.unwrap_or(LOOK_MS).clamp(1, LOOK_MS));
            tokio::select! {
                decision = &mut decided => {
                    return decision.expect("a waiting request is told what becomes of it");
                }
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn turn(self: &Arc<Self>, inner: &mut Inner, id: u64, task: &Task) -> Result<Turn, Reason> {
        let now = self.clock.now();
        let Some(member) = inner.pick(now) else {
            let decisions = inner.queue.finish(now, id, 0, End::Cancelled);
            inner.tell(decisions);
            return Err(Reason::NoOwner);
        };
        member.running += 1;
        member.used = now;
        Ok(Turn {
            gate: Arc::clone(self),
            id,
            started: now,
            route: Arc::clone(&task.route),
            ended: false,
            life: member.entry.life(&member.name),
            pool: Arc::clone(&member.pool),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }
}

impl Inner {
    /// Brings the members up to date with the list of targets.
    fn refresh(&mut self, node: &Node, id: &GateId, service: &str, now: Millis) {
        let targets = node.targets();
        if self.version != Some(targets.version()) {
            self.version = Some(targets.version());
            let connections = node
                .catalog
                .load()
                .as_ref()
                .and_then(|it| it.service(service).map(|it| it.connections))
                .and_then(|it| usize::try_from(it).ok())
                .unwrap_or(CONNECTIONS);
            let mut old = std::mem::take(&mut self.members);
            for (name, entry) in targets.registered() {
                let belongs = match id {
                    GateId::Target(target) => name == target,
                    GateId::Pool { service, place } => {
                        entry.service == *service && entry.place == *place
                    }
                };
                if !belongs || entry.state != TargetState::Ready {
                    continue;
                }
                let known = old.iter().position(|it| {
                    it.name == *name
                        && it.entry.born == entry.born
                        && it.entry.address == entry.address
                });
                let mut member = match known {
                    Some(idx) => old.swap_remove(idx),
                    None => Member::new(Arc::clone(name), Arc::clone(entry), connections),
                };
                member.entry = Arc::clone(entry);
                self.members.push(member);
            }
        }
        drop(targets);
        let slots: usize = self.members.iter().map(|it| it.slots(now)).sum();
        self.queue.set_limits(Limits {
            slots,
            depth: (slots * DEPTH_PER_SLOT).max(self.members.len()),
            caller_share: CALLER_SHARE,
        });
    }

    /// Whether the request can be expected to be answered within its objective.
    fn is_quick(&self, now: Millis, task: &Task) -> bool {
        let mean = self.members.iter().filter_map(|it| it.mean_ms);
        let (sum, count) = mean.fold((0.0, 0.0), |it, mean| (it.0 + mean, it.1 + 1.0));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a service time is positive and far below 2^63 ms"
        )]
        let service_ms = if count > 0.0 { (sum / count) as u64 } else { 0 };
        now + self.queue.wait_estimate(now) + service_ms <= task.objective
    }

    /// The target that the next request goes to: one with a free slot, the least busy one first.
    fn pick(&mut self, now: Millis) -> Option<&mut Member> {
        let busy = |it: &Member| {
            let slots = it.slots(now).max(1);
            let full = it.running >= slots;
            let unusable = it.slots(now) == 0;
            (unusable, full, it.running * 1_000 / slots, it.used)
        };
        self.members.iter_mut().min_by_key(|it| busy(it))
    }

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
    /// Ends the request; `outcome` is what it shows of the target.
    pub(super) fn end(mut self, end: End, outcome: Option<Outcome>) {
        self.finish(end, outcome);
    }

    fn finish(&mut self, end: End, outcome: Option<Outcome>) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = self.gate.clock.now();
        let took = now.saturating_sub(self.started);
        let mut inner = self.gate.lock();
        if end == End::Answered {
            let cost = inner.costs.entry(Arc::clone(&self.route)).or_default();
            cost.0 += 1;
            cost.1 += took;
        }
        let members = &mut inner.members;
        if let Some(member) = members.iter_mut().find(|it| it.name == self.life.target) {
            member.on_end(now, took, outcome);
        }
        let decisions = inner.queue.finish(now, self.id, took, end);
        inner.tell(decisions);
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.finish(End::Cancelled, None);
    }
}
