//! Receives requests of callers, sends them to gateways and returns the answers.

mod ahead;
mod answer;
mod budgets;
mod connection;
mod deliver;
mod request;
mod server;
mod suspects;

pub use budgets::RetryBudgets;
pub use request::{RoutedRequest, end_to_end};
pub use server::serve;
pub use suspects::Suspects;
