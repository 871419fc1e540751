//! The control role: a replicated log and the state that it holds, which is the configuration, the
//! membership of replicas, orders to endpoints and claims of non-idempotent calls.

pub mod announcement_relay;
pub mod bootstrap;
pub mod burn_counts;
pub mod claims;
pub mod config_records;
pub mod confirmations;
pub mod core;
pub mod core_config;
mod departure_relay;
pub mod document_fetcher;
pub mod endpoint_file;
mod hint_file;
pub mod hub;
mod hub_subscribers;
pub mod joining;
pub mod log_file;
pub mod node_registry;
pub mod operators;
pub mod orders;
pub mod packing;
pub mod peers;
pub mod placement;
pub mod quarantine_file;
pub mod recent_documents;
pub mod relay;
mod replica_link;
pub mod reports;
pub mod run;
pub mod server;
pub mod service;
pub mod state;
pub mod store;
pub mod subscriber;
pub mod sync_queue;
pub mod zone_drains;
