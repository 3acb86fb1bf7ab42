//! Requests that crash targets: they are suspected, then quarantined on all hosts.

use std::{sync::Arc, time::Duration};

use admission::QuarantineVerdict;
use peer::{QuarantineEntry, QuarantineState};
use pool::{ConnectError, Freshness};
use refusal::{Reason, Refusal};

use crate::{clock::Millis, gateway_target::GatewayTarget, host::Host, inbound::Inbound};

/// Longest wait for the connection that tests whether a target still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Number of probes after a broken connection. An exiting process may close its connections before
/// its listening socket, so that a single probe can still be accepted.
const PROBE_COUNT: usize = 3;

/// Pause between probes.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// Refuses the request if it is quarantined.
pub fn check_quarantine(
    host: &Host,
    target: &GatewayTarget,
    inbound: &Inbound,
) -> Result<(), Refusal> {
    let now = host.clock.now();
    let service = &target.id.service;
    let verdict = host.with_quarantine(service, |it| it.check(now, inbound.fingerprint));
    if verdict == QuarantineVerdict::Pass {
        return Ok(());
    }
    log::info!(
        service = &*target.id.service,
        fingerprint = format!("{:016x}", inbound.fingerprint);
        "refused a quarantined request"
    );
    Err(Reason::Quarantined.into())
}

/// Tests whether the target crashed after one of its connections broke. Runs before the refusal is
/// sent, so that a retry of the request is already quarantined.
pub async fn confirm_crash(host: &Arc<Host>, target: &Arc<GatewayTarget>) {
    for _ in 0..PROBE_COUNT {
        match target.pool.checkout(Freshness::New, PROBE_TIMEOUT).await {
            Ok(_) => tokio::time::sleep(PROBE_PAUSE).await,
            Err(ConnectError::Refused) => return record_crash(host, target),
            Err(ConnectError::Unreachable | ConnectError::Exhausted) => return,
        }
    }
}

/// Records that the target crashed, and sends the suspected and quarantined requests to the other
/// hosts.
pub fn record_crash(host: &Arc<Host>, target: &Arc<GatewayTarget>) {
    let now = host.clock.now();
    let suspects = {
        let mut inner = target.lock();
        inner.gateway.target_lost(now);
        inner.take_suspects(now)
    };
    target.pool.close_idle();
    host.wake.notify_one();
    if suspects.is_empty() {
        return;
    }
    let (entries, quarantined) = charge(host, &target.id.service, now, &suspects);
    log::warn!(
        service = &*target.id.service,
        target = &*target.id.target,
        suspects = suspects.len(),
        quarantined = quarantined;
        "target crashed with requests in flight"
    );
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_quarantine(&host, entries).await });
}

/// Charges the suspects with the crash. Returns the entries for the other hosts, and the number of
/// newly quarantined requests.
fn charge(
    host: &Host,
    service: &Arc<str>,
    now: Millis,
    suspects: &[u64],
) -> (Vec<QuarantineEntry>, usize) {
    let (quarantined, suspected) = host.with_quarantine(service, |it| {
        let quarantined = it.on_crash(now, suspects);
        let suspected: Vec<u64> = suspects
            .iter()
            .copied()
            .filter(|fp| it.is_suspect(now, *fp))
            .collect();
        (quarantined, suspected)
    });
    let entry = |fingerprint, state| QuarantineEntry {
        service: Arc::clone(service),
        fingerprint,
        age_ms: 0,
        state,
    };
    let mut out = Vec::with_capacity(suspects.len());
    for it in &quarantined {
        out.push(entry(it.fingerprint, QuarantineState::Quarantined));
    }
    for fingerprint in suspected {
        out.push(entry(fingerprint, QuarantineState::Suspect));
    }
    (out, quarantined.len())
}
