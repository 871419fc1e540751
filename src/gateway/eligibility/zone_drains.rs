//! Availability zones that operators drain: nothing is sent to their endpoints.
//!
//! Control replicas report all drained zones with a revision; of several reports the one with the
//! highest revision is in force, and an earlier one never replaces it.

use std::collections::{BTreeSet, HashMap};

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::endpoints::Endpoint;
use super::{Eligibility, EligibilityRule, SendContext};
use crate::ids::{Moment, Version, ZoneName};
use crate::wire;

/// Beginning or end of a zone's drain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ZoneDrainChange {
    /// The zone is drained.
    Started(ZoneName),
    /// The zone is in service again.
    Ended(ZoneName),
}

/// Drained zones as this process knows them.
///
/// ```
/// use std::time::Duration;
/// use bitternlead::gateway::eligibility::zone_drains::ZoneDrains;
/// use bitternlead::wire;
///
/// let mut drains = ZoneDrains::default();
/// let (first, second) = (Duration::from_secs(1), Duration::from_secs(9));
/// drains.apply(first, &wire::ZoneDrains { revision: 4, zones: vec!["north".into()] });
/// assert!(drains.is_drained("north"));
/// drains.apply(second, &wire::ZoneDrains { revision: 5, zones: vec![] });
/// assert!(!drains.is_drained("north"));
/// assert_eq!(drains.ended_at("north"), Some(second));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneDrains {
    revision: Version,
    zones: BTreeSet<ZoneName>,
    /// When the last drain of a zone ended, for zones that are in service.
    ended: HashMap<ZoneName, Moment>,
}

impl ZoneDrains {
    /// Applies what a replica reported; a report whose revision is not higher changes nothing.
    pub fn apply(&mut self, now: Moment, update: &wire::ZoneDrains) -> Vec<ZoneDrainChange> {
        if update.revision <= self.revision {
            return Vec::new();
        }
        let zones = update.zones.iter().filter(|zone| !zone.is_empty());
        let zones: BTreeSet<ZoneName> = zones.map(SmolStr::new).collect();
        let ended: Vec<ZoneName> = self.zones.difference(&zones).cloned().collect();
        let started: Vec<ZoneName> = zones.difference(&self.zones).cloned().collect();
        self.ended.retain(|zone, _| !zones.contains(zone));
        self.ended.extend(ended.iter().map(|zone| (zone.clone(), now)));
        self.revision = update.revision;
        self.zones = zones;
        let ended = ended.into_iter().map(ZoneDrainChange::Ended);
        started.into_iter().map(ZoneDrainChange::Started).chain(ended).collect()
    }

    /// Whether operators drain a zone.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// When this process learned that the last drain of a zone ended; `None` while the zone is
    /// drained, and if this process has seen no drain of it end.
    pub fn ended_at(&self, zone: &str) -> Option<Moment> {
        self.ended.get(zone).copied()
    }

    /// Revision of the report in force; 0 before the first one.
    pub fn revision(&self) -> Version {
        self.revision
    }

    /// Number of drained zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}

impl EligibilityRule for Mutex<ZoneDrains> {
    fn check(&self, _cx: &SendContext, endpoint: &Endpoint) -> Eligibility {
        if self.lock().is_drained(&endpoint.zone) {
            Eligibility::Never
        } else {
            Eligibility::Allowed
        }
    }
}
