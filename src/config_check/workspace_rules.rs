//! Checks of workspaces and of the regions that routes and workspaces allow.

use std::collections::{BTreeSet, HashMap};

use super::model::{ConfigDocument, Field, WorkspaceKey};
use crate::findings::{Findings, Place};
use crate::ids::RegionName;

pub(super) fn check(document: &ConfigDocument, warnings: &mut Findings) {
    let keys = (document.field_name)(Field::Keys);
    for workspace in document.workspaces.iter().flatten() {
        if workspace.keys.is_empty() {
            let text = format!(
                "{keys} is empty: no caller belongs to this workspace; add a key or \
                 remove the workspace"
            );
            warnings.add(workspace.place.clone(), text);
        }
        let distinct: BTreeSet<&WorkspaceKey> = workspace.keys.iter().collect();
        let repeated = workspace.keys.len() - distinct.len();
        if repeated > 0 {
            let text =
                format!("{keys}: {repeated} keys of this workspace are repeated; remove them");
            warnings.add(workspace.place.clone(), text);
        }
    }
}

/// Checks that regions exist and that every workspace can use every route that asks for its key.
pub(super) fn check_regions(
    document: &ConfigDocument,
    known: Option<&BTreeSet<RegionName>>,
    warnings: &mut Findings,
) {
    let workspaces = || document.workspaces.iter().flatten();
    if let Some(known) = known {
        let of_routes = document.routes.iter().map(|r| (&r.place, &r.allowed_regions));
        let of_workspaces = workspaces().map(|w| (&w.place, &w.allowed_regions));
        for (place, regions) in of_routes.chain(of_workspaces) {
            check_known(document, place, regions, known, warnings);
        }
    }
    check_overlap(document, warnings);
}

/// Reports routes that some workspaces cannot use. Workspaces are looked up by region, since a
/// document may have thousands of routes and of workspaces.
fn check_overlap(document: &ConfigDocument, warnings: &mut Findings) {
    let workspaces = document.workspaces.iter().flatten();
    let restricted: Vec<_> = workspaces.filter(|w| !w.allowed_regions.is_empty()).collect();
    let mut of_region: HashMap<&RegionName, Vec<usize>> = HashMap::new();
    for (index, workspace) in restricted.iter().enumerate() {
        for region in &workspace.allowed_regions {
            of_region.entry(region).or_default().push(index);
        }
    }
    // For each workspace the last route that shares a region with it.
    let mut last_shared = vec![None; restricted.len()];
    for (index, route) in document.routes.iter().enumerate() {
        // A public route asks for no key, so that the regions of workspaces do not apply.
        if route.public || route.allowed_regions.is_empty() {
            continue;
        }
        for region in &route.allowed_regions {
            for workspace in of_region.get(region).into_iter().flatten() {
                last_shared[*workspace] = Some(index);
            }
        }
        let excluded = || (0..restricted.len()).filter(|w| last_shared[*w] != Some(index));
        let Some(first) = excluded().next() else { continue };
        let more = match excluded().count() - 1 {
            0 => String::new(),
            n => format!(" and {n} more"),
        };
        let text = format!(
            "{}: no region is allowed both here and by workspace {}{more}; all its requests to this \
             route would be refused; allow a common region",
            (document.field_name)(Field::Regions),
            restricted[first].name
        );
        warnings.add(route.place.clone(), text);
    }
}

fn check_known(
    document: &ConfigDocument,
    place: &Place,
    regions: &[RegionName],
    known: &BTreeSet<RegionName>,
    warnings: &mut Findings,
) {
    for region in regions.iter().filter(|region| !known.contains(*region)) {
        let text = format!(
            "{}: no known zone belongs to region {region:?}; correct the name or add its zone to \
             --zones",
            (document.field_name)(Field::Regions)
        );
        warnings.add(place.clone(), text);
    }
}
