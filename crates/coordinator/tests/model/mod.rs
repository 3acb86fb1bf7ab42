//! The parts of the random search in `safety.rs`.

pub mod event;
pub mod target;
