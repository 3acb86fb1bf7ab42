//! Tests of the whole ownership protocol: the real state machines in a small simulated cluster.

mod cluster;
mod driver;
mod event;
mod host;
mod scenarios;
mod search;
mod store;
mod walk;
