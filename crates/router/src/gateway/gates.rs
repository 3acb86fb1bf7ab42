//! The gates of one host.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use process::BootClock;

use super::{QueueId, gate::AdmissionQueue};
use crate::peers::TargetLoad;

/// Interval at which a stopping host looks whether requests still run.
const IDLE_CHECK: Duration = Duration::from_millis(20);

/// The gates of the targets whose gateway this host is.
pub struct AdmissionQueues {
    clock: BootClock,
    map: Mutex<HashMap<QueueId, Arc<AdmissionQueue>>>,
    taken: AtomicU64,
}

impl AdmissionQueues {
    /// Creates an empty set.
    pub fn new(clock: BootClock) -> Self {
        Self {
            clock,
            map: Mutex::default(),
            taken: AtomicU64::new(clock.now()),
        }
    }

    /// The gate with this name.
    pub(super) fn get(&self, id: &QueueId) -> Arc<AdmissionQueue> {
        let mut map = self.map();
        if let Some(queue) = map.get(id) {
            return Arc::clone(queue);
        }
        let queue = Arc::new(AdmissionQueue::new(self.clock));
        map.insert(id.clone(), Arc::clone(&queue));
        queue
    }

    /// Takes what all gates saw, and the milliseconds over which they did.
    pub fn take_loads(&self) -> (u32, Vec<TargetLoad>) {
        let now = self.clock.now();
        let span = now.saturating_sub(self.taken.swap(now, Ordering::Relaxed));
        let mut loads = Vec::new();
        for (id, queue) in &*self.map() {
            let QueueId::Target(name) = id else { continue };
            loads.extend(queue.take_load(name));
        }
        (u32::try_from(span).unwrap_or(u32::MAX), loads)
    }

    /// Resolves when no gate has a request that waits or runs.
    pub async fn idle(&self) {
        while self.map().values().any(|it| it.is_busy()) {
            tokio::time::sleep(IDLE_CHECK).await;
        }
    }

    fn map(&self) -> MutexGuard<'_, HashMap<QueueId, Arc<AdmissionQueue>>> {
        self.map.lock().expect("lock is not poisoned")
    }
}
