//! The coordinator's lease in the store.

use std::time::Duration;

use coordinator::{LeaseRow, Millis, StoreClock, lease_duration};

use crate::{
    node::Node,
    ports::{CommitOptions, CommitResult, OwnRows, Revision, Transaction},
};

/// Longest wait for an answer of a store that others may reach faster.
pub const FAST_ANSWER: Duration = Duration::from_millis(800);

/// Longest wait for an answer of a store that is slow. It exceeds two writes without an answer, so
/// that each of several may still be answered while the next ones are tried.
pub const SLOW_ANSWER: Duration = Duration::from_millis(3_200);

/// The state of the lease as this host read it.
#[derive(Clone, Debug)]
pub struct LeaseView {
    /// The row; `None` if there is none or it is malformed.
    pub row: Option<LeaseRow>,
    /// Revision of the row; its number is 0 if there is none.
    pub rev: Revision,
    /// The reading of the store's clock from the same answer.
    pub clock: StoreClock,
}

/// The lease while this host holds it.
#[derive(Clone, Debug)]
pub struct Lease {
    /// The row as this host last wrote it.
    pub row: LeaseRow,
    /// Its revision.
    pub rev: Revision,
    /// The last reading of the store's clock.
    pub clock: StoreClock,
    /// When the lease expires, on this host's clock.
    pub until: Millis,
}

impl Lease {
    /// Whether the slice rows name every target that may hold keys.
    pub fn are_rows_complete(&self) -> bool {
        self.row.complete_in == Some(self.rev.generation)
    }
}

impl LeaseView {
    /// Reads the lease; `None` if the store does not answer within `timeout`.
    pub async fn read(node: &Node, timeout: Duration) -> Option<Self> {
        let sent = node.clock.now();
        match node.store.own_row(LeaseRow::NAME, timeout).await {
            Ok(rows) => Some(Self::of(node, &rows, sent)),
            Err(err) => {
                log::debug!("the lease cannot be read: {err}");
                None
            }
        }
    }

    fn of(node: &Node, rows: &OwnRows, sent: Millis) -> Self {
        let known = rows.rows.iter().find(|it| it.name == LeaseRow::NAME);
        let row = known.and_then(|it| match serde_json::from_slice(&it.value) {
            Ok(row) => Some(row),
            Err(err) => {
                log::error!("the lease row is malformed and is treated as free: {err}");
                None
            }
        });
        let absent = Revision {
            generation: rows.generation,
            number: 0,
        };
        Self {
            row,
            rev: known.map_or(absent, |it| it.rev),
            clock: StoreClock {
                sent,
                received: node.clock.now(),
                value: rows.store_ms,
            },
        }
    }

    /// The row of the current holder; `None` if the lease has expired.
    pub fn holder(&self) -> Option<&LeaseRow> {
        self.row.as_ref().filter(|it| self.clock.value < it.until)
    }

    /// Tries to take the lease, which must be free; `None` if that failed or its result is unknown.
    pub async fn take(&self, node: &Node) -> Option<Lease> {
        let generation = self.rev.generation;
        let known_term = self.row.as_ref().map_or(0, |it| it.term);
        let known_term = known_term.max(node.feed().position().term);
        let row = LeaseRow {
            host: node.settings.host.clone(),
            peer: node.info.peer,
            term: LeaseRow::next_term(known_term, generation),
            // Before the first renewal, the rows are read as well.
            until: self.clock.earliest_time(node.clock.now())
                + lease_duration(2 * self.clock.round_trip()),
            nonce: rand::random(),
            complete_in: match &self.row {
                Some(row) => row.complete_in,
                // Without a lease no target was granted keys, unless the store has lost it.
                None => Some(generation).filter(|_| node.tables().is_empty()),
            },
        };
        let transaction = Transaction {
            expected: vec![(LeaseRow::NAME.to_owned(), self.rev)],
            puts: vec![(LeaseRow::NAME.to_owned(), encode(&row))],
            removes: Vec::new(),
        };
        let until = self.clock.local_expiry(row.until);
        let sent = node.clock.now();
        let options = CommitOptions {
            timeout: SLOW_ANSWER,
            is_retry: false,
        };
        match node.store.commit(&transaction, options).await {
            // In another generation the expected revision may be that of another holder's row.
            CommitResult::Applied { rev, .. } if rev.generation != self.rev.generation => None,
            CommitResult::Applied { rev, store_ms } => {
                let received = node.clock.now();
                let value = store_ms;
                Some(Lease {
                    row,
                    rev,
                    clock: StoreClock {
                        sent,
                        received,
                        value,
                    },
                    until,
                })
            }
            CommitResult::Conflict(_) | CommitResult::NotApplied(_) | CommitResult::Unknown => None,
        }
    }
}

/// Serialises the row.
pub fn encode(row: &LeaseRow) -> Vec<u8> {
    serde_json::to_vec(row).expect("a lease has string keys only")
}

#[cfg(test)]
mod tests;
