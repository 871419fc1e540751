//! Differences between two versions of a configuration document. Keys are compared and counted.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt;
use std::hash::Hash;

use super::model::{ConfigDocument, Field, RouteSpec, ServiceSpec, WorkspaceKey, WorkspaceSpec};
use super::report::printable;
use super::values::{Values, document_values, route_values, service_values, workspace_values};

/// What one document changes of another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Differences {
    lines: Vec<String>,
    routes: Counts,
    services: Counts,
    workspaces: Counts,
    keys_revoked: usize,
    keys_issued: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    added: usize,
    removed: usize,
    changed: usize,
}

impl Differences {
    /// Whether nothing differs; the versions are not compared.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

/// One line for each route, service and workspace that differs, and a summary.
impl fmt::Display for Differences {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        if self.is_empty() {
            return writeln!(f, "summary: no differences");
        }
        writeln!(
            f,
            "summary: routes {}; services {}; workspaces {}; keys {} revoked, {} issued",
            self.routes, self.services, self.workspaces, self.keys_revoked, self.keys_issued
        )
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} added, {} removed, {} changed", self.added, self.removed, self.changed)
    }
}

/// Compares two documents.
///
/// Routes are the same if they have the same host and prefix, services and workspaces if they have
/// the same name.
///
/// ```
/// use bitternlead::config_check::differences::compare;
/// use bitternlead::config_check::model::{ConfigDocument, Field};
///
/// let old = ConfigDocument {
///     version: 1,
///     routes: vec![],
///     services: vec![],
///     limits: None,
///     workspaces: None,
///     field_name: |field: Field| if field == Field::Workspaces { "workspaces" } else { "other" },
/// };
/// let new = ConfigDocument { version: 2, workspaces: Some(vec![]), ..old.clone() };
/// let text = compare(&old, &new).to_string();
/// assert!(text.starts_with("document: workspaces not set"), "{text}");
/// ```
pub fn compare(old: &ConfigDocument, new: &ConfigDocument) -> Differences {
    let name = new.field_name;
    let mut differences = Differences::default();
    let changes = changed_values(name, document_values(old), document_values(new));
    if !changes.is_empty() {
        differences.lines.push(format!("document: {}", changes.join(", ")));
    }
    let id = |r: &RouteSpec| (r.host.to_ascii_lowercase(), r.prefix.clone());
    for (old, new) in pair(&old.routes, &new.routes, id) {
        let title = |r: &RouteSpec| format!("route {}{}", r.host.to_ascii_lowercase(), r.prefix);
        let changes = changes_of(name, old, new, route_values);
        let line = differences.routes.describe(old, new, title, changes);
        differences.lines.extend(line);
    }
    for (old, new) in pair(&old.services, &new.services, |s| s.name.clone()) {
        let title = |s: &ServiceSpec| format!("service {}", s.name);
        let changes = changes_of(name, old, new, service_values);
        let line = differences.services.describe(old, new, title, changes);
        differences.lines.extend(line);
    }
    differences.compare_workspaces(old, new);
    differences
}

impl Differences {
    fn compare_workspaces(&mut self, old: &ConfigDocument, new: &ConfigDocument) {
        let name = new.field_name;
        let old_list = old.workspaces.as_deref().unwrap_or_default();
        let new_list = new.workspaces.as_deref().unwrap_or_default();
        for (old, new) in pair(old_list, new_list, |w| w.name.clone()) {
            let (old_keys, new_keys) = (distinct_keys(old), distinct_keys(new));
            let revoked = old_keys.difference(&new_keys).count();
            let issued = new_keys.difference(&old_keys).count();
            self.keys_revoked += revoked;
            self.keys_issued += issued;
            let mut changes = changes_of(name, old, new, workspace_values);
            if revoked + issued > 0 {
                changes.push(format!("keys {revoked} revoked, {issued} issued"));
            }
            let title = |w: &WorkspaceSpec| format!("workspace {}", w.name);
            let line = self.workspaces.describe(old, new, title, changes);
            self.lines.extend(line);
        }
    }
}

impl Counts {
    /// Counts an entry and describes its change; `None` if it did not change.
    fn describe<T>(
        &mut self,
        old: Option<&T>,
        new: Option<&T>,
        title: impl Fn(&T) -> String,
        changes: Vec<String>,
    ) -> Option<String> {
        let entry = new.or(old)?;
        let mut parts = Vec::new();
        match (old, new) {
            (None, _) => {
                self.added += 1;
                parts.push("added".to_owned());
            }
            (_, None) => {
                self.removed += 1;
                parts.push("removed".to_owned());
            }
            _ if changes.is_empty() => return None,
            _ => self.changed += 1,
        }
        parts.extend(changes);
        Some(format!("{}: {}", printable(&title(entry)), parts.join(", ")))
    }
}

fn distinct_keys(workspace: Option<&WorkspaceSpec>) -> BTreeSet<&WorkspaceKey> {
    workspace.into_iter().flat_map(|w| &w.keys).collect()
}

/// Fields of an entry that differ; none if it was added or removed.
fn changes_of<T>(
    name: fn(Field) -> &'static str,
    old: Option<&T>,
    new: Option<&T>,
    values: fn(&T) -> Values,
) -> Vec<String> {
    match (old, new) {
        (Some(old), Some(new)) => changed_values(name, values(old), values(new)),
        _ => Vec::new(),
    }
}

fn changed_values(name: fn(Field) -> &'static str, old: Values, new: Values) -> Vec<String> {
    let pairs = old.into_iter().zip(new).filter(|(old, new)| old != new);
    pairs
        .map(|((field, old), (_, new))| {
            format!("{} {} -> {}", name(field), printable(&old), printable(&new))
        })
        .collect()
}

/// Pairs the entries of two lists that have the same identity. Of several with the same identity,
/// the first ones are paired, then the second ones. Entries come in the order of the new list, those
/// that are missing there at the end.
fn pair<'a, T, K: Eq + Hash + Clone>(
    old: &'a [T],
    new: &'a [T],
    id: impl Fn(&T) -> K,
) -> Vec<(Option<&'a T>, Option<&'a T>)> {
    let number = |list: &'a [T]| -> Vec<((K, usize), &'a T)> {
        let mut seen: HashMap<K, usize> = HashMap::new();
        let numbered = list.iter().map(|entry| {
            let key = id(entry);
            let count = seen.entry(key.clone()).or_default();
            *count += 1;
            ((key, *count), entry)
        });
        numbered.collect()
    };
    let (old, new) = (number(old), number(new));
    let old_of_id: HashMap<_, _> = old.iter().map(|(id, entry)| (id.clone(), *entry)).collect();
    let mut pairs: Vec<_> =
        new.iter().map(|(id, entry)| (old_of_id.get(id).copied(), Some(*entry))).collect();
    let in_new: HashSet<_> = new.into_iter().map(|(id, _)| id).collect();
    let removed = old.into_iter().filter(|(id, _)| !in_new.contains(id));
    pairs.extend(removed.map(|(_, entry)| (Some(entry), None)));
    pairs
}
