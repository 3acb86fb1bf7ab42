//! Admission of requests to one target: the bounded fair queue, retries, quarantine, health,
//! claims of idempotency keys and coalescing of equal requests.
//!
//! This crate does no I/O, reads no clock and generates no random numbers: time is passed in as
//! [`Millis`], random numbers as arguments, and actions are returned as values. Start at
//! [`Queue`]; `docs/admission.md` explains the choices.

mod backoff;
mod choice;
mod claim_ages;
mod claims;
mod coalescer;
mod health;
mod quarantine;
mod queue;
mod retry;
mod retry_budget;
mod warm_up;

pub use backoff::Backoff;
pub use choice::{Candidate, Preference, ReportedLoad, TargetPace};
pub use claim_ages::{ClaimAges, Mark};
pub use claims::{
    AddOutcome, Batch, BatchResult, Claim, ClaimBatcher, ClaimLimits, ClaimVerdict, ClaimVerdicts,
    FinalWrite,
};
pub use coalescer::{Coalescer, Join};
pub use health::{Health, HealthOutcome, HealthState, Probe};
pub use quarantine::{Quarantine, QuarantineRecord, QuarantineVerdict, fingerprint};
pub use queue::{
    Decision, Decisions, OfferResult, Queue, QueueLimits, QueueOrder, RequestEnd, Ticket,
};
pub use retry::{Attempt, Idempotency, RetryDecision, RetryScope, retry_decision};
pub use retry_budget::{RetryBudget, RetryVerdict};
pub use warm_up::{WarmUp, Warmth};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
