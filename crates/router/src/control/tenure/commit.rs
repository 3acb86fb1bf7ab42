//! Writing the lease and the owners of keys.

use std::sync::Arc;

use coordinator::{LeaseRow, SliceRow, StoreClock};

use super::{RENEW_MS, Tenure};
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

/// The rows of one service in a transaction.
struct Batch {
    service: Arc<str>,
    puts: Vec<SliceRow>,
    removes: Vec<String>,
}

impl Tenure {
    /// Writes the rows that changed and renews the lease; returns whether the lease is held.
    pub(super) async fn commit(&mut self) -> bool {
        let batches = self.batches();
        let now = self.node.clock.now();
        let row = LeaseRow {
            until: self.lease.clock.earliest(now) + LEASE_MS,
            nonce: rand::random(),
            ..self.lease.row.clone()
        };
        self.write(row, batches).await
    }

    /// Ends the lease so that another host can take it at once.
    pub(super) async fn release(&mut self) {
        let row = LeaseRow {
            until: 0,
            nonce: rand::random(),
            ..self.lease.row.clone()
        };
        let batches = self.batches();
        if !self.write(row, batches).await {
            log::warn!("the lease is left to end by itself");
        }
    }

    fn batches(&self) -> Vec<Batch> {
        let mut batches = Vec::new();
        let mut room = ROWS;
        for (service, charge) in &self.charges {
            let (puts, removes) = charge.keeper.rows_to_write(room);
            room -= puts.len() + removes.len();
            batches.push(Batch {
                service: Arc::clone(service),
                puts,
                removes,
            });
        }
        batches
    }

    async fn write(&mut self, row: LeaseRow, batches: Vec<Batch>) -> bool {
        let sent = self.node.clock.now();
        let mut transaction = Transaction {
            expected: vec![(LeaseRow::NAME.to_owned(), self.lease.rev)],
            puts: vec![(LeaseRow::NAME.to_owned(), encode(&row))],
            removes: Vec::new(),
        };
        for batch in &batches {
            let puts = batch.puts.iter().map(|it| (it.name(), it.value()));
            transaction.puts.extend(puts);
            transaction.removes.extend(batch.removes.iter().cloned());
        }
        let nonce = row.nonce;
        match self.node.store.commit(&transaction).await {
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
                true
            }
            Commit::Conflict(rows) => self.recognise(&rows, sent),
            Commit::NotApplied(err) => {
                log::warn!("the lease is not renewed: {err}");
                self.failed();
                true
            }
            Commit::Unknown => {
                log::warn!("it is not known whether the lease is renewed");
                self.doubtful.push(nonce);
                self.failed();
                true
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

    fn held(&mut self, row: LeaseRow, rev: u64, sent: u64) {
        self.lease.until = self.lease.clock.before(row.until);
        self.lease.rev = rev;
        self.lease.row = row;
        self.doubtful.clear();
        self.failures = 0;
        self.renew_at = sent + RENEW_MS;
    }

    /// Another revision of the lease is in the store: an own write whose answer was lost, or that
    /// of another host. The rows of such a write are written again.
    fn recognise(&mut self, rows: &OwnRows, sent: u64) -> bool {
        let found = rows.rows.iter().find(|it| it.name == LeaseRow::NAME);
        let Some(found) = found else { return false };
        let row: LeaseRow = match serde_json::from_slice(&found.value) {
            Ok(row) => row,
            Err(err) => {
                log::error!("the lease is malformed: {err}");
                return false;
            }
        };
        if !self.doubtful.contains(&row.nonce) {
            log::warn!(holder = &*row.host; "another host holds the lease");
            return false;
        }
        self.held(row, found.rev, sent);
        self.renew_at = sent;
        true
    }
}
