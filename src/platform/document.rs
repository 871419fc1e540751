//! The operators' configuration document.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::findings::{Findings, Place};
use crate::gateway::config::{CallerLimits, GatewayConfig, RetryPolicy, Route, Service, Workspace};
use crate::gateway::engine_model::EngineModel;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireDocument {
    version: u64,
    routes: Vec<WireRoute>,
    /// Services; the name on the wire is that of their endpoints.
    backends: Vec<WireService>,
    limits: Option<WireLimits>,
    /// Workspaces.
    tenants: Option<Vec<WireWorkspace>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireRoute {
    name: SmolStr,
    hostname: SmolStr,
    path_prefix: SmolStr,
    r#type: SmolStr,
    #[serde(default)]
    timeout_ms: u64,
    /// Objective: the time within which an answer is worth most.
    goal_ms: Option<u64>,
    prio: Option<u32>,
    backend: Option<SmolStr>,
    split: Option<Vec<WireTarget>>,
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    /// Longest pause between events.
    itl_target_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTarget {
    backend: SmolStr,
    weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireService {
    name: SmolStr,
    max_conns: Option<u32>,
    runtime: Option<WireRuntime>,
}

#[derive(Deserialize)]
struct WireRuntime {
    #[serde(rename = "Slots")]
    slots: u32,
    #[serde(rename = "KvCapacity")]
    memory_tokens: u64,
    #[serde(rename = "Stride")]
    stride: Option<u32>,
    step_ms: f64,
    per_seq_ms: Option<f64>,
    context_per_k: Option<f64>,
    read_per_s: f64,
    pairs_per_m: Option<f64>,
    chunk: Option<u32>,
    #[serde(rename = "HopMs")]
    hop_ms: Option<f64>,
    usual: Option<WireUsual>,
}

#[derive(Deserialize)]
struct WireUsual {
    answer: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireWorkspace {
    name: SmolStr,
    #[serde(default)]
    api_keys: Vec<SmolStr>,
    prio: Option<u32>,
}

/// Reads and checks a document.
///
/// # Errors
/// All problems, with their places.
pub fn decode(body: &[u8]) -> Result<GatewayConfig, Findings> {
    let mut findings = Findings::default();
    let document: WireDocument = match serde_json::from_slice(body) {
        Ok(document) => document,
        Err(e) => {
            let (line, column) = (e.line(), e.column());
            findings.add(Place::File { path: "document".into(), line, column }, e.to_string());
            return Err(findings);
        }
    };
    let mut config = GatewayConfig::default();
    config.version = document.version;
    if let Some(limits) = &document.limits {
        config.limits = decode_limits(limits);
    }
    for service in &document.backends {
        let decoded = Service {
            name: service.name.clone(),
            max_connections: service.max_conns.unwrap_or(64),
            engine: service.runtime.as_ref().map(decode_engine),
        };
        config.services.insert(service.name.clone(), Arc::new(decoded));
    }
    for (at, route) in document.routes.iter().enumerate() {
        let place = Place::Whole(format!("Routes[{at}] {}", route.name));
        let decoded = decode_route(route, &config, &place, &mut findings);
        if !config.add_route(decoded) {
            findings.add(place, "host and path prefix are taken by another route");
        }
    }
    if let Some(workspaces) = &document.tenants {
        config.keys = Some(decode_keys(workspaces, &mut findings));
    }
    if findings.is_empty() { Ok(config) } else { Err(findings) }
}

fn decode_limits(limits: &WireLimits) -> CallerLimits {
    CallerLimits {
        header_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}

fn decode_engine(runtime: &WireRuntime) -> EngineModel {
    let usual = EngineModel::default();
    EngineModel {
        slots: runtime.slots,
        memory_tokens: runtime.memory_tokens,
        stride: runtime.stride.unwrap_or(1),
        step_ms: runtime.step_ms,
        per_stream_ms: runtime.per_seq_ms.unwrap_or(0.0),
        context_ms_per_k: runtime.context_per_k.unwrap_or(0.0),
        prefill_tokens_per_ms: (runtime.read_per_s / 1000.0).max(0.001),
        attention_ms_per_m_pairs: runtime.pairs_per_m.unwrap_or(0.0),
        chunk_tokens: runtime.chunk.unwrap_or(usual.chunk_tokens),
        hop_ms: runtime.hop_ms.unwrap_or(0.0),
        mean_output_tokens: runtime.usual.as_ref().map_or(usual.mean_output_tokens, |u| u.answer),
    }
}

fn decode_route(
    route: &WireRoute,
    config: &GatewayConfig,
    place: &Place,
    findings: &mut Findings,
) -> Route {
    let targets = decode_targets(route);
    if route.timeout_ms == 0 {
        findings.add(place.clone(), "the timeout is 0");
    }
    for (name, _) in &targets {
        if !config.services.contains_key(name) {
            findings.add(place.clone(), format!("service {name} is not declared"));
        }
    }
    if targets.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>() == 0 {
        findings.add(place.clone(), "the weights add up to 0");
    }
    let streams = route.r#type == "streaming";
    let repeatable = if streams { route.resumable } else { route.r#type == "safe" };
    let timeout = Duration::from_millis(route.timeout_ms);
    Route {
        name: route.name.clone(),
        host: SmolStr::new(route.hostname.to_ascii_lowercase()),
        prefix: route.path_prefix.clone(),
        retry_policy: if repeatable { RetryPolicy::Idempotent } else { RetryPolicy::Never },
        streams,
        timeout,
        objective: route.goal_ms.map_or(timeout / 4, Duration::from_millis),
        pause_limit: Duration::from_millis(route.itl_target_ms.unwrap_or(0)),
        priority: route.prio.unwrap_or(1),
        targets,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        public: route.public,
    }
}

fn decode_targets(route: &WireRoute) -> Vec<(SmolStr, u32)> {
    match (&route.split, &route.backend) {
        (Some(split), _) => split.iter().map(|t| (t.backend.clone(), t.weight)).collect(),
        (None, Some(service)) => vec![(service.clone(), 1)],
        (None, None) => Vec::new(),
    }
}

fn decode_keys(
    workspaces: &[WireWorkspace],
    findings: &mut Findings,
) -> HashMap<SmolStr, Arc<Workspace>> {
    let mut keys = HashMap::new();
    for (at, workspace) in workspaces.iter().enumerate() {
        let decoded =
            Arc::new(Workspace { name: workspace.name.clone(), priority: workspace.prio });
        let own: HashSet<&SmolStr> = workspace.api_keys.iter().collect();
        for key in own {
            if keys.insert(key.clone(), Arc::clone(&decoded)).is_some() {
                let place = Place::Whole(format!("Tenants[{at}] {}", workspace.name));
                findings.add(place, "one of its keys belongs to another workspace too");
            }
        }
    }
    keys
}
