//! Claims of idempotency keys, which are written to the store before a non-idempotent request is
//! sent.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use admission::{
    AddOutcome, Batch, BatchResult, Claim, ClaimBatcher, ClaimLimits, ClaimVerdict, FinalWrite,
};
use platform::{Commit, CommitResult, Condition, Platform, Row, Write};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smallvec::SmallVec;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;

mod guard;

pub use guard::{ClaimGuard, OUTCOME_LIMIT_BYTES, TakeOutcome};

/// Maximum number of claims in one commit, and likewise of outcomes and deletions.
const MAX_BATCH_CLAIMS: usize = 64;

/// Minimum time between two batches of a host, so that ten hosts make at most 500 commits a second.
/// A claim that arrives when the previous batch is older than this is written at once.
const MIN_BATCH_INTERVAL_MS: u64 = 20;

/// Longest time for which an outcome waits for claims that share its commit. No caller waits for
/// the outcome, and a second send of the request to this host ends the wait.
const OUTCOME_WAIT_MS: u64 = 200;

/// Maximum number of claims of one host that wait or are being written, and likewise of outcomes
/// and deletions.
const MAX_OUTSTANDING_CLAIMS: usize = 4_096;

/// Time for which the write of an outcome or a deletion is retried.
const FINAL_WRITE_LIMIT_MS: u64 = 60_000;

/// Pause between two lookups of rows that may remain because the answer to their commit was lost.
/// Ten hosts make at most 200 reads a second, a tenth of what the store sustains.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a failed lookup.
const LOOKUP_BACKOFF: Duration = Duration::from_secs(1);

/// Longest time for which a stopping host waits for its last writes.
const FLUSH_LIMIT: Duration = Duration::from_secs(2);

/// The stored value of a claim.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ClaimRow {
    attempt: u64,
    key: String,
    body: u64,
    state: ClaimState,
}

/// The state of the request that holds the claim.
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

/// Writer of claims, which batches them into group commits.
pub struct Claims {
    platform: Platform,
    state: Mutex<State>,
    added: Notify,
    /// Random identifier of this process, which makes its change identifiers unique among hosts.
    nonce: u64,
}

struct State {
    claims: ClaimBatcher,
    /// What the queued claims and final writes store, by attempt.
    entries: HashMap<u64, Entry>,
    /// Channels to the requests that wait for a verdict, by attempt.
    waiting: HashMap<u64, oneshot::Sender<Result<ClaimGuard, ClaimVerdict>>>,
    /// Attempts whose rows may be in the store although their requests were refused.
    lookups: VecDeque<u64>,
}

/// What is written for an attempt.
struct Entry {
    hash: u64,
    name: String,
    row: ClaimRow,
    /// The value of the final write; null deletes the row.
    final_value: Value,
    /// Dropped when the final write has taken effect or was given up.
    done: Option<oneshot::Sender<()>>,
}

impl Claims {
    /// Creates a writer.
    pub fn new(platform: Platform) -> Self {
        let claims = ClaimBatcher::new(ClaimLimits {
            batch: MAX_BATCH_CLAIMS,
            wait_ms: MIN_BATCH_INTERVAL_MS,
            outstanding: MAX_OUTSTANDING_CLAIMS,
        });
        let state = State {
            claims,
            entries: HashMap::new(),
            waiting: HashMap::new(),
            lookups: VecDeque::new(),
        };
        Self {
            platform,
            state: Mutex::new(state),
            added: Notify::new(),
            nonce: rand::random(),
        }
    }

    /// Writes claims, outcomes and deletions until the process ends.
    pub async fn run(self: &Arc<Self>, clock: &Clock) {
        loop {
            let expired = self.lock().claims.expire(clock.now());
            self.send_verdicts(clock, &expired);
            let (batch, pause) = {
                let mut state = self.lock();
                let batch = state.claims.next_batch(clock.now());
                let pause = state.claims.next_due().map(|it| clock.until(it));
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
            let verdicts = self.lock().claims.on_result(clock.now(), result);
            self.send_verdicts(clock, &verdicts);
        }
    }

    /// Deletes the rows of refused requests whose commits had an unknown outcome, until the process
    /// ends.
    pub async fn run_lookups(&self, clock: &Clock) {
        loop {
            tokio::time::sleep(LOOKUP_PAUSE).await;
            let next = {
                let mut state = self.lock();
                let attempt = state.lookups.pop_front();
                attempt.and_then(|it| Some((it, state.entries.get(&it)?.name.clone())))
            };
            let Some((attempt, name)) = next else {
                continue;
            };
            match self.platform.row(&name).await {
                Ok(Some(row)) if is_own_claim(&row, attempt) => {
                    let entry = self.lock().entries.remove(&attempt);
                    if let Some(entry) = entry {
                        self.queue_final_write(clock, entry, row.rev);
                    }
                }
                Ok(_) => {
                    self.lock().entries.remove(&attempt);
                }
                Err(_) => {
                    self.lock().lookups.push_back(attempt);
                    tokio::time::sleep(LOOKUP_BACKOFF).await;
                }
            }
        }
    }

    /// Waits until all outcomes and deletions are written, [`FLUSH_LIMIT`] at most.
    pub async fn flush(&self) {
        let written = async {
            while self.lock().claims.final_writes() > 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        if tokio::time::timeout(FLUSH_LIMIT, written).await.is_err() {
            log::warn!("stopping before all outcomes of claims are written");
        }
    }

    async fn write(&self, batch: &Batch) -> BatchResult {
        let (commit, attempts) = self.commit_of(batch);
        let conflicts = match self.platform.commit(&commit).await {
            CommitResult::Applied { rev } => return BatchResult::Applied { rev },
            CommitResult::Unknown => return BatchResult::Unknown,
            CommitResult::NotApplied { conflicts } => conflicts,
        };
        let mut lost = SmallVec::new();
        let mut own = SmallVec::new();
        for conflict in conflicts {
            let Some((_, attempt)) = attempts.iter().find(|it| it.0 == conflict.row) else {
                continue;
            };
            let is_claim = batch.claims.iter().any(|it| it.attempt == *attempt);
            if is_claim && is_own_claim(&conflict, *attempt) {
                // A previous commit wrote the claim, but its answer was lost.
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
            change: format!("claims-{:016x}-{}", self.nonce, batch.number),
            ..Commit::default()
        };
        let mut attempts = Vec::new();
        let state = self.lock();
        let claims = batch.claims.iter().map(|it| (it.attempt, 0));
        let final_writes = batch.final_writes.iter().map(|it| (it.attempt, it.rev));
        for (attempt, rev) in claims.chain(final_writes) {
            let Some(entry) = state.entries.get(&attempt) else {
                continue;
            };
            let value = if rev == 0 {
                serde_json::to_value(&entry.row).expect("a claim is serialisable")
            } else {
                entry.final_value.clone()
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

    /// Queues the claim of a request. The returned channel yields its verdict.
    fn add(
        &self,
        claim: Claim,
        name: String,
        row: ClaimRow,
    ) -> Result<oneshot::Receiver<Result<ClaimGuard, ClaimVerdict>>, AddOutcome> {
        let (sender, verdict) = oneshot::channel();
        let mut state = self.lock();
        match state.claims.add(claim) {
            AddOutcome::Queued => {}
            other => return Err(other),
        }
        let entry = Entry {
            hash: claim.hash,
            name,
            row,
            final_value: Value::Null,
            done: None,
        };
        state.entries.insert(claim.attempt, entry);
        state.waiting.insert(claim.attempt, sender);
        drop(state);
        self.added.notify_one();
        Ok(verdict)
    }

    /// Queues the final write of a claim whose row has the revision `rev`. Until it takes effect, a
    /// second send to another host is answered `outcome_unknown`. A deletion does not wait for
    /// other claims, because the request may soon be sent again.
    fn queue_final_write(&self, clock: &Clock, entry: Entry, rev: u64) {
        let now = clock.now();
        let attempt = entry.row.attempt;
        let final_write = FinalWrite {
            hash: entry.hash,
            attempt,
            rev,
            due: if entry.final_value.is_null() {
                now
            } else {
                now + OUTCOME_WAIT_MS
            },
            deadline: now + FINAL_WRITE_LIMIT_MS,
        };
        let mut state = self.lock();
        match state.claims.add_final_write(final_write) {
            AddOutcome::Queued => {
                state.entries.insert(attempt, entry);
            }
            AddOutcome::Duplicate | AddOutcome::Full | AddOutcome::Reused => {
                log::warn!(row = entry.name; "the final write of a claim cannot be queued and is dropped");
            }
        }
        drop(state);
        self.added.notify_one();
    }

    /// Passes the verdicts on to the requests that wait for them.
    fn send_verdicts(self: &Arc<Self>, clock: &Clock, verdicts: &[(u64, ClaimVerdict)]) {
        let mut answers = Vec::new();
        let mut state = self.lock();
        for &(attempt, verdict) in verdicts {
            let mut result = Err(verdict);
            match verdict {
                ClaimVerdict::Claimed { rev } => {
                    if let Some(entry) = state.entries.remove(&attempt) {
                        result = Ok(ClaimGuard::new(Arc::clone(self), *clock, entry, rev));
                    }
                }
                ClaimVerdict::Taken | ClaimVerdict::Unavailable | ClaimVerdict::Finished => {
                    state.entries.remove(&attempt);
                }
                ClaimVerdict::Unconfirmed => {}
                ClaimVerdict::Unresolved => {
                    // If too many lookups are queued, the rows stay until they expire.
                    if state.lookups.len() < MAX_OUTSTANDING_CLAIMS {
                        state.lookups.push_back(attempt);
                    } else {
                        state.entries.remove(&attempt);
                    }
                }
            }
            if let Some(waiting) = state.waiting.remove(&attempt) {
                answers.push((waiting, result));
            }
        }
        drop(state);
        for (waiting, result) in answers {
            // If the request was cancelled, the guard is dropped here, which locks the state.
            let _ = waiting.send(result);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("lock is not poisoned")
    }
}

/// Whether the row is the claim of this attempt, without an outcome.
fn is_own_claim(row: &Row, attempt: u64) -> bool {
    let stored = ClaimRow::deserialize(&row.value);
    stored.is_ok_and(|it| it.attempt == attempt && matches!(it.state, ClaimState::Claimed))
}

#[cfg(test)]
mod tests;
