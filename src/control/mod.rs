//! The control role: the replicated log, configuration, membership, orders and claims.

pub mod burn_counts;
pub mod claims;
pub mod config_records;
pub mod core;
pub mod core_config;
pub mod follow;
pub mod founding;
pub mod hub;
pub mod joining;
pub mod log_file;
pub mod node_registry;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod placement;
pub mod relay;
pub mod reports;
pub mod run;
pub mod server;
pub mod service;
pub mod state;
pub mod store;
pub mod sync_queue;
