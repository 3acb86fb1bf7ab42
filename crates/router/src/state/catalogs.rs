//! The configuration in force, and what a host sends to another that has an older one.

use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::{ArcSwapOption, Guard};
use coordinator::Millis;
use routing::{Catalog, CatalogChange};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::ports::Revision;

/// Former versions that are kept, so that a host that has one of them is sent only what changed.
/// Changes follow each other within seconds at times; a host that is further behind is sent the
/// whole version.
const MAX_FORMER: usize = 3;

/// A version of the configuration as one host sends it to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum CatalogUpdate {
    /// The whole version.
    Whole(Arc<Catalog>),
    /// What changed since a version that the receiver has.
    Change(Arc<CatalogChange>),
}

/// The newest version that a host knows of, and up to which revision of the store it is the newest.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogMark {
    /// The version.
    pub version: u64,
    /// The revision; `None` if the host does not know it.
    pub rev: Option<Revision>,
}

/// The configuration in force. A version is never replaced by an older one.
pub struct Catalogs {
    current: ArcSwapOption<Catalog>,
    /// The newest version that is known to exist; this host may not have it yet.
    announced: watch::Sender<Option<u64>>,
    history: Mutex<History>,
}

#[derive(Default)]
struct History {
    /// Former versions, the latest last.
    former: SmallVec<[Arc<Catalog>; MAX_FORMER]>,
    /// Changes from former versions to the current one, computed on demand; `None` for a version of
    /// which there is no change.
    changes: SmallVec<[(u64, Option<Arc<CatalogChange>>); MAX_FORMER]>,
    /// Revision of the store up to which the current version is the newest one.
    rev: Option<Revision>,
    /// When the current version was last known to be the newest one.
    checked_at: Millis,
}

impl Default for Catalogs {
    fn default() -> Self {
        Self {
            current: ArcSwapOption::empty(),
            announced: watch::Sender::new(None),
            history: Mutex::default(),
        }
    }
}

impl Catalogs {
    /// The configuration in force; `None` until one is known.
    pub fn load(&self) -> Guard<Option<Arc<Catalog>>> {
        self.current.load()
    }

    /// The configuration in force, for longer use; `None` until one is known.
    pub fn load_full(&self) -> Option<Arc<Catalog>> {
        self.current.load_full()
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.current.load().as_ref().map(|it| it.version())
    }

    /// The newest version that is known to exist.
    pub fn announced(&self) -> Option<u64> {
        *self.announced.borrow()
    }

    /// A receiver that is notified when a newer version is announced.
    pub fn subscribe(&self) -> watch::Receiver<Option<u64>> {
        self.announced.subscribe()
    }

    /// Records that `version` exists.
    pub fn announce(&self, version: Option<u64>) {
        self.announced.send_if_modified(|it| {
            let newer = *it < version;
            if newer {
                *it = version;
            }
            newer
        });
    }

    /// Puts a version in force if it is newer than the current one; returns whether it is.
    pub fn adopt(&self, catalog: Arc<Catalog>) -> bool {
        let mut history = self.lock();
        let former = self.current.load_full();
        let version = catalog.version();
        if former.as_ref().is_some_and(|it| it.version() >= version) {
            return false;
        }
        self.current.store(Some(catalog));
        history.rev = None;
        history.changes.clear();
        if let Some(former) = former {
            if history.former.len() == MAX_FORMER {
                history.former.remove(0);
            }
            history.former.push(former);
        }
        drop(history);
        self.announce(Some(version));
        true
    }

    /// What a host lacks that has `known`; `None` if it has the version in force or a newer one.
    pub fn update_since(&self, known: Option<u64>) -> Option<CatalogUpdate> {
        let mut history = self.lock();
        let current = self.current.load_full()?;
        if known >= Some(current.version()) {
            return None;
        }
        let change = known.and_then(|it| history.change_from(it, &current));
        Some(match change {
            Some(change) => CatalogUpdate::Change(change),
            None => CatalogUpdate::Whole(current),
        })
    }

    /// The version that an update results in; `None` if it does not apply to the version in force.
    pub fn resolve(&self, update: CatalogUpdate) -> Option<Arc<Catalog>> {
        let change = match update {
            CatalogUpdate::Whole(catalog) => return Some(catalog),
            CatalogUpdate::Change(change) => change,
        };
        let current = self.current.load_full()?;
        if current.version() != change.from {
            return None;
        }
        match change.apply(&current) {
            Ok(catalog) => Some(Arc::new(catalog)),
            Err(err) => {
                log::error!(
                    from = change.from, version = change.version;
                    "a change of the configuration cannot be applied: {err}"
                );
                None
            }
        }
    }

    /// The version in force and the revision up to which it is the newest.
    pub fn mark(&self) -> Option<CatalogMark> {
        let history = self.lock();
        let version = self.version()?;
        Some(CatalogMark {
            version,
            rev: history.rev,
        })
    }

    /// Records that a version was the newest one at `at`, up to a revision of the store. Has no
    /// effect unless the version is in force.
    pub fn confirm(&self, mark: CatalogMark, at: Millis) {
        let mut history = self.lock();
        if self.version() != Some(mark.version) {
            return;
        }
        history.rev = history.rev.max(mark.rev);
        history.checked_at = history.checked_at.max(at);
    }

    /// When the version in force was last known to be the newest one; 0 if never.
    pub fn checked_at(&self) -> Millis {
        self.lock().checked_at
    }

    fn lock(&self) -> MutexGuard<'_, History> {
        self.history.lock().expect("lock is not poisoned")
    }
}

impl History {
    fn change_from(&mut self, known: u64, current: &Catalog) -> Option<Arc<CatalogChange>> {
        if let Some((_, change)) = self.changes.iter().find(|it| it.0 == known) {
            return change.clone();
        }
        let old = self.former.iter().find(|it| it.version() == known)?;
        let change = CatalogChange::between(old, current).map(Arc::new);
        self.changes.push((known, change.clone()));
        change
    }
}

#[cfg(test)]
mod tests;
