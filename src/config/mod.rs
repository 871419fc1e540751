//! Inventory and rules: reading, checking, and the form in force on a node.

pub mod csv_file;
pub mod fields;
pub mod fleet_config;
pub mod inventory;
pub mod model;
pub mod rules;
pub mod schedule;
pub mod toml_file;

use crate::findings::Findings;

pub use self::fleet_config::FleetConfig;
pub use self::model::{
    CallPattern, FleetLimits, Model, Priority, Schedule, Server, ServerKind, Service, Workspace,
};
pub use self::rules::{Rules, hash_key};

/// A named text, as an operator hands it over.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigFile {
    /// Path, for the place of findings and the kind of file.
    pub path: String,
    /// Content.
    pub text: String,
}

/// Reads and checks an inventory and rules together.
///
/// # Errors
/// All findings of both files.
///
/// ```
/// use bitternlead::config::{ConfigFile, read_inventory_and_rules};
///
/// let inventory = ConfigFile { path: "inventory.csv".into(), text: "name,host\nm1,\n".into() };
/// let findings = read_inventory_and_rules(&inventory, &ConfigFile::default()).unwrap_err();
/// assert!(findings.to_string().contains("inventory.csv:2: host is missing"));
/// ```
pub fn read_inventory_and_rules(
    inventory: &ConfigFile,
    rules: &ConfigFile,
) -> Result<(Vec<Server>, Rules), Findings> {
    let mut findings = Findings::default();
    let inventory = inventory::read(&inventory.path, &inventory.text, &mut findings);
    let rules = rules::read(&rules.path, &rules.text, &mut findings);
    if findings.is_empty() {
        fleet_config::check_references(&inventory, &rules, &mut findings);
    }
    findings.into_result((inventory.servers, rules))
}
