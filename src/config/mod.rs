//! Configuration of the fleet: parses and validates the operators' inventory and rules, and builds
//! the configuration that is in force on a node.

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

/// A file that an operator applies.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ConfigFile {
    /// Path, used in findings; `.csv` at its end selects CSV for an inventory.
    pub path: String,
    /// Content of the file.
    pub text: String,
}

/// Parses an inventory and rules, and checks their references to each other.
///
/// # Errors
/// All findings of both files. References are checked only if each file is valid by itself.
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
