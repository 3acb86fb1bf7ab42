//! Starts and stops the router on one host.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};

use crate::{
    control, entry, gateway,
    node::Node,
    operators, peers,
    ports::{ProtocolProfile, Store, TargetApi},
    settings::Settings,
};

/// Exit code if an address cannot be bound.
const EXIT_NOT_BOUND: u8 = 3;

/// The platform's implementation of the router's interfaces.
pub struct Ports {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Orders to targets.
    pub target_api: Arc<dyn TargetApi>,
    /// Header names and refusal statuses.
    pub profile: ProtocolProfile,
}

/// Runs the router until SIGTERM or SIGINT, then waits for the requests in flight.
pub async fn run(settings: Settings, ports: Ports) -> ExitCode {
    let node = Arc::new(Node::new(settings, ports));
    let settings = &node.settings;
    let ports = tokio::try_join!(
        TcpListener::bind(settings.callers),
        TcpListener::bind(settings.operators),
        TcpListener::bind(settings.metrics),
        peers::bind(Arc::clone(&node)),
        gateway::bind(Arc::clone(&node)),
    );
    let (callers, operators, metrics, peers, forwarded) = match ports {
        Ok(ports) => ports,
        Err(err) => {
            log::error!("an address cannot be bound: {err}");
            return ExitCode::from(EXIT_NOT_BOUND);
        }
    };
    log::info!(place = &*settings.place; "started");
    tokio::spawn(validate_settings_on_sighup(settings.file.clone()));
    for listener in [operators, metrics] {
        tokio::spawn(operators::run(Arc::clone(&node), listener));
    }
    tokio::spawn(peers);
    tokio::spawn(forwarded);
    tokio::spawn(control::follow(Arc::clone(&node)));
    tokio::spawn(control::catch_up(Arc::clone(&node)));
    tokio::spawn(control::catch_up_targets(Arc::clone(&node)));
    tokio::spawn(control::fetch_announced(Arc::clone(&node)));
    let stop = wait_for_stop(Arc::clone(&node));
    entry::serve(Arc::clone(&node), callers, stop).await;
    let limit = node.stop().run_left(node.clock.now());
    if tokio::time::timeout(limit, node.queues.idle())
        .await
        .is_err()
    {
        log::warn!("forwarded requests did not complete within the grace period and are aborted");
    }
    log::info!("stopped");
    ExitCode::SUCCESS
}

/// Validates the settings file again on SIGHUP. A running host keeps the settings that it was
/// started with; what changes while it runs, such as the other hosts, comes from the store and from
/// other hosts.
async fn validate_settings_on_sighup(file: PathBuf) {
    let mut hangup = signal(SignalKind::hangup()).expect("the process can listen for SIGHUP");
    while hangup.recv().await.is_some() {
        let name = file.display().to_string();
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(err) => {
                log::error!(file = name.as_str(); "the settings cannot be read: {err}");
                continue;
            }
        };
        match Settings::parse(&name, &text) {
            Ok(_) => log::info!(file = name.as_str(); "the settings file was checked and is valid"),
            Err(err) => log::error!("the settings are invalid: {err}"),
        }
    }
}

/// Resolves once the host was asked to stop and the load balancer had time to notice.
async fn wait_for_stop(node: Arc<Node>) {
    let mut term = signal(SignalKind::terminate()).expect("the process can listen for SIGTERM");
    let mut int = signal(SignalKind::interrupt()).expect("the process can listen for SIGINT");
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::info!("stopping");
    let period = node.stop();
    tokio::time::sleep(period.notice_left(node.clock.now())).await;
}
