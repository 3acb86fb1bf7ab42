//! What the tasks of one host share.
//!
//! **Lock order.** `targets`, `tables`, `feed`, `gates`, then the lock of a gate. No lock is held
//! across an await.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use coordinator::{Millis, SliceTable};
use process::BootClock;
use routing::{Catalog, Picker};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    entry::{Budgets, Suspects},
    gateway::{Forwarder, Gates, Poison},
    observe::{LineKind, Lines, Metrics, ObservedStore},
    peers::{Event, Feed, HostInfo, Hosts, News, Position, Report},
    ports::{ProtocolProfile, Store, TargetApi},
    run::Ports,
    settings::Settings,
    state::Targets,
};

/// Slices by service.
pub type Tables = HashMap<Arc<str>, SliceTable>;

/// Everything that the tasks of one host share.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// What this host tells others about itself.
    pub info: HostInfo,
    /// The clock for leases and deadlines.
    pub clock: BootClock,
    /// Headers and statuses.
    pub profile: ProtocolProfile,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Budgets of log lines.
    lines: Lines,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Orders to targets.
    pub target_api: Arc<dyn TargetApi>,
    /// The configuration in force; none until one is known.
    pub catalog: ArcSwapOption<Catalog>,
    /// The hosts that serve.
    pub hosts: ArcSwap<Hosts>,
    /// Gates of the targets whose gateway this host is.
    pub gates: Gates,
    /// Connections to other gateways.
    pub forwarder: Forwarder,
    /// Budgets of repeated requests.
    pub budgets: Budgets,
    /// Hosts that did not answer lately.
    pub suspects: Suspects,
    /// Requests that crash targets.
    pub poison: Poison,
    /// Notified when targets, slices or hosts change.
    pub changed: Notify,
    /// Notified when there is news for other hosts.
    pub fed: Notify,
    /// Notified when a report should not wait.
    pub report_soon: Notify,
    /// Turns true when the host is asked to stop.
    pub stopping: watch::Sender<bool>,
    targets: RwLock<Targets>,
    tables: RwLock<Tables>,
    feed: Mutex<Feed>,
    pickers: Mutex<HashMap<Arc<str>, Picker>>,
    coordinator: Mutex<Option<SocketAddr>>,
    inbox: Mutex<Option<mpsc::UnboundedSender<Report>>>,
    synced: AtomicBool,
    needs_heir: AtomicBool,
    resigned: AtomicU64,
    in_step: AtomicU64,
}

impl Node {
    /// Creates the state of a host that knows nothing yet.
    pub fn new(settings: Settings, ports: Ports) -> Self {
        let info = HostInfo {
            name: Arc::clone(&settings.host),
            place: Arc::clone(&settings.place),
            peer: settings.advertised.peer.unwrap_or(settings.peer),
            forward: settings.advertised.forward.unwrap_or(settings.forward),
            power: settings.power(),
            incarnation: rand::random(),
        };
        let clock = BootClock::new();
        let metrics = Arc::new(Metrics::new());
        let store = ObservedStore::new(ports.store, Arc::clone(&metrics), clock);
        Self {
            hosts: ArcSwap::from_pointee(Hosts::new([info.clone()])),
            info,
            clock,
            profile: ports.profile,
            metrics,
            lines: Lines::new(clock.now()),
            store: Arc::new(store),
            target_api: ports.target_api,
            catalog: ArcSwapOption::empty(),
            gates: Gates::new(clock),
            forwarder: Forwarder::new(),
            budgets: Budgets::new(settings.bounds.retry_ratio, settings.bounds.retry_window),
            suspects: Suspects::default(),
            poison: Poison::default(),
            changed: Notify::new(),
            fed: Notify::new(),
            report_soon: Notify::new(),
            stopping: watch::Sender::new(false),
            targets: RwLock::default(),
            tables: RwLock::default(),
            feed: Mutex::default(),
            pickers: Mutex::default(),
            coordinator: Mutex::default(),
            inbox: Mutex::default(),
            synced: AtomicBool::new(false),
            needs_heir: AtomicBool::new(false),
            resigned: AtomicU64::new(0),
            in_step: AtomicU64::new(0),
            settings,
        }
    }

    /// Asks for a log line: the number of lines of the kind that were left out before it, or `None`
    /// if it is to be left out too.
    pub fn may_log(&self, kind: LineKind) -> Option<u64> {
        let left_out = self.lines.take(kind, self.clock.now());
        if left_out.is_none() {
            self.metrics.line_left_out(kind);
        }
        left_out
    }

    /// The targets, for reading.
    pub fn targets(&self) -> RwLockReadGuard<'_, Targets> {
        self.targets.read().expect("no holder of the lock panics")
    }

    /// The slices, for reading.
    pub fn tables(&self) -> RwLockReadGuard<'_, Tables> {
        self.tables.read().expect("no holder of the lock panics")
    }

    /// The news for other hosts.
    pub fn feed(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().expect("no holder of the lock panics")
    }

    /// The pickers of routes by name.
    pub fn pickers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Picker>> {
        self.pickers.lock().expect("no holder of the lock panics")
    }

    /// Where the coordinator is, as far as this host knows.
    pub fn coordinator(&self) -> Option<SocketAddr> {
        *self
            .coordinator
            .lock()
            .expect("no holder of the lock panics")
    }

    /// Notes where the coordinator is.
    pub fn set_coordinator(&self, address: Option<SocketAddr>) {
        let mut known = self
            .coordinator
            .lock()
            .expect("no holder of the lock panics");
        *known = address;
    }

    /// Whether this host coordinates.
    pub fn is_coordinator(&self) -> bool {
        let inbox = self.inbox.lock().expect("no holder of the lock panics");
        inbox.is_some()
    }

    /// Whether this host coordinates but cannot reach the store.
    pub fn needs_heir(&self) -> bool {
        self.needs_heir.load(Ordering::Relaxed)
    }

    /// Notes whether this host coordinates but cannot reach the store.
    pub fn set_needs_heir(&self, needs: bool) {
        if self.needs_heir.swap(needs, Ordering::Relaxed) != needs {
            self.fed.notify_waiters();
        }
    }

    /// Notes that this host will not act any more as the coordinator of `term`.
    pub fn resign(&self, term: u64) {
        self.resigned.store(term, Ordering::Relaxed);
    }

    /// Makes this host the one that takes reports, or ends that.
    pub fn set_inbox(&self, inbox: Option<mpsc::UnboundedSender<Report>>) {
        *self.inbox.lock().expect("no holder of the lock panics") = inbox;
    }

    /// Passes a report on to the coordinator's task, if this host coordinates.
    pub fn take_report(&self, report: Report) {
        let inbox = self.inbox.lock().expect("no holder of the lock panics");
        if let Some(inbox) = &*inbox {
            // The tenure may be ending.
            let _ = inbox.send(report);
        }
    }

    /// Learns of events and passes them on to other hosts.
    ///
    /// Only the coordinator numbers events. What another host read itself is not part of the
    /// sequence, so that host goes back to its beginning and is sent everything again.
    pub fn announce(&self, events: Vec<Event>) {
        let coordinates = self.is_coordinator();
        let mut news = false;
        for event in events {
            if !self.learn(&event) {
                continue;
            }
            news = true;
            if coordinates {
                self.feed().push(event);
            }
        }
        if news && !coordinates {
            self.feed().forget();
        }
        if news {
            self.changed.notify_waiters();
            self.fed.notify_waiters();
        }
    }

    /// Learns of events from another host and passes on what that host would.
    pub fn follow(&self, news: News) {
        let mut changed = false;
        for event in &news.events {
            changed |= self.learn(event);
        }
        {
            let mut feed = self.feed();
            if !news.complete {
                feed.extend(news.from, news.position, news.events);
            } else if news.is_own() || feed.position() < news.position {
                // The coordinator's position counts even if it is behind.
                feed.restart(news.position);
            }
        }
        if changed {
            self.changed.notify_waiters();
        }
        self.fed.notify_waiters();
    }

    /// What a host does not know that knows everything up to `known`.
    pub fn news(&self, known: Position) -> News {
        let (position, events) = {
            let feed = self.feed();
            (feed.position(), feed.after(known))
        };
        let complete = events.is_none();
        let own = self.info.peer;
        let coordinator = if self.is_coordinator() {
            Some(own)
        } else {
            // An old rumour may name this host.
            self.coordinator().filter(|it| *it != own)
        };
        News {
            peer: own,
            coordinator,
            needs_heir: self.needs_heir(),
            resigned: Some(self.resigned.load(Ordering::Relaxed)).filter(|it| *it > 0),
            from: known,
            position,
            complete,
            events: events.unwrap_or_else(|| self.everything()),
            age_ms: self.age_ms(),
        }
    }

    /// Milliseconds since this host's knowledge was in step with the store.
    pub fn age_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_sub(self.in_step.load(Ordering::Relaxed))
    }

    /// Notes that this host's knowledge was in step with the store at `at`.
    pub fn set_in_step(&self, at: Millis) {
        self.in_step.fetch_max(at, Ordering::Relaxed);
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
            && self.catalog.load().is_some()
            && !*self.stopping.borrow()
    }

    /// Forgets targets that have been gone for a long time.
    pub fn forget_targets(&self, before: Millis) {
        self.targets_mut().forget(before);
    }

    /// Everything that this host knows.
    fn everything(&self) -> Vec<Event> {
        let mut events = Vec::new();
        if let Some(catalog) = self.catalog.load_full() {
            events.push(Event::Catalog(catalog));
        }
        for (name, rev, entry) in self.targets().revisions() {
            events.push(Event::Target(name, rev, entry));
        }
        for (service, table) in &*self.tables() {
            for slice in table.iter() {
                events.push(Event::Slice(Arc::clone(service), slice.clone()));
            }
        }
        events.push(Event::Hosts(self.hosts.load().iter().cloned().collect()));
        let quarantined = self.poison.quarantined(self.clock.now());
        events.extend(quarantined.into_iter().map(Event::Poison));
        events
    }

    /// Learns of one event; returns whether it was news.
    fn learn(&self, event: &Event) -> bool {
        match event {
            Event::Catalog(catalog) => {
                let known = self.catalog.load().as_ref().map(|it| it.version());
                if known.is_some_and(|it| it >= catalog.version()) {
                    return false;
                }
                log::info!(version = catalog.version(); "a configuration is in force");
                self.catalog.store(Some(Arc::clone(catalog)));
                true
            }
            Event::Target(name, rev, entry) => {
                let now = self.clock.now();
                let news = self.targets_mut().apply(name, *rev, entry.clone(), now);
                if news && let Some(left_out) = self.may_log(LineKind::Belief) {
                    let state = entry.as_ref().map(|it| it.state);
                    let address = entry.as_ref().map(|it| it.address);
                    log::info!(
                        target_name = &**name, rev, state:?, address:?, left_out;
                        "a target changed"
                    );
                }
                news
            }
            Event::Slice(service, slice) => {
                let mut tables = self.tables.write().expect("no holder of the lock panics");
                let table = tables.entry(Arc::clone(service)).or_default();
                table.merge(slice)
            }
            Event::Hosts(list) => self.set_hosts(Hosts::new(list.iter().cloned())),
            Event::HostCame(host) => self.set_hosts(self.hosts.load().with(host.clone())),
            Event::HostLeft(name) => self.set_hosts(self.hosts.load().without(name)),
            Event::Poison(fingerprint) => self.poison.quarantine(*fingerprint, self.clock.now()),
        }
    }

    /// Replaces the hosts that serve; returns whether they changed.
    fn set_hosts(&self, hosts: Hosts) -> bool {
        let known = self.hosts.load();
        if **known == hosts {
            return false;
        }
        if let Some(left_out) = self.may_log(LineKind::Belief) {
            log::info!(
                came = hosts.names_beside(&known),
                left = known.names_beside(&hosts),
                left_out;
                "the hosts that serve changed"
            );
        }
        self.hosts.store(Arc::new(hosts));
        true
    }

    fn targets_mut(&self) -> RwLockWriteGuard<'_, Targets> {
        self.targets.write().expect("no holder of the lock panics")
    }
}

#[cfg(test)]
mod tests;
