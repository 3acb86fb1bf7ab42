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

/// A fault or operation. Durations are in milliseconds. Numbers are those of hosts, except for
/// `Freeze`, `Crash`, `RequestMove` and `Drain`, where they are those of targets.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Event {
    /// A host stops for some time after its tick; its actions are performed late.
    Pause(usize, Millis),
    Restart(usize),
    /// Two hosts cannot reach each other.
    Cut(usize, usize, Millis),
    /// A host cannot reach the store.
    CutStore(usize, Millis),
    StoreDown(Millis),
    /// A target answers nothing for some time and keeps its state.
    Freeze(usize, Millis),
    /// A target loses its state and restarts after some time.
    Crash(usize, Millis),
    /// The next order or renewal of a host arrives late, without an answer.
    DelayGrant(usize, Millis),
    /// The next commit of a host arrives late, without an answer.
    DelayCommit(usize, Millis),
    /// All commits of a host are lost for some time.
    DropCommits(usize, Millis),
    /// The answer to the next commit of a host is lost.
    LoseAnswer(usize),
    /// The planner requests a move of the slice off a target.
    RequestMove(usize),
    Drain(usize),
    /// A host leaves the membership list.
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
