//! A random search for two targets that hold the same key.
//!
//! The model has targets with the fencing rules of the users' back ends, a store, and a network
//! that loses, delays and reorders orders and answers. Coordinators crash and are replaced, and the
//! store comes back from earlier copies of its rows.

mod model;
mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use coordinator::{
    GrantOutcome, Incarnation, KeyRange, Memory, Order, OrderId, OrderKind, ReleaseOutcome, Slice,
    SliceManager, SliceRow,
};
use model::{
    event::{Event, NetworkOutcome, TARGETS, event, event_or_restore, network_outcome},
    target::{KEYS, Target, latest_end},
};
use proptest::prelude::*;
use support::TIMING;

/// Longest time from the sending of an order to its arrival.
const MAX_TRANSIT_MS: u64 = 100;

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
