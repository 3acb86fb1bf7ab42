//! The list of targets.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::Arc,
};

use coordinator::{Incarnation, Millis};

use super::{
    TargetEntry, TargetState,
    departures::{Departure, Departures},
    store_contact::REGISTER_AGAIN_MS,
};
use crate::ports::Revision;

/// Time after which a leaving incarnation that is no longer registered is forgotten.
const DEPARTURE_KEEP_MS: u64 = 600_000;

/// The registered targets. An update replaces an older one; a removal leaves a tombstone with its
/// revision, so that an older entry is not restored.
///
/// The rows of a store that has come back from a copy have revisions of a new generation but may be
/// older than what is known. Therefore the first entry of a target in a new generation counts only
/// if the target wrote it later than the known one.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    known: BTreeMap<Arc<str>, KnownTarget>,
    tombstones: HashMap<Arc<str>, Revision>,
    departures: Departures,
    version: u64,
    generations: Option<Generations>,
    /// Revision of the latest complete list; `None` before the first one.
    listed: Option<Revision>,
    /// Whether removals were left out because the targets may register again.
    removals_left_out: bool,
}

/// The generations of the store that this host has seen.
#[derive(Clone, Copy, Debug)]
struct Generations {
    earliest: u64,
    latest: u64,
    /// When this host learned of the latest one.
    latest_since: Millis,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    rev: Revision,
    entry: Arc<TargetEntry>,
    times: EntryTimes,
    /// When the entry was removed; the target may still run.
    gone_since: Option<Millis>,
}

/// When this host learned what it knows of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EntryTimes {
    /// When it learned the latest entry.
    pub learned: Millis,
    /// Since when it has known the incarnation to be registered without an interruption.
    pub registered: Millis,
}

impl Targets {
    /// Applies an update; returns whether it changed anything.
    pub fn apply(
        &mut self,
        name: &Arc<str>,
        rev: Revision,
        entry: Option<TargetEntry>,
        now: Millis,
    ) -> bool {
        self.on_generation(rev.generation, now);
        let seen = self.known.get(name).map(|it| it.rev);
        if seen.max(self.tombstones.get(name).copied()) >= Some(rev) {
            return false;
        }
        let Some(mut entry) = entry else {
            self.tombstones.insert(Arc::clone(name), rev);
            let Some(known) = self.known.get_mut(name) else {
                return false;
            };
            known.rev = rev;
            let newly_gone = known.gone_since.replace(now).is_none();
            self.version += u64::from(newly_gone);
            return newly_gone;
        };
        if let Some(known) = self.known.get_mut(name)
            && known.rev.generation < rev.generation
            && !entry.is_newer_than(&known.entry)
        {
            known.rev = rev;
            return false;
        }
        self.tombstones.remove(name);
        if entry.state == TargetState::Ready && self.departures.contains(&entry.incarnation(name)) {
            entry.state = TargetState::Leaving;
        }
        let former = self
            .known
            .get(name)
            .filter(|it| it.gone_since.is_none() && it.entry.started_ms == entry.started_ms);
        let times = EntryTimes {
            learned: now,
            registered: former.map_or(now, |it| it.times.registered),
        };
        let entry = Arc::new(entry);
        let gone_since = None;
        let known = KnownTarget {
            rev,
            entry,
            times,
            gone_since,
        };
        self.known.insert(Arc::clone(name), known);
        self.version += 1;
        true
    }

    /// Records that an incarnation has said in an answer, at `since` or later, that it is about to
    /// stop; returns whether this is new.
    pub fn on_leaving(&mut self, incarnation: &Incarnation, since: Millis) -> bool {
        if !self.departures.learn(incarnation, since) {
            return false;
        }
        if let Some(known) = self.known.get_mut(&incarnation.target)
            && known.entry.started_ms == incarnation.started_ms
            && known.entry.state == TargetState::Ready
        {
            Arc::make_mut(&mut known.entry).state = TargetState::Leaving;
        }
        let known = &self.known;
        self.departures
            .forget(since.saturating_sub(DEPARTURE_KEEP_MS), |it| {
                let known = known.get(&it.target);
                known.is_some_and(|known| known.entry.started_ms == it.started_ms)
            });
        self.version += 1;
        true
    }

    /// Whether an incarnation has said in an answer that it is about to stop.
    #[must_use]
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        self.departures.contains(incarnation)
    }

    /// The incarnations that have said in an answer that they are about to stop, as told to other
    /// hosts at `now`.
    pub fn leaving(&self, now: Millis) -> impl Iterator<Item = Departure> {
        self.departures.iter(now)
    }

    /// Returns the time from which on a leaving incarnation is sent no requests; `None` if it does
    /// not leave.
    #[must_use]
    pub fn closed_from(&self, incarnation: &Incarnation, drain_ms: Millis) -> Option<Millis> {
        self.departures.closed_from(incarnation, drain_ms)
    }

    /// Number of registered targets that are leaving although their entry says that they are ready.
    #[must_use]
    pub fn leaving_count(&self) -> usize {
        let leaving = |it: &(_, &Arc<TargetEntry>)| it.1.state == TargetState::Leaving;
        self.registered().filter(leaving).count()
    }

    /// Records that the store had `generation` at `now`, or that another host has seen it.
    pub fn on_generation(&mut self, generation: u64, now: Millis) {
        let seen = self.generations.get_or_insert(Generations {
            earliest: generation,
            latest: generation,
            latest_since: now,
        });
        seen.earliest = seen.earliest.min(generation);
        if generation > seen.latest {
            seen.latest = generation;
            seen.latest_since = now;
        }
    }

    /// Whether this host knows targets of before `generation`.
    #[must_use]
    pub fn remembers_before(&self, generation: u64) -> bool {
        self.generations.is_some_and(|it| it.earliest < generation)
    }

    /// The targets that are draining or gone.
    pub fn departed(&self) -> impl Iterator<Item = &Arc<str>> {
        let is_departed =
            |it: &KnownTarget| it.gone_since.is_some() || it.entry.state == TargetState::Draining;
        let departed = self.known.iter().filter(move |(_, it)| is_departed(it));
        departed.map(|(name, _)| name)
    }

    /// Records that a complete list as of `rev` is known.
    pub fn set_listed(&mut self, rev: Revision) {
        self.listed = self.listed.max(Some(rev));
    }

    /// Returns the names of the registered targets, and the revision as of which these are all;
    /// `None` before the first complete list.
    #[must_use]
    pub fn list(&self) -> Option<(Vec<Arc<str>>, Revision)> {
        let names = self.registered().map(|it| Arc::clone(it.0)).collect();
        Some((names, self.listed?))
    }

    /// Records whether removals were left out because the targets may register again.
    pub fn set_removals_left_out(&mut self, left_out: bool) {
        self.removals_left_out = left_out;
    }

    /// Whether the list must be read again, since removals were left out.
    #[must_use]
    pub fn removals_left_out(&self) -> bool {
        self.removals_left_out
    }

    /// Whether a target is or was registered and may still run.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.known.contains_key(name)
    }

    /// Returns when a target that is missing from the store counts as gone: running targets
    /// register again after the store has come back from a copy.
    #[must_use]
    pub fn complete_at(&self) -> Millis {
        match self.generations {
            Some(seen) if seen.earliest < seen.latest => seen.latest_since + REGISTER_AGAIN_MS,
            Some(_) | None => 0,
        }
    }

    /// A number that increases with each change.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The registered targets.
    pub fn registered(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<TargetEntry>)> {
        let known = self.known.iter().filter(|(_, it)| it.gone_since.is_none());
        known.map(|(name, it)| (name, &it.entry))
    }

    /// The slots of all registered targets of a service in a data centre together.
    #[must_use]
    pub fn slots_at(&self, service: &str, place: &str) -> u32 {
        let belongs = |it: &&Arc<TargetEntry>| *it.service == *service && *it.place == *place;
        let entries = self.registered().map(|it| it.1).filter(belongs);
        entries.map(|it| it.slots).sum()
    }

    /// The targets that are or were registered and may still run.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<TargetEntry>)> {
        self.known.iter().map(|(name, it)| (name, &it.entry))
    }

    /// A registered target.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<TargetEntry>> {
        let known = self.known.get(name).filter(|it| it.gone_since.is_none())?;
        Some(&known.entry)
    }

    /// When this host learned what it knows of a registered target.
    #[must_use]
    pub fn times(&self, name: &str) -> Option<EntryTimes> {
        let known = self.known.get(name).filter(|it| it.gone_since.is_none())?;
        Some(known.times)
    }

    /// Names of the registered targets that are missing from a complete list as of `rev`.
    #[must_use]
    pub fn missing_from(&self, names: &[Arc<str>], rev: Revision) -> Vec<Arc<str>> {
        let names: HashSet<&Arc<str>> = names.iter().collect();
        let mut missing = Vec::new();
        for (name, known) in &self.known {
            if known.gone_since.is_none() && known.rev <= rev && !names.contains(name) {
                missing.push(Arc::clone(name));
            }
        }
        missing
    }

    /// The latest revision of an entry or a removal; `None` if nothing is known.
    #[must_use]
    pub fn latest_rev(&self) -> Option<Revision> {
        let entries = self.known.values().map(|it| it.rev);
        entries.chain(self.tombstones.values().copied()).max()
    }

    /// All known targets with their revisions; removed targets without their entry.
    #[must_use]
    pub fn revisions(&self) -> Vec<(Arc<str>, Revision, Option<TargetEntry>)> {
        let mut all = Vec::new();
        for (name, known) in &self.known {
            let mut entry = known.gone_since.is_none().then(|| (*known.entry).clone());
            // Other hosts are told of departures separately.
            if let Some(entry) = &mut entry
                && entry.state == TargetState::Leaving
            {
                entry.state = TargetState::Ready;
            }
            all.push((Arc::clone(name), known.rev, entry));
        }
        for (name, rev) in &self.tombstones {
            if !self.known.contains_key(name) {
                all.push((Arc::clone(name), *rev, None));
            }
        }
        all
    }

    /// Drops targets that were removed before `before`, except for their tombstones.
    pub fn forget(&mut self, before: Millis) {
        self.known
            .retain(|_, it| it.gone_since.is_none_or(|gone_since| gone_since >= before));
    }
}

#[cfg(test)]
mod tests;
