//! Quarantine of requests that crash targets.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use admission::fingerprint;
use coordinator::{Incarnation, Millis};
use pool::{ConnectError, Freshness, Pool};

use super::GatewayRequest;
use crate::{node::Node, peers::Crash};

/// How long a request stays quarantined, in milliseconds.
const QUARANTINE_MS: Millis = 120_000;

/// Maximum number of requests that are quarantined at a time.
const MAX_QUARANTINED: usize = 1_024;

/// Maximum number of crashes that are kept until they can be reported, or reported again.
const MAX_UNREPORTED: usize = 256;

/// How long a reported crash is kept for another coordinator, in milliseconds. The coordinator
/// counts crashes within this time.
const KEEP_REPORTED_MS: Millis = 60_000;

/// Longest wait for the connection that shows whether a target still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Requests that crash targets: the quarantined ones, and the crashes that this host observed.
///
/// `unreported` and `reported` are never locked together.
#[derive(Default)]
pub struct PoisonRequests {
    /// End of the quarantine by fingerprint of the request.
    quarantined_until: Mutex<BTreeMap<u64, Millis>>,
    unreported: Mutex<Vec<Crash>>,
    /// Crashes that were reported to the present coordinator, with the time of the report.
    reported: Mutex<Vec<(Crash, Millis)>>,
}

impl PoisonRequests {
    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, request: &GatewayRequest, now: Millis) -> bool {
        let quarantined_until = self.quarantined_until();
        !quarantined_until.is_empty()
            && quarantined_until
                .get(&fingerprint_of(request))
                .is_some_and(|it| now < *it)
    }

    /// Quarantines a request; returns whether it was added.
    pub fn quarantine(&self, fingerprint: u64, now: Millis) -> bool {
        let mut quarantined_until = self.quarantined_until();
        quarantined_until.retain(|_, it| now < *it);
        if quarantined_until.contains_key(&fingerprint)
            || quarantined_until.len() >= MAX_QUARANTINED
        {
            return false;
        }
        quarantined_until.insert(fingerprint, now + QUARANTINE_MS);
        true
    }

    /// Fingerprints of the requests that are quarantined.
    pub fn quarantined(&self, now: Millis) -> Vec<u64> {
        let quarantined_until = self.quarantined_until();
        let held = quarantined_until.iter().filter(|it| now < *it.1);
        held.map(|it| *it.0).collect()
    }

    /// Takes the crashes that are to be reported at `now`.
    pub fn take_crashes(&self, now: Millis) -> Vec<Crash> {
        let crashes = std::mem::take(&mut *self.unreported());
        let mut reported = self.reported();
        reported.retain(|it| now < it.1 + KEEP_REPORTED_MS);
        reported.extend(crashes.iter().map(|it| (it.clone(), now)));
        let excess = reported.len().saturating_sub(MAX_UNREPORTED);
        reported.drain(..excess);
        crashes
    }

    /// Prepares to report to another coordinator, which may not know the crashes that were reported
    /// before; returns whether there are any. A crash that is reported twice counts once.
    pub fn report_again(&self, now: Millis) -> bool {
        let reported = std::mem::take(&mut *self.reported());
        let recent = reported
            .into_iter()
            .filter(|it| now < it.1 + KEEP_REPORTED_MS);
        let crashes: Vec<Crash> = recent.map(|it| it.0).collect();
        let found = !crashes.is_empty();
        self.add_crashes(crashes);
        found
    }

    /// Adds crashes that are to be reported.
    pub fn add_crashes(&self, crashes: Vec<Crash>) {
        let mut unreported = self.unreported();
        unreported.extend(crashes);
        unreported.truncate(MAX_UNREPORTED);
    }

    fn quarantined_until(&self) -> MutexGuard<'_, BTreeMap<u64, Millis>> {
        self.quarantined_until.lock().expect("lock is not poisoned")
    }

    fn reported(&self) -> MutexGuard<'_, Vec<(Crash, Millis)>> {
        self.reported.lock().expect("lock is not poisoned")
    }

    fn unreported(&self) -> MutexGuard<'_, Vec<Crash>> {
        self.unreported.lock().expect("lock is not poisoned")
    }
}

/// Records a crash if nothing listens at the target's address any more after its connection broke.
pub(super) async fn confirm_crash(
    node: &Node,
    pool: &Pool,
    incarnation: Incarnation,
    request: &GatewayRequest,
) {
    let probe = pool.checkout(Freshness::New, PROBE_TIMEOUT).await;
    if probe.err() != Some(ConnectError::Refused) {
        return;
    }
    let fingerprint = fingerprint_of(request);
    log::info!(
        target_name = &*incarnation.target,
        fingerprint = format!("{fingerprint:016x}");
        "a target crashed with a request in flight"
    );
    node.poison_requests.add_crashes(vec![Crash {
        fingerprint,
        incarnation,
    }]);
    node.report_soon.notify_one();
}

/// Returns the fingerprint of a request, from its service, key, method, path and body. Requests
/// that are equal in these crash targets alike.
fn fingerprint_of(request: &GatewayRequest) -> u64 {
    let key = request.key.map(|it| it.to_string()).unwrap_or_default();
    let path = request.path.as_str();
    fingerprint(
        &request.service,
        &key,
        request.method.as_str(),
        path,
        &request.body,
    )
}

#[cfg(test)]
mod tests;
