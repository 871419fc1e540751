//! The control role: the replicated log, configuration, membership, orders and claims.

pub mod burn_counts;
pub mod claims;
pub mod config_records;
pub mod log_file;
pub mod orders;
pub mod state;
pub mod store;
