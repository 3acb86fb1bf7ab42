//! Writes the lease and the owners of keys to the store.

use std::{sync::Arc, time::Duration};

use coordinator::{LeaseRow, Millis, SliceRow, StoreClock};
use routing::Ownership;

use super::{Completion, Crashes, RENEW_INTERVAL_MS, Tenure};
use crate::{
    control::lease::{LEASE_MS, encode},
    ports::{CommitResult, OwnRows, Revision, Transaction},
};

/// Maximum number of rows that one transaction changes in addition to the lease; the store accepts
/// 100 entries.
const MAX_ROWS: usize = 90;

/// Pause before a failed write is retried.
const RETRY_PAUSE_MS: u64 = 100;

/// Consecutive failed writes after which this host asks for a successor that can reach the store.
const MAX_FAILURES: u32 = 2;

/// Time that targets have to answer the last grants of a stopping host.
const LAST_GRANTS_WAIT: Duration = Duration::from_millis(250);

/// The rows of one service in a transaction.
struct Batch {
    service: Arc<str>,
    puts: Vec<SliceRow>,
    removes: Vec<String>,
}

/// The lease and the rows that one transaction writes.
pub(super) struct LeaseWrite {
    row: LeaseRow,
    batches: Vec<Batch>,
    /// Version of the crashes in their row, if it is part of the write.
    crashes: Option<u64>,
}

/// A write that has completed, with its result.
pub(super) struct FinishedWrite {
    write: LeaseWrite,
    sent: Millis,
    commit: CommitResult,
}

impl Tenure {
    /// Starts a write of the changed rows that also renews the lease, unless one is in flight.
    pub(super) fn commit(&mut self) {
        if self.write_started.is_some() {
            return;
        }
        let now = self.node.clock.now();
        self.write_started = Some(now);
        let until = self.lease.clock.earliest_time(now) + LEASE_MS;
        let (write, transaction) = self.prepare(until);
        let node = Arc::clone(&self.node);
        let completion_sender = self.completion_sender.clone();
        tokio::spawn(async move {
            let sent = node.clock.now();
            let commit = node.store.commit(&transaction).await;
            // The receiver is gone if the tenure has ended meanwhile.
            let _ = completion_sender.send(Completion::Write(FinishedWrite {
                write,
                sent,
                commit,
            }));
        });
    }

    /// Releases the lease so that another host can take it at once. If that fails, targets are
    /// granted their keys for the longest duration, because the next coordinator may have to wait
    /// until the lease has expired.
    pub(super) async fn release(&mut self) {
        let (_, transaction) = self.prepare(0);
        let commit = self.node.store.commit(&transaction).await;
        if matches!(commit, CommitResult::Applied { .. }) {
            return;
        }
        log::warn!("the lease could not be released and will expire");
        let now = self.node.clock.now();
        if now >= self.lease.until {
            return;
        }
        for keyed in self.services.values_mut() {
            keyed.manager.set_extended_grants(true, now);
        }
        self.send_orders(now);
        tokio::time::sleep(LAST_GRANTS_WAIT).await;
    }

    fn prepare(&self, until: Millis) -> (LeaseWrite, Transaction) {
        let mut row = LeaseRow {
            until,
            nonce: rand::random(),
            ..self.lease.row.clone()
        };
        let mut batches = Vec::new();
        let mut rows_left = MAX_ROWS;
        let crashes = self.crashes.needs_commit().then(|| self.crashes.version());
        for (service, keyed) in &self.services {
            let (puts, removes) = keyed.manager.rows_to_write(rows_left);
            rows_left -= puts.len() + removes.len();
            batches.push(Batch {
                service: Arc::clone(service),
                puts,
                removes,
            });
        }
        // With room left, the transaction contains all rows that differ.
        if rows_left > 0 && self.is_recovered() {
            row.complete_in = Some(self.lease.rev.generation);
        }
        let mut transaction = Transaction {
            expected: vec![(LeaseRow::NAME.to_owned(), self.lease.rev)],
            puts: vec![(LeaseRow::NAME.to_owned(), encode(&row))],
            removes: Vec::new(),
        };
        for batch in &batches {
            let values = batch.puts.iter().map(|it| (it.name(), it.value()));
            transaction.puts.extend(values);
            transaction.removes.extend(batch.removes.iter().cloned());
        }
        if crashes.is_some() {
            let now = self.node.clock.now();
            let value = self.crashes.encode(&self.lease.clock, now);
            transaction.puts.push((Crashes::ROW.to_owned(), value));
        }
        let write = LeaseWrite {
            row,
            batches,
            crashes,
        };
        (write, transaction)
    }

    /// Whether the owners of all services with keys are recovered.
    fn is_recovered(&self) -> bool {
        let Some(catalog) = self.node.catalog.load_full() else {
            return false;
        };
        let mut keyed = catalog
            .services()
            .filter(|it| it.ownership != Ownership::Shared);
        keyed.all(|it| {
            let keyed = self.services.get(&it.name);
            keyed.is_some_and(|it| it.manager.is_recovered())
        })
    }

    /// Handles the result of a write.
    pub(super) fn on_written(&mut self, finished: FinishedWrite) {
        self.write_started = None;
        let FinishedWrite {
            write,
            sent,
            commit,
        } = finished;
        match commit {
            CommitResult::Applied { rev, .. } if !self.is_same_generation(rev) => {
                self.superseded = true;
            }
            CommitResult::Applied { rev, store_ms } => {
                self.on_applied(write, rev, sent);
                self.node.set_needs_successor(false);
                self.lease.clock = StoreClock {
                    sent,
                    received: self.node.clock.now(),
                    value: store_ms,
                };
            }
            CommitResult::Conflict(rows) => self.resolve_conflict(&rows, sent),
            CommitResult::NotApplied(err) => {
                log::warn!("the lease renewal failed: {err}");
                self.on_write_failed();
            }
            CommitResult::Unknown => {
                log::warn!("the result of the lease renewal is unknown");
                self.unconfirmed.push(write);
                self.on_write_failed();
            }
        }
    }

    fn on_write_failed(&mut self) {
        let now = self.node.clock.now();
        self.renew_at = now;
        self.write_at = now + RETRY_PAUSE_MS;
        self.failures += 1;
        if self.failures >= MAX_FAILURES {
            self.node.set_needs_successor(true);
        }
    }

    /// Whether the store has not come back from a copy since this host last wrote the lease. If it
    /// has, it may have given out the revision of the lease again, so that a write that expects this
    /// revision can replace the lease of another host.
    fn is_same_generation(&self, rev: Revision) -> bool {
        let same = rev.generation == self.lease.rev.generation;
        if !same {
            log::warn!(generation = rev.generation; "the store has come back from a copy");
        }
        same
    }

    /// Handles a write that the store has applied: this host holds the lease.
    fn on_applied(&mut self, write: LeaseWrite, rev: Revision, sent: Millis) {
        let LeaseWrite {
            row,
            batches,
            crashes,
        } = write;
        if let Some(version) = crashes {
            self.crashes.on_commit(version);
        }
        self.lease.until = self.lease.clock.local_expiry(row.until);
        self.lease.rev = rev;
        self.lease.row = row;
        for batch in batches {
            if let Some(keyed) = self.services.get_mut(&batch.service) {
                keyed.manager.on_commit(batch.puts, &batch.removes);
            }
        }
        self.unconfirmed.clear();
        self.failures = 0;
        self.renew_at = sent + RENEW_INTERVAL_MS;
    }

    /// Handles an unexpected revision of the lease in the store: it was written either by this
    /// host, in a write whose answer was lost, or by another host.
    fn resolve_conflict(&mut self, rows: &OwnRows, sent: Millis) {
        let found = rows.rows.iter().find(|it| it.name == LeaseRow::NAME);
        let row: Option<LeaseRow> = found.and_then(|it| match serde_json::from_slice(&it.value) {
            Ok(row) => Some(row),
            Err(err) => {
                log::error!("the lease row is malformed; this host resigns: {err}");
                None
            }
        });
        let (Some(found), Some(row)) = (found, row) else {
            self.superseded = true;
            return;
        };
        if !self.is_same_generation(found.rev) {
            self.superseded = true;
            return;
        }
        let Some(idx) = self.unconfirmed.iter().position(|it| it.row == row) else {
            log::warn!(holder = &*row.host; "another host holds the lease");
            self.superseded = true;
            return;
        };
        let write = self.unconfirmed.swap_remove(idx);
        self.on_applied(write, found.rev, sent);
        self.renew_at = sent;
    }
}
