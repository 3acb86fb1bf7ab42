//! The router for deployments whose platform keeps the configuration and the list of targets.
//!
//! A request enters through `entry`, which finds its route, service and target; `gateway` admits
//! it to the target and carries it there. In the background `control` keeps this host's knowledge
//! up to date and, on one host, coordinates who owns which keys. `state` holds what all parts read,
//! and `observe` writes what operators see.
//! The platform is met through [`Store`], [`TargetApi`] and [`ProtocolProfile`] only.

mod accept;
mod control;
mod entry;
#[cfg(test)]
mod fake;
mod gateway;
mod node;
mod observe;
mod operators;
mod peers;
mod ports;
mod run;
mod settings;
mod state;

pub use ports::{
    Commit, OwnRow, OwnRows, ProtocolProfile, Read, Record, RefusalStatus, Store, StoreError,
    TargetApi, Topic, Transaction, Update,
};
pub use run::{Ports, run};
pub use settings::{Settings, SettingsError};
pub use state::{TargetEntry, TargetState};
