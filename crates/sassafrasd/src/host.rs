//! State that the tasks of a host share.
//!
//! **Lock order.** A task that holds several locks takes them in this order: `table`,
//! `gateway_targets`, the lock of a gateway target, `voters`, `quarantines`, `budgets`,
//! `unreachable`. The lock inside [`VoteReplies`] is never held together with another one. No lock
//! is held across an await.

use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use admission::{Quarantine, QuarantineRecord, RetryVerdict};
use arc_swap::{ArcSwap, ArcSwapOption};
use ownership::{Merge, Table, TargetId, Voter};
use peer::{Adoption, Reach};
use platform::{Member, MemberKind, Members, Platform};
use tokio::sync::{Notify, watch};

use crate::{
    budgets::{Budgets, FailurePoint},
    claims::Claims,
    clock::{Clock, Millis},
    forward::Forwarder,
    gateway_target::GatewayTarget,
    link::{Crossing, LinkBudget},
    metrics::Metrics,
    peers::Peers,
    settings::Settings,
    view::View,
    votes::VoteReplies,
};

/// Quarantine period of a service that the document does not name.
const DEFAULT_QUARANTINE_MS: u64 = 600_000;

/// Everything that the tasks of one host share.
pub struct Host {
    pub settings: Settings,
    pub clock: Clock,
    /// Random identifier of this run of the process.
    pub incarnation: u64,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Client of the platform.
    pub platform: Platform,
    /// Connections for control messages.
    pub peers: Peers,
    /// Replies of other hosts to requests for their votes.
    pub vote_replies: VoteReplies,
    /// Connections for requests to other hosts.
    pub forwarder: Forwarder,
    /// Writer of idempotency claims.
    pub claims: Arc<Claims>,
    /// Byte budget for the link between regions.
    pub link: LinkBudget,
    /// The document in force; `None` until one is known.
    pub view: ArcSwapOption<View>,
    /// The membership list as of the last read.
    pub members: ArcSwap<Members>,
    /// Notified on every change of the table.
    pub changed: Notify,
    /// Notified when a gateway must act before its next tick.
    pub wake: Notify,
    /// Notified when the store should be read before the next interval has passed.
    pub read_soon: Notify,
    /// Set to true when the host is asked to stop.
    pub stopping: watch::Sender<bool>,
    /// When a stopping host that closes its connections ends at the latest; the maximum before.
    drain_end: AtomicU64,
    table: RwLock<Table>,
    gateway_targets: RwLock<HashMap<TargetId, Arc<GatewayTarget>>>,
    voters: Mutex<HashMap<TargetId, Voter>>,
    quarantines: Mutex<HashMap<Arc<str>, Quarantine>>,
    budgets: Mutex<HashMap<Arc<str>, Budgets>>,
    unreachable: Mutex<HashSet<TargetId>>,
    ready: AtomicBool,
    confirmed: AtomicBool,
    read_began: AtomicU64,
    contact: AtomicU64,
    cursor: AtomicU64,
    loads_taken: AtomicU64,
    changes: AtomicU64,
}

impl Host {
    /// Creates the state of a host without a document, a table and a membership list.
    pub fn new(settings: Settings) -> Self {
        let timeout = Duration::from_millis(settings.platform_timeout_ms);
        let clock = Clock::new();
        let platform = Platform::new(settings.platform, timeout);
        Self {
            clock,
            incarnation: rand::random(),
            metrics: Metrics::new(),
            peers: Peers::new(),
            vote_replies: VoteReplies::default(),
            forwarder: Forwarder::new(),
            claims: Arc::new(Claims::new(platform.clone())),
            link: LinkBudget::new(),
            platform,
            view: ArcSwapOption::empty(),
            members: ArcSwap::default(),
            changed: Notify::new(),
            wake: Notify::new(),
            read_soon: Notify::new(),
            stopping: watch::Sender::new(false),
            drain_end: AtomicU64::new(u64::MAX),
            table: RwLock::new(Table::new()),
            gateway_targets: RwLock::default(),
            voters: Mutex::default(),
            quarantines: Mutex::default(),
            budgets: Mutex::default(),
            unreachable: Mutex::default(),
            ready: AtomicBool::new(false),
            confirmed: AtomicBool::new(false),
            read_began: AtomicU64::new(u64::MAX),
            contact: AtomicU64::new(u64::MAX),
            cursor: AtomicU64::new(0),
            loads_taken: AtomicU64::new(0),
            changes: AtomicU64::new(0),
            settings,
        }
    }

    /// Locks the table for reading.
    pub fn table(&self) -> RwLockReadGuard<'_, Table> {
        self.table.read().expect("lock is not poisoned")
    }

    /// Locks the table for writing.
    pub fn table_mut(&self) -> RwLockWriteGuard<'_, Table> {
        self.table.write().expect("lock is not poisoned")
    }

    /// What this host keeps for a target for which it is a voter.
    pub fn gateway_target(&self, target: &TargetId) -> Option<Arc<GatewayTarget>> {
        self.gateway_targets
            .read()
            .expect("lock is not poisoned")
            .get(target)
            .cloned()
    }

    /// All gateway targets.
    pub fn gateway_targets(&self) -> Vec<Arc<GatewayTarget>> {
        self.gateway_targets
            .read()
            .expect("lock is not poisoned")
            .values()
            .cloned()
            .collect()
    }

    /// Locks the gateway targets for writing.
    pub fn gateway_targets_mut(
        &self,
    ) -> RwLockWriteGuard<'_, HashMap<TargetId, Arc<GatewayTarget>>> {
        self.gateway_targets.write().expect("lock is not poisoned")
    }

    /// Locks the votes that this host has granted as a voter.
    pub fn voters(&self) -> MutexGuard<'_, HashMap<TargetId, Voter>> {
        self.voters.lock().expect("lock is not poisoned")
    }

    /// Runs `action` on the quarantine of a service, which is created if there is none.
    pub fn with_quarantine<R>(
        &self,
        service: &Arc<str>,
        action: impl FnOnce(&mut Quarantine) -> R,
    ) -> R {
        let mut quarantines = self.quarantines.lock().expect("lock is not poisoned");
        let quarantine = quarantines.entry(Arc::clone(service)).or_insert_with(|| {
            let view = self.view.load();
            let hold_s = view
                .as_ref()
                .and_then(|it| it.service(service))
                .map(|it| it.quarantine_s);
            Quarantine::new(hold_s.map_or(DEFAULT_QUARANTINE_MS, |it| it * 1_000))
        });
        action(quarantine)
    }

    /// The quarantined requests of each service.
    pub fn quarantined(&self, now: u64) -> Vec<(Arc<str>, Vec<QuarantineRecord>)> {
        let quarantines = self.quarantines.lock().expect("lock is not poisoned");
        let entries = quarantines.iter();
        let mut out: Vec<_> = entries
            .map(|(service, it)| (Arc::clone(service), it.entries(now)))
            .collect();
        out.sort_by(|a, b| a.0.cmp(&b.0));
        out
    }

    /// Applies the quarantine periods of the document and releases the requests that it pardons.
    pub fn update_quarantines(&self, now: u64, view: &View) {
        let mut quarantines = self.quarantines.lock().expect("lock is not poisoned");
        for (name, quarantine) in quarantines.iter_mut() {
            if let Some(service) = view.service(name) {
                quarantine.set_hold(service.quarantine_s * 1_000);
            }
            quarantine.pardon(now, &view.pardons);
        }
    }

    /// Adds a request's share to the retry budgets of its service.
    pub fn earn_retries(&self, service: &Arc<str>) {
        let now = self.clock.now();
        let mut budgets = self.budgets.lock().expect("lock is not poisoned");
        budgets
            .entry(Arc::clone(service))
            .or_default()
            .on_request(now);
    }

    /// Spends retry budget for one more attempt. If there is none, this is counted in the metrics.
    pub fn try_retry(&self, service: &Arc<str>, failed_at: FailurePoint) -> RetryVerdict {
        let now = self.clock.now();
        let mut budgets = self.budgets.lock().expect("lock is not poisoned");
        let budget = budgets.entry(Arc::clone(service)).or_default();
        let verdict = budget.try_retry(now, failed_at);
        drop(budgets);
        if verdict == RetryVerdict::Exhausted {
            self.metrics.retry("budget_exhausted");
        }
        verdict
    }

    /// Whether the table was confirmed by the store or copied from a ready peer.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Marks the table as confirmed by the store or copied from a ready peer.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Whether this process has read the store successfully, not just copied a peer's table.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.load(Ordering::Acquire)
    }

    /// Records that a successful read of the whole table began at `began`.
    pub fn confirm(&self, began: u64) {
        self.read_began.store(began, Ordering::Release);
        self.contact.store(began, Ordering::Release);
        self.confirmed.store(true, Ordering::Release);
    }

    /// When the newest successful read of the store began.
    pub fn read_began(&self) -> Option<u64> {
        Some(self.read_began.load(Ordering::Acquire)).filter(|it| *it != u64::MAX)
    }

    /// Milliseconds since the newest successful read of the store began.
    pub fn contact_age(&self) -> Option<u64> {
        let at = Some(self.contact.load(Ordering::Acquire)).filter(|it| *it != u64::MAX)?;
        Some(self.clock.now().saturating_sub(at))
    }

    /// The revision up to which the table is complete. Rows that peers push can be newer.
    pub fn cursor(&self) -> u64 {
        self.cursor.load(Ordering::Acquire)
    }

    /// Records that the table is complete up to `rev`.
    pub fn advance_cursor(&self, rev: u64) {
        self.cursor.fetch_max(rev, Ordering::AcqRel);
    }

    /// Merges adoption hints into the table.
    pub fn adopt(&self, adoptions: Vec<Adoption>) {
        let mut table = self.table_mut();
        let mut changed = false;
        for it in adoptions {
            changed |= table.adopt(it.target, it.epoch, it.host) == Merge::Changed;
        }
        drop(table);
        if changed {
            self.record_table_change();
        }
    }

    /// Records whether a target answers its gateway. Returns the previous state.
    pub fn set_reach(&self, target: TargetId, reach: Reach) -> Reach {
        let mut unreachable = self.unreachable.lock().expect("lock is not poisoned");
        let was_unreachable = match reach {
            Reach::Reachable => unreachable.remove(&target),
            Reach::Unreachable => !unreachable.insert(target),
        };
        if was_unreachable {
            Reach::Unreachable
        } else {
            Reach::Reachable
        }
    }

    /// The targets that do not answer their gateways.
    pub fn unreachable(&self) -> Vec<TargetId> {
        let unreachable = self.unreachable.lock().expect("lock is not poisoned");
        unreachable.iter().cloned().collect()
    }

    /// Whether a target answers its gateway, as far as this host knows.
    pub fn reach(&self, target: &TargetId) -> Reach {
        let unreachable = self.unreachable.lock().expect("lock is not poisoned");
        if unreachable.contains(target) {
            Reach::Unreachable
        } else {
            Reach::Reachable
        }
    }

    /// Counts a change of the table and wakes the tasks that wait for one.
    pub fn record_table_change(&self) {
        self.changes.fetch_add(1, Ordering::AcqRel);
        self.changed.notify_waiters();
        self.wake.notify_one();
    }

    /// Number of changes of the table since the start of the process.
    pub fn table_changes(&self) -> u64 {
        self.changes.load(Ordering::Acquire)
    }

    /// Counts bytes that cross the link between regions and charges them to this host's budget.
    pub fn count_link_bytes(&self, service: &str, direction: &'static str, bytes: u64) {
        self.metrics.link(service, direction, bytes);
        if let Some(view) = self.view.load().as_ref() {
            self.link
                .charge(self.clock.now(), self.link_rate(view), bytes);
        }
    }

    /// Decides whether an exchange of about `bytes` may cross the link between regions.
    pub fn request_crossing(&self, view: &View, bytes: u64) -> Crossing {
        self.link
            .request(self.clock.now(), self.link_rate(view), bytes)
    }

    /// This host's share of the link in bytes a second: the link's capacity divided by the
    /// hosts of its region in the membership list.
    fn link_rate(&self, view: &View) -> u64 {
        let region = view.region_name(&self.settings.data_centre);
        let others = self.other_hosts();
        let neighbours = others
            .iter()
            .filter(|it| view.region_name(&it.place) == region)
            .count();
        let bytes_per_s = view.document.places.link.mbit_s * 125_000.0;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "validation bounds the link's capacity"
        )]
        let bytes_per_s = bytes_per_s as u64;
        bytes_per_s / (neighbours as u64 + 1)
    }

    /// Returns the milliseconds since the load counters were last taken, and starts a new span.
    pub fn take_load_span(&self, now: u64) -> u64 {
        now.saturating_sub(self.loads_taken.swap(now, Ordering::AcqRel))
    }

    /// The membership entry of a host.
    pub fn member(&self, name: &str) -> Option<Member> {
        let members = self.members.load();
        members
            .members
            .iter()
            .find(|it| it.kind == MemberKind::Host && &*it.name == name)
            .cloned()
    }

    /// The membership entries of the other hosts.
    pub fn other_hosts(&self) -> Vec<Member> {
        let members = self.members.load();
        let own = &self.settings.host;
        members
            .members
            .iter()
            .filter(|it| it.kind == MemberKind::Host && it.name != *own)
            .cloned()
            .collect()
    }

    /// Begins the time in which requests in flight may end, and returns it.
    pub fn begin_drain(&self) -> Duration {
        let drain_ms = self.settings.drain_ms;
        let end = self.clock.now() + drain_ms;
        self.drain_end.store(end, Ordering::Relaxed);
        Duration::from_millis(drain_ms)
    }

    /// Whether this host may end before a request with this deadline is answered.
    pub fn may_end_before(&self, deadline: Millis) -> bool {
        deadline > self.drain_end.load(Ordering::Relaxed)
    }

    /// Whether the host was asked to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }
}
