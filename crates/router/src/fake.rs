//! Test hosts with a fake platform.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use coordinator::{GrantOutcome, Order, ReleaseOutcome};
use futures::future::{BoxFuture, pending, ready};
use http::{HeaderName, StatusCode};
use routing::{Catalog, CatalogParts, Limits};

use crate::{
    node::Node,
    ports::{
        CommitResult, OrderAnswer, OwnRows, ProtocolProfile, Read, Revision, Store, StoreError,
        TargetApi, Topic, Transaction,
    },
    run::Ports,
    settings::Settings,
};

/// A platform with an empty store and no targets; counts the reads of the configuration and of the
/// list of targets.
#[derive(Default)]
pub struct EmptyPlatform {
    reads: AtomicU32,
    target_reads: AtomicU32,
    /// Whether the store has the history of its rows, in which nothing has changed; unknown if
    /// absent.
    history: Option<bool>,
    /// Whether reads of the configuration are not answered.
    silent_catalog: bool,
    /// Result of all commits; unknown if absent.
    commit: Option<CommitResult>,
}

impl EmptyPlatform {
    /// Creates a platform on which all commits have the result `commit`.
    pub fn with_commit(commit: CommitResult) -> Self {
        Self {
            commit: Some(commit),
            ..Self::default()
        }
    }

    /// Creates a platform whose store has the history of its rows or has lost it.
    pub fn with_history(has_history: bool) -> Self {
        Self {
            history: Some(has_history),
            ..Self::default()
        }
    }

    /// Creates a platform whose store has the history of its rows, and does not answer reads of the
    /// configuration.
    pub fn with_silent_catalog() -> Self {
        Self {
            history: Some(true),
            silent_catalog: true,
            ..Self::default()
        }
    }

    /// Number of reads of the whole list of targets so far.
    pub fn target_reads(&self) -> u32 {
        self.target_reads.load(Ordering::Relaxed)
    }

    /// Number of reads of the configuration so far.
    pub fn reads(&self) -> u32 {
        self.reads.load(Ordering::Relaxed)
    }
}

impl Store for EmptyPlatform {
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Read, StoreError>> {
        let reads = match topic {
            Topic::Catalog => &self.reads,
            Topic::Targets => &self.target_reads,
        };
        reads.fetch_add(1, Ordering::Relaxed);
        if topic == Topic::Catalog && self.silent_catalog {
            return Box::pin(pending());
        }
        Box::pin(ready(Ok(Read::default())))
    }

    fn watch(&self, _: Topic, _: Revision, _: Duration) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(ready(match self.history {
            Some(true) => Ok(Read::default()),
            Some(false) => Err(StoreError::HistoryGone),
            None => Err(StoreError::NoAnswer),
        }))
    }

    fn own_rows(&self) -> BoxFuture<'_, Result<OwnRows, StoreError>> {
        Box::pin(ready(Ok(OwnRows::default())))
    }

    fn own_rows_after(&self, _: Revision) -> BoxFuture<'_, Result<OwnRows, StoreError>> {
        Box::pin(ready(match self.history {
            Some(true) => Ok(OwnRows::default()),
            Some(false) => Err(StoreError::HistoryGone),
            None => Err(StoreError::NoAnswer),
        }))
    }

    fn own_row<'a>(&'a self, _: &'a str) -> BoxFuture<'a, Result<OwnRows, StoreError>> {
        Box::pin(ready(Err(StoreError::NoAnswer)))
    }

    fn commit<'a>(&'a self, _: &'a Transaction) -> BoxFuture<'a, CommitResult> {
        let commit = self.commit.clone();
        Box::pin(ready(commit.unwrap_or(CommitResult::Unknown)))
    }
}

impl TargetApi for EmptyPlatform {
    fn grant<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a Order,
    ) -> BoxFuture<'a, OrderAnswer<GrantOutcome>> {
        Box::pin(ready(OrderAnswer::new(GrantOutcome::NoAnswer)))
    }

    fn release<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a Order,
    ) -> BoxFuture<'a, OrderAnswer<ReleaseOutcome>> {
        Box::pin(ready(OrderAnswer::new(ReleaseOutcome::NoAnswer)))
    }
}

/// Creates a host of an empty platform.
pub fn node(name: &str, port: u16) -> Node {
    node_at(name, port, Arc::default())
}

/// Creates a host of `platform`.
pub fn node_at(name: &str, port: u16, platform: Arc<EmptyPlatform>) -> Node {
    let header = HeaderName::from_static;
    let ports = Ports {
        store: Arc::clone(&platform) as Arc<dyn Store>,
        target_api: platform,
        profile: ProtocolProfile {
            attempt: header("attempt"),
            deadline: header("deadline"),
            target: header("target"),
            key: header("key"),
            not_run: header("not-run"),
            seal: header("seal"),
            leaving: |headers, _| headers.contains_key("leaving"),
            may_leave: |headers| headers.contains_key("may-leave"),
            load: |_| None,
            healthy: |status, _, _| status == StatusCode::OK,
            cold_time: |_| Some(0),
            status: |_| StatusCode::SERVICE_UNAVAILABLE,
        },
    };
    Node::new(settings(name, port, "{catania: sicilia-est}"), ports)
}

/// Creates the settings of a host in `catania`, given the region of each data centre.
pub fn settings(name: &str, port: u16, regions: &str) -> Settings {
    let text = format!(
        "{{host: {name}, place: catania, regions: {regions}, \
         callers: 127.0.0.1:{}, operators: 127.0.0.1:{}, metrics: 127.0.0.1:{}, \
         peer: 127.0.0.1:{port}, forward: 127.0.0.1:{}, cores: 1.0, \
         store: {{address: 127.0.0.1:1}}, bounds: {{max_hold_s: 10, drain_s: 2, grace_s: 6, \
         retry_ratio: 0.2, retry_slack: 60, retry_window_s: 10}}}}",
        port + 1,
        port + 2,
        port + 3,
        port + 4,
    );
    Settings::parse("f", &text).expect("the settings are valid")
}

/// Creates a version of the configuration without routes.
pub fn catalog(version: u64) -> Arc<Catalog> {
    let parts = CatalogParts {
        version,
        hosts: BTreeMap::new(),
        services: Vec::new(),
        limits: Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_ms: 1,
            idle_ms: 1,
        },
    };
    Arc::new(Catalog::new(parts).expect("the configuration is valid"))
}
