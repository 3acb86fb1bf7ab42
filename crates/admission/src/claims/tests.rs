use std::collections::HashSet;

use proptest::prelude::*;
use smallvec::smallvec;

use super::*;

const LIMITS: ClaimLimits = ClaimLimits {
    batch: 3,
    wait_ms: 5,
    outstanding: 6,
};

fn claim(hash: u64) -> Claim {
    Claim {
        hash,
        attempt: hash + 100,
        fingerprint: hash,
        deadline: 1_000,
    }
}

fn batcher(hashes: &[u64]) -> ClaimBatcher {
    let mut batcher = ClaimBatcher::new(LIMITS);
    for &hash in hashes {
        assert_eq!(batcher.add(claim(hash)), AddOutcome::Queued);
    }
    batcher
}

fn hashes(batch: Option<&Batch>) -> Vec<u64> {
    let claims = batch.iter().flat_map(|it| &it.claims);
    claims.map(|it| it.hash).collect()
}

/// The final write of `claim(hash)`, which was written at revision 5.
fn final_write(hash: u64) -> FinalWrite {
    FinalWrite {
        hash,
        attempt: hash + 100,
        rev: 5,
        due: 30,
        deadline: 1_000,
    }
}

fn final_hashes(batch: Option<&Batch>) -> Vec<u64> {
    let writes = batch.iter().flat_map(|it| &it.final_writes);
    writes.map(|it| it.hash).collect()
}

const APPLIED: BatchResult = BatchResult::Applied { rev: 5 };
const CLAIMED: ClaimVerdict = ClaimVerdict::Claimed { rev: 5 };

/// Guards against commits that are too frequent (closer together than the limit) or too large,
/// against a claim that waits although the store is idle, and against a second batch while one is
/// outstanding.
#[test]
fn batches_fill_while_one_is_outstanding() {
    let mut batcher = batcher(&[9]);
    assert_eq!(
        hashes(batcher.next_batch(0).as_ref()),
        [9],
        "no recent batch"
    );
    batcher.on_result(0, APPLIED);
    assert_eq!(batcher.add(claim(1)), AddOutcome::Queued);
    assert_eq!(batcher.next_batch(4), None);
    assert_eq!(batcher.next_due(), Some(5));
    assert_eq!(hashes(batcher.next_batch(5).as_ref()), [1]);
    for hash in 2..=5 {
        batcher.add(claim(hash));
    }
    assert_eq!(batcher.next_batch(50), None, "one is outstanding");
    let verdicts = batcher.on_result(50, APPLIED);
    assert_eq!(verdicts[..], [(101, CLAIMED)]);
    assert_eq!(hashes(batcher.next_batch(50).as_ref()), [2, 3, 4], "full");
}

/// Guards against a second claim of a key while the first is pending, and against an unbounded
/// number of claims.
#[test]
fn equal_hashes_and_bounds() {
    let mut batcher = batcher(&[1, 2, 3, 4, 5, 6]);
    assert_eq!(batcher.add(claim(1)), AddOutcome::Duplicate);
    let other = Claim {
        fingerprint: 9,
        ..claim(1)
    };
    assert_eq!(batcher.add(other), AddOutcome::Reused);
    assert_eq!(batcher.add(claim(7)), AddOutcome::Full);
    batcher.next_batch(0);
    assert_eq!(batcher.add(claim(1)), AddOutcome::Duplicate, "outstanding");
    batcher.on_result(0, APPLIED);
    assert_eq!(
        batcher.add(claim(1)),
        AddOutcome::Queued,
        "the store decides"
    );
}

/// Guards against a lost answer after which a different batch is sent, a request is dispatched
/// without a claim, or a request waits beyond its deadline.
#[test]
fn unknown_results_repeat_the_identical_batch() {
    let mut batcher = batcher(&[1, 2]);
    batcher.add(Claim {
        deadline: 100,
        ..claim(3)
    });
    let first = batcher.next_batch(0).expect("the batch is full");
    assert!(batcher.on_result(20, BatchResult::Unknown).is_empty());
    assert_eq!(batcher.next_batch(69), None, "backoff of 50 ms");
    assert_eq!(batcher.next_batch(70).as_ref(), Some(&first));
    let verdicts = batcher.on_result(120, BatchResult::Unknown);
    assert_eq!(verdicts[..], [(103, ClaimVerdict::Unconfirmed)]);
    assert_eq!(batcher.next_batch(220).as_ref(), Some(&first), "identical");
    let verdicts = batcher.on_result(230, APPLIED);
    let claimed = CLAIMED;
    assert_eq!(verdicts.len(), 2, "the unconfirmed claim is deleted");
    assert!(verdicts.contains(&(101, claimed)) && verdicts.contains(&(102, claimed)));
    assert_eq!(batcher.pending(), 0);
    assert_eq!(final_hashes(batcher.next_batch(300).as_ref()), [3]);
}

/// Guards against a batch that is sent again although no request waits for it, a dispatch after a
/// claim that was confirmed after its deadline, and a row that prevents a refused caller from
/// trying again.
#[test]
fn deadlines_end_claims() {
    let mut batcher = batcher(&[1, 2, 3, 4]);
    batcher.next_batch(0);
    assert_eq!(batcher.expire(999).len(), 0);
    let verdicts = batcher.expire(1_000);
    let late = ClaimVerdict::Unconfirmed;
    let unsent = ClaimVerdict::Unavailable;
    let expected = [(104, unsent), (101, late), (102, late), (103, late)];
    assert_eq!(verdicts[..], expected);
    assert!(batcher.on_result(1_001, APPLIED).is_empty());
    assert_eq!(batcher.pending(), 0);
    let deletions = batcher.next_batch(1_006);
    assert_eq!(
        final_hashes(deletions.as_ref()),
        [3, 2, 1],
        "the written claims are deleted"
    );
    assert_eq!(batcher.on_result(1_010, APPLIED).len(), 3);
    assert_eq!((batcher.final_writes(), batcher.next_due()), (0, None));

    batcher.add(Claim {
        deadline: 1_100,
        ..claim(1)
    });
    batcher.next_batch(1_046);
    batcher.on_result(1_050, BatchResult::Unknown);
    assert_eq!(batcher.next_due(), Some(1_100));
    let unresolved = [(101, late), (101, ClaimVerdict::Unresolved)];
    assert_eq!(
        batcher.expire(1_100)[..],
        unresolved,
        "may have been written"
    );
    assert_eq!((batcher.next_batch(2_000), batcher.pending()), (None, 0));
}

/// Guards against a final write that does not share the commit of a claim that arrives in time, or
/// that waits forever; and against a claim of the same key that conflicts with it because both are
/// in one batch, or that waits for it forever.
#[test]
fn final_writes_share_the_commits_of_claims() {
    let mut batcher = batcher(&[]);
    assert_eq!(batcher.add_final_write(final_write(1)), AddOutcome::Queued);
    assert_eq!(
        batcher.add_final_write(final_write(1)),
        AddOutcome::Duplicate
    );
    assert_eq!(
        (batcher.next_batch(29), batcher.next_due()),
        (None, Some(30))
    );
    batcher.add(claim(2));
    let batch = batcher.next_batch(1);
    let both = |it: Option<&Batch>| (hashes(it), final_hashes(it));
    assert_eq!(both(batch.as_ref()), (vec![2], vec![1]));
    let verdicts = batcher.on_result(2, APPLIED);
    assert_eq!(
        verdicts[..],
        [(102, CLAIMED), (101, ClaimVerdict::Finished)]
    );

    batcher.add_final_write(FinalWrite {
        due: 40,
        ..final_write(3)
    });
    assert_eq!(
        final_hashes(batcher.next_batch(40).as_ref()),
        [3],
        "own batch when it is due"
    );
    batcher.add(claim(3));
    batcher.on_result(41, APPLIED);
    assert_eq!(
        both(batcher.next_batch(45).as_ref()),
        (vec![3], vec![]),
        "after the final write"
    );
    batcher.on_result(46, APPLIED);

    batcher.add_final_write(FinalWrite {
        due: 80,
        ..final_write(4)
    });
    batcher.add(claim(4));
    let batch = batcher.next_batch(51);
    assert_eq!(
        both(batch.as_ref()),
        (vec![], vec![4]),
        "the claim is not in the same batch"
    );
}

/// Guards against a missing or changed row, or a batch that the store refuses, that prevents other
/// claims, outcomes and deletions from being written.
#[test]
fn failed_final_writes_block_nothing() {
    let mut batcher = batcher(&[1]);
    for hash in [2, 3] {
        batcher.add_final_write(final_write(hash));
    }
    batcher.next_batch(0);
    let conflict = BatchResult::Conflict {
        lost: smallvec![102],
        own: smallvec![],
    };
    let finished = ClaimVerdict::Finished;
    assert_eq!(batcher.on_result(2, conflict)[..], [(102, finished)]);
    let next = batcher.next_batch(2);
    assert_eq!(
        (hashes(next.as_ref()), final_hashes(next.as_ref())),
        (vec![1], vec![3])
    );
    let refused = BatchResult::Conflict {
        lost: smallvec![],
        own: smallvec![],
    };
    assert_eq!(batcher.on_result(3, refused)[..], [(103, finished)]);
    assert_eq!(
        hashes(batcher.next_batch(53).as_ref()),
        [1],
        "without the final writes"
    );
    batcher.on_result(60, APPLIED);

    // The store is unavailable: a batch without claims is retried until the deadline.
    batcher.add_final_write(final_write(4));
    let mut tries = 0;
    let mut now = 100;
    while batcher.final_writes() > 0 {
        now = batcher
            .next_due()
            .expect("a final write is retried")
            .max(now);
        assert!(now < 10_000, "the final write is not abandoned");
        if batcher.next_batch(now).is_some() {
            tries += 1;
            batcher.on_result(now, BatchResult::Unknown);
        }
    }
    assert!((2..20).contains(&tries), "{tries} tries");
}

/// Guards against one used key that prevents the other claims of its batch from being written.
#[test]
fn conflicts_split_the_batch() {
    let mut batcher = batcher(&[1, 2, 3, 4]);
    batcher.next_batch(0);
    let conflict = BatchResult::Conflict {
        lost: smallvec![102],
        own: smallvec![],
    };
    let verdicts = batcher.on_result(2, conflict);
    assert_eq!(verdicts[..], [(102, ClaimVerdict::Taken)]);
    let next = batcher.next_batch(2);
    assert_eq!(
        hashes(next.as_ref()),
        [1, 3, 4],
        "without delay and in order"
    );
    let conflict = BatchResult::Conflict {
        lost: smallvec![99],
        own: smallvec![],
    };
    assert!(batcher.on_result(3, conflict).is_empty());
    assert_eq!(
        batcher.next_batch(1_000 - 1),
        next,
        "a conflict about other attempts is retried"
    );
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Add {
        hash: u64,
        budget_ms: u64,
    },
    Commit {
        answer: Answer,
    },
    AddFinal {
        number: usize,
    },
    /// The newest delayed copy of a batch arrives at the store.
    ArriveDelayed,
    Expire,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Received,
    Lost,
    /// There is no answer, because the batch itself is delayed.
    BatchDelayed,
}

fn op() -> impl Strategy<Value = Op> {
    let answer = prop_oneof![
        3 => Just(Answer::Received),
        1 => Just(Answer::Lost),
        1 => Just(Answer::BatchDelayed),
    ];
    prop_oneof![
        4 => (0..12_u64, 1..400_u64).prop_map(|(hash, budget_ms)| Op::Add { hash, budget_ms }),
        3 => answer.prop_map(|answer| Op::Commit { answer }),
        2 => (0..4_usize).prop_map(|number| Op::AddFinal { number }),
        1 => Just(Op::ArriveDelayed),
        1 => Just(Op::Expire),
    ]
}

/// A model of the store with claim rows: attempt and revision by hash. It can apply a delayed copy
/// of an earlier batch at any time.
#[derive(Default)]
struct Store {
    rows: std::collections::HashMap<u64, (u64, u64)>,
    rev: u64,
    delayed: Vec<Batch>,
}

impl Store {
    fn commit(&mut self, batch: &Batch) -> BatchResult {
        let mut lost = SmallVec::new();
        let mut own = SmallVec::new();
        for claim in &batch.claims {
            match self.rows.get(&claim.hash) {
                Some(&(attempt, rev)) if attempt == claim.attempt => own.push((attempt, rev)),
                Some(_) => lost.push(claim.attempt),
                None => {}
            }
        }
        for it in &batch.final_writes {
            if self.rows.get(&it.hash) != Some(&(it.attempt, it.rev)) {
                lost.push(it.attempt);
            }
        }
        if !lost.is_empty() || !own.is_empty() {
            return BatchResult::Conflict { lost, own };
        }
        self.rev += 1;
        for claim in &batch.claims {
            self.rows.insert(claim.hash, (claim.attempt, self.rev));
        }
        for it in &batch.final_writes {
            self.rows.remove(&it.hash);
        }
        BatchResult::Applied { rev: self.rev }
    }
}

#[derive(Default)]
struct Verification {
    /// Attempts whose requests may run, by hash.
    claimed: std::collections::HashMap<u64, u64>,
    decided: HashSet<u64>,
}

impl Verification {
    fn record(&mut self, store: &Store, verdicts: ClaimVerdicts) {
        for (attempt, verdict) in verdicts {
            if matches!(verdict, ClaimVerdict::Finished | ClaimVerdict::Unresolved) {
                continue;
            }
            assert!(self.decided.insert(attempt), "one verdict for each attempt");
            let ClaimVerdict::Claimed { rev } = verdict else {
                continue;
            };
            let row = store.rows.iter().find(|it| *it.1 == (attempt, rev));
            let (&hash, _) = row.expect("a claimed row is in the store");
            let earlier = self.claimed.insert(hash, attempt);
            assert_eq!(earlier, None, "a hash is claimed by one attempt at a time");
        }
    }
}

proptest! {
    /// Guards against a key that is claimed twice after any combination of lost answers, lost and
    /// delayed requests, deletions, conflicts and deadlines, and against claims without a verdict.
    #[test]
    fn a_hash_is_claimed_at_most_once(ops in prop::collection::vec((0..60_u64, op()), 1..150)) {
        let mut batcher = ClaimBatcher::new(LIMITS);
        let mut store = Store::default();
        let mut verification = Verification::default();
        let mut now = 0;
        let mut queued = 0;
        for (attempt, (step, op)) in (1_000..).zip(ops) {
            now += step;
            match op {
                Op::Add { hash, budget_ms } => {
                    let claim = Claim { hash, attempt, fingerprint: hash, deadline: now + budget_ms };
                    queued += usize::from(batcher.add(claim) == AddOutcome::Queued);
                }
                Op::Commit { answer } => {
                    let Some(batch) = batcher.next_batch(now) else { continue };
                    let result = match answer {
                        Answer::Received => store.commit(&batch),
                        Answer::Lost => {
                            store.commit(&batch);
                            BatchResult::Unknown
                        }
                        Answer::BatchDelayed => {
                            store.delayed.push(batch);
                            BatchResult::Unknown
                        }
                    };
                    let verdicts = batcher.on_result(now + 1, result);
                    verification.record(&store, verdicts);
                }
                Op::AddFinal { number } => {
                    let mut claimed = verification.claimed.iter().map(|it| (*it.0, *it.1));
                    let Some((hash, attempt)) = claimed.nth(number) else { continue };
                    let rev = store.rows[&hash].1;
                    let write = FinalWrite { hash, attempt, rev, due: now + 30, deadline: now + 500 };
                    if batcher.add_final_write(write) == AddOutcome::Queued {
                        verification.claimed.remove(&hash);
                    }
                }
                Op::ArriveDelayed => {
                    if let Some(batch) = store.delayed.pop() {
                        store.commit(&batch);
                    }
                }
                Op::Expire => {
                    let verdicts = batcher.expire(now);
                    verification.record(&store, verdicts);
                }
            }
        }
        let verdicts = batcher.expire(now + 1_000);
        verification.record(&store, verdicts);
        prop_assert_eq!(verification.decided.len(), queued);
        prop_assert_eq!(batcher.pending(), 0);
    }
}
