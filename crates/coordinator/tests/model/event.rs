//! The random steps of the search, and how orders are transported.

use proptest::prelude::*;

use super::target::KEYS;

/// Number of targets.
pub const TARGETS: usize = 3;

/// How an order and its answer are transported.
#[derive(Clone, Copy, Debug)]
pub enum NetworkOutcome {
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
pub enum Event {
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

pub fn event() -> impl Strategy<Value = Event> {
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

pub fn event_or_restore() -> impl Strategy<Value = Event> {
    prop_oneof![
        30 => event(),
        1 => (1..20_usize, prop::option::weighted(0.9, 0..4_usize))
            .prop_map(|(lost, missed)| Event::Restore { lost, missed }),
    ]
}

pub fn network_outcome() -> impl Strategy<Value = NetworkOutcome> {
    prop_oneof![
        8 => (1..200_u64).prop_map(|delay_ms| NetworkOutcome::Answered { delay_ms }),
        1 => Just(NetworkOutcome::AnswerLost),
        1 => Just(NetworkOutcome::NeverArrives),
        2 => (2_000..12_000_u64).prop_map(|delay_ms| NetworkOutcome::ProcessedLate { delay_ms }),
        2 => (250..7_000_u64).prop_map(|delay_ms| NetworkOutcome::ReadLate { delay_ms }),
    ]
}
