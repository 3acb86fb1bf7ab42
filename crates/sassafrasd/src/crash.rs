//! Requests that crash targets: suspicion, quarantine and its spread to other hosts.

use std::{sync::Arc, time::Duration};

use admission::QuarantineVerdict;
use peer::{Charge, QuarantineEntry};
use pool::{ConnectError, Freshness};
use refusal::{Reason, Refusal};

use crate::{clock::Millis, gate::Gate, host::Host, inbound::Inbound};

/// Longest wait for the connection that shows whether a target still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Probes after a broken connection. A process that is ending closes its connections before or
/// after its listening socket, so that a single probe can still be accepted.
const PROBES: usize = 3;

/// Pause between probes.
const PROBE_PAUSE: Duration = Duration::from_millis(10);

/// Refuses a quarantined request.
pub fn check_quarantine(host: &Host, gate: &Gate, inbound: &Inbound) -> Result<(), Refusal> {
    let now = host.clock.now();
    let service = &gate.id.service;
    let verdict = host.with_quarantine(service, |it| it.check(now, inbound.fingerprint));
    if verdict == QuarantineVerdict::Pass {
        return Ok(());
    }
    log::info!(
        service = &*gate.id.service,
        fingerprint = format!("{:016x}", inbound.fingerprint);
        "refused a quarantined request"
    );
    Err(Reason::Quarantined.into())
}

/// Finds out whether a broken connection means that the target crashed. Runs before the refusal
/// is sent, so that a retry of the request meets the quarantine.
pub async fn confirm(host: &Arc<Host>, gate: &Arc<Gate>) {
    for _ in 0..PROBES {
        match gate.pool.checkout(Freshness::New, PROBE_TIMEOUT).await {
            Ok(_) => tokio::time::sleep(PROBE_PAUSE).await,
            Err(ConnectError::Refused) => return crashed(host, gate),
            Err(ConnectError::Unreachable | ConnectError::Exhausted) => return,
        }
    }
}

/// Records that the target crashed, and tells the other hosts which requests are quarantined.
pub fn crashed(host: &Arc<Host>, gate: &Arc<Gate>) {
    let now = host.clock.now();
    let suspects = {
        let mut inner = gate.lock();
        inner.gateway.target_lost(now);
        inner.suspects(now)
    };
    gate.pool.close_idle();
    host.wake.notify_one();
    if suspects.is_empty() {
        return;
    }
    let (entries, charged) = charge(host, &gate.id.service, now, &suspects);
    log::warn!(
        service = &*gate.id.service,
        target = &*gate.id.target,
        suspects = suspects.len(),
        quarantined = charged;
        "target crashed with requests in flight"
    );
    let host = Arc::clone(host);
    tokio::spawn(async move { host.peers.push_quarantine(&host, entries).await });
}

/// Charges the suspects with the crash. Returns what the other hosts are told, and how many
/// requests were newly quarantined.
fn charge(
    host: &Host,
    service: &Arc<str>,
    now: Millis,
    suspects: &[u64],
) -> (Vec<QuarantineEntry>, usize) {
    let (charged, suspected) = host.with_quarantine(service, |it| {
        let charged = it.on_crash(now, suspects);
        let suspected: Vec<u64> = suspects
            .iter()
            .copied()
            .filter(|fp| it.is_suspect(now, *fp))
            .collect();
        (charged, suspected)
    });
    let entry = |fingerprint, charge| QuarantineEntry {
        service: Arc::clone(service),
        fingerprint,
        age_ms: 0,
        charge,
    };
    let mut out = Vec::with_capacity(suspects.len());
    for it in &charged {
        out.push(entry(it.fingerprint, Charge::Quarantined));
    }
    for fingerprint in suspected {
        out.push(entry(fingerprint, Charge::Suspect));
    }
    (out, charged.len())
}
