//! Parses an inventory: servers, their locations, and the models and services that they serve.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::fields::Fields;
use super::model::{Server, ServerKind};
use super::{csv_file, toml_file};
use crate::findings::{Findings, Place};

/// Parsed inventory, not yet checked against the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// Servers, in the order of the file.
    pub servers: Vec<Server>,
    /// Place of each server, by the index of `servers`.
    pub places: Vec<Place>,
}

/// Parses an inventory: CSV if the path ends in `.csv`, else TOML. Invalid values are findings, and
/// defaults stand in for them.
pub fn read(path: &str, text: &str, findings: &mut Findings) -> Inventory {
    let records = if path.to_ascii_lowercase().ends_with(".csv") {
        csv_file::read(path, text, findings)
    } else {
        let mut file = toml_file::read(path, text, findings);
        let servers = file.records("server", findings);
        file.reject_unknown(findings);
        servers
    };
    let mut first_places: BTreeMap<SmolStr, Place> = BTreeMap::new();
    let mut inventory = Inventory::default();
    for fields in records {
        let place = fields.place_of("name");
        let server = read_server(fields, findings);
        if let Some(first) = first_places.insert(server.name.clone(), place.clone()) {
            let text = format!("server {:?} is already defined at {first}", server.name);
            findings.add(place.clone(), text);
        }
        inventory.servers.push(server);
        inventory.places.push(place);
    }
    inventory
}

fn read_server(mut fields: Fields, findings: &mut Findings) -> Server {
    let place = fields.place().clone();
    let name = read_name(&mut fields, "name", findings);
    let host = read_name(&mut fields, "host", findings);
    let zone = read_name(&mut fields, "zone", findings);
    let region = fields.text("region", findings).unwrap_or_default();
    let kind = read_kind(&mut fields, findings);
    let models = to_smol_strs(fields.list("models", findings));
    let services = to_smol_strs(fields.list("services", findings));
    let accelerators = fields.number("accelerators", 0..=1024, findings).unwrap_or(0);
    let kv_tokens = fields.number("kv_tokens", 0..=1_000_000_000, findings).unwrap_or(0);
    let checks_orders = fields.boolean("checks_orders", findings).unwrap_or(false);
    if kind == ServerKind::Engine && !services.is_empty() {
        findings.add(place.clone(), "an engine cannot serve services; set kind = \"service\"");
    }
    if kind == ServerKind::Service && services.is_empty() {
        findings.add(place, "a server of kind service needs at least one of services");
    }
    fields.reject_unknown(findings);
    Server {
        name,
        host,
        zone,
        region: region.into(),
        kind,
        models,
        services,
        accelerators,
        kv_tokens,
        checks_orders,
    }
}

/// Takes a required name: letters, digits, dot, dash, colon and underscore, at most 128 bytes.
pub(super) fn read_name(fields: &mut Fields, key: &str, findings: &mut Findings) -> SmolStr {
    let place = fields.place_of(key);
    let text = fields.required(key, findings);
    let is_allowed = |c: char| c.is_alphanumeric() || "._-:".contains(c);
    if !text.is_empty() && (!text.chars().all(is_allowed) || text.len() > 128) {
        let expects = "letters, digits, dot, dash, colon and underscore, at most 128 bytes";
        findings.add(place, format!("{key} = {text:?} is not a valid name; use {expects}"));
    }
    text.into()
}

fn read_kind(fields: &mut Fields, findings: &mut Findings) -> ServerKind {
    let place = fields.place_of("kind");
    match fields.text("kind", findings).as_deref() {
        None | Some("engine") => ServerKind::Engine,
        Some("service") => ServerKind::Service,
        Some(other) => {
            findings.add(place, format!("kind = {other:?} is neither engine nor service"));
            ServerKind::Engine
        }
    }
}

pub(super) fn to_smol_strs(list: Vec<String>) -> Vec<SmolStr> {
    list.into_iter().map(SmolStr::from).collect()
}
