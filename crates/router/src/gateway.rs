//! Admission of requests to targets, and the exchange with a target.
//!
//! Each target has one gateway: the host that knows how many requests the target runs and which
//! ones wait for it. Targets without keys of their own are served in pools, one for each service
//! and data centre. If two hosts both act as the gateway of a target for a moment, only accuracy
//! suffers: targets refuse requests for keys that they do not hold, and the pace of requests to cold
//! targets leaves room for a second gateway.

mod admission_queue;
mod admission_queues;
mod choice;
mod confirm;
mod exchange;
mod forward;
mod hop;
mod member;
mod pauses;
mod poison;
mod request;
mod retry_after;
mod serve;
mod standing;

pub use admission_queue::{QueueLoad, Rejection};
pub use admission_queues::AdmissionQueues;
pub use choice::gateway_of;
pub use exchange::{AttemptOutcome, LeavingTarget, run};
pub use forward::Forwarder;
pub use poison::PoisonRequests;
pub use request::{GatewayRequest, QueueId, WaitLimit};
pub use serve::bind;
pub use standing::checked_after_ms;
