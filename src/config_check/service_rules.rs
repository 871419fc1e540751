//! Checks of services, their engines, and the limits on callers.

use std::collections::{HashMap, HashSet};

use smol_str::SmolStr;

use super::model::{ConfigDocument, EngineSpec, Field, ServiceSpec};
use crate::findings::{Findings, Place};

type FieldName = fn(Field) -> &'static str;

pub(super) fn check_limits(document: &ConfigDocument, warnings: &mut Findings) {
    let Some(limits) = document.limits else { return };
    let name = document.field_name;
    if limits.header_timeout_ms > limits.idle_timeout_ms {
        let text = format!(
            "{header} {} is above {idle} {}: idle connections are kept for the longer of the two; \
             lower {header} or raise {idle}",
            limits.header_timeout_ms,
            limits.idle_timeout_ms,
            header = name(Field::HeaderTimeout),
            idle = name(Field::IdleTimeout),
        );
        warnings.add(Place::Whole(name(Field::CallerLimits).into()), text);
    }
}

pub(super) fn check(document: &ConfigDocument, warnings: &mut Findings) {
    let targets = document.routes.iter().flat_map(|route| &route.targets);
    let used: HashSet<&SmolStr> = targets.map(|(service, _)| service).collect();
    let mut last_of_name: HashMap<&SmolStr, usize> = HashMap::new();
    for (index, service) in document.services.iter().enumerate() {
        last_of_name.insert(&service.name, index);
    }
    for (index, service) in document.services.iter().enumerate() {
        if last_of_name[&service.name] != index {
            let text = "a later service has the same name and replaces it; remove one of them";
            warnings.add(service.place.clone(), text);
        } else if !used.contains(&service.name) {
            let text = "no route refers to this service; remove it or add a route";
            warnings.add(service.place.clone(), text);
        }
        check_cold(service, document.field_name, warnings);
        if let Some(engine) = &service.engine {
            check_engine(service, engine, document.field_name, warnings);
        }
    }
}

fn check_cold(service: &ServiceSpec, name: FieldName, warnings: &mut Findings) {
    let fields = [(Field::ColdDuration, service.cold_s), (Field::ColdRate, service.cold_per_s)];
    for (field, value) in fields {
        warn_if_negative(service, name(field), value, warnings);
    }
    let is_set = |value: Option<f64>| value.is_some_and(|v| v != 0.0);
    let (present, missing) = match (is_set(service.cold_s), is_set(service.cold_per_s)) {
        (true, false) => (name(Field::ColdDuration), name(Field::ColdRate)),
        (false, true) => (name(Field::ColdRate), name(Field::ColdDuration)),
        _ => return,
    };
    let text = format!("{present} has no effect without {missing}; set both or neither");
    warnings.add(service.place.clone(), text);
}

fn check_engine(
    service: &ServiceSpec,
    engine: &EngineSpec,
    name: FieldName,
    warnings: &mut Findings,
) {
    if engine.slots > service.max_connections {
        let text = format!(
            "{slots} {} is above {connections} {}: the engine never fills its slots; raise \
             {connections} or lower {slots}",
            engine.slots,
            service.max_connections,
            slots = name(Field::Slots),
            connections = name(Field::MaxConnections),
        );
        warnings.add(service.place.clone(), text);
    }
    if engine.memory_tokens == 0 {
        let field = name(Field::MemoryTokens);
        let text = format!("{field} 0: no request fits; set the KV memory of an engine in tokens");
        warnings.add(service.place.clone(), text);
    }
    if engine.prefill_per_s == 0.0 {
        let field = name(Field::PrefillRate);
        let text = format!(
            "{field} 0: no prompt would ever be prefilled; set the prompt tokens per second"
        );
        warnings.add(service.place.clone(), text);
    }
    let fields = [
        (Field::Step, Some(engine.step_ms)),
        (Field::StepPerStream, engine.per_stream_ms),
        (Field::StepPerContext, engine.context_ms_per_k),
        (Field::PrefillRate, Some(engine.prefill_per_s)),
        (Field::AttentionPerPairs, engine.attention_ms),
        (Field::HelperStep, engine.helper_step_ms),
    ];
    for (field, value) in fields {
        warn_if_negative(service, name(field), value, warnings);
    }
}

fn warn_if_negative(
    service: &ServiceSpec,
    field: &str,
    value: Option<f64>,
    warnings: &mut Findings,
) {
    if let Some(value) = value.filter(|v| *v < 0.0) {
        let text = format!("{field} {value} is negative; set 0 or more");
        warnings.add(service.place.clone(), text);
    }
}
