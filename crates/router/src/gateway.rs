//! Admission of requests to targets, and the exchange with a target.
//!
//! Each target has one gateway: the host that knows how many requests it runs and which ones wait
//! for it. Targets without keys of their own are served in pools, one for each service and data
//! centre. A gateway that two hosts believe to be theirs for a moment costs only accuracy: targets
//! refuse requests for keys that they do not hold.

mod exchange;
mod forward;
mod gate;
mod gates;
mod hop;
mod member;
mod poison;
mod serve;
mod task;

pub use exchange::{Outcome, run};
pub use forward::Forwarder;
pub use gate::QueueLoad;
pub use gates::AdmissionQueues;
pub use poison::PoisonRequests;
pub use serve::bind;
pub use task::{QueueId, Task, WaitLimit};
