//! Decodes the platform's configuration document, JSON written by operators, into the
//! configuration of the gateway. Unknown fields are ignored.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use smol_str::SmolStr;

use crate::findings::{Findings, Place};
use crate::gateway::config::{
    CallerLimits, ColdRate, GatewayConfig, RetryPolicy, Route, Service, Workspace,
};
use crate::gateway::eligibility::regions::RegionSet;
use crate::gateway::placement::engine_model::EngineModel;
use crate::ids::RegionName;
use crate::wire::Document;

/// Connections that an endpoint of a service accepts if the document does not say.
pub(super) const DEFAULT_MAX_CONNECTIONS: u32 = 64;

/// The document; field names are those of the platform.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "an object with a version, routes and services")]
pub(super) struct WireDocument {
    /// Of several documents the one with the highest version is in force.
    pub(super) version: u64,
    pub(super) routes: Vec<WireRoute>,
    /// Services that routes refer to by name.
    pub(super) backends: Vec<WireService>,
    pub(super) limits: Option<WireLimits>,
    /// Workspaces; if missing, callers need no key.
    pub(super) tenants: Option<Vec<WireWorkspace>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "a route object")]
pub(super) struct WireRoute {
    pub(super) name: SmolStr,
    /// Host of the request, compared without case.
    pub(super) hostname: SmolStr,
    pub(super) path_prefix: SmolStr,
    /// `streaming`, `safe` (may be repeated), or anything else for calls that may not.
    pub(super) r#type: SmolStr,
    /// Time for a whole request; must not be 0.
    #[serde(default)]
    pub(super) timeout_ms: u64,
    /// Response time objective; a quarter of the timeout if missing.
    pub(super) goal_ms: Option<u64>,
    /// Priority at the engine; 1 if missing.
    pub(super) prio: Option<u32>,
    /// The only target; ignored if `split` is there.
    pub(super) backend: Option<SmolStr>,
    /// Weighted targets, which take precedence over `backend`.
    pub(super) split: Option<Vec<WireTarget>>,
    /// Endpoints that a request may be sent to; 1 if missing.
    pub(super) max_attempts: Option<u32>,
    /// Whether callers need no key.
    #[serde(default)]
    pub(super) public: bool,
    /// Whether a broken stream may be continued by another endpoint.
    #[serde(default)]
    pub(super) resumable: bool,
    /// Longest pause between two events of a stream; 0 or missing if it has none.
    pub(super) itl_target_ms: Option<u64>,
    /// Regions that requests may be sent to; all if missing or empty.
    pub(super) allowed_regions: Option<Vec<RegionName>>,
}

/// Service and its weight among the targets of a route.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "an object with a service and its weight")]
pub(super) struct WireTarget {
    pub(super) backend: SmolStr,
    pub(super) weight: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "a service object")]
pub(super) struct WireService {
    pub(super) name: SmolStr,
    /// Connections that one endpoint accepts from all callers together; 64 if missing.
    pub(super) max_conns: Option<u32>,
    /// Performance model of the engines; missing for plain services.
    pub(super) runtime: Option<WireRuntime>,
    /// Seconds for which an endpoint is cold after a start; missing or 0 for no bound.
    pub(super) cold_s: Option<f64>,
    /// Requests per second that a cold endpoint can handle; missing or 0 for no bound.
    pub(super) cold_per_s: Option<f64>,
}

/// The part of the document that names services.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceNames {
    backends: Vec<ServiceName>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ServiceName {
    name: SmolStr,
    health_path: Option<String>,
}

/// Performance model of an engine.
#[derive(Deserialize)]
#[serde(expecting = "an object with the performance model")]
pub(super) struct WireRuntime {
    #[serde(rename = "Slots")]
    pub(super) slots: u32,
    /// KV memory in tokens.
    #[serde(rename = "KvCapacity")]
    pub(super) memory_tokens: u64,
    /// Decoding steps in a pass that includes decoding streams; 1 if missing.
    #[serde(rename = "Stride")]
    pub(super) stride: Option<u32>,
    /// Base time of a decoding step in milliseconds.
    pub(super) step_ms: f64,
    /// Milliseconds that each stream adds to a step.
    pub(super) per_seq_ms: Option<f64>,
    /// Milliseconds that each thousand tokens of context add to a step.
    pub(super) context_per_k: Option<f64>,
    /// Prompt tokens that are prefilled in a second.
    pub(super) read_per_s: f64,
    /// Milliseconds of attention for a million token pairs.
    pub(super) pairs_per_m: Option<f64>,
    /// Prompt tokens that are prefilled in one step.
    pub(super) chunk: Option<u32>,
    /// Milliseconds that helpers add to each step of the primary engine.
    #[serde(rename = "HopMs")]
    pub(super) hop_ms: Option<f64>,
    pub(super) usual: Option<WireUsual>,
}

/// Mean sizes of requests.
#[derive(Deserialize)]
#[serde(expecting = "an object with mean sizes")]
pub(super) struct WireUsual {
    /// Mean number of tokens that a request generates.
    pub(super) answer: u32,
}

/// Limits on what callers send.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "an object with limits")]
pub(super) struct WireLimits {
    pub(super) max_header_bytes: usize,
    pub(super) max_body_bytes: usize,
    pub(super) header_timeout_ms: u64,
    pub(super) idle_timeout_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", expecting = "a workspace object")]
pub(super) struct WireWorkspace {
    pub(super) name: SmolStr,
    /// Keys that authenticate callers of the workspace; each belongs to one workspace.
    #[serde(default)]
    pub(super) api_keys: Vec<SmolStr>,
    /// Priority of its requests; that of the route if missing.
    pub(super) prio: Option<u32>,
    /// Regions that its requests may be sent to; all if missing or empty.
    pub(super) allowed_regions: Option<Vec<RegionName>>,
}

impl WireRoute {
    /// Whether requests may run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        if self.streams() { self.resumable } else { self.r#type == "safe" }
    }

    pub(super) fn streams(&self) -> bool {
        self.r#type == "streaming"
    }

    /// Services with their weights.
    pub(super) fn targets(&self) -> Vec<(SmolStr, u32)> {
        match (&self.split, &self.backend) {
            (Some(split), _) => split.iter().map(|t| (t.backend.clone(), t.weight)).collect(),
            (None, Some(service)) => vec![(service.clone(), 1)],
            (None, None) => Vec::new(),
        }
    }

    pub(super) fn place(&self, index: usize) -> Place {
        Place::Whole(format!("Routes[{index}] {}", self.name))
    }
}

impl WireWorkspace {
    pub(super) fn place(&self, index: usize) -> Place {
        Place::Whole(format!("Tenants[{index}] {}", self.name))
    }
}

/// Decodes and validates a document.
///
/// # Errors
/// The position of a JSON error, or every invalid route and workspace.
pub fn decode(body: &[u8]) -> Result<GatewayConfig, Findings> {
    build(&parse(body)?)
}

/// Reads a document without validating it.
pub(super) fn parse(body: &[u8]) -> Result<WireDocument, Findings> {
    serde_json::from_slice(body).map_err(|e| {
        let mut findings = Findings::default();
        let (line, column) = (e.line(), e.column());
        let place = Place::File { path: "document".into(), line, column };
        findings.add(place, describe_json_error(&e));
        findings
    })
}

/// Text of a JSON error. The value of a wrong type is left out, since it may be a key of a workspace
/// and the text is printed and logged.
fn describe_json_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let Some(rest) = text.strip_prefix("invalid type: ") else { return text };
    match (rest.find(['"', '`']), rest.rfind(", expected ")) {
        (Some(start), Some(end)) if start < end => {
            format!("invalid type: {}{}", rest[..start].trim_end(), &rest[end..])
        }
        _ => text,
    }
}

/// Names of the services in a document; `None` if it cannot be read.
pub(super) fn read_services(document: &Document) -> Option<HashSet<SmolStr>> {
    let content = document.content().ok()?;
    let names: ServiceNames = serde_json::from_slice(&content).ok()?;
    Some(names.backends.into_iter().map(|service| service.name).collect())
}

/// Path of the health checks of a service; `None` if the document names none.
pub(super) fn read_health_path(document: &Document, service: &str) -> Option<String> {
    let content = document.content().ok()?;
    let names: ServiceNames = serde_json::from_slice(&content).ok()?;
    names.backends.into_iter().find(|s| s.name == service)?.health_path
}

/// Validates a document.
pub(super) fn build(document: &WireDocument) -> Result<GatewayConfig, Findings> {
    let mut findings = Findings::default();
    let mut config = GatewayConfig::default();
    config.version = document.version;
    if let Some(limits) = &document.limits {
        config.limits = decode_limits(limits);
    }
    for service in &document.backends {
        let decoded = Service {
            name: service.name.clone(),
            max_connections: service.max_conns.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            engine: service.runtime.as_ref().map(decode_engine),
            cold: decode_cold_rate(service),
        };
        config.services.insert(service.name.clone(), Arc::new(decoded));
    }
    for (index, route) in document.routes.iter().enumerate() {
        let place = route.place(index);
        let decoded = decode_route(route, &config, &place, &mut findings);
        add_named_regions(&mut config, &place, &route.allowed_regions);
        if decoded.streams && route.prio.is_some() {
            for (service, _) in &decoded.targets {
                config.declare_priority(service, decoded.priority);
            }
        }
        if !config.add_route(decoded) {
            findings.add(place, "host and path prefix are taken by another route");
        }
    }
    if let Some(workspaces) = &document.tenants {
        config.keys = Some(decode_keys(workspaces, &mut findings));
        for (index, workspace) in workspaces.iter().enumerate() {
            let place = workspace.place(index);
            add_named_regions(&mut config, &place, &workspace.allowed_regions);
        }
    }
    if findings.is_empty() { Ok(config) } else { Err(findings) }
}

fn decode_regions(regions: &Option<Vec<RegionName>>) -> RegionSet {
    RegionSet::only(regions.iter().flatten().cloned())
}

fn add_named_regions(config: &mut GatewayConfig, place: &Place, regions: &Option<Vec<RegionName>>) {
    let named = regions.iter().flatten().map(|region| (place.clone(), region.clone()));
    config.named_regions.extend(named);
}

fn decode_limits(limits: &WireLimits) -> CallerLimits {
    CallerLimits {
        header_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        header_timeout: Duration::from_millis(limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
    }
}

fn decode_cold_rate(service: &WireService) -> Option<ColdRate> {
    let duration = Duration::try_from_secs_f64(service.cold_s?).ok().filter(|d| !d.is_zero())?;
    let per_s = service.cold_per_s.filter(|per_s| *per_s > 0.0)?;
    Some(ColdRate { per_s, duration })
}

fn decode_engine(runtime: &WireRuntime) -> EngineModel {
    let defaults = EngineModel::default();
    EngineModel {
        slots: runtime.slots,
        memory_tokens: runtime.memory_tokens,
        stride: runtime.stride.unwrap_or(1),
        step_ms: runtime.step_ms,
        per_stream_ms: runtime.per_seq_ms.unwrap_or(0.0),
        context_ms_per_k: runtime.context_per_k.unwrap_or(0.0),
        prefill_tokens_per_ms: (runtime.read_per_s / 1000.0).max(0.001),
        attention_ms_per_m_pairs: runtime.pairs_per_m.unwrap_or(0.0),
        chunk_tokens: runtime.chunk.unwrap_or(defaults.chunk_tokens),
        hop_ms: runtime.hop_ms.unwrap_or(0.0),
        mean_output_tokens: runtime
            .usual
            .as_ref()
            .map_or(defaults.mean_output_tokens, |u| u.answer),
    }
}

fn decode_route(
    route: &WireRoute,
    config: &GatewayConfig,
    place: &Place,
    findings: &mut Findings,
) -> Route {
    let targets = route.targets();
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
    let timeout = Duration::from_millis(route.timeout_ms);
    Route {
        name: route.name.clone(),
        host: SmolStr::new(route.hostname.to_ascii_lowercase()),
        prefix: route.path_prefix.clone(),
        retry_policy: if route.is_idempotent() {
            RetryPolicy::Idempotent
        } else {
            RetryPolicy::Never
        },
        streams: route.streams(),
        timeout,
        objective: route.goal_ms.map_or(timeout / 4, Duration::from_millis),
        pause_limit: Duration::from_millis(route.itl_target_ms.unwrap_or(0)),
        priority: route.prio.unwrap_or(1),
        targets,
        max_attempts: route.max_attempts.unwrap_or(1).max(1),
        public: route.public,
        allowed_regions: decode_regions(&route.allowed_regions),
    }
}

fn decode_keys(
    workspaces: &[WireWorkspace],
    findings: &mut Findings,
) -> HashMap<SmolStr, Arc<Workspace>> {
    let mut keys = HashMap::new();
    for (index, workspace) in workspaces.iter().enumerate() {
        let decoded = Arc::new(Workspace {
            name: workspace.name.clone(),
            priority: workspace.prio,
            allowed_regions: decode_regions(&workspace.allowed_regions),
        });
        let distinct_keys: HashSet<&SmolStr> = workspace.api_keys.iter().collect();
        for key in distinct_keys {
            if keys.insert(key.clone(), Arc::clone(&decoded)).is_some() {
                findings.add(
                    workspace.place(index),
                    "one of its keys belongs to another workspace too",
                );
            }
        }
    }
    keys
}
