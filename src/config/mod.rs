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
pub struct NamedText {
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
/// use bitternlead::config::{NamedText, read_both};
///
/// let inventory = NamedText { path: "inventory.csv".into(), text: "name,host\nm1,\n".into() };
/// let findings = read_both(&inventory, &NamedText::default()).unwrap_err();
/// assert!(findings.to_string().contains("inventory.csv:2: host is missing"));
/// ```
pub fn read_both(
    inventory: &NamedText,
    rules: &NamedText,
) -> Result<(Vec<Server>, Rules), Findings> {
    let mut findings = Findings::default();
    let inventory = inventory::read(&inventory.path, &inventory.text, &mut findings);
    let rules = rules::read(&rules.path, &rules.text, &mut findings);
    if findings.is_empty() {
        fleet_config::check_together(&inventory, &rules, &mut findings);
    }
    findings.into_result((inventory.servers, rules))
}
