//! Applies events to the state of a host, and passes them on to other hosts.

use std::sync::{Arc, atomic::Ordering};

use coordinator::{Incarnation, Millis};

use super::{LeavingSource, News, NewsSource, Node};
use crate::{
    observe::LineKind,
    peers::{Event, Hosts, Position, ReportReply},
    ports::Revision,
    state::{Departure, Evacuation, TargetEntry, TargetState},
};

impl Node {
    /// Records that a target has said in an answer, at `since` or later, that it is about to stop, and
    /// tells other hosts: the coordinator by an event, any other host in its next report, which is
    /// sent at once.
    pub fn on_leaving(&self, incarnation: &Incarnation, since: Millis, from: LeavingSource) {
        let known = self.targets().is_leaving(incarnation);
        if known || !self.learn_leaving(incarnation, since, from) {
            return;
        }
        if self.is_coordinator() {
            let departure = Departure {
                incarnation: incarnation.clone(),
                age_ms: self.clock.now().saturating_sub(since),
            };
            self.feed().push(Event::Leaving(departure));
            self.feed_changed.notify_waiters();
        } else {
            self.report_soon.notify_one();
        }
        self.state_changed.notify_waiters();
    }

    /// What a host lacks that knows all events up to `known`, and has heard of the version `catalog`
    /// of the configuration.
    pub fn news_after(&self, known: Position, catalog: Option<u64>) -> News {
        if catalog < self.catalog.version() {
            News::Urgent
        } else if known == self.feed().position() {
            News::None
        } else {
            News::Usual
        }
    }

    /// Applies events and publishes them to other hosts.
    ///
    /// Only the coordinator numbers events. What another host read from the store itself is not
    /// part of the sequence, so that host rewinds its position and is sent everything again.
    pub fn announce(&self, events: Vec<Event>) {
        self.announce_from(events, NewsSource::Store);
    }

    /// As [`Node::announce`], with events from another source than the store.
    pub fn announce_from(&self, events: Vec<Event>, from: NewsSource) {
        let coordinates = self.is_coordinator();
        let mut changed = false;
        for event in events {
            if !self.apply(&event, from) {
                continue;
            }
            changed = true;
            if coordinates {
                self.feed().push(event);
            }
        }
        if changed && !coordinates {
            self.feed().rewind();
        }
        if changed {
            self.state_changed.notify_waiters();
            self.feed_changed.notify_waiters();
        }
    }

    /// Applies the reply of another host, which was sent at `sent` or later, and adopts its position
    /// in the sequence, so that this host can pass the events on.
    pub fn apply_reply(&self, reply: ReportReply, sent: Millis) {
        if let Some(mark) = reply.catalog {
            self.catalog.announce(Some(mark.version));
            let checked_at = sent.saturating_sub(reply.catalog_age);
            self.catalog.confirm(mark, checked_at);
        }
        let synced_at = sent.saturating_sub(reply.age_ms);
        self.set_synced_at(synced_at);
        self.store_contact().on_sync(synced_at, self.clock.now());
        let new_term = reply.position.term != self.feed().position().term;
        if reply.is_from_coordinator()
            && new_term
            && self.poison_requests.report_again(self.clock.now())
        {
            self.report_soon.notify_one();
        }
        let mut changed = false;
        for event in &reply.events {
            changed |= match event {
                Event::Leaving(it) => {
                    let since = sent.saturating_sub(it.age_ms);
                    self.learn_leaving(&it.incarnation, since, LeavingSource::Host)
                }
                Event::Evacuation(it) => {
                    let age_ms = it.age_ms + self.clock.now().saturating_sub(sent);
                    let news = Evacuation {
                        age_ms,
                        ..it.clone()
                    };
                    self.learn_evacuation(&news, NewsSource::Host)
                }
                event => self.apply(event, NewsSource::Host),
            };
        }
        if let Some(age_ms) = reply.targets_age_ms {
            self.set_targets_synced_at(sent.saturating_sub(age_ms));
        }
        {
            let mut feed = self.feed();
            if !reply.complete {
                feed.extend(reply.from, reply.position, reply.events);
            } else if reply.is_from_coordinator() || feed.position() < reply.position {
                // The coordinator's position is adopted even if it is behind.
                feed.restart(reply.position);
            }
        }
        if changed {
            self.state_changed.notify_waiters();
        }
        self.feed_changed.notify_waiters();
    }

    /// Builds the reply to a host that knows everything up to `known`.
    pub fn reply_to(&self, known: Position) -> ReportReply {
        // Read before the events: what the mark covers must be among them, because the other host
        // reads from the store only what is newer.
        let (catalog, catalog_age) = (self.catalog.mark(), self.catalog_age_ms());
        let (position, mut events) = {
            let feed = self.feed();
            (feed.position(), feed.after(known))
        };
        let now = self.clock.now();
        for event in events.iter_mut().flatten() {
            self.update_age(event, now);
        }
        let complete = events.is_none();
        let own = self.info.peer;
        let coordinator = if self.is_coordinator() {
            Some(own)
        } else {
            // Outdated information may still name this host.
            self.coordinator().filter(|it| *it != own)
        };
        ReportReply {
            peer: own,
            coordinator,
            needs_successor: self.needs_successor(),
            resigned: Some(self.resigned.load(Ordering::Relaxed)).filter(|it| *it > 0),
            from: known,
            position,
            complete,
            events: events.unwrap_or_else(|| self.full_state()),
            catalog,
            catalog_age,
            age_ms: self.age_ms(),
            targets_age_ms: self.targets_synced_at().map(|_| self.targets_age_ms()),
            held_ms: 0,
        }
    }

    /// The full state of this host as events.
    fn full_state(&self) -> Vec<Event> {
        let mut events = Vec::new();
        for (name, rev, entry) in self.targets().revisions() {
            events.push(Event::Target(name, rev, entry));
        }
        events.extend(self.targets().list().map(|it| Event::Listed(it.0, it.1)));
        let now = self.clock.now();
        events.extend(self.targets().leaving(now).map(Event::Leaving));
        events.extend(self.evacuations().iter(now).map(Event::Evacuation));
        let evacuated = self.evacuations().list();
        events.extend(evacuated.map(|it| Event::Evacuated(it.0, it.1)));
        for (service, table) in &*self.tables() {
            for slice in table.iter() {
                events.push(Event::Slice(Arc::clone(service), slice.clone()));
            }
        }
        events.push(Event::Hosts(self.hosts.load().iter().cloned().collect()));
        let quarantined = self.poison_requests.quarantined(self.clock.now());
        events.extend(quarantined.into_iter().map(Event::Poison));
        events
    }

    /// Applies one event; returns whether it changed the state.
    fn apply(&self, event: &Event, from: NewsSource) -> bool {
        match event {
            Event::Target(name, rev, entry) => {
                let now = self.clock.now();
                let changed = self.targets_mut().apply(name, *rev, entry.clone(), now);
                if changed {
                    self.observe_change(name, *rev, entry.as_ref(), from);
                }
                changed
            }
            Event::Listed(names, rev) => {
                self.apply_list(names, *rev, from);
                true
            }
            Event::Leaving(it) => {
                let since = self.clock.now().saturating_sub(it.age_ms);
                self.learn_leaving(&it.incarnation, since, LeavingSource::Host)
            }
            Event::Evacuation(news) => self.learn_evacuation(news, from),
            Event::Evacuated(places, rev) => {
                self.apply_evacuated(places, *rev, from);
                true
            }
            Event::Slice(service, slice) => {
                let mut tables = self.tables.write().expect("lock is not poisoned");
                let table = tables.entry(Arc::clone(service)).or_default();
                table.merge(slice)
            }
            Event::Hosts(list) => self.set_hosts(Hosts::new(list.iter().cloned())),
            Event::HostCame(host) => self.set_hosts(self.hosts.load().with(host.clone())),
            Event::HostLeft(name) => self.set_hosts(self.hosts.load().without(name)),
            Event::Poison(fingerprint) => self
                .poison_requests
                .quarantine(*fingerprint, self.clock.now()),
        }
    }

    /// Logs the change of a target. If it leaves, records how long ago the store may have accepted
    /// that.
    fn observe_change(
        &self,
        name: &str,
        rev: Revision,
        entry: Option<&TargetEntry>,
        from: NewsSource,
    ) {
        let unheard_ms = self.targets_age_ms();
        let state = entry.map(|it| it.state);
        if matches!(state, None | Some(TargetState::Draining)) {
            self.metrics.departure_news(from.label(), unheard_ms);
        }
        if let Some(left_out) = self.may_log(LineKind::StateChange) {
            let address = entry.map(|it| it.address);
            log::info!(
                target_name = name, rev:%, state:?, address:?, from = from.label(), unheard_ms,
                left_out;
                "a target changed"
            );
        }
    }

    /// Drops the targets that are missing from a complete list as of `rev`, which hosts that have just
    /// started cannot name. Targets that may register again are kept.
    fn apply_list(&self, names: &[Arc<str>], rev: Revision, from: NewsSource) {
        let missing = self.targets().missing_from(names, rev);
        let may_return = self.clock.now() < self.targets_complete_at();
        {
            let mut targets = self.targets_mut();
            targets.set_listed(rev);
            targets.set_removals_left_out(may_return && !missing.is_empty());
        }
        for name in missing.into_iter().filter(|_| !may_return) {
            self.apply(&Event::Target(name, rev, None), from);
        }
    }

    /// Takes back into use the data centres that are missing from a complete list of evacuated ones as
    /// of `rev`, which hosts that have just started cannot name.
    fn apply_evacuated(&self, places: &[Arc<str>], rev: Revision, from: NewsSource) {
        let returned = self.evacuations().missing_from(places, rev);
        for place in returned {
            let news = Evacuation {
                place,
                rev,
                active: false,
                age_ms: 0,
            };
            self.learn_evacuation(&news, from);
        }
        let mut evacuations = self.evacuations.write().expect("lock is not poisoned");
        evacuations.set_listed(rev);
    }

    /// Records that a target has said at `since` or later that it is about to stop; returns whether
    /// this is new.
    fn learn_leaving(&self, incarnation: &Incarnation, since: Millis, from: LeavingSource) -> bool {
        if !self.targets_mut().on_leaving(incarnation, since) {
            return false;
        }
        self.metrics.leaving(from.label());
        if let Some(left_out) = self.may_log(LineKind::StateChange) {
            log::info!(
                target_name = &*incarnation.target,
                born = incarnation.started_ms,
                from = from.label(),
                left_out;
                "a target is about to stop"
            );
        }
        true
    }

    /// Records whether a data centre is evacuated; returns whether this is new.
    fn learn_evacuation(&self, news: &Evacuation, from: NewsSource) -> bool {
        let now = self.clock.now();
        let mut evacuations = self.evacuations.write().expect("lock is not poisoned");
        if !evacuations.apply(news, now) {
            return false;
        }
        log::info!(
            place = &*news.place,
            active = news.active,
            rev:% = news.rev,
            from = from.label(),
            unheard_ms = news.age_ms;
            "the evacuation of a data centre changed"
        );
        true
    }

    /// Updates an age in an event that was made earlier.
    fn update_age(&self, event: &mut Event, now: Millis) {
        match event {
            Event::Leaving(departure) => {
                let targets = self.targets();
                let mut leaving = targets.leaving(now);
                if let Some(it) = leaving.find(|it| it.incarnation == departure.incarnation) {
                    *departure = it;
                }
            }
            Event::Evacuation(news) => {
                let evacuations = self.evacuations();
                if let Some(it) = evacuations.iter(now).find(|it| it.place == news.place) {
                    *news = it;
                }
            }
            _ => {}
        }
    }

    /// Replaces the hosts that serve; returns whether they changed.
    fn set_hosts(&self, hosts: Hosts) -> bool {
        let known = self.hosts.load();
        if **known == hosts {
            return false;
        }
        if let Some(left_out) = self.may_log(LineKind::StateChange) {
            log::info!(
                came = hosts.names_missing_from(&known),
                left = known.names_missing_from(&hosts),
                left_out;
                "the hosts that serve changed"
            );
        }
        self.hosts.store(Arc::new(hosts));
        true
    }
}
