//! The agent role: admission, memory, run-once, fencing and drain beside endpoints.

pub mod admission;
pub mod attempt;
pub mod attempt_runner;
pub mod dedup;
pub mod endpoint;
pub mod fencing;
pub mod ledger;
pub mod orders;
pub mod outcome_recorder;
pub mod prefill_meter;
pub mod reconcile;
pub mod role;
pub mod run;
pub mod server;
