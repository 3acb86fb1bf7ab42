//! Requests that crash targets.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use admission::fingerprint;
use coordinator::{Incarnation, Millis};
use pool::{ConnectError, Freshness, Pool};

use super::Task;
use crate::{node::Node, peers::Crash};

/// How long a request stays quarantined, in milliseconds.
const HOLD_MS: Millis = 120_000;

/// Quarantined requests that are remembered.
const KEPT: usize = 1_024;

/// Crashes that are kept until they can be reported.
const UNREPORTED: usize = 256;

/// Longest wait for the connection that shows whether a target still listens.
const PROBE_LIMIT: Duration = Duration::from_millis(100);

/// Requests that crash targets: those that are refused, and crashes that this host saw and has not
/// reported yet.
#[derive(Default)]
pub struct Poison {
    until: Mutex<BTreeMap<u64, Millis>>,
    seen: Mutex<Vec<Crash>>,
}

impl Poison {
    /// Whether a task is quarantined.
    pub fn refuses(&self, task: &Task, now: Millis) -> bool {
        let until = self.until();
        !until.is_empty() && until.get(&mark(task)).is_some_and(|it| now < *it)
    }

    /// Quarantines a request; returns whether that is news.
    pub fn quarantine(&self, fingerprint: u64, now: Millis) -> bool {
        let mut until = self.until();
        until.retain(|_, it| now < *it);
        if until.contains_key(&fingerprint) || until.len() >= KEPT {
            return false;
        }
        until.insert(fingerprint, now + HOLD_MS);
        true
    }

    /// The requests that are quarantined.
    pub fn quarantined(&self, now: Millis) -> Vec<u64> {
        let until = self.until();
        let held = until.iter().filter(|it| now < *it.1);
        held.map(|it| *it.0).collect()
    }

    /// Takes the crashes that are to be reported.
    pub fn take_seen(&self) -> Vec<Crash> {
        std::mem::take(&mut *self.seen())
    }

    /// Keeps crashes whose report failed.
    pub fn put_back(&self, crashes: Vec<Crash>) {
        let mut seen = self.seen();
        seen.extend(crashes);
        seen.truncate(UNREPORTED);
    }

    fn until(&self) -> MutexGuard<'_, BTreeMap<u64, Millis>> {
        self.until.lock().expect("no holder of the lock panics")
    }

    fn seen(&self) -> MutexGuard<'_, Vec<Crash>> {
        self.seen.lock().expect("no holder of the lock panics")
    }
}

/// Notes a crash if nothing listens at the target's address after its connection broke.
pub(super) async fn confirm(node: &Node, pool: &Pool, life: Incarnation, task: &Task) {
    let probe = pool.checkout(Freshness::New, PROBE_LIMIT).await;
    if probe.err() != Some(ConnectError::Refused) {
        return;
    }
    let fingerprint = mark(task);
    log::info!(
        target_name = &*life.target,
        fingerprint = format!("{fingerprint:016x}");
        "a target crashed with a request in flight"
    );
    node.poison.put_back(vec![Crash { fingerprint, life }]);
    node.report_soon.notify_one();
}

/// Equal requests crash targets alike.
fn mark(task: &Task) -> u64 {
    let key = task.key.map(|it| it.to_string()).unwrap_or_default();
    let path = task.path.as_str();
    fingerprint(&task.service, &key, task.method.as_str(), path, &task.body)
}
