//! The way of a request from its caller to a gateway and back.

mod ahead;
mod answer;
mod budgets;
mod connection;
mod deliver;
mod request;
mod server;
mod suspects;

pub use budgets::Budgets;
pub use request::{RoutedRequest, end_to_end};
pub use server::serve;
pub use suspects::Suspects;
