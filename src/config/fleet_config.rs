//! Configuration in force on a node, built from a full set of records and later changes to them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use super::inventory::Inventory;
use super::model::{FleetLimits, Model, Schedule, Server, Service, Workspace};
use super::rules::{Rules, hash_key};
use crate::findings::Findings;
use crate::ids::{EndpointName, ModelName, Version, WorkspaceName, ZoneName};
use crate::wire::ConfigRecord;

/// Prefix of the keys of records that drain an availability zone; the name of the zone follows.
pub const ZONE_DRAIN_PREFIX: &str = "drain/zone/";

/// One version of the configuration, indexed for lookups.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetConfig {
    /// Version of the last records that were applied.
    pub version: Version,
    /// Servers by name.
    pub servers: BTreeMap<EndpointName, Server>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Services by name.
    pub services: BTreeMap<SmolStr, Service>,
    /// Schedules by name.
    pub schedules: BTreeMap<SmolStr, Schedule>,
    /// Names of hosts and endpoints that operators drain.
    pub draining: BTreeSet<SmolStr>,
    /// Availability zones that operators drain.
    pub drained_zones: BTreeSet<ZoneName>,
    /// Limits of the whole fleet.
    pub limits: FleetLimits,
    /// Workspace names by the hash of a bearer key.
    workspaces_by_key_hash: HashMap<String, WorkspaceName>,
}

impl FleetConfig {
    /// Workspace that a bearer key authenticates.
    pub fn workspace_for_key(&self, key: &str) -> Option<Arc<Workspace>> {
        let name = self.workspaces_by_key_hash.get(&hash_key(key))?;
        self.workspaces.get(name).cloned()
    }

    /// Whether an endpoint has to finish its requests and leave: it, its host or its availability
    /// zone is drained, or it is not in the inventory.
    pub fn is_leaving(&self, endpoint: &str) -> bool {
        match self.servers.get(endpoint) {
            None => true,
            Some(s) => {
                self.draining.contains(endpoint)
                    || self.draining.contains(&s.host)
                    || self.drained_zones.contains(&s.zone)
            }
        }
    }

    /// Whether a call of a service is declared idempotent and may be retried.
    pub fn is_idempotent(&self, service: &str, method: &str, path: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|s| s.idempotent.iter().any(|p| p.matches(method, path)))
    }

    /// Applies records, on top of the present ones unless `full`. Returns the keys of records that
    /// cannot be decoded, such as those of a newer release; they are skipped.
    pub fn apply(&mut self, version: Version, full: bool, records: &[ConfigRecord]) -> Vec<String> {
        if full {
            *self = Self::default();
        }
        let mut unreadable = Vec::new();
        for record in records {
            if !self.apply_record(record) {
                unreadable.push(record.key.clone());
            }
        }
        self.version = version;
        self.index_keys();
        unreadable
    }

    fn apply_record(&mut self, record: &ConfigRecord) -> bool {
        let value = record.value.as_deref();
        if let Some(zone) = record.key.strip_prefix(ZONE_DRAIN_PREFIX) {
            match value {
                Some(_) => self.drained_zones.insert(ZoneName::new(zone)),
                None => self.drained_zones.remove(zone),
            };
            return true;
        }
        let Some((kind, name)) = record.key.split_once('/') else { return false };
        let name = SmolStr::new(name);
        match kind {
            "server" => apply_value(&mut self.servers, name, value),
            "model" => apply_value(&mut self.models, name, value),
            "service" => apply_value(&mut self.services, name, value),
            "schedule" => apply_value(&mut self.schedules, name, value),
            "workspace" => apply_value(&mut self.workspaces, name, value),
            "limits" => match value.map(serde_json::from_str) {
                Some(Ok(limits)) => {
                    self.limits = limits;
                    true
                }
                _ => value.is_none(),
            },
            "drain" => {
                match value {
                    Some(_) => self.draining.insert(name),
                    None => self.draining.remove(&name),
                };
                true
            }
            _ => false,
        }
    }

    fn index_keys(&mut self) {
        let pairs = self.workspaces.values();
        let pairs = pairs.flat_map(|w| w.key_hashes.iter().map(|k| (k.clone(), w.name.clone())));
        self.workspaces_by_key_hash = pairs.collect();
    }
}

/// Decodes a record's value into the map, or removes the entry if there is none; false if the value
/// cannot be decoded.
fn apply_value<T: DeserializeOwned>(
    map: &mut BTreeMap<SmolStr, T>,
    name: SmolStr,
    value: Option<&str>,
) -> bool {
    let Some(text) = value else {
        map.remove(&name);
        return true;
    };
    match serde_json::from_str(text) {
        Ok(value) => {
            map.insert(name, value);
            true
        }
        Err(_) => false,
    }
}

/// Reports references between an inventory and rules that lead nowhere, and contradictory
/// locations.
pub fn check_references(inventory: &Inventory, rules: &Rules, findings: &mut Findings) {
    let servers = &inventory.servers;
    let models: BTreeSet<&SmolStr> = rules.models.iter().map(|m| &m.name).collect();
    let services: BTreeSet<&SmolStr> = rules.services.iter().map(|s| &s.name).collect();
    let names: BTreeSet<&SmolStr> = servers.iter().map(|s| &s.name).collect();
    for (server, place) in servers.iter().zip(&inventory.places) {
        for model in server.models.iter().filter(|m| !models.contains(m)) {
            let text = format!("unknown model {model:?}; add [[model]] to the rules");
            findings.add(place.clone(), text);
        }
        for service in server.services.iter().filter(|s| !services.contains(s)) {
            let text = format!("unknown service {service:?}; add [[service]] to the rules");
            findings.add(place.clone(), text);
        }
    }
    check_locations(inventory, findings);
    for (schedule, place) in rules.schedules.iter().zip(&rules.schedule_places) {
        for model in schedule.models.iter().filter(|m| !models.contains(m)) {
            findings.add(place.clone(), format!("unknown model {model:?}"));
        }
        for server in schedule.servers.iter().filter(|s| !names.contains(s)) {
            findings.add(place.clone(), format!("unknown server {server:?}"));
        }
    }
}

/// Checks that every zone lies in one region, and every host in one zone.
fn check_locations(inventory: &Inventory, findings: &mut Findings) {
    let mut regions: BTreeMap<&SmolStr, &SmolStr> = BTreeMap::new();
    let mut zones: BTreeMap<&SmolStr, &SmolStr> = BTreeMap::new();
    for (server, place) in inventory.servers.iter().zip(&inventory.places) {
        let region = regions.entry(&server.zone).or_insert(&server.region);
        if **region != server.region {
            let text =
                format!("zone {:?} lies in region {region:?} for another server", server.zone);
            findings.add(place.clone(), text);
        }
        let zone = zones.entry(&server.host).or_insert(&server.zone);
        if **zone != server.zone {
            let text = format!("host {:?} lies in zone {zone:?} for another server", server.host);
            findings.add(place.clone(), text);
        }
    }
}

/// Encodes an inventory and rules as configuration records: JSON values by keys `KIND/NAME`.
pub fn to_records(servers: &[Server], rules: &Rules) -> BTreeMap<String, String> {
    let mut records = BTreeMap::new();
    for server in servers {
        insert_record(&mut records, "server", &server.name, server);
    }
    for workspace in &rules.workspaces {
        insert_record(&mut records, "workspace", &workspace.name, workspace);
    }
    for model in &rules.models {
        insert_record(&mut records, "model", &model.name, model);
    }
    for service in &rules.services {
        insert_record(&mut records, "service", &service.name, service);
    }
    for schedule in &rules.schedules {
        insert_record(&mut records, "schedule", &schedule.name, schedule);
    }
    insert_record(&mut records, "limits", "fleet", &rules.limits);
    records
}

fn insert_record<T: Serialize>(
    records: &mut BTreeMap<String, String>,
    kind: &str,
    name: &str,
    value: &T,
) {
    let text = serde_json::to_string(value).unwrap_or_default();
    records.insert(format!("{kind}/{name}"), text);
}

/// Changes that turn the current records into the target ones; a change without a value removes its
/// record. Drains belong to no file and are kept.
pub fn diff_records(
    current: &[ConfigRecord],
    target: &BTreeMap<String, String>,
) -> Vec<ConfigRecord> {
    let current_values: BTreeMap<&str, &str> =
        current.iter().filter_map(|r| Some((r.key.as_str(), r.value.as_deref()?))).collect();
    let mut changes = Vec::new();
    for (key, value) in target {
        if current_values.get(key.as_str()) != Some(&value.as_str()) {
            let value = Some(value.clone());
            changes.push(ConfigRecord { key: key.clone(), version: 0, value });
        }
    }
    for key in current_values.keys() {
        if !key.starts_with("drain/") && !target.contains_key(*key) {
            changes.push(ConfigRecord { key: (*key).to_owned(), version: 0, value: None });
        }
    }
    changes
}
