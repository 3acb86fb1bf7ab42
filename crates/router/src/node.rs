//! State that the tasks of one host share.
//!
//! **Lock order.** `targets`, `evacuations`, `tables`, `feed`, `queues`, the lock of a queue, then
//! that of the pauses. No lock is held across an await.

mod freshness;
mod news;
mod replication;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::ArcSwap;
use coordinator::{Millis, SliceTable};
use pool::AnswerLimits;
use process::BootClock;
use routing::{Catalog, Picker};
use tokio::sync::{Notify, mpsc, watch};

use crate::{
    entry::{MAX_BODY_BYTES, RetryBudgets, Suspects, Waits},
    gateway::{AdmissionQueues, Forwarder, PoisonRequests},
    grace_period::GracePeriod,
    observe::{LineKind, LogLimiter, Metrics, ObservedStore},
    peers::{Feed, HostInfo, Hosts, Report},
    ports::{ProtocolProfile, Store, TargetApi},
    run::Ports,
    settings::Settings,
    state::{Access, Catalogs, Evacuations, StoreContact, Targets},
};

pub use self::news::{LeavingSource, News, NewsSource};

/// Slices by service.
pub type Tables = HashMap<Arc<str>, SliceTable>;

/// Part of a host's memory for bodies of answers that are being read or that callers have not read.
const ANSWERS_SHARE: usize = 4;

/// Part of a host's memory for bodies of requests that are being read or wait for their answer.
const REQUESTS_SHARE: usize = 8;

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
    /// Expected waits in the queues of pools.
    pub waits: Waits,
    /// Data centres in which recently neither hosts nor targets could be reached.
    pub cut_places: Suspects,
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
    evacuations: RwLock<Evacuations>,
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
            link_mbps: settings.whole_mbps(),
            incarnation: rand::random(),
        };
        let clock = BootClock::new();
        let metrics = Arc::new(Metrics::new());
        let store_contact = Arc::<Mutex<StoreContact>>::default();
        let forwarder = Forwarder::new(clock, Arc::clone(&metrics));
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
            answer_limits: body_limits(&settings, ANSWERS_SHARE),
            request_limits: body_limits(&settings, REQUESTS_SHARE),
            forwarder,
            retry_budgets: RetryBudgets::new(
                settings.bounds.retry_ratio,
                settings.bounds.retry_window,
            ),
            suspects: Suspects::default(),
            waits: Waits::default(),
            cut_places: Suspects::default(),
            poison_requests: PoisonRequests::default(),
            state_changed: Notify::new(),
            feed_changed: Notify::new(),
            report_soon: Notify::new(),
            refresh_soon: Notify::new(),
            stopping: watch::Sender::new(false),
            grace_period: OnceLock::new(),
            targets: RwLock::default(),
            evacuations: RwLock::default(),
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

    /// Locks the evacuations for reading.
    pub fn evacuations(&self) -> RwLockReadGuard<'_, Evacuations> {
        self.evacuations.read().expect("lock is not poisoned")
    }

    /// What may be sent to the targets of a data centre at `now`.
    pub fn access(&self, place: &str, now: Millis) -> Access {
        self.evacuations().access(place, now, self.evacuation_ms())
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

    /// Time in milliseconds for which a leaving target is sent requests.
    pub fn drain_ms(&self) -> Millis {
        bound_ms(self.settings.bounds.drain)
    }

    /// Time in milliseconds after which an evacuated data centre is sent nothing.
    pub fn evacuation_ms(&self) -> Millis {
        bound_ms(self.settings.bounds.evacuation)
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

    fn store_contact(&self) -> MutexGuard<'_, StoreContact> {
        self.store_contact.lock().expect("lock is not poisoned")
    }

    fn targets_mut(&self) -> RwLockWriteGuard<'_, Targets> {
        self.targets.write().expect("lock is not poisoned")
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings limit bounds to 3600 s"
)]
fn bound_ms(seconds: f64) -> Millis {
    (seconds * 1_000.0) as Millis
}

/// Limits of bodies that together may take a part of the host's memory.
fn body_limits(settings: &Settings, share: usize) -> AnswerLimits {
    let memory = usize::try_from(settings.memory_mb).unwrap_or(usize::MAX);
    AnswerLimits::new(MAX_BODY_BYTES, memory.saturating_mul(1 << 20) / share)
}

#[cfg(test)]
mod tests;
