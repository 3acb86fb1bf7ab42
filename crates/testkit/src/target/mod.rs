//! The target stand-in (docs/design.md, section 7.2).

mod answer;
mod behaviour;
mod grants;
mod record;
mod running_request;
mod server;

pub use answer::{AnswerBody, answer_bytes, answer_hash};
pub use behaviour::{Behaviour, BehaviourChange, ReportedHealth};
pub use grants::{Grants, KeyFence};
pub use record::{Entry, Event, Outcome, Record, join_events, now_us};
pub use server::{TargetOptions, TargetServer};
