//! State that the tasks of one host share.
//!
//! **Lock order.** `targets`, `tables`, `feed`, `queues`, the lock of a queue, then
//! that of the pauses. No lock is held
//! across an await.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use coordinator::{Incarnation, Millis, SliceTable};
use pool::AnswerLimits;
use process::BootClock;
use routing::{Catalog, Picker};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    entry::{MAX_BODY_BYTES, RetryBudgets, Suspects},
    gateway::{AdmissionQueues, Forwarder, PoisonRequests},
    grace_period::GracePeriod,
    observe::{LineKind, LogLimiter, Metrics, ObservedStore},
    peers::{Event, Feed, HostInfo, Hosts, Position, Report, ReportReply},
    ports::{ProtocolProfile, Revision, Store, TargetApi},
    run::Ports,
    settings::Settings,
    state::{Catalogs, Departure, StoreContact, TargetEntry, TargetState, Targets},
};

/// Slices by service.
pub type Tables = HashMap<Arc<str>, SliceTable>;

/// Most bytes of answers that are being read at the same time: a quarter of the 260 MB of a host.
const MAX_ANSWERS_BYTES: usize = 64 << 20;

/// Age in milliseconds up to which a host's knowledge of the newest version of the configuration
/// spares others a read of the store. It exceeds the time for which the coordinator's own watch of the
/// store may be outstanding.
const MAX_CATALOG_AGE_MS: u64 = 1_500;

/// The same without a coordinator: nothing else tells a host of a new version then, and the host
/// that asks it has a pause between two questions as well.
const MAX_CATALOG_AGE_ALONE_MS: u64 = 500;

/// Most bytes of bodies of requests that are being read or wait for their answer: an eighth of the
/// 260 MB of a host.
const MAX_REQUESTS_BYTES: usize = 32 << 20;

/// What another host lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// Nothing.
    None,
    /// A version of the configuration, which must be in force everywhere within seconds.
    Urgent,
    /// Events.
    Usual,
}

/// Where this host received news from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewsSource {
    /// Another host.
    Host,
    /// The store.
    Store,
}

/// How a host learns that a target is about to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingSource {
    /// From an answer of the target.
    Target,
    /// From an answer of the target to its gateway.
    Gateway,
    /// From a report or an event of another host.
    Host,
}

impl LeavingSource {
    fn label(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Gateway => "gateway",
            Self::Host => "host",
        }
    }
}

impl NewsSource {
    fn label(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Store => "store",
        }
    }
}

/// State that the tasks of one host share.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// This host's description for other hosts.
    pub info: HostInfo,
    /// The clock for leases and deadlines.
    pub clock: BootClock,
    /// Header names and refusal statuses.
    pub profile: ProtocolProfile,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Rate limits of log lines.
    log_limiter: LogLimiter,
    /// The store.
    pub store: Arc<dyn Store>,
    /// When the store answered.
    store_contact: Arc<Mutex<StoreContact>>,
    /// Orders to targets.
    pub target_api: Arc<dyn TargetApi>,
    /// The configuration.
    pub catalog: Catalogs,
    /// The hosts that serve.
    pub hosts: ArcSwap<Hosts>,
    /// Admission queues of the targets whose gateway this host is.
    pub queues: AdmissionQueues,
    /// Limits of the bodies of answers of targets and other gateways.
    pub answer_limits: AnswerLimits,
    /// Limits of the bodies of requests of callers and other hosts.
    pub request_limits: AnswerLimits,
    /// Connections to other gateways.
    pub forwarder: Forwarder,
    /// Retry budgets.
    pub retry_budgets: RetryBudgets,
    /// Hosts that recently failed to answer.
    pub suspects: Suspects,
    /// Quarantine of requests that crash targets.
    pub poison_requests: PoisonRequests,
    /// Notified when an event has changed this host's state, such as targets, slices or hosts.
    pub state_changed: Notify,
    /// Notified when there are updates for other hosts.
    pub feed_changed: Notify,
    /// Notified when a report is to be sent at once.
    pub report_soon: Notify,
    /// Notified when another host asks for the newest version of the configuration.
    pub refresh_soon: Notify,
    /// Becomes true when the host is asked to stop.
    pub stopping: watch::Sender<bool>,
    /// The grace period; set before `stopping` becomes true.
    pub grace_period: OnceLock<GracePeriod>,
    targets: RwLock<Targets>,
    tables: RwLock<Tables>,
    feed: Mutex<Feed>,
    pickers: Mutex<HashMap<Arc<str>, Picker>>,
    coordinator: Mutex<Option<SocketAddr>>,
    /// Channel to the task of the coordinator, while this host coordinates.
    inbox: Mutex<Option<mpsc::UnboundedSender<Report>>>,
    /// Whether `synced_at` has been set.
    synced: AtomicBool,
    needs_successor: AtomicBool,
    /// Last term from which this host has resigned as the coordinator; 0 if there is none.
    resigned: AtomicU64,
    /// When this host's state was last in sync with the store.
    synced_at: AtomicU64,
    /// When the list of targets was, which a task of its own keeps up to date; 0 if never since the
    /// start of this process.
    targets_synced_at: AtomicU64,
}

impl Node {
    /// Creates the initial state of a host.
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
        let store_contact = Arc::<Mutex<StoreContact>>::default();
        let store = ObservedStore::new(
            ports.store,
            Arc::clone(&metrics),
            clock,
            Arc::clone(&store_contact),
        );
        Self {
            hosts: ArcSwap::from_pointee(Hosts::new([info.clone()])),
            info,
            clock,
            profile: ports.profile,
            metrics,
            log_limiter: LogLimiter::new(clock.now()),
            store: Arc::new(store),
            store_contact,
            target_api: ports.target_api,
            catalog: Catalogs::default(),
            queues: AdmissionQueues::new(clock),
            answer_limits: AnswerLimits::new(MAX_BODY_BYTES, MAX_ANSWERS_BYTES),
            request_limits: AnswerLimits::new(MAX_BODY_BYTES, MAX_REQUESTS_BYTES),
            forwarder: Forwarder::new(),
            retry_budgets: RetryBudgets::new(
                settings.bounds.retry_ratio,
                settings.bounds.retry_window,
            ),
            suspects: Suspects::default(),
            poison_requests: PoisonRequests::default(),
            state_changed: Notify::new(),
            feed_changed: Notify::new(),
            report_soon: Notify::new(),
            refresh_soon: Notify::new(),
            stopping: watch::Sender::new(false),
            grace_period: OnceLock::new(),
            targets: RwLock::default(),
            tables: RwLock::default(),
            feed: Mutex::default(),
            pickers: Mutex::default(),
            coordinator: Mutex::default(),
            inbox: Mutex::default(),
            synced: AtomicBool::new(false),
            needs_successor: AtomicBool::new(false),
            resigned: AtomicU64::new(0),
            synced_at: AtomicU64::new(0),
            targets_synced_at: AtomicU64::new(0),
            settings,
        }
    }

    /// Asks whether a log line may be written. Returns the number of lines of the kind that were
    /// suppressed before it, or `None` if this one must be suppressed too.
    pub fn may_log(&self, kind: LineKind) -> Option<u64> {
        let left_out = self.log_limiter.take(kind, self.clock.now());
        if left_out.is_none() {
            self.metrics.line_left_out(kind);
        }
        left_out
    }

    /// Locks the targets for reading.
    pub fn targets(&self) -> RwLockReadGuard<'_, Targets> {
        self.targets.read().expect("lock is not poisoned")
    }

    /// Locks the slices for reading.
    pub fn tables(&self) -> RwLockReadGuard<'_, Tables> {
        self.tables.read().expect("lock is not poisoned")
    }

    /// Locks the sequence of events for other hosts.
    pub fn feed(&self) -> MutexGuard<'_, Feed> {
        self.feed.lock().expect("lock is not poisoned")
    }

    /// Locks the pickers of routes, by name.
    pub fn pickers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Picker>> {
        self.pickers.lock().expect("lock is not poisoned")
    }

    /// Address of the coordinator, if this host knows it.
    pub fn coordinator(&self) -> Option<SocketAddr> {
        *self.coordinator.lock().expect("lock is not poisoned")
    }

    /// Sets the address of the coordinator.
    pub fn set_coordinator(&self, address: Option<SocketAddr>) {
        let mut known = self.coordinator.lock().expect("lock is not poisoned");
        *known = address;
    }

    /// Whether this host is the coordinator.
    pub fn is_coordinator(&self) -> bool {
        let inbox = self.inbox.lock().expect("lock is not poisoned");
        inbox.is_some()
    }

    /// Whether this host is the coordinator but cannot reach the store.
    pub fn needs_successor(&self) -> bool {
        self.needs_successor.load(Ordering::Relaxed)
    }

    /// Sets whether this host is the coordinator but cannot reach the store.
    pub fn set_needs_successor(&self, needs: bool) {
        if self.needs_successor.swap(needs, Ordering::Relaxed) != needs {
            self.feed_changed.notify_waiters();
        }
    }

    /// Records that this host has resigned as the coordinator of `term`.
    pub fn resign(&self, term: u64) {
        self.resigned.store(term, Ordering::Relaxed);
    }

    /// Sets the channel to the coordinator's task; `None` if this host does not coordinate.
    pub fn set_inbox(&self, inbox: Option<mpsc::UnboundedSender<Report>>) {
        *self.inbox.lock().expect("lock is not poisoned") = inbox;
    }

    /// Sends a report to the coordinator's task, if this host coordinates.
    pub fn deliver_report(&self, report: Report) {
        let inbox = self.inbox.lock().expect("lock is not poisoned");
        if let Some(inbox) = &*inbox {
            // The receiver is gone if the tenure is ending.
            let _ = inbox.send(report);
        }
    }

    /// Puts a version of the configuration in force if it is newer than the current one, and tells
    /// other hosts.
    pub fn adopt_catalog(&self, catalog: Arc<Catalog>, from: NewsSource) {
        let version = catalog.version();
        let newer = self.catalog.adopt(catalog);
        self.metrics.configuration(from.label(), newer);
        if newer {
            log::info!(version, from = from.label(); "a configuration is in force");
            self.state_changed.notify_waiters();
            self.feed_changed.notify_waiters();
        }
    }

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

    /// Time in milliseconds for which a leaving target is sent requests.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the settings bound the time to 3600 s"
    )]
    pub fn drain_ms(&self) -> Millis {
        (self.settings.bounds.drain * 1_000.0) as Millis
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
        let coordinates = self.is_coordinator();
        let mut changed = false;
        for event in events {
            if !self.apply(&event, NewsSource::Store) {
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
        let (position, mut events) = {
            let feed = self.feed();
            (feed.position(), feed.after(known))
        };
        let now = self.clock.now();
        for event in events.iter_mut().flatten() {
            let Event::Leaving(departure) = event else {
                continue;
            };
            let targets = self.targets();
            let mut leaving = targets.leaving(now);
            if let Some(it) = leaving.find(|it| it.incarnation == departure.incarnation) {
                *departure = it;
            }
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
            catalog: self.catalog.mark(),
            catalog_age: self.catalog_age_ms(),
            age_ms: self.age_ms(),
            targets_age_ms: self.targets_synced_at().map(|_| self.targets_age_ms()),
            held_ms: 0,
        }
    }

    /// Staleness: milliseconds since this host's state was in sync with the store.
    pub fn age_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_sub(self.synced_at.load(Ordering::Relaxed))
    }

    /// Milliseconds since this host's list of targets was in sync with the store, or since the start
    /// of this process if it never was.
    pub fn targets_age_ms(&self) -> u64 {
        let synced_at = self.targets_synced_at().unwrap_or_default();
        self.clock.now().saturating_sub(synced_at)
    }

    /// When this host's list of targets was last in sync with the store; `None` if not since the
    /// start of this process.
    pub fn targets_synced_at(&self) -> Option<Millis> {
        let at = self.targets_synced_at.load(Ordering::Relaxed);
        (at > 0).then_some(at)
    }

    /// Records that this host's list of targets was in sync with the store at `at`.
    pub fn set_targets_synced_at(&self, at: Millis) {
        self.targets_synced_at.fetch_max(at, Ordering::Relaxed);
    }

    /// Milliseconds since the version in force was known to be the newest one.
    pub fn catalog_age_ms(&self) -> u64 {
        let now = self.clock.now();
        now.saturating_sub(self.catalog.checked_at())
    }

    /// Age in milliseconds up to which this host's knowledge of the newest version of the
    /// configuration spares others a read of the store.
    pub fn max_catalog_age_ms(&self) -> u64 {
        match self.coordinator() {
            Some(_) => MAX_CATALOG_AGE_MS,
            None => MAX_CATALOG_AGE_ALONE_MS,
        }
    }

    /// Records that this host's state was in sync with the store at `at`.
    pub fn set_synced_at(&self, at: Millis) {
        self.synced_at.fetch_max(at, Ordering::Relaxed);
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Whether this host's state has been in sync with the store since its start.
    pub fn is_synced(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
    }

    /// Whether the host accepts requests.
    pub fn is_ready(&self) -> bool {
        self.is_synced() && self.catalog.load().is_some() && !*self.stopping.borrow()
    }

    /// Begins the grace period unless it has begun, and returns it.
    pub fn stop(&self) -> GracePeriod {
        let grace = self.settings.bounds.grace;
        let began = || GracePeriod::new(self.clock.now(), grace);
        let period = *self.grace_period.get_or_init(began);
        self.stopping.send_replace(true);
        period
    }

    /// Resolves when a stopping host must have sent its last answers.
    pub async fn answers_end(&self) {
        // The sender belongs to this node, so the wait cannot fail.
        let _ = self.stopping.subscribe().wait_for(|it| *it).await;
        if let Some(period) = self.grace_period.get() {
            tokio::time::sleep(period.answers_left(self.clock.now())).await;
        }
    }

    /// Records that the store has `generation`.
    pub fn on_generation(&self, generation: u64) {
        self.targets_mut()
            .on_generation(generation, self.clock.now());
    }

    /// Drops targets that were removed before `before`.
    pub fn forget_targets(&self, before: Millis) {
        self.targets_mut().forget(before);
    }

    /// Returns when a target that is missing from the list counts as gone. Before that time it may
    /// be running, and its entry may have expired in an outage of the store.
    pub fn targets_complete_at(&self) -> Millis {
        let restored = self.targets().complete_at();
        restored.max(self.store_contact().complete_at())
    }

    /// Records that removals of targets were left out because the targets may register again.
    pub fn leave_out_removals(&self) {
        self.targets_mut().set_removals_left_out(true);
    }

    /// Whether the list of targets is to be read again, since removals were left out and the targets
    /// have had the time to register again.
    pub fn must_list_targets(&self) -> bool {
        self.targets().removals_left_out() && self.clock.now() >= self.targets_complete_at()
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

    fn store_contact(&self) -> MutexGuard<'_, StoreContact> {
        self.store_contact.lock().expect("lock is not poisoned")
    }

    fn targets_mut(&self) -> RwLockWriteGuard<'_, Targets> {
        self.targets.write().expect("lock is not poisoned")
    }
}

#[cfg(test)]
mod tests;
