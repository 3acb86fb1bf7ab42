//! Writing the lease and the owners of keys.

use std::{sync::Arc, time::Duration};

use coordinator::{LeaseRow, Millis, SliceRow, StoreClock};

use super::{Ended, RENEW_MS, Tenure};
use crate::{
    control::lease::{LEASE_MS, encode},
    ports::{Commit, OwnRows, Transaction},
};

/// Rows that one transaction changes beside the lease; the store takes 100 entries.
const ROWS: usize = 90;

/// Pause before a failed write is repeated.
const REPEAT_MS: u64 = 100;

/// Failed writes in a row after which a host is sought that can reach the store.
const FAILURES: u32 = 2;

/// Time for targets to answer the last grants of a host that stops.
const LAST_GRANTS: Duration = Duration::from_millis(250);

/// The rows of one service in a transaction.
struct Batch {
    service: Arc<str>,
    puts: Vec<SliceRow>,
    removes: Vec<String>,
}

/// A write that has ended.
pub(super) struct Written {
    row: LeaseRow,
    batches: Vec<Batch>,
    sent: Millis,
    commit: Commit,
}

impl Tenure {
    /// Begins to write the rows that changed and to renew the lease, unless a write is under way.
    pub(super) fn commit(&mut self) {
        if self.writing.is_some() {
            return;
        }
        let now = self.node.clock.now();
        self.writing = Some(now);
        let (row, batches, transaction) = self.prepare(|it| it.lease.clock.earliest(now) + LEASE_MS);
        let node = Arc::clone(&self.node);
        let ends = self.ends.clone();
        tokio::spawn(async move {
            let sent = node.clock.now();
            let commit = node.store.commit(&transaction).await;
            // The tenure may have ended meanwhile.
            let _ = ends.send(Ended::Write(Written {
                row,
                batches,
                sent,
                commit,
            }));
        });
    }

    /// Ends the lease so that another host can take it at once.
    pub(super) async fn release(&mut self) {
        let (_, _, transaction) = self.prepare(|_| 0);
        let commit = self.node.store.commit(&transaction).await;
        if matches!(commit, Commit::Applied { .. }) {
            return;
        }
        log::warn!("the lease is left to end by itself");
        let now = self.node.clock.now();
        if now >= self.lease.until {
            return;
        }
        for charge in self.charges.values_mut() {
            charge.keeper.set_bridge(true, now);
        }
        self.order(now);
        tokio::time::sleep(LAST_GRANTS).await;
    }

    fn prepare(
        &self,
        until: impl FnOnce(&Self) -> Millis,
    ) -> (LeaseRow, Vec<Batch>, Transaction) {
        let row = LeaseRow {
            until: until(self),
            nonce: rand::random(),
            ..self.lease.row.clone()
        };
        let mut transaction = Transaction {
            expected: vec![(LeaseRow::NAME.to_owned(), self.lease.rev)],
            puts: vec![(LeaseRow::NAME.to_owned(), encode(&row))],
            removes: Vec::new(),
        };
        let mut batches = Vec::new();
        let mut room = ROWS;
        for (service, charge) in &self.charges {
            let (puts, removes) = charge.keeper.rows_to_write(room);
            room -= puts.len() + removes.len();
            let values = puts.iter().map(|it| (it.name(), it.value()));
            transaction.puts.extend(values);
            transaction.removes.extend(removes.iter().cloned());
            batches.push(Batch {
                service: Arc::clone(service),
                puts,
                removes,
            });
        }
        (row, batches, transaction)
    }

    /// Takes note of a write that has ended.
    pub(super) fn on_written(&mut self, written: Written) {
        self.writing = None;
        let Written {
            row,
            batches,
            sent,
            commit,
        } = written;
        match commit {
            Commit::Applied { rev, store_ms } => {
                self.held(row, rev, sent);
                self.node.set_needs_heir(false);
                self.lease.clock = StoreClock {
                    sent,
                    received: self.node.clock.now(),
                    value: store_ms,
                };
                for batch in batches {
                    if let Some(charge) = self.charges.get_mut(&batch.service) {
                        charge.keeper.on_commit(batch.puts, &batch.removes);
                    }
                }
            }
            Commit::Conflict(rows) => self.recognise(&rows, sent),
            Commit::NotApplied(err) => {
                log::warn!("the lease is not renewed: {err}");
                self.failed();
            }
            Commit::Unknown => {
                log::warn!("it is not known whether the lease is renewed");
                self.doubtful.push(row);
                self.failed();
            }
        }
    }

    fn failed(&mut self) {
        let now = self.node.clock.now();
        self.renew_at = now;
        self.write_at = now + REPEAT_MS;
        self.failures += 1;
        if self.failures >= FAILURES {
            self.node.set_needs_heir(true);
        }
    }

    fn held(&mut self, row: LeaseRow, rev: u64, sent: Millis) {
        self.lease.until = self.lease.clock.before(row.until);
        self.lease.rev = rev;
        self.lease.row = row;
        self.doubtful.clear();
        self.failures = 0;
        self.renew_at = sent + RENEW_MS;
    }

    /// Another revision of the lease is in the store: an own write whose answer was lost, or that
    /// of another host. The rows of such a write are written again.
    fn recognise(&mut self, rows: &OwnRows, sent: Millis) {
        let found = rows.rows.iter().find(|it| it.name == LeaseRow::NAME);
        let row: Option<LeaseRow> =
            found.and_then(|it| match serde_json::from_slice(&it.value) {
                Ok(row) => Some(row),
                Err(err) => {
                    log::error!("the lease is malformed: {err}");
                    None
                }
            });
        let (Some(found), Some(row)) = (found, row) else {
            self.deposed = true;
            return;
        };
        if !self.doubtful.contains(&row) {
            log::warn!(holder = &*row.host; "another host holds the lease");
            self.deposed = true;
            return;
        }
        self.held(row, found.rev, sent);
        self.renew_at = sent;
    }
}
