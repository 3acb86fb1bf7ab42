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

/// What a transaction writes.
pub(super) struct Draft {
    row: LeaseRow,
    batches: Vec<Batch>,
}

/// A write that has ended.
pub(super) struct Written {
    draft: Draft,
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
        let until = self.lease.clock.earliest_time(now) + LEASE_MS;
        let (draft, transaction) = self.prepare(until);
        let node = Arc::clone(&self.node);
        let ends = self.ends.clone();
        tokio::spawn(async move {
            let sent = node.clock.now();
            let commit = node.store.commit(&transaction).await;
            // The tenure may have ended meanwhile.
            let _ = ends.send(Ended::Write(Written {
                draft,
                sent,
                commit,
            }));
        });
    }

    /// Ends the lease so that another host can take it at once.
    pub(super) async fn release(&mut self) {
        let (_, transaction) = self.prepare(0);
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
            charge.keeper.set_extended_grants(true, now);
        }
        self.order(now);
        tokio::time::sleep(LAST_GRANTS).await;
    }

    fn prepare(&self, until: Millis) -> (Draft, Transaction) {
        let row = LeaseRow {
            until,
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
        (Draft { row, batches }, transaction)
    }

    /// Takes note of a write that has ended.
    pub(super) fn on_written(&mut self, written: Written) {
        self.writing = None;
        let Written {
            draft,
            sent,
            commit,
        } = written;
        match commit {
            Commit::Applied { rev, store_ms } => {
                self.held(draft, rev, sent);
                self.node.set_needs_heir(false);
                self.lease.clock = StoreClock {
                    sent,
                    received: self.node.clock.now(),
                    value: store_ms,
                };
            }
            Commit::Conflict(rows) => self.recognise(&rows, sent),
            Commit::NotApplied(err) => {
                log::warn!("the lease is not renewed: {err}");
                self.failed();
            }
            Commit::Unknown => {
                log::warn!("it is not known whether the lease is renewed");
                self.doubtful.push(draft);
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

    /// The store has carried out a write, so this host holds the lease.
    fn held(&mut self, draft: Draft, rev: u64, sent: Millis) {
        let Draft { row, batches } = draft;
        self.lease.until = self.lease.clock.local_expiry(row.until);
        self.lease.rev = rev;
        self.lease.row = row;
        for batch in batches {
            if let Some(charge) = self.charges.get_mut(&batch.service) {
                charge.keeper.on_commit(batch.puts, &batch.removes);
            }
        }
        self.doubtful.clear();
        self.failures = 0;
        self.renew_at = sent + RENEW_MS;
    }

    /// Another revision of the lease is in the store: that of an own write whose answer was lost,
    /// or that of another host.
    fn recognise(&mut self, rows: &OwnRows, sent: Millis) {
        let found = rows.rows.iter().find(|it| it.name == LeaseRow::NAME);
        let row: Option<LeaseRow> = found.and_then(|it| match serde_json::from_slice(&it.value) {
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
        let Some(idx) = self.doubtful.iter().position(|it| it.row == row) else {
            log::warn!(holder = &*row.host; "another host holds the lease");
            self.deposed = true;
            return;
        };
        let draft = self.doubtful.swap_remove(idx);
        self.held(draft, found.rev, sent);
        self.renew_at = sent;
    }
}
