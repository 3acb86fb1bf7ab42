//! The sequence of events that hosts replicate to each other.

use std::{collections::VecDeque, sync::Arc};

use coordinator::Slice;
use serde::{Deserialize, Serialize};

use super::HostInfo;
use crate::{
    ports::Revision,
    state::{Departure, Evacuation, TargetEntry},
};

/// Events that are kept for hosts that lag; a host that lags further is sent the full state.
const MAX_EVENTS: usize = 512;

/// A state change that is replicated to every host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Event {
    /// A target as of a revision of the store; `None` if it is gone.
    Target(Arc<str>, Revision, Option<TargetEntry>),
    /// The names of all registered targets as of a revision of the store.
    Listed(Vec<Arc<str>>, Revision),
    /// An incarnation that has said in an answer that it is about to stop.
    Leaving(Departure),
    /// A data centre that is evacuated or in use again.
    Evacuation(Evacuation),
    /// All evacuated data centres as of a revision of the store.
    Evacuated(Vec<Arc<str>>, Revision),
    /// A slice of a service.
    Slice(Arc<str>, Slice),
    /// All hosts that serve.
    Hosts(Vec<HostInfo>),
    /// A host that serves, new or changed.
    HostCame(HostInfo),
    /// The name of a host that no longer serves.
    HostLeft(Arc<str>),
    /// The fingerprint of a quarantined request.
    Poison(u64),
}

/// A position in the sequence of one term.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Position {
    /// The coordinator's term.
    pub term: u64,
    /// Number of events of the term so far.
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

    /// Starts a term, or jumps to a position up to which everything is known.
    pub fn restart(&mut self, position: Position) {
        self.position = position;
        self.events.clear();
    }

    /// Goes back to the beginning of the term, so that every event of it is treated as new.
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

    /// Adds the events between `from` and `to`. The replies of concurrent calls overlap, so events
    /// that were already added are skipped.
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

    /// The events after `known`; `None` if some of them are no longer kept.
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
