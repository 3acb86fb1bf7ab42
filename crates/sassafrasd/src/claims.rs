//! Claims of idempotency keys: written to the store before a non-idempotent request is sent.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admission::{
    AddOutcome, Batch, BatchResult, Claim, ClaimBatcher, ClaimLimits, ClaimVerdict, FinalWrite,
};
use platform::{Commit, Condition, Platform, Row, Write, Written};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;

mod guard;

pub use guard::{ClaimGuard, OUTCOME_LIMIT_BYTES, Taken};

/// Claims, and likewise outcomes and deletions, in one commit.
const BATCH_CLAIMS: usize = 64;

/// Least time between two batches of a host, so that ten hosts make at most 500 commits a second.
/// A claim that comes after a pause is written at once.
const BATCH_WAIT_MS: u64 = 20;

/// Longest time for which an outcome waits for claims that share its commit. No caller waits for
/// it, and a second send that reaches this host ends the wait.
const OUTCOME_WAIT_MS: u64 = 200;

/// Claims, and likewise outcomes and deletions, that one host holds at once.
const OUTSTANDING_CLAIMS: usize = 4_096;

/// Time for which the write of an outcome or a deletion is tried.
const CLOSING_LIMIT_MS: u64 = 60_000;

/// Pause between two reads of rows that may have been left by lost answers: ten hosts make at most
/// 200 reads a second, a tenth of what the store sustains.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a read that failed.
const LOOKUP_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time for which a host that stops waits for its last writes.
const FLUSH_LIMIT: Duration = Duration::from_secs(2);

/// The value of a claim's row.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimRow {
    attempt: u64,
    key: String,
    body: u64,
    state: ClaimState,
}

/// What is known of the request.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
enum ClaimState {
    /// The request may have been sent.
    Claimed,
    /// The request ran and was answered.
    Done {
        status: u16,
        content: Option<String>,
        answer: Option<String>,
    },
}

/// Writer of claims with group commit.
pub struct Claims {
    platform: Platform,
    book: Mutex<Book>,
    added: Notify,
    /// Random identifier of this run of the process, so that changes of different hosts differ.
    run: u64,
}

struct Book {
    claims: ClaimBatcher,
    /// What the book's claims and closings write, by attempt.
    entries: HashMap<u64, Entry>,
    waiting: HashMap<u64, oneshot::Sender<Result<ClaimGuard, ClaimVerdict>>>,
    /// Attempts whose rows may be in the store although their requests were refused.
    lookups: VecDeque<u64>,
}

/// What is written for an attempt.
struct Entry {
    hash: u64,
    name: String,
    row: ClaimRow,
    /// The last value of the row; null deletes it.
    last: Value,
    /// Dropped when the last value is written or given up.
    done: Option<oneshot::Sender<()>>,
}

impl Claims {
    /// Creates a writer.
    pub fn new(platform: Platform) -> Self {
        let claims = ClaimBatcher::new(ClaimLimits {
            batch: BATCH_CLAIMS,
            wait_ms: BATCH_WAIT_MS,
            outstanding: OUTSTANDING_CLAIMS,
        });
        let book = Book {
            claims,
            entries: HashMap::new(),
            waiting: HashMap::new(),
            lookups: VecDeque::new(),
        };
        Self {
            platform,
            book: Mutex::new(book),
            added: Notify::new(),
            run: rand::random(),
        }
    }

    /// Writes claims, outcomes and deletions until the process ends.
    pub async fn run(self: &Arc<Self>, clock: &Clock) {
        loop {
            let late = self.book().claims.expire(clock.now());
            self.answer(clock, &late);
            let (batch, pause) = {
                let mut book = self.book();
                let batch = book.claims.next_batch(clock.now());
                let pause = book.claims.next_due().map(|it| clock.until(it));
                (batch, pause)
            };
            let Some(batch) = batch else {
                let pause = pause
                    .unwrap_or(Duration::from_secs(1))
                    .max(Duration::from_millis(1));
                let _ = tokio::time::timeout(pause, self.added.notified()).await;
                continue;
            };
            let result = self.write(&batch).await;
            let verdicts = self.book().claims.on_result(clock.now(), result);
            self.answer(clock, &verdicts);
        }
    }

    /// Deletes the rows of refused requests whose commits had no answer, until the process ends.
    pub async fn run_lookups(&self, clock: &Clock) {
        loop {
            tokio::time::sleep(LOOKUP_PAUSE).await;
            let next = {
                let mut book = self.book();
                let attempt = book.lookups.pop_front();
                attempt.and_then(|it| Some((it, book.entries.get(&it)?.name.clone())))
            };
            let Some((attempt, name)) = next else {
                continue;
            };
            match self.platform.row(&name).await {
                Ok(Some(row)) if is_own_claim(&row, attempt) => {
                    let entry = self.book().entries.remove(&attempt);
                    if let Some(entry) = entry {
                        self.close(clock, entry, row.rev);
                    }
                }
                Ok(_) => {
                    self.book().entries.remove(&attempt);
                }
                Err(_) => {
                    self.book().lookups.push_back(attempt);
                    tokio::time::sleep(LOOKUP_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until all outcomes and deletions are written, or the time limit of a stop has passed.
    pub async fn flush(&self) {
        let written = async {
            while self.book().claims.final_writes() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(FLUSH_LIMIT, written).await.is_err() {
            log::warn!("the host stops before all outcomes of claims are written");
        }
    }

    async fn write(&self, batch: &Batch) -> BatchResult {
        let (commit, attempts) = self.commit_of(batch);
        let conflicts = match self.platform.commit(&commit).await {
            Written::Applied { rev } => return BatchResult::Applied { rev },
            Written::Unknown => return BatchResult::Unknown,
            Written::NotApplied { conflicts } => conflicts,
        };
        let mut lost = SmallVec::new();
        let mut own = SmallVec::new();
        for conflict in conflicts {
            let Some((_, attempt)) = attempts.iter().find(|it| it.0 == conflict.row) else {
                continue;
            };
            let is_claim = batch.claims.iter().any(|it| it.attempt == *attempt);
            if is_claim && is_own_claim(&conflict, *attempt) {
                // An earlier copy of the claim took effect; its answer was lost.
                own.push((*attempt, conflict.rev));
            } else {
                lost.push(*attempt);
            }
        }
        BatchResult::Conflict { lost, own }
    }

    /// The transaction of a batch, and the row of each attempt.
    fn commit_of(&self, batch: &Batch) -> (Commit, Vec<(String, u64)>) {
        let mut commit = Commit {
            change: format!("claims-{:016x}-{}", self.run, batch.number),
            ..Commit::default()
        };
        let mut attempts = Vec::new();
        let book = self.book();
        let claims = batch.claims.iter().map(|it| (it.attempt, 0));
        let closings = batch.final_writes.iter().map(|it| (it.attempt, it.rev));
        for (attempt, rev) in claims.chain(closings) {
            let Some(entry) = book.entries.get(&attempt) else {
                continue;
            };
            let value = if rev == 0 {
                serde_json::to_value(&entry.row).expect("a claim serialises")
            } else {
                entry.last.clone()
            };
            let row = entry.name.clone();
            commit.conditions.push(Condition {
                row: row.clone(),
                rev,
            });
            attempts.push((row.clone(), attempt));
            commit.writes.push(Write { row, value });
        }
        (commit, attempts)
    }

    /// Adds the claim of a request; its verdict follows.
    fn add(
        &self,
        claim: Claim,
        name: String,
        row: ClaimRow,
    ) -> Result<oneshot::Receiver<Result<ClaimGuard, ClaimVerdict>>, AddOutcome> {
        let (sender, verdict) = oneshot::channel();
        let mut book = self.book();
        match book.claims.add(claim) {
            AddOutcome::Queued => {}
            other => return Err(other),
        }
        let entry = Entry {
            hash: claim.hash,
            name,
            row,
            last: Value::Null,
            done: None,
        };
        book.entries.insert(claim.attempt, entry);
        book.waiting.insert(claim.attempt, sender);
        drop(book);
        self.added.notify_one();
        Ok(verdict)
    }

    /// Queues the last write of a claim whose row has the revision `rev`. Until it took effect, a
    /// second send at another host is answered `outcome_unknown`. A deletion does not wait for other
    /// claims, because the request may soon be sent again.
    fn close(&self, clock: &Clock, entry: Entry, rev: u64) {
        let now = clock.now();
        let attempt = entry.row.attempt;
        let closing = FinalWrite {
            hash: entry.hash,
            attempt,
            rev,
            due: if entry.last.is_null() {
                now
            } else {
                now + OUTCOME_WAIT_MS
            },
            deadline: now + CLOSING_LIMIT_MS,
        };
        let mut book = self.book();
        match book.claims.add_final_write(closing) {
            AddOutcome::Queued => {
                book.entries.insert(attempt, entry);
            }
            AddOutcome::Duplicate | AddOutcome::Full | AddOutcome::Reused => {
                log::warn!(row = entry.name; "the outcome of a claim could not be written");
            }
        }
        drop(book);
        self.added.notify_one();
    }

    /// Tells the requests what became of their claims.
    fn answer(self: &Arc<Self>, clock: &Clock, verdicts: &[(u64, ClaimVerdict)]) {
        let mut answers = Vec::new();
        let mut book = self.book();
        for &(attempt, verdict) in verdicts {
            let mut result = Err(verdict);
            match verdict {
                ClaimVerdict::Claimed { rev } => {
                    if let Some(entry) = book.entries.remove(&attempt) {
                        result = Ok(ClaimGuard::new(Arc::clone(self), *clock, entry, rev));
                    }
                }
                ClaimVerdict::Taken | ClaimVerdict::Unavailable | ClaimVerdict::Finished => {
                    book.entries.remove(&attempt);
                }
                ClaimVerdict::Unconfirmed => {}
                ClaimVerdict::Unresolved => {
                    // Beyond the bound the rows stay until they expire.
                    if book.lookups.len() < OUTSTANDING_CLAIMS {
                        book.lookups.push_back(attempt);
                    } else {
                        book.entries.remove(&attempt);
                    }
                }
            }
            if let Some(waiting) = book.waiting.remove(&attempt) {
                answers.push((waiting, result));
            }
        }
        drop(book);
        for (waiting, result) in answers {
            // If the request is gone, the guard is dropped here. That locks the book.
            let _ = waiting.send(result);
        }
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no holder of the lock panics")
    }
}

/// Whether the row is the claim of this attempt, without an outcome.
fn is_own_claim(row: &Row, attempt: u64) -> bool {
    let held = ClaimRow::deserialize(&row.value);
    held.is_ok_and(|it| it.attempt == attempt && matches!(it.state, ClaimState::Claimed))
}

#[cfg(test)]
mod tests;
