//! Decides on which engines a request runs, whether it waits, or whether it is refused.
//!
//! The load of the engines, their performance model and the request come in; a [`Decision`] comes out.

pub mod admission;
pub mod decision;
pub mod demand;
pub mod engine_model;
pub mod engine_sample;
pub mod engine_source;
pub mod engine_state;
pub mod fleet_sample;
pub mod plan_search;
pub mod policy;
pub mod queue;
pub mod queue_order;
pub mod service_shares;
pub mod value;

pub use decision::{
    Decision, Helper, OrderContext, PlacementRequest, Plan, RefusalCause, decide, decide_among,
    short_engine_count,
};
