//! The entry role: the client API, request filters, routing, attempts and streaming.

pub mod assembly;
pub mod attempt;
pub mod breaker;
pub mod burn_meter;
pub mod client_api;
pub mod driver;
pub mod failure;
pub mod filter;
pub mod fleet_view;
pub mod group_attempt;
pub mod idempotency;
pub mod limits;
pub mod link_pool;
pub mod openai;
pub mod prefix;
pub mod request;
pub mod retry;
pub mod router;
pub mod run;
pub mod service_calls;
