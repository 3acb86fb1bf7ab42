//! Faults and operations of a simulated cluster.

use ownership::Millis;

/// Faults of the next messages of a host.
#[derive(Clone, Copy, Debug, Default, Hash)]
pub struct Faults {
    pub delay_grant: Option<Millis>,
    pub delay_commit: Option<Millis>,
    pub drop_until: Millis,
    pub lose_answer: bool,
}

/// A fault or operation. Durations are in milliseconds.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    Pause(usize, Millis),
    Restart(usize),
    Cut(usize, usize, Millis),
    CutStore(usize, Millis),
    StoreDown(Millis),
    Freeze(usize, Millis),
    Crash(usize, Millis),
    DelayGrant(usize, Millis),
    DelayCommit(usize, Millis),
    /// All commits of a host are lost for some time.
    DropCommits(usize, Millis),
    LoseAnswer(usize),
    Release(usize),
    Drain(usize),
    Leave(usize),
    /// A host stops gracefully.
    Stop(usize),
    /// A host cannot reach a target.
    CutTarget(usize, usize, Millis),
    /// The voter lists are replaced by h1 and h3.
    Force,
    /// Hosts h1 and h3 are partitioned from h0 and h2, which cannot reach the store.
    PartitionH1H3(Millis),
    /// Hosts h0 and h3 are partitioned from h1 and h2, which cannot reach the store.
    PartitionH0H3(Millis),
}
