//! The configuration that a node has applied, and the lease that allows the node to accept new
//! requests with it.

use std::sync::Arc;

use prost::Message;

use crate::config::FleetConfig;
use crate::ids::{Moment, Version};
use crate::wire::{ConfigChanges, SyncReply};

/// A change of the lease or the configuration, which the caller logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The lease is held, after it was not.
    Gained,
    /// The lease expired without a renewal.
    Lost,
    /// The configuration of this version was applied.
    ConfigApplied(Version),
    /// The record with this key could not be decoded.
    RecordUnreadable(String),
    /// A run of this node with a higher incarnation has registered with control.
    Superseded,
}

/// State machine of one node's configuration and lease; the caller passes in the time.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::{config_lease::ConfigLease, wire::SyncReply};
///
/// let mut lease = ConfigLease::default();
/// let reply = SyncReply { lease_ms: 3000, ..SyncReply::default() };
/// lease.apply_reply(Duration::from_secs(1), &reply);
/// assert!(lease.is_held(Duration::from_millis(3999)));
/// assert!(!lease.is_held(Duration::from_millis(4000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigLease {
    config: Arc<FleetConfig>,
    expires_at: Moment,
    was_held: bool,
    superseded: bool,
}

impl ConfigLease {
    /// The configuration that was applied last.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Version of the configuration that was applied last; it never decreases.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Whether the lease is held at `now`, so that new requests may be accepted.
    pub fn is_held(&self, now: Moment) -> bool {
        now < self.expires_at && !self.superseded
    }

    /// Time until the lease expires; zero after that.
    pub fn remaining(&self, now: Moment) -> Moment {
        self.expires_at.saturating_sub(now)
    }

    /// Whether a run of this node with a higher incarnation has registered; this one then never
    /// holds a lease again.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Applies a reply of a leader that a quorum has confirmed. The lease runs from `sent_at`, the
    /// time at which the request was sent, so that a slow reply does not extend it.
    ///
    /// A reply with an older configuration version is ignored together with its lease: it comes
    /// from before a change that this node has already applied.
    pub fn apply_reply(&mut self, sent_at: Moment, reply: &SyncReply) -> Vec<LeaseEvent> {
        let mut events = Vec::new();
        if reply.superseded {
            if !self.superseded {
                events.push(LeaseEvent::Superseded);
            }
            self.superseded = true;
            return events;
        }
        if reply.config_version < self.version() {
            return events;
        }
        if reply.config_version > self.version() {
            let mut config = FleetConfig::clone(&self.config);
            let version = reply.config_version;
            let Ok(changes) = ConfigChanges::decode(reply.changes.clone()) else {
                events.push(LeaseEvent::RecordUnreadable("changes".into()));
                return events;
            };
            let unreadable = config.apply(version, reply.config_full, &changes.records);
            events.extend(unreadable.into_iter().map(LeaseEvent::RecordUnreadable));
            events.push(LeaseEvent::ConfigApplied(version));
            self.config = Arc::new(config);
        }
        let expires_at = sent_at + std::time::Duration::from_millis(reply.lease_ms);
        self.expires_at = self.expires_at.max(expires_at);
        events
    }

    /// Compares the lease with the previous call and returns whether it was gained or lost.
    pub fn tick(&mut self, now: Moment) -> Option<LeaseEvent> {
        let held = self.is_held(now);
        if held == self.was_held {
            return None;
        }
        self.was_held = held;
        Some(if held { LeaseEvent::Gained } else { LeaseEvent::Lost })
    }
}
