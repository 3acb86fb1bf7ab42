//! A random search for two targets that hold the same key.
//!
//! The model has targets with the fencing rules of the users' back ends, a store, and a network
//! that loses, delays and reorders orders and answers. Coordinators crash and are replaced.

use std::{collections::BTreeMap, sync::Arc};

use coordinator::{
    Bounds, GrantOutcome, Incarnation, KeyRange, Order, OrderId, OrderKind, ReleaseOutcome,
    SliceManager, SliceRow,
};
use proptest::prelude::*;

const KEYS: u16 = 8;
const TARGETS: usize = 3;
const BOUNDS: Bounds = Bounds {
    hold_ms: 3_000,
    max_hold_ms: 10_000,
    renew_ms: 1_000,
    retry_ms: 300,
    drift_percent: 2,
};

#[derive(Clone, Debug, Default)]
struct Target {
    started_ms: u64,
    registered: bool,
    /// Until when it holds keys.
    holds: BTreeMap<u16, u64>,
    seen: BTreeMap<u16, u64>,
}

impl Target {
    fn grant(&mut self, now: u64, arrived: u64, order: &Order) -> GrantOutcome {
        let keys = order.range.first..=order.range.last;
        if keys
            .clone()
            .any(|it| self.seen.get(&it).is_some_and(|seen| *seen > order.token))
        {
            return GrantOutcome::Superseded;
        }
        let until = latest_end(arrived, order);
        for key in keys {
            self.seen.insert(key, order.token);
            if until > now {
                let held = self.holds.entry(key).or_default();
                *held = until.max(*held);
            }
        }
        GrantOutcome::Accepted
    }

    /// A release counts as seen for later grants, as trials on the users' bench have shown.
    fn release(&mut self, order: &Order) {
        for key in order.range.first..=order.range.last {
            self.holds.remove(&key);
            let seen = self.seen.entry(key).or_default();
            *seen = order.token.max(*seen);
        }
    }
}

/// The end of the hold on a target whose clock runs 2% slow.
fn latest_end(arrived: u64, order: &Order) -> u64 {
    match order.kind {
        OrderKind::Grant { hold_ms, .. } => arrived + hold_ms * 100 / 98,
        OrderKind::Release => arrived,
    }
}

/// What the network does with an order.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered { delay_ms: u64 },
    AnswerLost,
    NeverArrives,
    CarriedOutLate { delay_ms: u64 },
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Wait(u64),
    Assign {
        first: u16,
        last: u16,
        target: usize,
    },
    Commit {
        applied: bool,
        answered: bool,
    },
    Restart(usize),
    Leave(usize),
    Join(usize),
    Refuse {
        key: u16,
        target: usize,
    },
    ExtendGrants(bool),
    Crash,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1..400_u64).prop_map(Event::Wait),
        2 => (900..4_000_u64).prop_map(Event::Wait),
        6 => (0..KEYS, 0..KEYS, 0..TARGETS).prop_map(|(a, b, target)| Event::Assign {
            first: a.min(b),
            last: a.max(b),
            target,
        }),
        6 => Just(Event::Commit { applied: true, answered: true }),
        1 => any::<bool>().prop_map(|applied| Event::Commit { applied, answered: false }),
        1 => (0..TARGETS).prop_map(Event::Restart),
        1 => (0..TARGETS).prop_map(Event::Leave),
        1 => (0..TARGETS).prop_map(Event::Join),
        1 => (0..KEYS, 0..TARGETS).prop_map(|(key, target)| Event::Refuse { key, target }),
        1 => any::<bool>().prop_map(Event::ExtendGrants),
        1 => Just(Event::Crash),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => (1..200_u64).prop_map(|delay_ms| Fate::Answered { delay_ms }),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::NeverArrives),
        2 => (2_000..12_000_u64).prop_map(|delay_ms| Fate::CarriedOutLate { delay_ms }),
    ]
}

/// Something that arrives at a later time.
#[derive(Clone, Debug)]
enum Arrival {
    AtTarget { order: Order, arrived: u64 },
    Answer { id: OrderId, term: u64, end: End },
}

#[derive(Clone, Debug)]
enum End {
    Grant(GrantOutcome),
    Release(ReleaseOutcome),
}

struct World {
    now: u64,
    term: u64,
    targets: Vec<Target>,
    rows: BTreeMap<String, SliceRow>,
    /// A write that was carried out, but whose answer was lost. The next write is refused, because
    /// the lease has another revision, and shows which write it was.
    doubtful: Option<(Vec<SliceRow>, Vec<String>)>,
    manager: SliceManager,
    arrivals: BTreeMap<(u64, u64), Arrival>,
    number: u64,
    fates: Vec<Fate>,
    fate: usize,
    highest: BTreeMap<u16, (u64, Incarnation)>,
}

impl World {
    fn new(fates: Vec<Fate>) -> Self {
        let mut targets = vec![Target::default(); TARGETS];
        for target in &mut targets {
            target.registered = true;
        }
        Self {
            now: 100_000,
            term: 1,
            targets,
            rows: BTreeMap::new(),
            doubtful: None,
            manager: SliceManager::new("s".into(), 1, BOUNDS, Vec::new(), 100_000),
            arrivals: BTreeMap::new(),
            number: 0,
            fates,
            fate: 0,
            highest: BTreeMap::new(),
        }
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Wait(ms) => self.wait(ms),
            Event::Assign {
                first,
                last,
                target,
            } => {
                let range = KeyRange::new(first, last);
                let incarnation = self.incarnation(target);
                self.manager.assign(range, &incarnation, self.now);
            }
            Event::Commit { applied, answered } => self.commit(applied, answered),
            Event::Restart(target) => {
                let started_ms = self.targets[target].started_ms + 1;
                self.targets[target] = Target {
                    started_ms,
                    registered: true,
                    ..Target::default()
                };
            }
            Event::Leave(target) => self.targets[target].registered = false,
            Event::Join(target) => self.targets[target].registered = true,
            Event::Refuse { key, target } => {
                let name = name(target);
                self.manager.on_request_refused(key, &name, self.now);
            }
            Event::ExtendGrants(extended) => self.manager.set_extended_grants(extended, self.now),
            Event::Crash => self.crash(),
        }
        self.step();
        self.check();
    }

    fn incarnation(&self, target: usize) -> Incarnation {
        Incarnation {
            target: name(target),
            started_ms: self.targets[target].started_ms,
        }
    }

    /// Lets time pass in short steps, in which the coordinator acts.
    fn wait(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now = (self.now + 50).min(until);
            self.arrive();
            self.step();
            self.check();
        }
    }

    fn arrive(&mut self) {
        while let Some((&at, _)) = self.arrivals.first_key_value() {
            if at.0 > self.now {
                return;
            }
            match self.arrivals.remove(&at) {
                Some(Arrival::AtTarget { order, arrived }) => {
                    self.deliver(at.0, arrived, &order);
                }
                Some(Arrival::Answer { id, term, end }) if term == self.term => match end {
                    End::Grant(end) => self.manager.on_grant(id, end, at.0),
                    End::Release(end) => self.manager.on_release(id, &end, at.0),
                },
                Some(Arrival::Answer { .. }) | None => {}
            }
        }
    }

    fn deliver(&mut self, now: u64, arrived: u64, order: &Order) -> Option<End> {
        let idx = (0..TARGETS).find(|it| name(*it) == order.incarnation.target)?;
        let target = &mut self.targets[idx];
        if target.started_ms != order.incarnation.started_ms {
            return Some(match order.kind {
                OrderKind::Grant { .. } => End::Grant(GrantOutcome::Gone),
                OrderKind::Release => End::Release(ReleaseOutcome::Gone),
            });
        }
        Some(match order.kind {
            OrderKind::Grant { .. } => {
                let end = target.grant(now, arrived, order);
                // One that is carried out after its time gives the target nothing.
                if end == GrantOutcome::Accepted && latest_end(arrived, order) > now {
                    self.check_token(order);
                }
                End::Grant(end)
            }
            OrderKind::Release => {
                target.release(order);
                End::Release(ReleaseOutcome::Done { handover: None })
            }
        })
    }

    fn check_token(&mut self, order: &Order) {
        for key in order.range.first..=order.range.last {
            let highest = self.highest.get(&key);
            if let Some((token, incarnation)) = highest
                && *incarnation != order.incarnation
            {
                assert!(
                    *token < order.token,
                    "key {key} went to {:?} with token {}, {incarnation:?} had it with {token}",
                    order.incarnation,
                    order.token
                );
            }
            let token = highest.map_or(0, |it| it.0).max(order.token);
            self.highest.insert(key, (token, order.incarnation.clone()));
        }
    }

    fn step(&mut self) {
        let mut incarnations = Vec::new();
        for idx in 0..TARGETS {
            // Targets that left are still told to release keys.
            incarnations.push(self.incarnation(idx));
        }
        self.manager.set_incarnations(incarnations, self.now);
        for order in self.manager.step(self.now) {
            self.send(order);
        }
    }

    fn send(&mut self, order: Order) {
        let fate = self.fates[self.fate % self.fates.len()];
        self.fate += 1;
        let now = self.now;
        let id = order.id;
        let no_answer = match order.kind {
            OrderKind::Grant { .. } => End::Grant(GrantOutcome::NoAnswer),
            OrderKind::Release => End::Release(ReleaseOutcome::NoAnswer),
        };
        match fate {
            Fate::Answered { delay_ms } => {
                let arrived = now + delay_ms / 2;
                // The answer is that of the target's state then, so it is computed there.
                self.now = arrived;
                let end = self.deliver(arrived, arrived, &order);
                self.now = now;
                self.later(delay_ms, id, end.unwrap_or(no_answer));
            }
            Fate::AnswerLost => {
                self.deliver(now, now, &order);
                self.later(250, id, no_answer);
            }
            Fate::NeverArrives => self.later(250, id, no_answer),
            Fate::CarriedOutLate { delay_ms } => {
                self.number += 1;
                let arrived = now + 1;
                let arrival = Arrival::AtTarget { order, arrived };
                self.arrivals.insert((now + delay_ms, self.number), arrival);
                self.later(250, id, no_answer);
            }
        }
    }

    fn later(&mut self, delay_ms: u64, id: OrderId, end: End) {
        self.number += 1;
        let term = self.term;
        let arrival = Arrival::Answer { id, term, end };
        let at = (self.now + delay_ms, self.number);
        self.arrivals.insert(at, arrival);
    }

    fn commit(&mut self, applied: bool, answered: bool) {
        if let Some((puts, removes)) = &self.doubtful {
            if answered {
                self.manager.on_commit(puts.clone(), removes);
                self.doubtful = None;
            }
            return;
        }
        let (puts, removes) = self.manager.rows_to_write(2);
        if applied {
            for name in &removes {
                self.rows.remove(name);
            }
            for row in &puts {
                self.rows.insert(row.name(), row.clone());
            }
        }
        if applied && answered {
            self.manager.on_commit(puts, &removes);
        } else if applied {
            self.doubtful = Some((puts, removes));
        }
    }

    /// The coordinator is replaced; the next one knows only what is in the store.
    fn crash(&mut self) {
        self.term += 1;
        self.doubtful = None;
        let rows = self.rows.values().map(|row| {
            SliceRow::parse(&row.name(), &row.value()).expect("the rows are well-formed")
        });
        let rows = rows.collect();
        self.manager = SliceManager::new("s".into(), self.term, BOUNDS, rows, self.now);
    }

    fn check(&self) {
        for key in 0..KEYS {
            let mut holders = Vec::new();
            for (idx, target) in self.targets.iter().enumerate() {
                if let Some(until) = target.holds.get(&key)
                    && self.now < *until
                {
                    holders.push((idx, *until));
                }
            }
            assert!(
                holders.len() < 2,
                "at {} key {key} is held by {holders:?}",
                self.now
            );
        }
    }
}

fn name(target: usize) -> Arc<str> {
    format!("t{target}").into()
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 20_000, ..ProptestConfig::with_cases(3_000) })]

    /// Guards against a key that two targets hold at once, and against a key that comes to a target
    /// with a fencing token that is not above all earlier ones.
    #[test]
    fn a_key_has_one_holder(
        events in prop::collection::vec(event(), 1..60),
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let mut world = World::new(fates);
        for event in events {
            world.run(event);
        }
    }
}
