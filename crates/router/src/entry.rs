//! Receives requests of callers, sends them to gateways and returns the answers.

mod answer;
mod connection;
mod deliver;
mod places;
mod read_ahead;
mod request;
mod retry_budgets;
mod server;
mod suspects;
mod waits;

pub use request::{MAX_BODY_BYTES, RoutedRequest, end_to_end};
pub use retry_budgets::RetryBudgets;
pub use server::serve;
pub use suspects::Suspects;
pub use waits::Waits;
