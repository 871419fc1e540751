//! Settings of the core of a control replica, and what it publishes of itself.

use std::time::Duration;

use super::node_registry::NodeRegistryConfig;
use crate::wire::{Document, Replica};

/// Settings of the core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoreConfig {
    /// Lease on the configuration that nodes get.
    pub lease: Duration,
    /// Entries after which a snapshot is taken.
    pub snapshot_entries: usize,
    /// Timing of the registry.
    pub registry: NodeRegistryConfig,
    /// Longest wait for input, and so the resolution of all timers here.
    pub tick: Duration,
    /// What follows a failed write or sync.
    pub on_write_error: OnWriteError,
    /// Synced copies that a change of the document needs before it is taken.
    pub document_copies: usize,
}

/// What a replica does after a failed write or sync; it answers nothing in either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnWriteError {
    /// End the process.
    End,
    /// Write the whole folder anew until that succeeds.
    Rewrite,
}

/// What a replica tells the rest of its process after each change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Published {
    /// The document, as far as it is applied here.
    pub document: Document,
    /// Replicas of the newest membership.
    pub replicas: Vec<Replica>,
    /// Whether this replica leads.
    pub leads: bool,
    /// Whether a leader is known.
    pub in_touch: bool,
}

impl Default for CoreConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(3000),
            snapshot_entries: 20_000,
            registry: NodeRegistryConfig::default(),
            tick: Duration::from_millis(20),
            on_write_error: OnWriteError::End,
            document_copies: 1,
        }
    }
}
