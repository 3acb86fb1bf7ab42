//! The way of a request from its caller to a gateway and back.

mod answer;
mod budgets;
mod deliver;
mod request;
mod server;
mod suspects;

pub use budgets::Budgets;
pub use request::end_to_end;
pub use server::{ACCEPT_PAUSE, serve};
pub use suspects::Suspects;
