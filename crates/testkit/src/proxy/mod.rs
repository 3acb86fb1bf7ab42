//! TCP proxy that injects faults on command.

mod relay;
mod rule;
mod server;

pub use rule::{Direction, Mode, Rule, Scope};
pub use server::{ProxyCounts, ProxyServer};
