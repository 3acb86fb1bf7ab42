//! Hosts that did not answer lately.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use coordinator::Millis;

/// Time for which a host that did not answer gets no requests.
const SUSPECT_MS: Millis = 1_000;

/// Hosts that did not answer lately.
#[derive(Default)]
pub struct Suspects {
    until: Mutex<HashMap<Arc<str>, Millis>>,
}

impl Suspects {
    /// Notes that a host did not answer.
    pub fn note(&self, host: &Arc<str>, now: Millis) {
        let mut until = self.until.lock().expect("no holder of the lock panics");
        until.insert(Arc::clone(host), now + SUSPECT_MS);
    }

    /// Whether a host did not answer lately.
    pub fn is_suspect(&self, host: &str, now: Millis) -> bool {
        let until = self.until.lock().expect("no holder of the lock panics");
        until.get(host).is_some_and(|it| now < *it)
    }
}
