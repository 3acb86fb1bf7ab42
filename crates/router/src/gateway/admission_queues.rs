//! The admission queues of one host.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use process::BootClock;

use super::{QueueId, admission_queue::AdmissionQueue, pauses::Pauses};
use crate::peers::TargetLoad;

/// Interval at which a stopping host checks whether requests still wait or run.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The admission queues of the targets whose gateway this host is.
pub struct AdmissionQueues {
    clock: BootClock,
    queues: Mutex<HashMap<QueueId, Arc<AdmissionQueue>>>,
    pauses: Arc<Mutex<Pauses>>,
    last_taken: AtomicU64,
}

impl AdmissionQueues {
    /// Creates an empty set.
    pub fn new(clock: BootClock) -> Self {
        Self {
            clock,
            queues: Mutex::default(),
            pauses: Arc::default(),
            last_taken: AtomicU64::new(clock.now()),
        }
    }

    /// Returns the queue with this id, creating it on first use.
    pub(super) fn get(&self, id: &QueueId) -> Arc<AdmissionQueue> {
        let mut queues = self.queues();
        if let Some(queue) = queues.get(id) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(AdmissionQueue::new(
            id.clone(),
            self.clock,
            Arc::clone(&self.pauses),
        ));
        queues.insert(id.clone(), Arc::clone(&queue));
        queue
    }

    /// Returns the milliseconds that a new request would wait in the queue of a pool; `None` for the
    /// queue of one target, which no other can replace.
    pub fn pool_wait_ms(&self, id: &QueueId) -> Option<u64> {
        match id {
            QueueId::Pool { .. } => Some(self.get(id).load().wait_ms),
            QueueId::Target(_) => None,
        }
    }

    /// Whether all targets of a queue that this host has used are failing.
    pub fn is_failing(&self, id: &QueueId) -> bool {
        let queue = self.queues().get(id).cloned();
        queue.is_some_and(|it| it.is_failing())
    }

    /// Takes the loads of all queues and the span in milliseconds over which they were collected.
    pub fn take_loads(&self) -> (u32, Vec<TargetLoad>) {
        let now = self.clock.now();
        let span = now.saturating_sub(self.last_taken.swap(now, Ordering::Relaxed));
        let mut loads = Vec::new();
        for (id, queue) in &*self.queues() {
            let QueueId::Target(name) = id else { continue };
            loads.extend(queue.take_load(name));
        }
        (u32::try_from(span).unwrap_or(u32::MAX), loads)
    }

    /// Returns the number of targets in a pause that this host was asked for.
    pub fn paused_targets(&self) -> usize {
        let pauses = self.pauses.lock().expect("lock is not poisoned");
        pauses.count(self.clock.now())
    }

    /// Returns the number of targets in use that are not known to be warm.
    pub fn cold_targets(&self) -> usize {
        self.queues().values().map(|it| it.cold_targets()).sum()
    }

    /// Resolves when no queue has a request that waits or runs.
    pub async fn idle(&self) {
        while self.queues().values().any(|it| it.is_busy()) {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        }
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<QueueId, Arc<AdmissionQueue>>> {
        self.queues.lock().expect("lock is not poisoned")
    }
}
