//! A store wrapper that counts calls, and logs when the store becomes unavailable or available
//! again.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use coordinator::Millis;
use futures::future::BoxFuture;
use process::BootClock;

use super::Metrics;
use crate::{
    ports::{CommitResult, OwnRows, Read, Revision, Store, StoreError, Topic, Transaction},
    state::StoreContact,
};

/// A store whose calls are counted.
pub struct ObservedStore {
    inner: Arc<dyn Store>,
    metrics: Arc<Metrics>,
    clock: BootClock,
    contact: Arc<Mutex<StoreContact>>,
    /// When the first call failed since the last successful one; `None` while calls succeed.
    outage_since: Mutex<Option<Millis>>,
}

impl ObservedStore {
    /// Observes the calls of `inner` and records their results in `contact`.
    pub fn new(
        inner: Arc<dyn Store>,
        metrics: Arc<Metrics>,
        clock: BootClock,
        contact: Arc<Mutex<StoreContact>>,
    ) -> Self {
        Self {
            inner,
            metrics,
            clock,
            contact,
            outage_since: Mutex::default(),
        }
    }

    fn record<T>(&self, kind: &'static str, result: &Result<T, StoreError>) {
        let err = result.as_ref().err().copied();
        self.metrics.store_call(kind, label(err));
        self.on_result(kind, err);
    }

    fn on_result(&self, kind: &'static str, err: Option<StoreError>) {
        let now = self.clock.now();
        {
            let mut contact = self.contact.lock().expect("lock is not poisoned");
            match err {
                None | Some(StoreError::HistoryGone) => contact.on_answer(now),
                Some(_) => contact.on_failure(),
            }
        }
        let mut outage_since = self.outage_since.lock().expect("lock is not poisoned");
        match err {
            None | Some(StoreError::HistoryGone | StoreError::Limited) => {
                if let Some(since) = outage_since.take() {
                    let away_ms = now.saturating_sub(since);
                    log::info!(call = kind, away_ms; "the store answers again");
                }
            }
            Some(err @ (StoreError::NoAnswer | StoreError::Refused | StoreError::Malformed)) => {
                if outage_since.is_none() {
                    *outage_since = Some(now);
                    log::warn!(call = kind, error = err.to_string(); "the store is unavailable");
                }
            }
        }
    }
}

impl Store for ObservedStore {
    fn read(&self, topic: Topic) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(async move {
            let result = self.inner.read(topic).await;
            self.record("read", &result);
            result
        })
    }

    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Read, StoreError>> {
        Box::pin(async move {
            let result = self.inner.watch(topic, after, wait).await;
            self.record("watch", &result);
            result
        })
    }

    fn own_rows(&self) -> BoxFuture<'_, Result<OwnRows, StoreError>> {
        Box::pin(async move {
            let result = self.inner.own_rows().await;
            self.record("own_rows", &result);
            result
        })
    }

    fn own_rows_after(&self, after: Revision) -> BoxFuture<'_, Result<OwnRows, StoreError>> {
        Box::pin(async move {
            let result = self.inner.own_rows_after(after).await;
            self.record("own_rows_after", &result);
            result
        })
    }

    fn own_row<'a>(&'a self, name: &'a str) -> BoxFuture<'a, Result<OwnRows, StoreError>> {
        Box::pin(async move {
            let result = self.inner.own_row(name).await;
            self.record("own_row", &result);
            result
        })
    }

    fn commit<'a>(&'a self, transaction: &'a Transaction) -> BoxFuture<'a, CommitResult> {
        Box::pin(async move {
            let commit = self.inner.commit(transaction).await;
            let (outcome, err) = match &commit {
                CommitResult::Applied { .. } => ("ok", None),
                CommitResult::Conflict(_) => ("conflict", None),
                CommitResult::NotApplied(err) => (label(Some(*err)), Some(*err)),
                CommitResult::Unknown => ("unknown", Some(StoreError::NoAnswer)),
            };
            self.metrics.store_call("commit", outcome);
            self.on_result("commit", err);
            commit
        })
    }
}

fn label(err: Option<StoreError>) -> &'static str {
    match err {
        None => "ok",
        Some(StoreError::Refused) => "refused",
        Some(StoreError::Limited) => "limited",
        Some(StoreError::HistoryGone) => "history_gone",
        Some(StoreError::NoAnswer) => "no_answer",
        Some(StoreError::Malformed) => "malformed",
    }
}
