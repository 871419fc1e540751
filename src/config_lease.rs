//! The configuration in force on a node and the lease that allows it to take new work.

use std::sync::Arc;

use prost::Message;

use crate::config::FleetConfig;
use crate::ids::{Moment, Version};
use crate::wire::{ConfigChanges, SyncReply};

/// A change of the lease or the configuration that is worth a log event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The lease is held again.
    Gained,
    /// The lease ran out.
    Lost,
    /// A newer configuration is in force.
    Taken(Version),
    /// A record was not understood.
    Unreadable(String),
    /// A newer run of this node has taken over.
    Superseded,
}

/// State machine of one node's configuration lease.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::{config_lease::ConfigLease, wire::SyncReply};
///
/// let mut lease = ConfigLease::default();
/// let reply = SyncReply { lease_ms: 3000, ..SyncReply::default() };
/// lease.take(Duration::from_secs(1), &reply);
/// assert!(lease.is_held(Duration::from_millis(3999)));
/// assert!(!lease.is_held(Duration::from_millis(4000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConfigLease {
    config: Arc<FleetConfig>,
    until: Moment,
    held: bool,
    superseded: bool,
}

impl ConfigLease {
    /// The configuration in force.
    pub fn config(&self) -> &Arc<FleetConfig> {
        &self.config
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Version {
        self.config.version
    }

    /// Whether new work may be taken.
    pub fn is_held(&self, now: Moment) -> bool {
        now < self.until && !self.superseded
    }

    /// Time for which the lease is still held.
    pub fn remaining(&self, now: Moment) -> Moment {
        self.until.saturating_sub(now)
    }

    /// Whether a newer run of this node has taken over.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Takes an answer of a confirmed leader; the lease counts from the sending of the request.
    ///
    /// An answer that would step back in version is dropped together with its lease.
    pub fn take(&mut self, sent_at: Moment, reply: &SyncReply) -> Vec<LeaseEvent> {
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
                events.push(LeaseEvent::Unreadable("changes".into()));
                return events;
            };
            let unreadable = config.apply(version, reply.config_full, &changes.records);
            events.extend(unreadable.into_iter().map(LeaseEvent::Unreadable));
            events.push(LeaseEvent::Taken(version));
            self.config = Arc::new(config);
        }
        let until = sent_at + std::time::Duration::from_millis(reply.lease_ms);
        self.until = self.until.max(until);
        events
    }

    /// Notices that the lease was gained or lost.
    pub fn tick(&mut self, now: Moment) -> Option<LeaseEvent> {
        let held = self.is_held(now);
        if held == self.held {
            return None;
        }
        self.held = held;
        Some(if held { LeaseEvent::Gained } else { LeaseEvent::Lost })
    }
}
