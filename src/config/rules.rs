//! Parses rules: workspaces, priorities, models, idempotent calls, schedules and limits.

use std::collections::BTreeSet;

use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::fields::Fields;
use super::inventory::{read_name, to_smol_strs};
use super::model::{CallPattern, FleetLimits, Model, Priority, Schedule, Service, Workspace};
use super::toml_file;
use crate::findings::{Findings, Place};

/// Parsed rules, not yet checked against the inventory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// Workspaces with their limits and keys.
    pub workspaces: Vec<Workspace>,
    /// Models that servers and schedules may name.
    pub models: Vec<Model>,
    /// Services that servers may name.
    pub services: Vec<Service>,
    /// Busy hours for which models are loaded in advance.
    pub schedules: Vec<Schedule>,
    /// Limits of the whole fleet.
    pub limits: FleetLimits,
    /// Place of each schedule, by the index of `schedules`.
    pub schedule_places: Vec<Place>,
}

/// SHA-256 of a bearer key in hexadecimal. Keys are stored only in this form.
///
/// ```
/// assert!(bitternlead::config::hash_key("k").starts_with("8254c329"));
/// ```
pub fn hash_key(key: &str) -> String {
    Sha256::digest(key.as_bytes()).iter().map(|b| format!("{b:02x}")).collect()
}

/// Parses rules in TOML. Invalid values are findings, and defaults stand in for them.
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
                findings.add(place.clone(), "duplicate key; each key belongs to one workspace");
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
        findings.add(place.clone(), format!("{kind} {name:?} is defined twice"));
    }
}

fn read_workspace(mut fields: Fields, findings: &mut Findings) -> Workspace {
    let defaults = Workspace::default();
    let name = read_name(&mut fields, "name", findings);
    let place = fields.place_of("keys");
    let keys = fields.list("keys", findings);
    if keys.is_empty() {
        findings.add(place.clone(), "a workspace needs at least one of keys");
    }
    if keys.iter().any(|k| k.len() < 8) {
        findings.add(place, "every key must have at least 8 bytes");
    }
    let mut number = |key: &str, min: u64, max: u64, default: u64| {
        fields.number(key, min..=max, findings).unwrap_or(default)
    };
    let workspace = Workspace {
        name,
        key_hashes: keys.iter().map(|k| hash_key(k)).collect(),
        weight: number("weight", 1, 1000, defaults.weight),
        requests_per_s: number("requests_per_s", 1, 1_000_000, defaults.requests_per_s),
        concurrency: number("concurrency", 1, 1_000_000, defaults.concurrency),
        max_prompt_tokens: number("max_prompt_tokens", 1, 10_000_000, defaults.max_prompt_tokens),
        deadline_ms: number("deadline_ms", 100, 86_400_000, defaults.deadline_ms),
        objective_ms: number("objective_ms", 1, 86_400_000, defaults.objective_ms),
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
            _ => findings.add(place.clone(), format!("{text:?} must have the form \"GET /path*\"")),
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
        findings
            .add(place, format!("{time_zone:?} is not an IANA time zone, such as Europe/Sofia"));
    }
    let start_min = read_time_of_day(&mut fields, "start", findings);
    let end_place = fields.place_of("end");
    let end_min = read_time_of_day(&mut fields, "end", findings);
    if start_min == end_min {
        findings.add(end_place, "start and end must differ");
    }
    let schedule = Schedule {
        name,
        time_zone: time_zone.into(),
        days: read_days(&mut fields, findings),
        start_min,
        end_min,
        models: to_smol_strs(fields.list("models", findings)),
        servers: to_smol_strs(fields.list("servers", findings)),
        lead_min: fields.number("lead_min", 0..=720, findings).unwrap_or(30) as u32,
    };
    fields.reject_unknown(findings);
    schedule
}

/// Takes a time of day in minutes after midnight.
fn read_time_of_day(fields: &mut Fields, key: &str, findings: &mut Findings) -> u32 {
    let place = fields.place_of(key);
    let text = fields.required(key, findings);
    let parsed = text.split_once(':').and_then(|(h, m)| {
        let (h, m): (u32, u32) = (h.parse().ok()?, m.parse().ok()?);
        (h < 24 && m < 60).then_some(h * 60 + m)
    });
    if parsed.is_none() && !text.is_empty() {
        findings.add(place, format!("{key} = {text:?} is not a time of day, such as 09:30"));
    }
    parsed.unwrap_or(0)
}

/// Takes days of the week as numbers from 1 (Monday) to 7.
fn read_days(fields: &mut Fields, findings: &mut Findings) -> Vec<u8> {
    const DAY_NAMES: [&str; 7] = ["mon", "tue", "wed", "thu", "fri", "sat", "sun"];
    let place = fields.place_of("days");
    let mut days = Vec::new();
    for text in fields.list("days", findings) {
        match DAY_NAMES.iter().position(|n| *n == text.to_lowercase()) {
            Some(index) => days.push(index as u8 + 1),
            None => findings
                .add(place.clone(), format!("{text:?} is not a day of the week, such as mon")),
        }
    }
    days
}

fn read_limits(mut fields: Fields, findings: &mut Findings) -> FleetLimits {
    let defaults = FleetLimits::default();
    let mut number = |key: &str, min: u64, max: u64, default: u64| {
        fields.number(key, min..=max, findings).unwrap_or(default)
    };
    let limits = FleetLimits {
        loads_at_once: number("loads_at_once", 1, 1000, defaults.loads_at_once),
        long_prompt_tokens: number(
            "long_prompt_tokens",
            1000,
            10_000_000,
            defaults.long_prompt_tokens,
        ),
        long_share_percent: number("long_share_percent", 1, 90, defaults.long_share_percent),
        retry_percent: number("retry_percent", 0, 100, defaults.retry_percent),
    };
    fields.reject_unknown(findings);
    limits
}
