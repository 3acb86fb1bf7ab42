//! Group commit of claims of idempotency keys and of the final writes of their rows.

mod batch;

use std::collections::{HashMap, HashSet, VecDeque};

use smallvec::SmallVec;

pub use self::batch::{Batch, BatchResult, Claim, FinalWrite};
use crate::{Backoff, Millis};

/// Backoff before a batch whose result is unknown is sent again. The store can take several hundred
/// writes per second from all hosts together, so a slow store must not get more of them.
const RETRY_BACKOFF: Backoff = Backoff::new(50, 1_000);

/// Time for which the deletion of the claim of a refused request is retried.
const DELETION_TIMEOUT_MS: Millis = 60_000;

/// Number of times that a batch without claims is sent before its final writes go into a new batch.
const MAX_FINAL_WRITE_COPIES: u32 = 8;

/// Limits of a [`ClaimBatcher`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimLimits {
    /// Maximum number of claims, and likewise of final writes, in one commit.
    pub batch: usize,
    /// Minimum time between two new batches in milliseconds; claims that arrive in between share
    /// one.
    pub wait_ms: u64,
    /// Maximum number of claims, and likewise of final writes, that wait or are in the outstanding
    /// batch.
    pub outstanding: usize,
}

/// Result of [`ClaimBatcher::add`] and [`ClaimBatcher::add_final_write`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AddOutcome {
    /// The claim or final write waits for a batch; a verdict follows.
    Queued,
    /// A claim of the key by an equal request is pending (`outcome_unknown`), or another final
    /// write of the row is.
    Duplicate,
    /// A claim of the key by a different request is pending (`idempotency_key_reused`).
    Reused,
    /// The limit of [`ClaimLimits::outstanding`] is reached (`claim_unavailable`).
    Full,
}

/// Result of a claim, or the end of the writes of its row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimVerdict {
    /// The row was written; the request may be dispatched.
    Claimed {
        /// Revision of the row.
        rev: u64,
    },
    /// The key was claimed before.
    Taken,
    /// The claim was not written in time; the request is refused and never dispatched.
    Unavailable,
    /// The claim was not confirmed in time; the request is refused and never dispatched. The row
    /// may be in the store: [`Finished`](Self::Finished) or [`Unresolved`](Self::Unresolved)
    /// follows.
    Unconfirmed,
    /// The claim of a refused request may be in the store. If it is found there, it needs a final
    /// write.
    Unresolved,
    /// Nothing is left to write for the attempt, or its final write was abandoned.
    Finished,
}

/// Pairs of an attempt number and its verdict.
pub type ClaimVerdicts = SmallVec<[(u64, ClaimVerdict); 8]>;

#[derive(Clone, Debug)]
enum Stage {
    Sent,
    Retry { at: Millis },
}

#[derive(Clone, Debug)]
struct Outstanding {
    batch: Batch,
    stage: Stage,
    /// Number of times that the batch was sent.
    copies: u32,
}

/// Combines the claims of one host, and the final writes of earlier ones, into batches. At most one
/// batch is outstanding; new claims wait for the next one.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    limits: ClaimLimits,
    /// Fingerprint of each claim that waits or is outstanding, by hash.
    pending: HashMap<u64, u64>,
    waiting: VecDeque<Claim>,
    /// When the newest batch was created; `None` if the next one need not wait for
    /// [`ClaimLimits::wait_ms`].
    last_created: Option<Millis>,
    outstanding: Option<Outstanding>,
    /// Attempts of the outstanding batch that already have a verdict.
    settled: SmallVec<[u64; 8]>,
    /// Final writes that wait for a batch.
    final_writes: VecDeque<FinalWrite>,
    /// Hashes of all final writes; a claim of the same row waits until they are written.
    final_hashes: HashSet<u64>,
    /// Number of the next batch.
    next_number: u64,
}

impl ClaimBatcher {
    /// Creates a batcher without claims.
    #[must_use]
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            pending: HashMap::new(),
            waiting: VecDeque::new(),
            outstanding: None,
            settled: SmallVec::new(),
            final_writes: VecDeque::new(),
            final_hashes: HashSet::new(),
            last_created: None,
            next_number: 0,
        }
    }

    /// Queues a claim for a batch.
    pub fn add(&mut self, claim: Claim) -> AddOutcome {
        match self.pending.get(&claim.hash) {
            Some(&fp) if fp == claim.fingerprint => return AddOutcome::Duplicate,
            Some(_) => return AddOutcome::Reused,
            None => {}
        }
        if self.pending.len() >= self.limits.outstanding {
            return AddOutcome::Full;
        }
        self.pending.insert(claim.hash, claim.fingerprint);
        self.waiting.push_back(claim);
        AddOutcome::Queued
    }

    /// Queues the final write of a claim. [`ClaimVerdict::Finished`] follows if it is queued.
    pub fn add_final_write(&mut self, write: FinalWrite) -> AddOutcome {
        if self.final_hashes.len() >= self.limits.outstanding {
            return AddOutcome::Full;
        }
        if !self.final_hashes.insert(write.hash) {
            return AddOutcome::Duplicate;
        }
        self.final_writes.push_back(write);
        AddOutcome::Queued
    }

    /// The batch to commit now, if any. It is outstanding until [`on_result`](Self::on_result),
    /// which must be called for each copy that is sent, with [`BatchResult::Unknown`] after a
    /// time-out.
    pub fn next_batch(&mut self, now: Millis) -> Option<Batch> {
        if let Some(outstanding) = &mut self.outstanding {
            let Stage::Retry { at } = outstanding.stage else {
                return None;
            };
            if now < at {
                return None;
            }
            outstanding.stage = Stage::Sent;
            outstanding.copies += 1;
            return Some(outstanding.batch.clone());
        }
        if self.next_batch_due().is_none_or(|it| now < it) {
            return None;
        }
        self.last_created = Some(now);
        let limit = self.limits.batch.max(1);
        let mut claims = SmallVec::new();
        let mut rest = VecDeque::new();
        for claim in self.waiting.drain(..) {
            if claims.len() < limit && !self.final_hashes.contains(&claim.hash) {
                claims.push(claim);
            } else {
                rest.push_back(claim);
            }
        }
        self.waiting = rest;
        let count = self.final_writes.len().min(limit);
        let final_writes = self.final_writes.drain(..count).collect();
        let batch = Batch {
            number: self.next_number,
            claims,
            final_writes,
        };
        self.next_number += 1;
        self.outstanding = Some(Outstanding {
            batch: batch.clone(),
            stage: Stage::Sent,
            copies: 1,
        });
        Some(batch)
    }

    /// When to create a new batch, if none is outstanding. A final write shares the batch of the
    /// next claim, or gets its own batch when it is due.
    fn next_batch_due(&self) -> Option<Millis> {
        let limit = self.limits.batch;
        if self.waiting.len() >= limit || self.final_writes.len() >= limit {
            return Some(0);
        }
        let claim = self.waiting.front().map(|_| 0);
        let write = self.final_writes.iter().map(|it| it.due).min();
        let at = claim.into_iter().chain(write).min()?;
        Some(at.max(self.earliest_batch()))
    }

    /// The earliest time of the next batch. A claim that arrives after a longer pause does not
    /// wait.
    fn earliest_batch(&self) -> Millis {
        self.last_created.map_or(0, |it| it + self.limits.wait_ms)
    }

    /// When to call [`next_batch`](Self::next_batch) and [`expire`](Self::expire) next, or `None`
    /// if nothing waits for a time.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        let batch = match &self.outstanding {
            Some(it) => match it.stage {
                Stage::Sent => None,
                Stage::Retry { at } => Some(at),
            },
            None => self.next_batch_due(),
        };
        let waiting = self.waiting.iter().map(|it| it.deadline);
        let sent = self.unsettled().map(|it| it.deadline);
        waiting.chain(sent).chain(batch).min()
    }

    /// Handles the result of the outstanding batch and returns the verdicts that follow from it.
    pub fn on_result(&mut self, now: Millis, result: BatchResult) -> ClaimVerdicts {
        let mut verdicts = self.expire(now);
        let Some(mut outstanding) = self.outstanding.take() else {
            return verdicts;
        };
        let (lost, own) = match result {
            BatchResult::Applied { rev } => {
                let claims = outstanding.batch.claims.iter();
                (
                    SmallVec::new(),
                    claims.map(|it| (it.attempt, rev)).collect(),
                )
            }
            BatchResult::Conflict { lost, own } if outstanding.concerns(&lost, &own) => (lost, own),
            BatchResult::Conflict { .. } => {
                // The store refused the batch for another reason, such as its size.
                for it in std::mem::take(&mut outstanding.batch.final_writes) {
                    self.finish_write(&it, &mut verdicts);
                }
                self.retry_or_abandon(now, outstanding, &mut verdicts);
                return verdicts;
            }
            BatchResult::Unknown => {
                self.retry_or_abandon(now, outstanding, &mut verdicts);
                return verdicts;
            }
        };
        let applied = lost.is_empty() && own.len() == outstanding.batch.claims.len();
        for &claim in outstanding.batch.claims.iter().rev() {
            let settled = self.settled.contains(&claim.attempt);
            let rev = own.iter().find(|it| it.0 == claim.attempt).map(|it| it.1);
            let verdict = match rev {
                Some(rev) if settled => {
                    self.pending.remove(&claim.hash);
                    self.queue_deletion(now, claim, rev, &mut verdicts);
                    continue;
                }
                Some(rev) => ClaimVerdict::Claimed { rev },
                None if settled => ClaimVerdict::Finished,
                None if lost.contains(&claim.attempt) => ClaimVerdict::Taken,
                None => {
                    // Not part of the conflict: goes first in the next batch, which is due at once.
                    self.waiting.push_front(claim);
                    self.last_created = None;
                    continue;
                }
            };
            self.pending.remove(&claim.hash);
            verdicts.push((claim.attempt, verdict));
        }
        for &(mut write) in outstanding.batch.final_writes.iter().rev() {
            if applied || lost.contains(&write.attempt) {
                self.finish_write(&write, &mut verdicts);
                continue;
            }
            write.due = now;
            self.final_writes.push_front(write);
            self.last_created = None;
        }
        self.settled.clear();
        verdicts
    }

    /// Schedules another send of the outstanding batch, or abandons the batch if no request waits
    /// for it.
    fn retry_or_abandon(
        &mut self,
        now: Millis,
        mut outstanding: Outstanding,
        verdicts: &mut ClaimVerdicts,
    ) {
        let batch = &outstanding.batch;
        let is_settled = self.settled.len() == batch.claims.len();
        if is_settled && (!batch.claims.is_empty() || outstanding.copies >= MAX_FINAL_WRITE_COPIES)
        {
            self.abandon(now, &outstanding.batch, verdicts);
            return;
        }
        let at = now + RETRY_BACKOFF.max_delay_ms(outstanding.copies - 1);
        outstanding.stage = Stage::Retry { at };
        self.outstanding = Some(outstanding);
    }

    /// Returns the verdicts on the claims whose deadline has passed. A claim that was sent stays in
    /// its batch, so that all copies of the batch are identical, but its request is refused,
    /// whatever the result. A batch that is to be sent again is abandoned when no request waits for
    /// it any more.
    pub fn expire(&mut self, now: Millis) -> ClaimVerdicts {
        let mut verdicts = ClaimVerdicts::new();
        let pending = &mut self.pending;
        self.waiting.retain(|claim| {
            let is_expired = claim.deadline <= now;
            if is_expired {
                pending.remove(&claim.hash);
                verdicts.push((claim.attempt, ClaimVerdict::Unavailable));
            }
            !is_expired
        });
        let late: SmallVec<[u64; 8]> = self
            .unsettled()
            .filter(|it| it.deadline <= now)
            .map(|it| it.attempt)
            .collect();
        for attempt in late {
            self.settled.push(attempt);
            verdicts.push((attempt, ClaimVerdict::Unconfirmed));
        }
        let abandoned = self.outstanding.take_if(|it| {
            let count = it.batch.claims.len();
            matches!(it.stage, Stage::Retry { .. }) && count > 0 && self.settled.len() == count
        });
        if let Some(outstanding) = abandoned {
            self.abandon(now, &outstanding.batch, &mut verdicts);
        }
        verdicts
    }

    /// Number of claims that wait or are in the outstanding batch.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of final writes that are not written or abandoned yet.
    #[must_use]
    pub fn final_writes(&self) -> usize {
        self.final_hashes.len()
    }

    fn unsettled(&self) -> impl Iterator<Item = &Claim> {
        let claims = self.outstanding.iter().flat_map(|it| &it.batch.claims);
        claims.filter(|it| !self.settled.contains(&it.attempt))
    }

    /// Abandons a batch that may have been written.
    fn abandon(&mut self, now: Millis, batch: &Batch, verdicts: &mut ClaimVerdicts) {
        for claim in &batch.claims {
            self.pending.remove(&claim.hash);
            verdicts.push((claim.attempt, ClaimVerdict::Unresolved));
        }
        for write in batch.final_writes.iter().rev() {
            if write.deadline <= now {
                self.finish_write(write, verdicts);
            } else {
                self.final_writes.push_front(*write);
            }
        }
        self.settled.clear();
    }

    /// Queues the deletion of a claim that was written after its request was refused.
    fn queue_deletion(
        &mut self,
        now: Millis,
        claim: Claim,
        rev: u64,
        verdicts: &mut ClaimVerdicts,
    ) {
        let write = FinalWrite {
            hash: claim.hash,
            attempt: claim.attempt,
            rev,
            due: now,
            deadline: now + DELETION_TIMEOUT_MS,
        };
        if self.add_final_write(write) != AddOutcome::Queued {
            verdicts.push((claim.attempt, ClaimVerdict::Finished));
        }
    }

    fn finish_write(&mut self, write: &FinalWrite, verdicts: &mut ClaimVerdicts) {
        self.final_hashes.remove(&write.hash);
        verdicts.push((write.attempt, ClaimVerdict::Finished));
    }
}

impl Outstanding {
    /// Whether a conflict concerns a claim or final write of the batch.
    fn concerns(&self, lost: &[u64], own: &[(u64, u64)]) -> bool {
        let claims = self.batch.claims.iter().map(|it| it.attempt);
        let final_writes = self.batch.final_writes.iter().map(|it| it.attempt);
        claims
            .chain(final_writes)
            .any(|it| lost.contains(&it) || own.iter().any(|own| own.0 == it))
    }
}

#[cfg(test)]
mod tests;
