//! Breadth-first search over the states that a few faults can cause in the small cluster.

use std::{collections::HashSet, thread};

use ownership::{Checks, Millis, Policy};

use crate::{
    cluster::Cluster,
    event::Event::{
        self, Crash, Cut, CutStore, CutTarget, DelayCommit, DelayGrant, Drain, DropCommits, Force,
        Freeze, Leave, LoseAnswer, PartitionH0H3, PartitionH1H3, Pause, RequestMove, Restart,
        StoreDown,
    },
    scenarios::{GRANTS, NOTHING},
};

/// Targets that check grants, with short deadlines of requests.
pub const SHORT_DEADLINE: Policy = Policy {
    deadline_ms: 100,
    ..GRANTS
};
pub const SHORT_DEADLINE_NOTHING: Policy = Policy {
    checks: Checks::Nothing,
    ..SHORT_DEADLINE
};
const SHORT_HOLD: Policy = Policy {
    hold_ms: 2_000,
    ..SHORT_DEADLINE
};
const SHORT_HOLD_NOTHING: Policy = Policy {
    checks: Checks::Nothing,
    ..SHORT_HOLD
};

/// One duration is shorter and one longer than a grant with the wait for its expiry.
const DURATIONS_MS: [Millis; 2] = [700, 1_300];

/// Threads of one search; the states of a level are independent of each other.
const THREADS: usize = 4;

/// Parameters of a search. The first fault happens in the first step.
struct Search {
    name: &'static str,
    policy: Policy,
    hosts: usize,
    /// Events of the first steps, one a step, in every run.
    setup: Vec<Event>,
    events: Vec<Event>,
    max_faults: usize,
    /// Last step in which a fault can happen.
    last_step: usize,
    /// Steps without a fault before the search. Grants and votes are renewed with different
    /// periods, so that the number decides in which phase of the renewals the first fault happens.
    warmup_steps: usize,
    depth: usize,
    max_states: usize,
}

struct Node {
    cluster: Cluster,
    trace: Vec<(usize, Event)>,
}

impl Search {
    /// Visits all reachable states, level by level, and returns their number.
    fn run(&self) -> usize {
        let mut cluster = Cluster::new(self.policy, self.hosts);
        for _ in 0..self.warmup_steps {
            cluster
                .step(None)
                .expect("the warm-up steps violate nothing");
        }
        for event in &self.setup {
            cluster
                .step(Some(*event))
                .expect("the setup violates nothing");
        }
        let mut level = vec![Node {
            cluster,
            trace: Vec::new(),
        }];
        let mut states = 0;
        for step in 0..self.depth {
            let size = level.len().div_ceil(THREADS);
            let found: Vec<(u64, Node)> = thread::scope(|scope| {
                let parts = level.chunks(size);
                let parts = parts.map(|part| scope.spawn(move || self.expand(step, part)));
                let parts: Vec<_> = parts.collect();
                let join = |it: thread::ScopedJoinHandle<'_, _>| {
                    it.join().expect("the thread finds no violation")
                };
                parts.into_iter().flat_map(join).collect()
            });
            let mut seen = HashSet::new();
            level.clear();
            for (fingerprint, node) in found {
                if seen.insert((fingerprint, node.trace.len())) {
                    level.push(node);
                }
            }
            states += level.len();
            assert!(states <= self.max_states, "{}: {states} states", self.name);
        }
        println!(
            "{}, {} warm-up steps: {states} states",
            self.name, self.warmup_steps
        );
        states
    }

    /// Returns the successors of some states of a level.
    fn expand(&self, step: usize, nodes: &[Node]) -> Vec<(u64, Node)> {
        let mut found = Vec::new();
        for node in nodes {
            let faults = node.trace.len();
            let may_fault =
                faults < self.max_faults && (faults > 0 || step == 0) && step <= self.last_step;
            let events = self.events.iter().copied().map(Some);
            let events = events.filter(|_| may_fault);
            for event in std::iter::once(None).chain(events) {
                if event.is_none() && faults == 0 {
                    continue;
                }
                let mut cluster = node.cluster.clone();
                let mut trace = node.trace.clone();
                trace.extend(event.map(|it| (step, it)));
                if let Err(violation) = cluster.step(event) {
                    panic!(
                        "{}, {} warm-up steps: {violation}; step {step} after {trace:?}",
                        self.name, self.warmup_steps
                    );
                }
                found.push((cluster.fingerprint(), Node { cluster, trace }));
            }
        }
        found
    }
}

impl Search {
    fn new(name: &'static str, policy: Policy, events: Vec<Event>) -> Self {
        Self {
            name,
            policy,
            hosts: 3,
            setup: Vec::new(),
            events,
            max_faults: 2,
            last_step: 15,
            warmup_steps: 25,
            depth: 30,
            max_states: 400_000,
        }
    }
}

fn any_event() -> Vec<Event> {
    let mut events = vec![
        Restart(0),
        Restart(1),
        Restart(2),
        LoseAnswer(0),
        LoseAnswer(1),
        RequestMove(0),
    ];
    for ms in DURATIONS_MS {
        events.extend([
            Pause(0, ms),
            Pause(1, ms),
            Cut(0, 1, ms),
            CutStore(0, ms),
            CutStore(1, ms),
            StoreDown(ms),
            Freeze(0, ms),
            Crash(0, ms),
            DelayGrant(0, ms),
            DelayGrant(1, ms),
            DelayCommit(0, ms),
            DelayCommit(1, ms),
        ]);
    }
    events
}

/// Guards against two owners of a key after two faults of any kind.
#[test]
fn two_faults_at_targets_with_checks() {
    Search::new("checks", GRANTS, any_event()).run();
}

/// Guards against two owners of a key after two faults of any kind, for targets without checks.
#[test]
fn two_faults_at_targets_without_checks() {
    Search::new("unchecked", NOTHING, any_event()).run();
}

/// Guards against a move while a request of a replaced gateway is still in flight.
#[test]
fn long_requests() {
    let mut events = vec![Pause(0, 700), Pause(0, 60_000), Restart(0)];
    events.extend([
        RequestMove(0),
        Drain(0),
        Cut(0, 1, 700),
        Cut(0, 2, 700),
        LoseAnswer(1),
    ]);
    // Either the first request of the gateway or a later one is in flight when it is replaced.
    for (deadline_ms, warmup_steps) in [(3_000, 12), (1_200, 25)] {
        let long = Policy {
            deadline_ms,
            ..GRANTS
        };
        let mut search = Search::new("long requests", long, events.clone());
        search.warmup_steps = warmup_steps;
        search.last_step = 10;
        search.run();
    }
}

/// Guards against a target without checks that is considered lost while it runs requests, or that
/// recovers while the commit that moved its slices is unresolved.
#[test]
fn recovered_targets() {
    let long = Policy {
        deadline_ms: 1_200,
        ..NOTHING
    };
    let events = vec![
        Freeze(0, 500),
        Freeze(0, 700),
        LoseAnswer(0),
        DelayCommit(0, 700),
        DropCommits(0, 1_300),
    ];
    for policy in [NOTHING, long] {
        let mut search = Search::new("recovered targets", policy, events.clone());
        search.max_faults = 3;
        search.last_step = 8;
        search.run();
    }
}

/// Guards against a commit of a replaced gateway that takes effect after its successor's last read,
/// or between that read and the successor's own commit.
#[test]
fn late_commits() {
    for ms in (500..=1_100).step_by(100) {
        let events = vec![
            RequestMove(0),
            Pause(0, 1_300),
            DropCommits(1, 300),
            DropCommits(1, 800),
        ];
        let mut search = Search::new("late commits", NOTHING, events);
        search.setup = vec![DelayCommit(0, ms)];
        search.max_faults = 3;
        search.last_step = 8;
        search.run();
    }
}

/// Guards against a late message of a replaced gateway. The deadline is short, so that no other
/// wait masks a defect of the fence.
#[test]
fn three_faults_with_short_deadlines() {
    let events = vec![
        Pause(0, 700),
        DelayGrant(0, 700),
        DelayCommit(0, 700),
        CutTarget(0, 0, 1_300),
        Freeze(0, 1_300),
        Crash(0, 200),
        RequestMove(0),
    ];
    let mut search = Search::new("three faults", SHORT_DEADLINE, events);
    search.max_faults = 3;
    search.last_step = 12;
    search.run();
}

/// Guards against a wait that is too short for a target that accepts renewals while their answers
/// are lost. The faults begin in each phase of the renewals.
#[test]
fn lost_answers_to_renewals() {
    let events = vec![
        DelayGrant(0, 100),
        DelayGrant(0, 300),
        CutTarget(0, 0, 1_300),
    ];
    for warmup_steps in 25..29 {
        let mut search = Search::new("lost answers", SHORT_DEADLINE, events.clone());
        search.max_faults = 3;
        search.last_step = 14;
        search.warmup_steps = warmup_steps;
        search.run();
    }
}

/// Guards against two holders of the tenure while the voter list changes.
#[test]
fn voter_lists() {
    let events = vec![
        Leave(2),
        PartitionH0H3(1_300),
        Cut(0, 1, 1_300),
        Pause(0, 700),
        Restart(2),
        Restart(3),
        DelayCommit(0, 700),
    ];
    let mut search = Search::new("voter lists", GRANTS, events);
    search.hosts = 4;
    search.max_faults = 3;
    search.last_step = 6;
    search.run();
}

/// Guards against a tenure holder of a replaced voter list that is cut off but still reaches the
/// target.
#[test]
fn forced_list() {
    let events = vec![
        Force,
        RequestMove(0),
        CutTarget(0, 0, 700),
        CutTarget(1, 0, 700),
        CutTarget(1, 0, 60_000),
        Crash(0, 200),
        Freeze(0, 700),
        Pause(0, 700),
        DelayGrant(0, 700),
    ];
    for (name, policy) in [
        ("forced, checks", SHORT_HOLD),
        ("forced, unchecked", SHORT_HOLD_NOTHING),
    ] {
        let mut search = Search::new(name, policy, events.clone());
        search.hosts = 4;
        search.setup = vec![PartitionH1H3(60_000), Force];
        search.depth = 40;
        search.run();
    }
}
