//! Checks of a configuration document before it is sent: what can never match, what contradicts
//! itself, and what changes from another version. Nothing here reads files or calls control; what
//! control rejects is found by its own decoder.

pub mod differences;
pub mod model;
pub mod report;
mod route_rules;
mod service_rules;
mod values;
mod workspace_rules;

use std::collections::BTreeSet;

use crate::findings::{Findings, Place};
use crate::ids::RegionName;
use model::{ConfigDocument, Field};
use report::Report;

/// What a document is checked against.
#[derive(Clone, Debug, Default)]
pub struct Scope<'a> {
    /// Document in force, if it is known.
    pub in_force: Option<&'a ConfigDocument>,
    /// Regions of all zones; `None` if they are not known.
    pub known_regions: Option<BTreeSet<RegionName>>,
}

/// Adds to the report what is wrong with a document that could be read.
///
/// ```
/// use bitternlead::config_check::model::{ConfigDocument, Field, ServiceSpec};
/// use bitternlead::config_check::{Scope, check, report::Report};
/// use bitternlead::findings::Place;
///
/// let service = ServiceSpec {
///     place: Place::Whole("services[0]".into()),
///     name: "engines".into(),
///     max_connections: 64,
///     engine: None,
///     cold_s: None,
///     cold_per_s: None,
/// };
/// let document = ConfigDocument {
///     version: 1,
///     routes: vec![],
///     services: vec![service],
///     limits: None,
///     workspaces: None,
///     field_name: |_: Field| "a field",
/// };
/// let mut report = Report::default();
/// check(&document, &Scope::default(), &mut report);
/// assert!(report.to_string().contains("no route refers to this service"));
/// ```
pub fn check(document: &ConfigDocument, scope: &Scope, report: &mut Report) {
    if let Some(in_force) = scope.in_force {
        check_version(document, in_force, &mut report.errors);
    }
    let warnings = &mut report.warnings;
    service_rules::check_limits(document, warnings);
    route_rules::check(document, warnings);
    service_rules::check(document, warnings);
    workspace_rules::check(document, warnings);
    workspace_rules::check_regions(document, scope.known_regions.as_ref(), warnings);
}

fn check_version(new: &ConfigDocument, in_force: &ConfigDocument, errors: &mut Findings) {
    if new.version > in_force.version {
        return;
    }
    let name = (new.field_name)(Field::Version);
    let advice = match in_force.version.checked_add(1) {
        Some(next) => format!("set at least {next}"),
        None => "no higher one exists".into(),
    };
    let text = format!(
        "{} is not above {}, the version in force; control would acknowledge the document and \
         change nothing; {advice}",
        new.version, in_force.version
    );
    errors.add(Place::Whole(name.into()), text);
}
