//! The agent role: runs next to endpoints and controls what reaches them.
//!
//! An agent admits attempts according to the engine's KV memory, starts each at most once, fences
//! control's orders and drains before it stops.

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
