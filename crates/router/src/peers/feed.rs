//! The sequence of news that hosts pass on to each other.

use std::{collections::VecDeque, sync::Arc};

use coordinator::Slice;
use routing::Catalog;
use serde::{Deserialize, Serialize};

use super::HostInfo;
use crate::state::TargetEntry;

/// Events that are kept for hosts that lag; one that lags further is sent everything.
const MAX_EVENTS: usize = 512;

/// Something that every host must know.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A version of the configuration.
    Catalog(Arc<Catalog>),
    /// A target as of a revision of the store; `None` if it is gone.
    Target(Arc<str>, u64, Option<TargetEntry>),
    /// A slice of a service.
    Slice(Arc<str>, Slice),
    /// All hosts that serve.
    Hosts(Vec<HostInfo>),
    /// A host that serves from now on.
    HostCame(HostInfo),
    /// The name of a host that serves no more.
    HostLeft(Arc<str>),
    /// The fingerprint of a request that crashes targets.
    Poison(u64),
}

/// A position in the sequence of one term.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The coordinator's term.
    pub term: u64,
    /// Events of the term so far.
    pub number: u64,
}

/// The latest events of a term.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    position: Position,
    events: VecDeque<Event>,
}

impl Feed {
    /// The position after the last event.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Begins a term, or goes to a position at which everything before is known.
    pub fn restart(&mut self, position: Position) {
        self.position = position;
        self.events.clear();
    }

    /// Goes back to the beginning of the term, so that every event of it counts as new.
    pub fn rewind(&mut self) {
        let term = self.position.term;
        self.restart(Position { term, number: 0 });
    }

    /// Adds an event.
    pub fn push(&mut self, event: Event) {
        self.position.number += 1;
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Adds the events that lead from `from` to `to`. Answers of calls that were under way at the
    /// same time overlap, so events that were added already are left out.
    pub fn extend(&mut self, from: Position, to: Position, events: Vec<Event>) {
        let at = self.position;
        if from.term != at.term || at < from || to <= at {
            return;
        }
        let known = usize::try_from(at.number - from.number).unwrap_or(usize::MAX);
        for event in events.into_iter().skip(known) {
            self.push(event);
        }
    }

    /// The events after `known`, or `None` if they are not all kept.
    #[must_use]
    pub fn after(&self, known: Position) -> Option<Vec<Event>> {
        if known.term != self.position.term {
            return None;
        }
        let missing = self.position.number.checked_sub(known.number)?;
        let missing = usize::try_from(missing).ok()?;
        let skipped = self.events.len().checked_sub(missing)?;
        Some(self.events.iter().skip(skipped).cloned().collect())
    }
}

#[cfg(test)]
mod tests;
