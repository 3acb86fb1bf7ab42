//! What the tasks of one host share.
//!
//! **Lock order.** `targets`, `tables`, `gates`, then the lock of a gate. No lock is held across an
//! await.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, RwLock, RwLockReadGuard, RwLockWriteGuard,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::ArcSwapOption;
use coordinator::SliceTable;
use process::BootClock;
use routing::{Catalog, Picker};
use tokio::sync::{Notify, watch};

use crate::{
    gateway::Gate,
    ports::{Dialect, Store, TargetApi},
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
    /// The clock for leases and deadlines.
    pub clock: BootClock,
    /// Headers and statuses.
    pub dialect: Dialect,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Orders to targets.
    pub target_api: Arc<dyn TargetApi>,
    /// The configuration in force; none until one is known.
    pub catalog: ArcSwapOption<Catalog>,
    /// Notified when targets or slices change.
    pub changed: Notify,
    /// Turns true when the host is asked to stop.
    pub stopping: watch::Sender<bool>,
    targets: RwLock<Targets>,
    tables: RwLock<Tables>,
    gates: Mutex<HashMap<Arc<str>, Arc<Gate>>>,
    pickers: Mutex<HashMap<Arc<str>, Picker>>,
    synced: AtomicBool,
}

impl Node {
    /// Creates the state of a host that knows nothing yet.
    pub fn new(settings: Settings, ports: Ports) -> Self {
        Self {
            settings,
            clock: BootClock::new(),
            dialect: ports.dialect,
            store: ports.store,
            target_api: ports.target_api,
            catalog: ArcSwapOption::empty(),
            changed: Notify::new(),
            stopping: watch::Sender::new(false),
            targets: RwLock::default(),
            tables: RwLock::default(),
            gates: Mutex::default(),
            pickers: Mutex::default(),
            synced: AtomicBool::new(false),
        }
    }

    /// The targets, for reading.
    pub fn targets(&self) -> RwLockReadGuard<'_, Targets> {
        self.targets.read().expect("no holder of the lock panics")
    }

    /// The targets, for changes.
    pub fn targets_mut(&self) -> RwLockWriteGuard<'_, Targets> {
        self.targets.write().expect("no holder of the lock panics")
    }

    /// The slices, for reading.
    pub fn tables(&self) -> RwLockReadGuard<'_, Tables> {
        self.tables.read().expect("no holder of the lock panics")
    }

    /// The slices, for changes.
    pub fn tables_mut(&self) -> RwLockWriteGuard<'_, Tables> {
        self.tables.write().expect("no holder of the lock panics")
    }

    /// The gates of targets by name.
    pub fn gates(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Gate>>> {
        self.gates.lock().expect("no holder of the lock panics")
    }

    /// The pickers of routes by name.
    pub fn pickers(&self) -> MutexGuard<'_, HashMap<Arc<str>, Picker>> {
        self.pickers.lock().expect("no holder of the lock panics")
    }

    /// Notes that this host's knowledge is complete.
    pub fn set_synced(&self) {
        self.synced.store(true, Ordering::Relaxed);
    }

    /// Whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        self.synced.load(Ordering::Relaxed)
            && self.catalog.load().is_some()
            && !*self.stopping.borrow()
    }
}
