//! The accepted configuration: keyed records, each with the version that last changed it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::Version;
use crate::wire::{Change, ConfigRecord, Outcome};

/// Removed records that are remembered for deltas.
const MOST_REMOVED: usize = 4096;

/// News of the configuration since a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigNews {
    /// Version that the news lead to.
    pub version: Version,
    /// Whether `records` is the whole configuration.
    pub full: bool,
    /// Records that changed; without a value they were removed.
    pub records: Vec<ConfigRecord>,
}

/// The configuration of the whole system.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigRecords {
    version: Version,
    removed_floor: Version,
    records: BTreeMap<SmolStr, ConfigRecord>,
}

impl ConfigRecords {
    /// Version of the last change; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Applies a change if its base is the current version, or 0.
    pub fn apply(&mut self, change: Change) -> Outcome {
        if change.base != 0 && change.base != self.version {
            let detail = format!(
                "based on version {} but version {} is in force; look at it and apply again",
                change.base, self.version
            );
            let result = "conflict".into();
            return Outcome { result, number: self.version, detail, ..Outcome::default() };
        }
        self.version += 1;
        for record in change.records {
            let version = self.version;
            self.records.insert(record.key.as_str().into(), ConfigRecord { version, ..record });
        }
        self.forget_removed();
        Outcome { result: "ok".into(), number: self.version, ..Outcome::default() }
    }

    fn forget_removed(&mut self) {
        let mut removed: Vec<Version> =
            self.records.values().filter(|r| r.value.is_none()).map(|r| r.version).collect();
        if removed.len() <= MOST_REMOVED {
            return;
        }
        removed.sort_unstable();
        let floor = removed[removed.len() / 2];
        self.records.retain(|_, r| r.value.is_some() || r.version > floor);
        self.removed_floor = floor;
    }

    /// What changed since a version; everything when deltas do not reach back that far.
    pub fn since(&self, version: Version) -> ConfigNews {
        let full = version == 0 || version < self.removed_floor || version > self.version;
        let wanted = |r: &&ConfigRecord| {
            if full { r.value.is_some() } else { r.version > version }
        };
        let records = self.records.values().filter(wanted).cloned().collect();
        ConfigNews { version: self.version, full, records }
    }

    /// All records, removed ones included, and the version below which removals are forgotten.
    pub fn export(&self) -> (Vec<ConfigRecord>, Version) {
        (self.records.values().cloned().collect(), self.removed_floor)
    }

    /// Builds the configuration from an export.
    pub fn import(version: Version, removed_floor: Version, all: Vec<ConfigRecord>) -> Self {
        let records = all.into_iter().map(|r| (SmolStr::new(&r.key), r)).collect();
        Self { version, removed_floor, records }
    }
}
