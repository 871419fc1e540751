//! Settings of the core of a control replica, and the state that it publishes.

use std::time::Duration;

use super::node_registry::NodeRegistryConfig;
use crate::wire::{Document, Replica, ZoneDrains};

/// Settings of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreConfig {
    /// Duration of the configuration lease that a node gets with a sync.
    pub lease: Duration,
    /// Number of log entries after which a snapshot is taken.
    pub snapshot_entries: usize,
    /// Size of the log entries after which a snapshot is taken, in bytes.
    pub snapshot_log_bytes: usize,
    /// Timing of the node registry.
    pub registry: NodeRegistryConfig,
    /// Maximum wait for input, and so the resolution of all timers of the core.
    pub tick: Duration,
    /// Reaction to a failed write or sync of the data directory.
    pub on_write_error: OnWriteError,
    /// Minimum number of replicas that must have synced a document or the drain of a zone before it
    /// is accepted; while a quorum is smaller, both are refused.
    pub min_document_copies: usize,
}

/// Reaction of a replica to a failed write or sync; in either case it answers nothing until it has
/// been resolved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnWriteError {
    /// Exit the process.
    Exit,
    /// Rewrite the whole directory from memory until that succeeds.
    Rewrite,
}

/// State that a replica publishes to the rest of its process after each change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    /// Configuration document as applied by this replica.
    pub document: Document,
    /// Replicas of the newest membership.
    pub replicas: Vec<Replica>,
    /// Whether this replica is the leader.
    pub is_leader: bool,
    /// Whether this replica is the leader or knows one.
    pub has_leader: bool,
    /// Whether more may be committed than this replica has applied, see [`Raft::is_caught_up`].
    ///
    /// [`Raft::is_caught_up`]: crate::raft::Raft::is_caught_up
    pub lags: bool,
    /// Drained availability zones as applied by this replica.
    pub zone_drains: ZoneDrains,
}

impl Default for CoreConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3000),
            snapshot_entries: 20_000,
            snapshot_log_bytes: 16 * 1024 * 1024,
            registry: NodeRegistryConfig::default(),
            tick: Duration::from_millis(20),
            on_write_error: OnWriteError::Exit,
            min_document_copies: 1,
        }
    }
}
