//! A random search for two targets that hold the same key.
//!
//! The model has targets with the fencing rules of the users' back ends, a store, and a network
//! that loses, delays and reorders orders and answers. Coordinators crash and are replaced, and the
//! store comes back from earlier copies of its rows.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use coordinator::{
    GrantOutcome, GrantTiming, Incarnation, KeyRange, Memory, Order, OrderId, OrderKind,
    ReleaseOutcome, Slice, SliceManager, SliceRow,
};
use proptest::prelude::*;

const KEYS: u16 = 8;
const TARGETS: usize = 3;
const TIMING: GrantTiming = GrantTiming {
    hold_ms: 3_000,
    max_hold_ms: 10_000,
    renew_ms: 1_000,
    retry_ms: 300,
    unread_ms: 7_000,
    drift_percent: 2,
};

/// Longest time from the sending of an order to its arrival.
const MAX_TRANSIT_MS: u64 = 100;

/// A target with its fencing state.
#[derive(Clone, Debug, Default)]
struct Target {
    started_ms: u64,
    /// Orders to processes that started before this get the answer that the target has ended.
    gone_before: u64,
    /// The start that the list shows until `listed_from`.
    previous_start: u64,
    /// When the list shows the present start.
    listed_from: u64,
    registered: bool,
    /// End of its hold by key.
    hold_ends: BTreeMap<u16, u64>,
    /// Highest fencing token that it has seen, by key.
    seen_tokens: BTreeMap<u16, u64>,
}

impl Target {
    /// The start that the list shows.
    fn listed_start(&self, now: u64) -> u64 {
        if now < self.listed_from {
            self.previous_start
        } else {
            self.started_ms
        }
    }

    fn grant(&mut self, now: u64, arrived: u64, order: &Order) -> GrantOutcome {
        let keys = order.range.first..=order.range.last;
        if keys.clone().any(|it| {
            self.seen_tokens
                .get(&it)
                .is_some_and(|seen| *seen > order.token)
        }) {
            return GrantOutcome::Superseded;
        }
        let until = latest_end(arrived, order);
        for key in keys {
            self.seen_tokens.insert(key, order.token);
            if until > now {
                let held = self.hold_ends.entry(key).or_default();
                *held = until.max(*held);
            }
        }
        GrantOutcome::Accepted
    }

    /// The token of a release counts as seen, so later grants with lower tokens are refused. The
    /// users' back ends do the same.
    fn release(&mut self, order: &Order) {
        for key in modelled_keys(order) {
            self.hold_ends.remove(&key);
            let seen = self.seen_tokens.entry(key).or_default();
            *seen = order.token.max(*seen);
        }
    }
}

/// Returns the keys of an order that the model has.
fn modelled_keys(order: &Order) -> std::ops::RangeInclusive<u16> {
    order.range.first..=order.range.last.min(KEYS - 1)
}

/// Returns the end of a hold on a target whose clock runs 2% slow.
fn latest_end(arrived: u64, order: &Order) -> u64 {
    match order.kind {
        OrderKind::Grant { hold_ms, .. } => arrived + hold_ms * 100 / 98,
        OrderKind::Release => arrived,
    }
}

/// How an order and its answer are transported.
#[derive(Clone, Copy, Debug)]
enum NetworkOutcome {
    Answered {
        delay_ms: u64,
    },
    AnswerLost,
    NeverArrives,
    /// The order arrives at once, but the target processes it after the sender has given up.
    ProcessedLate {
        delay_ms: u64,
    },
    /// The order waits at an overloaded target, which reads it after the sender has given up. A
    /// grant lasts from then on.
    ReadLate {
        delay_ms: u64,
    },
}

/// A step of the random sequence.
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
    /// The target starts again under its name and address: it takes orders to its predecessor,
    /// except those that the predecessor received and did not process.
    RestartInPlace {
        target: usize,
        /// Time until the list shows the restart.
        listed_after_ms: u64,
    },
    Leave(usize),
    Join(usize),
    Refuse {
        key: u16,
        target: usize,
    },
    ExtendGrants(bool),
    Crash,
    /// The store comes back from a copy that lacks the last `lost` writes, and a new coordinator
    /// takes over.
    Restore {
        lost: usize,
        /// Number of the latest published slices that the new coordinator does not remember; `None`
        /// if it remembers nothing.
        missed: Option<usize>,
    },
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
        1 => (0..TARGETS, 0..3_000_u64).prop_map(|(target, listed_after_ms)| {
            Event::RestartInPlace { target, listed_after_ms }
        }),
        1 => (0..TARGETS).prop_map(Event::Leave),
        1 => (0..TARGETS).prop_map(Event::Join),
        1 => (0..KEYS, 0..TARGETS).prop_map(|(key, target)| Event::Refuse { key, target }),
        1 => any::<bool>().prop_map(Event::ExtendGrants),
        1 => Just(Event::Crash),
    ]
}

fn event_or_restore() -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => event(),
        1 => (1..20_usize, prop::option::weighted(0.9, 0..4_usize))
            .prop_map(|(lost, missed)| Event::Restore { lost, missed }),
    ]
}

fn network_outcome() -> impl Strategy<Value = NetworkOutcome> {
    prop_oneof![
        8 => (1..200_u64).prop_map(|delay_ms| NetworkOutcome::Answered { delay_ms }),
        1 => Just(NetworkOutcome::AnswerLost),
        1 => Just(NetworkOutcome::NeverArrives),
        2 => (2_000..12_000_u64).prop_map(|delay_ms| NetworkOutcome::ProcessedLate { delay_ms }),
        2 => (250..7_000_u64).prop_map(|delay_ms| NetworkOutcome::ReadLate { delay_ms }),
    ]
}

/// Something that takes effect at a later time.
#[derive(Clone, Debug)]
enum Arrival {
    AtTarget {
        order: Order,
        arrived: u64,
    },
    Answer {
        id: OrderId,
        term: u64,
        outcome: Outcome,
    },
}

#[derive(Clone, Debug)]
enum Outcome {
    Grant(GrantOutcome),
    Release(ReleaseOutcome),
}

/// The targets, the store, the network and the present coordinator.
struct Model {
    now: u64,
    term: u64,
    targets: Vec<Target>,
    rows: BTreeMap<String, SliceRow>,
    /// The rows before each write.
    copies: Vec<BTreeMap<String, SliceRow>>,
    /// The slices that the coordinators published to hosts.
    published: Vec<Slice>,
    /// Targets that left and have not been assigned keys since.
    departed: BTreeSet<Arc<str>>,
    /// Whether the rows name every target that may hold keys.
    rows_complete: bool,
    /// What coordinators do not remember; see [`Event::Restore`].
    missed: Option<usize>,
    /// A write that was applied, but whose answer was lost. The next write is refused, because the
    /// lease has another revision; its answer shows that this one was applied.
    unanswered_write: Option<(Vec<SliceRow>, Vec<String>)>,
    manager: SliceManager,
    /// By time and sequence number.
    arrivals: BTreeMap<(u64, u64), Arrival>,
    sequence: u64,
    /// Outcomes of orders in turn, repeated from the start when they are used up.
    network_outcomes: Vec<NetworkOutcome>,
    next_outcome: usize,
    /// Highest fencing token of the grants for each key, and the incarnation that was granted the
    /// key.
    highest_tokens: BTreeMap<u16, (u64, Incarnation)>,
}

impl Model {
    fn new(network_outcomes: Vec<NetworkOutcome>) -> Self {
        let mut targets = vec![Target::default(); TARGETS];
        for target in &mut targets {
            // A start of 0 is unknown.
            target.started_ms = 1;
            target.registered = true;
        }
        Self {
            now: 100_000,
            term: 1,
            targets,
            rows: BTreeMap::new(),
            copies: Vec::new(),
            published: Vec::new(),
            departed: BTreeSet::new(),
            rows_complete: true,
            missed: None,
            unanswered_write: None,
            manager: SliceManager::new("s".into(), 1, TIMING, Vec::new(), 100_000),
            arrivals: BTreeMap::new(),
            sequence: 0,
            network_outcomes,
            next_outcome: 0,
            highest_tokens: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Wait(ms) => self.wait(ms),
            Event::Assign {
                first,
                last,
                target,
            } => {
                let range = KeyRange::new(first, last);
                self.departed.remove(&name(target));
                let incarnation = self.incarnation(target);
                self.manager.assign(range, &incarnation, self.now);
            }
            Event::Commit { applied, answered } => self.commit(applied, answered),
            Event::Restart(target) => {
                let started_ms = self.targets[target].started_ms + 1;
                self.targets[target] = Target {
                    started_ms,
                    gone_before: started_ms,
                    registered: true,
                    ..Target::default()
                };
            }
            Event::RestartInPlace {
                target,
                listed_after_ms,
            } => {
                self.arrivals.retain(|_, it| match it {
                    Arrival::AtTarget { order, .. } => order.incarnation.target != name(target),
                    Arrival::Answer { .. } => true,
                });
                let old = &self.targets[target];
                self.targets[target] = Target {
                    started_ms: old.started_ms + 1,
                    gone_before: old.gone_before,
                    previous_start: old.listed_start(self.now),
                    listed_from: self.now + listed_after_ms,
                    registered: true,
                    ..Target::default()
                };
            }
            Event::Leave(target) => {
                self.targets[target].registered = false;
                self.departed.insert(name(target));
            }
            Event::Join(target) => {
                self.targets[target].registered = true;
                self.departed.remove(&name(target));
            }
            Event::Refuse { key, target } => {
                let name = name(target);
                self.manager.on_request_refused(key, &name, self.now);
            }
            Event::ExtendGrants(extended) => self.manager.set_extended_grants(extended, self.now),
            Event::Crash => self.crash(),
            Event::Restore { lost, missed } => self.restore(lost, missed),
        }
        self.step();
        self.check();
    }

    fn incarnation(&self, target: usize) -> Incarnation {
        Incarnation {
            target: name(target),
            started_ms: self.targets[target].listed_start(self.now),
        }
    }

    /// Advances the time in steps of at most 50 ms, after each of which the coordinator acts.
    fn wait(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            self.now = (self.now + 50).min(until);
            self.process_arrivals();
            self.step();
            self.check();
        }
    }

    fn process_arrivals(&mut self) {
        while let Some((&at, _)) = self.arrivals.first_key_value() {
            if at.0 > self.now {
                return;
            }
            match self.arrivals.remove(&at) {
                Some(Arrival::AtTarget { order, arrived }) => {
                    self.deliver(at.0, arrived, &order);
                }
                Some(Arrival::Answer { id, term, outcome }) if term == self.term => match outcome {
                    Outcome::Grant(outcome) => self.manager.on_grant(id, outcome, at.0),
                    Outcome::Release(outcome) => self.manager.on_release(id, &outcome, at.0),
                },
                Some(Arrival::Answer { .. }) | None => {}
            }
        }
    }

    fn deliver(&mut self, now: u64, arrived: u64, order: &Order) -> Option<Outcome> {
        let idx = (0..TARGETS).find(|it| name(*it) == order.incarnation.target)?;
        let target = &mut self.targets[idx];
        if order.incarnation.started_ms < target.gone_before {
            return Some(match order.kind {
                OrderKind::Grant { .. } => Outcome::Grant(GrantOutcome::Gone),
                OrderKind::Release => Outcome::Release(ReleaseOutcome::Gone),
            });
        }
        Some(match order.kind {
            OrderKind::Grant { .. } => {
                let outcome = target.grant(now, arrived, order);
                // A grant that is processed after its end does not give the target the keys.
                if outcome == GrantOutcome::Accepted && latest_end(arrived, order) > now {
                    self.check_token(order);
                }
                Outcome::Grant(outcome)
            }
            OrderKind::Release => {
                target.release(order);
                Outcome::Release(ReleaseOutcome::Done { handover: None })
            }
        })
    }

    fn check_token(&mut self, order: &Order) {
        for key in order.range.first..=order.range.last {
            let highest = self.highest_tokens.get(&key);
            if let Some((token, incarnation)) = highest
                && *incarnation != order.incarnation
            {
                assert!(
                    *token < order.token,
                    "key {key} was granted to {:?} with token {}, not above {token} of {incarnation:?}",
                    order.incarnation,
                    order.token
                );
            }
            let token = highest.map_or(0, |it| it.0).max(order.token);
            self.highest_tokens
                .insert(key, (token, order.incarnation.clone()));
        }
    }

    fn step(&mut self) {
        let mut incarnations = Vec::new();
        for idx in 0..TARGETS {
            // Targets that left still receive releases.
            incarnations.push(self.incarnation(idx));
        }
        self.manager.set_incarnations(incarnations, self.now);
        for order in self.manager.step(self.now) {
            self.send(order);
        }
        self.published.extend(self.manager.take_changed());
    }

    fn send(&mut self, order: Order) {
        let network_outcome =
            self.network_outcomes[self.next_outcome % self.network_outcomes.len()];
        self.next_outcome += 1;
        let now = self.now;
        let id = order.id;
        let no_answer = match order.kind {
            OrderKind::Grant { .. } => Outcome::Grant(GrantOutcome::NoAnswer),
            OrderKind::Release => Outcome::Release(ReleaseOutcome::NoAnswer),
        };
        match network_outcome {
            NetworkOutcome::Answered { delay_ms } => {
                let arrived = now + delay_ms / 2;
                // The answer depends on the state of the target when the order arrives.
                self.now = arrived;
                let outcome = self.deliver(arrived, arrived, &order);
                self.now = now;
                self.schedule_answer(delay_ms, id, outcome.unwrap_or(no_answer));
            }
            NetworkOutcome::AnswerLost => {
                self.deliver(now, now, &order);
                self.schedule_answer(250, id, no_answer);
            }
            NetworkOutcome::NeverArrives => self.schedule_answer(250, id, no_answer),
            NetworkOutcome::ProcessedLate { delay_ms } => {
                self.sequence += 1;
                let arrived = now + 1;
                let arrival = Arrival::AtTarget { order, arrived };
                self.arrivals
                    .insert((now + delay_ms, self.sequence), arrival);
                self.schedule_answer(250, id, no_answer);
            }
            NetworkOutcome::ReadLate { delay_ms } => {
                self.sequence += 1;
                let arrived = now + delay_ms;
                let arrival = Arrival::AtTarget { order, arrived };
                self.arrivals.insert((arrived, self.sequence), arrival);
                self.schedule_answer(250, id, no_answer);
            }
        }
    }

    fn schedule_answer(&mut self, delay_ms: u64, id: OrderId, outcome: Outcome) {
        self.sequence += 1;
        let term = self.term;
        let arrival = Arrival::Answer { id, term, outcome };
        let at = (self.now + delay_ms, self.sequence);
        self.arrivals.insert(at, arrival);
    }

    fn commit(&mut self, applied: bool, answered: bool) {
        if let Some((puts, removes)) = &self.unanswered_write {
            if answered {
                self.manager.on_commit(puts.clone(), removes);
                self.unanswered_write = None;
            }
            return;
        }
        let (puts, removes) = self.manager.rows_to_write(2);
        if applied {
            let has_all = puts.len() + removes.len() < 2;
            self.rows_complete |= has_all && self.manager.is_recovered();
            self.copies.push(self.rows.clone());
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
            self.unanswered_write = Some((puts, removes));
        }
    }

    /// Replaces the coordinator by one that knows the rows in the store, and what it remembers if
    /// the rows do not name every holder.
    fn crash(&mut self) {
        self.term += 1;
        self.unanswered_write = None;
        let rows = self.rows.values().map(|row| {
            SliceRow::parse(&row.name(), &row.value()).expect("the rows are well-formed")
        });
        let rows: Vec<_> = rows.collect();
        let service = "s".into();
        self.manager = if self.rows_complete {
            SliceManager::new(service, self.term, TIMING, rows, self.now)
        } else {
            let memory = self.memory();
            SliceManager::recover(service, self.term, TIMING, &rows, memory, self.now)
        };
    }

    fn memory(&self) -> Memory {
        let published = self.published.len();
        let known = published.saturating_sub(self.missed.unwrap_or(usize::MAX));
        let departed = match self.missed {
            Some(0) => self.departed.clone(),
            Some(_) | None => BTreeSet::new(),
        };
        Memory {
            slices: self.published[..known].to_vec(),
            knows_targets: self.missed.is_some(),
            departed,
            lease_end: self.now + MAX_TRANSIT_MS,
        }
    }

    /// Undoes the last `lost` writes and replaces the coordinator by one that does not remember the
    /// last `missed` published slices.
    fn restore(&mut self, lost: usize, missed: Option<usize>) {
        let kept = self.copies.len().saturating_sub(lost);
        self.copies.truncate(kept + 1);
        if let Some(copy) = self.copies.pop() {
            self.rows = copy;
        }
        self.rows_complete = false;
        self.missed = missed;
        self.crash();
    }

    fn check(&self) {
        for key in 0..KEYS {
            let mut holders = Vec::new();
            for (idx, target) in self.targets.iter().enumerate() {
                if let Some(until) = target.hold_ends.get(&key)
                    && self.now < *until
                {
                    holders.push((idx, *until));
                }
            }
            assert!(
                holders.len() < 2,
                "at {} ms key {key} has several holders (target, end of hold): {holders:?}",
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

    /// Guards against a key that two targets hold at once, and against a key that is granted to
    /// another incarnation with a fencing token that is not above all earlier ones.
    #[test]
    fn a_key_has_one_holder(
        events in prop::collection::vec(event(), 1..60),
        network_outcomes in prop::collection::vec(network_outcome(), 1..40),
    ) {
        let mut model = Model::new(network_outcomes);
        for event in events {
            model.apply(event);
        }
    }

    /// Guards against the same where the store comes back from a copy that names earlier owners.
    #[test]
    fn a_key_has_one_holder_after_a_restore(
        events in prop::collection::vec(event_or_restore(), 1..60),
        network_outcomes in prop::collection::vec(network_outcome(), 1..40),
    ) {
        let mut model = Model::new(network_outcomes);
        for event in events {
            model.apply(event);
        }
    }
}
