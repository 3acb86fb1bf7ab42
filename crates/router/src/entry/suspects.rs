//! Hosts or data centres that recently failed to answer.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use coordinator::Millis;

/// Time in milliseconds for which a host that did not answer is sent no requests.
const SUSPECT_MS: Millis = 1_000;

/// Hosts or data centres that recently failed to answer, by name.
#[derive(Default)]
pub struct Suspects {
    suspected_until: Mutex<HashMap<Arc<str>, Millis>>,
}

impl Suspects {
    /// Marks a host as suspect because it did not answer.
    pub fn suspect(&self, host: &Arc<str>, now: Millis) {
        let mut suspected_until = self.suspected_until.lock().expect("lock is not poisoned");
        suspected_until.insert(Arc::clone(host), now + SUSPECT_MS);
    }

    /// Whether a host recently failed to answer.
    pub fn is_suspect(&self, host: &str, now: Millis) -> bool {
        let suspected_until = self.suspected_until.lock().expect("lock is not poisoned");
        suspected_until.get(host).is_some_and(|it| now < *it)
    }
}
