//! Reads rules: workspaces, priorities, idempotent calls, schedules and limits.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::fields::Fields;
use super::inventory::{read_name, smol_list};
use super::model::{CallPattern, FleetLimits, Model, Priority, Schedule, Service, Workspace};
use super::toml_file;
use crate::findings::{Findings, Place};

/// Rules as a file gives them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Workspaces.
    pub workspaces: Vec<Workspace>,
    /// Models.
    pub models: Vec<Model>,
    /// Services.
    pub services: Vec<Service>,
    /// Schedules.
    pub schedules: Vec<Schedule>,
    /// Limits of the fleet.
    pub limits: FleetLimits,
    /// Places of the schedules, for checks across files.
    pub schedule_places: Vec<Place>,
}

/// SHA-256 of a bearer key in hexadecimal.
///
/// ```
/// assert!(bitternlead::config::hash_key("k").starts_with("8254c329"));
/// ```
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Reads rules in TOML.
pub fn read(path: &str, text: &str, findings: &mut Findings) -> Rules {
    let mut file = toml_file::read(path, text, findings);
    let mut rules = Rules::default();
    let mut names = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for fields in file.records("workspace", findings) {
        let place = fields.place().clone();
        let workspace = read_workspace(fields, findings);
        check_unique(&mut names, "workspace", &workspace.name, &place, findings);
        for hash in &workspace.key_hashes {
            if !keys.insert(hash.clone()) {
                findings.add(place.clone(), "a key is used twice; each belongs to one workspace");
            }
        }
        rules.workspaces.push(workspace);
    }
    for mut fields in file.records("model", findings) {
        let place = fields.place().clone();
        let name = read_name(&mut fields, "name", findings);
        check_unique(&mut names, "model", &name, &place, findings);
        fields.reject_unknown(findings);
        rules.models.push(Model { name });
    }
    for fields in file.records("service", findings) {
        let place = fields.place().clone();
        let service = read_service(fields, findings);
        check_unique(&mut names, "service", &service.name, &place, findings);
        rules.services.push(service);
    }
    for fields in file.records("schedule", findings) {
        let place = fields.place().clone();
        let schedule = read_schedule(fields, findings);
        check_unique(&mut names, "schedule", &schedule.name, &place, findings);
        rules.schedules.push(schedule);
        rules.schedule_places.push(place);
    }
    for fields in file.records("limits", findings) {
        rules.limits = read_limits(fields, findings);
    }
    file.reject_unknown(findings);
    rules
}

fn check_unique(
    names: &mut BTreeSet<(&'static str, SmolStr)>,
    kind: &'static str,
    name: &SmolStr,
    place: &Place,
    findings: &mut Findings,
) {
    if !names.insert((kind, name.clone())) {
        findings.add(place.clone(), format!("{kind} {name:?} stands twice"));
    }
}

fn read_workspace(mut fields: Fields, findings: &mut Findings) -> Workspace {
    let base = Workspace::default();
    let name = read_name(&mut fields, "name", findings);
    let place = fields.place_of("keys");
    let keys = fields.list("keys", findings);
    if keys.is_empty() {
        findings.add(place.clone(), "a workspace needs at least one of keys");
    }
    if keys.iter().any(|k| k.len() < 8) {
        findings.add(place, "a key has to have at least 8 bytes");
    }
    let mut number = |key: &str, low: u64, high: u64, or: u64| {
        fields.number(key, low..=high, findings).unwrap_or(or)
    };
    let workspace = Workspace {
        name,
        key_hashes: keys.iter().map(|k| hash_key(k)).collect(),
        weight: number("weight", 1, 1000, base.weight),
        requests_per_s: number("requests_per_s", 1, 1_000_000, base.requests_per_s),
        concurrency: number("concurrency", 1, 1_000_000, base.concurrency),
        max_prompt_tokens: number("max_prompt_tokens", 1, 10_000_000, base.max_prompt_tokens),
        deadline_ms: number("deadline_ms", 100, 86_400_000, base.deadline_ms),
        objective_ms: number("objective_ms", 1, 86_400_000, base.objective_ms),
        priority: Priority::Interactive,
    };
    let priority = read_priority(&mut fields, findings);
    fields.reject_unknown(findings);
    Workspace { priority, ..workspace }
}

fn read_priority(fields: &mut Fields, findings: &mut Findings) -> Priority {
    let place = fields.place_of("priority");
    match fields.text("priority", findings).as_deref() {
        None | Some("interactive") => Priority::Interactive,
        Some("batch") => Priority::Batch,
        Some(other) => {
            findings.add(place, format!("priority = {other:?} is neither interactive nor batch"));
            Priority::Interactive
        }
    }
}

fn read_service(mut fields: Fields, findings: &mut Findings) -> Service {
    let name = read_name(&mut fields, "name", findings);
    let place = fields.place_of("idempotent");
    let mut idempotent = Vec::new();
    for text in fields.list("idempotent", findings) {
        match text.split_once(' ') {
            Some((method, path)) if path.starts_with('/') => idempotent
                .push(CallPattern { method: method.to_uppercase().into(), path: path.into() }),
            _ => findings.add(place.clone(), format!("{text:?} is not like \"GET /path*\"")),
        }
    }
    fields.reject_unknown(findings);
    Service { name, idempotent }
}

fn read_schedule(mut fields: Fields, findings: &mut Findings) -> Schedule {
    let name = read_name(&mut fields, "name", findings);
    let place = fields.place_of("time_zone");
    let time_zone = fields.required("time_zone", findings);
    if !time_zone.is_empty() && jiff::tz::TimeZone::get(&time_zone).is_err() {
        findings.add(place, format!("{time_zone:?} is no IANA time zone, like Europe/Sofia"));
    }
    let start_min = read_clock(&mut fields, "start", findings);
    let end_place = fields.place_of("end");
    let end_min = read_clock(&mut fields, "end", findings);
    if start_min == end_min {
        findings.add(end_place, "start and end are the same minute");
    }
    let schedule = Schedule {
        name,
        time_zone: time_zone.into(),
        days: read_days(&mut fields, findings),
        start_min,
        end_min,
        models: smol_list(fields.list("models", findings)),
        servers: smol_list(fields.list("servers", findings)),
        lead_min: fields.number("lead_min", 0..=720, findings).unwrap_or(30) as u32,
    };
    fields.reject_unknown(findings);
    schedule
}

fn read_clock(fields: &mut Fields, key: &str, findings: &mut Findings) -> u32 {
    let place = fields.place_of(key);
    let text = fields.required(key, findings);
    let parsed = text.split_once(':').and_then(|(h, m)| {
        let (h, m): (u32, u32) = (h.parse().ok()?, m.parse().ok()?);
        (h < 24 && m < 60).then_some(h * 60 + m)
    });
    if parsed.is_none() && !text.is_empty() {
        findings.add(place, format!("{key} = {text:?} is no time of day, like 09:30"));
    }
    parsed.unwrap_or(0)
}

fn read_days(fields: &mut Fields, findings: &mut Findings) -> Vec<u8> {
    const NAMES: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
    let place = fields.place_of("days");
    let mut days = Vec::new();
    for text in fields.list("days", findings) {
        match NAMES.iter().position(|n| *n == text.to_lowercase()) {
            Some(at) => days.push(at as u8 + 1),
            None => findings.add(place.clone(), format!("{text:?} is no day, like mon")),
        }
    }
    days
}

fn read_limits(mut fields: Fields, findings: &mut Findings) -> FleetLimits {
    let base = FleetLimits::default();
    let mut number = |key: &str, low: u64, high: u64, or: u64| {
        fields.number(key, low..=high, findings).unwrap_or(or)
    };
    let limits = FleetLimits {
        loads_at_once: number("loads_at_once", 1, 1000, base.loads_at_once),
        long_prompt_tokens: number("long_prompt_tokens", 1000, 10_000_000, base.long_prompt_tokens),
        long_share_percent: number("long_share_percent", 1, 90, base.long_share_percent),
        retry_percent: number("retry_percent", 0, 100, base.retry_percent),
    };
    fields.reject_unknown(findings);
    limits
}
