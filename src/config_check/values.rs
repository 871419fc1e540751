//! Values of the fields of an entry as texts, in a fixed order, to compare two versions of it.

use std::collections::BTreeSet;
use std::fmt::Display;

use super::model::{
    ConfigDocument, EngineSpec, Field, LimitsSpec, RouteSpec, ServiceSpec, WorkspaceSpec,
};
use crate::ids::RegionName;

pub(super) type Values = Vec<(Field, String)>;

type EngineValue = fn(&EngineSpec) -> String;

pub(super) fn document_values(document: &ConfigDocument) -> Values {
    let limit =
        |value: fn(&LimitsSpec) -> String| document.limits.as_ref().map_or("not set".into(), value);
    // Without workspaces callers need no key, which differs from an empty list.
    let workspaces = match document.workspaces {
        None => "not set (callers need no key)",
        Some(_) => "set (callers need a key)",
    };
    vec![
        (Field::MaxHeaderBytes, limit(|l| l.header_bytes.to_string())),
        (Field::MaxBodyBytes, limit(|l| l.body_bytes.to_string())),
        (Field::HeaderTimeout, limit(|l| l.header_timeout_ms.to_string())),
        (Field::IdleTimeout, limit(|l| l.idle_timeout_ms.to_string())),
        (Field::Workspaces, workspaces.into()),
    ]
}

pub(super) fn route_values(route: &RouteSpec) -> Values {
    let targets = route.targets.iter().map(|(service, weight)| format!("{service}:{weight}"));
    vec![
        (Field::Name, route.name.to_string()),
        (Field::Kind, route.kind.to_string()),
        (Field::Timeout, route.timeout_ms.to_string()),
        (Field::Objective, optional(route.objective_ms)),
        (Field::Priority, optional(route.priority)),
        (Field::Targets, targets.collect::<Vec<_>>().join(" ")),
        (Field::MaxAttempts, route.max_attempts.to_string()),
        (Field::Public, route.public.to_string()),
        (Field::Resumable, route.resumable.to_string()),
        (Field::PauseLimit, route.pause_limit_ms.to_string()),
        (Field::Regions, regions(&route.allowed_regions)),
    ]
}

pub(super) fn service_values(service: &ServiceSpec) -> Values {
    let mut values = vec![
        (Field::MaxConnections, service.max_connections.to_string()),
        (Field::ColdDuration, optional(service.cold_s)),
        (Field::ColdRate, optional(service.cold_per_s)),
    ];
    let of_engine =
        |value: fn(&EngineSpec) -> String| service.engine.as_ref().map_or("not set".into(), value);
    let engine: [(Field, EngineValue); 11] = [
        (Field::Slots, |e| e.slots.to_string()),
        (Field::MemoryTokens, |e| e.memory_tokens.to_string()),
        (Field::Stride, |e| optional(e.stride)),
        (Field::Step, |e| e.step_ms.to_string()),
        (Field::StepPerStream, |e| optional(e.per_stream_ms)),
        (Field::StepPerContext, |e| optional(e.context_ms_per_k)),
        (Field::PrefillRate, |e| e.prefill_per_s.to_string()),
        (Field::AttentionPerPairs, |e| optional(e.attention_ms)),
        (Field::ChunkTokens, |e| optional(e.chunk_tokens)),
        (Field::HelperStep, |e| optional(e.helper_step_ms)),
        (Field::MeanOutputTokens, |e| optional(e.mean_output_tokens)),
    ];
    values.extend(engine.into_iter().map(|(field, value)| (field, of_engine(value))));
    values
}

pub(super) fn workspace_values(workspace: &WorkspaceSpec) -> Values {
    vec![
        (Field::Priority, optional(workspace.priority)),
        (Field::Regions, regions(&workspace.allowed_regions)),
    ]
}

fn optional(value: Option<impl Display>) -> String {
    value.map_or("not set".into(), |value| value.to_string())
}

fn regions(regions: &[RegionName]) -> String {
    let names: BTreeSet<&str> = regions.iter().map(RegionName::as_str).collect();
    match names.is_empty() {
        true => "all".into(),
        false => names.into_iter().collect::<Vec<_>>().join(" "),
    }
}
