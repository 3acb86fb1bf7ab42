//! The way of a request from its caller to a gateway and back.

mod answer;
mod deliver;
mod request;
mod server;

pub use request::{Call, end_to_end};
pub use server::{ACCEPT_PAUSE, serve};
