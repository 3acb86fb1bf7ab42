//! Runs of the planner and the baselines on generated load, and their measures.
//!
//! Shared by the benchmark and the test that asserts the stated bounds. Everything is a plain
//! function call on generated load with fixed seeds; time advances by seconds.

pub mod baselines;
pub mod bounds;
pub mod cluster;
pub mod method;
pub mod planned_slices;
pub mod report;
pub mod run;
pub mod table;
pub mod timing;
