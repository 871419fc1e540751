//! Drains of availability zones among the configuration records.

use super::config_records::ConfigRecords;
use crate::config::fleet_config::ZONE_DRAIN_PREFIX;
use crate::wire::{Change, Command, ConfigRecord, ZoneDrains, command};

/// Builds the change that drains a zone or ends its drain.
///
/// ```
/// use bitternlead::control::config_records::ConfigRecords;
/// use bitternlead::control::zone_drains::{build_change, read};
///
/// let mut records = ConfigRecords::default();
/// records.apply(build_change("north", true));
/// assert_eq!(read(&records).zones, ["north"]);
/// records.apply(build_change("north", false));
/// assert!(read(&records).zones.is_empty());
/// ```
pub fn build_change(zone: &str, drained: bool) -> Change {
    let key = format!("{ZONE_DRAIN_PREFIX}{zone}");
    let value = drained.then(|| "true".to_owned());
    let records = vec![ConfigRecord { key, version: 0, value }];
    Change { base: 0, records, author: String::new() }
}

/// Drained zones in the order of their names, with the version of the records as the revision.
pub fn read(records: &ConfigRecords) -> ZoneDrains {
    let drained = records.with_prefix(ZONE_DRAIN_PREFIX).filter(|r| r.value.is_some());
    let zones = drained.map(|r| r.key[ZONE_DRAIN_PREFIX.len()..].to_owned()).collect();
    ZoneDrains { revision: records.version(), zones }
}

/// Zones that are drained or were once drained.
pub fn recorded_zones(records: &ConfigRecords) -> Vec<String> {
    let all = records.with_prefix(ZONE_DRAIN_PREFIX);
    all.map(|r| r.key[ZONE_DRAIN_PREFIX.len()..].to_owned()).collect()
}

/// Whether a command drains a zone or ends its drain.
pub fn is_zone_drain(command: &Command) -> bool {
    let Some(command::Kind::Change(change)) = &command.kind else { return false };
    change.records.iter().any(|r| r.key.starts_with(ZONE_DRAIN_PREFIX))
}
