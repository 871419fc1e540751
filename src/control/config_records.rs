//! The configuration as keyed records, each with the version that last changed it.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::ids::Version;
use crate::wire::{Change, ConfigRecord, Outcome};

/// Maximum number of removed records that are kept so that deltas can report the removal.
const MAX_TOMBSTONES: usize = 4096;

/// Difference between a version of the configuration and the current one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigDelta {
    /// Version that results from applying the delta.
    pub version: Version,
    /// Whether `records` is the whole configuration and replaces all earlier records.
    pub full: bool,
    /// Changed records; one without a value was removed.
    pub records: Vec<ConfigRecord>,
}

/// Configuration of the whole deployment; each accepted change raises its version by one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigRecords {
    version: Version,
    removed_floor: Version,
    records: BTreeMap<SmolStr, ConfigRecord>,
}

impl ConfigRecords {
    /// Version of the last change; 0 before the first change.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Applies a change if its base is the current version, or 0 to skip that check.
    ///
    /// The result is `ok` with the new version, or `conflict` with the current one.
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
        self.prune_tombstones();
        Outcome { result: "ok".into(), number: self.version, ..Outcome::default() }
    }

    /// Drops the older half of the tombstones when there are more than [`MAX_TOMBSTONES`].
    fn prune_tombstones(&mut self) {
        let mut tombstone_versions: Vec<Version> =
            self.records.values().filter(|r| r.value.is_none()).map(|r| r.version).collect();
        if tombstone_versions.len() <= MAX_TOMBSTONES {
            return;
        }
        tombstone_versions.sort_unstable();
        let floor = tombstone_versions[tombstone_versions.len() / 2];
        self.records.retain(|_, r| r.value.is_some() || r.version > floor);
        self.removed_floor = floor;
    }

    /// Changes since a version; the whole configuration if the version is 0, unknown, or older than
    /// the oldest tombstone.
    pub fn changes_since(&self, version: Version) -> ConfigDelta {
        let full = version == 0 || version < self.removed_floor || version > self.version;
        let included = |r: &&ConfigRecord| {
            if full { r.value.is_some() } else { r.version > version }
        };
        let records = self.records.values().filter(included).cloned().collect();
        ConfigDelta { version: self.version, full, records }
    }

    /// Records whose keys begin with `prefix`, in the order of their keys, tombstones included.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a ConfigRecord> {
        let from = self.records.range(SmolStr::new(prefix)..);
        from.take_while(move |(key, _)| key.starts_with(prefix)).map(|(_, record)| record)
    }

    /// All records including tombstones, and the version up to which tombstones were dropped.
    pub fn export(&self) -> (Vec<ConfigRecord>, Version) {
        (self.records.values().cloned().collect(), self.removed_floor)
    }

    /// Builds the configuration from the result of [`ConfigRecords::export`].
    pub fn import(version: Version, removed_floor: Version, all: Vec<ConfigRecord>) -> Self {
        let records = all.into_iter().map(|r| (SmolStr::new(&r.key), r)).collect();
        Self { version, removed_floor, records }
    }
}
