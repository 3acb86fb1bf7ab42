//! Router for deployments whose platform stores the configuration and the list of targets.
//!
//! A request arrives at `entry`, which finds its route, service and target; `gateway` admits it to
//! the target and exchanges it with the target. In the background `control` keeps this host's state
//! up to date and, on one host, coordinates which target owns which keys. `state` holds the list of
//! targets, `peers` carries messages between hosts, and `observe` writes log lines and metrics. The
//! platform is accessed through [`Store`], [`TargetApi`] and [`ProtocolProfile`] only.

mod accept;
mod control;
mod entry;
#[cfg(test)]
mod fake;
mod gateway;
mod grace_period;
mod node;
mod observe;
mod operators;
mod peers;
mod ports;
mod run;
mod settings;
mod state;

pub use ports::{
    CommitOptions, CommitResult, GRANT_TIMEOUT, OwnRow, OwnRows, ProtocolProfile, Read, Record,
    RefusalStatus, Revision, Store, StoreError, TargetApi, Topic, Transaction, Update,
};
pub use run::{Ports, run};
pub use settings::{Settings, SettingsError};
pub use state::{TargetEntry, TargetState};
