//! Graceful shutdown of a host.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::signal::unix::{SignalKind, signal};

use crate::host::Host;

/// Time for which a stopping host still accepts connections, so that the platform's load balancer
/// can detect that the host is no longer ready.
const READINESS_DELAY: Duration = Duration::from_secs(3);

/// Interval at which the hand-over of the gateway roles is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Resolves when the host may stop accepting connections: it was asked to stop, its gateway roles
/// are handed over or `drain_ms` has passed, and the load balancer had time to detect the stop.
///
/// # Panics
///
/// Panics if the process cannot listen for signals.
pub async fn wait_for_stop(host: Arc<Host>) {
    let mut term = signal(SignalKind::terminate()).expect("the process can listen for SIGTERM");
    let mut int = signal(SignalKind::interrupt()).expect("the process can listen for SIGINT");
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::info!("stopping");
    host.stopping.send_replace(true);
    host.wake.notify_one();
    let stop_began = Instant::now();
    let limit = Duration::from_millis(host.settings.drain_ms);
    while has_tenure(&host) && stop_began.elapsed() < limit {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    log::info!("gateway roles are handed over, or drain_ms has passed");
    tokio::time::sleep(READINESS_DELAY.saturating_sub(stop_began.elapsed())).await;
}

/// Whether the host is still the gateway of a target.
fn has_tenure(host: &Host) -> bool {
    let now = host.clock.now();
    host.gateway_targets()
        .iter()
        .any(|it| it.lock().gateway.status(now).tenure)
}
