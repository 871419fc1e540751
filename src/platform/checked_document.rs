//! Translates the platform's configuration document for the checks of `config_check`.

use std::str::from_utf8;

use super::document::{
    self, DEFAULT_MAX_CONNECTIONS, WireDocument, WireRoute, WireRuntime, WireService, WireWorkspace,
};
use super::headers::strip_port;
use crate::config_check::model::{
    ConfigDocument, EngineSpec, Field, LimitsSpec, RouteSpec, ServiceSpec, WorkspaceKey,
    WorkspaceSpec,
};
use crate::document::MAX_DOCUMENT_BYTES;
use crate::findings::{Findings, Place};

/// A document that is JSON of the right form.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    /// The document.
    pub document: ConfigDocument,
    /// What control rejects the document for.
    pub refused: Findings,
}

/// Reads a document that comes from `source`, which findings name.
///
/// ```
/// let body = br#"{"Version": 1, "Routes": [], "Backends": []}"#;
/// let read = bitternlead::platform::checked_document::read("new.json", body).unwrap();
/// assert_eq!(read.document.version, 1);
/// assert!(read.refused.is_empty());
/// ```
///
/// # Errors
/// The document is too large, or it is no JSON of the right form.
pub fn read(source: &str, body: &[u8]) -> Result<CheckedDocument, Findings> {
    if let Some(text) = describe_unusable(body) {
        let mut findings = Findings::default();
        findings.add(Place::File { path: source.into(), line: 0, column: 0 }, text);
        return Err(findings);
    }
    let wire = document::parse(body).map_err(|findings| with_source(source, &findings))?;
    let refused = document::build(&wire).err().unwrap_or_default();
    Ok(CheckedDocument { document: translate(wire), refused })
}

/// What is wrong with a body that is no JSON at all, for the common cases in which the position of
/// the JSON error does not help.
fn describe_unusable(body: &[u8]) -> Option<String> {
    if body.len() > MAX_DOCUMENT_BYTES {
        let text = format!("larger than {MAX_DOCUMENT_BYTES} bytes, which control rejects");
        return Some(text);
    }
    if let Err(e) = from_utf8(body) {
        let at = e.valid_up_to();
        return Some(format!("no text file: invalid UTF-8 at byte {at}; name the JSON document"));
    }
    if body.starts_with("\u{feff}".as_bytes()) {
        return Some("begins with a byte order mark; save the file without it".into());
    }
    let is_empty = body.iter().all(u8::is_ascii_whitespace);
    is_empty.then(|| "the file is empty; name the JSON document".into())
}

fn with_source(source: &str, findings: &Findings) -> Findings {
    let mut named = Findings::default();
    for finding in findings.list() {
        let place = match finding.place.clone() {
            Place::File { line, column, .. } => Place::File { path: source.into(), line, column },
            other => other,
        };
        named.add(place, format!("not a valid document: {}", finding.text));
    }
    named
}

fn translate(wire: WireDocument) -> ConfigDocument {
    let limits = wire.limits.map(|limits| LimitsSpec {
        header_bytes: limits.max_header_bytes,
        body_bytes: limits.max_body_bytes,
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
    });
    let routes = wire.routes.into_iter().enumerate();
    let services = wire.backends.into_iter().enumerate();
    let workspaces = wire.tenants.map(|list| list.into_iter().enumerate());
    ConfigDocument {
        version: wire.version,
        routes: routes.map(|(index, route)| translate_route(index, route)).collect(),
        services: services.map(|(index, service)| translate_service(index, service)).collect(),
        limits,
        workspaces: workspaces
            .map(|list| list.map(|(index, w)| translate_workspace(index, w)).collect()),
        field_name,
    }
}

fn translate_route(index: usize, route: WireRoute) -> RouteSpec {
    RouteSpec {
        place: route.place(index),
        host_without_port: strip_port(&route.hostname).into(),
        is_idempotent: route.is_idempotent(),
        targets: route.targets(),
        name: route.name,
        host: route.hostname,
        prefix: route.path_prefix,
        kind: route.r#type,
        resumable: route.resumable,
        timeout_ms: route.timeout_ms,
        objective_ms: route.goal_ms,
        pause_limit_ms: route.itl_target_ms.unwrap_or(0),
        priority: route.prio,
        ignored_service: route.split.and(route.backend),
        max_attempts: route.max_attempts.unwrap_or(1),
        public: route.public,
        allowed_regions: route.allowed_regions.unwrap_or_default(),
    }
}

fn translate_service(index: usize, service: WireService) -> ServiceSpec {
    ServiceSpec {
        place: Place::Whole(format!("Backends[{index}] {}", service.name)),
        name: service.name,
        max_connections: service.max_conns.unwrap_or(DEFAULT_MAX_CONNECTIONS),
        engine: service.runtime.map(translate_engine),
        cold_s: service.cold_s,
        cold_per_s: service.cold_per_s,
    }
}

fn translate_engine(runtime: WireRuntime) -> EngineSpec {
    EngineSpec {
        slots: runtime.slots,
        memory_tokens: runtime.memory_tokens,
        stride: runtime.stride,
        step_ms: runtime.step_ms,
        per_stream_ms: runtime.per_seq_ms,
        context_ms_per_k: runtime.context_per_k,
        prefill_per_s: runtime.read_per_s,
        attention_ms: runtime.pairs_per_m,
        chunk_tokens: runtime.chunk,
        helper_step_ms: runtime.hop_ms,
        mean_output_tokens: runtime.usual.map(|usual| usual.answer),
    }
}

fn translate_workspace(index: usize, workspace: WireWorkspace) -> WorkspaceSpec {
    WorkspaceSpec {
        place: workspace.place(index),
        name: workspace.name,
        keys: workspace.api_keys.into_iter().map(WorkspaceKey::new).collect(),
        priority: workspace.prio,
        allowed_regions: workspace.allowed_regions.unwrap_or_default(),
    }
}

/// Name of a field in the platform's document.
fn field_name(field: Field) -> &'static str {
    match field {
        Field::Version => "Version",
        Field::CallerLimits => "Limits",
        Field::MaxHeaderBytes => "MaxHeaderBytes",
        Field::MaxBodyBytes => "MaxBodyBytes",
        Field::HeaderTimeout => "HeaderTimeoutMs",
        Field::IdleTimeout => "IdleTimeoutMs",
        Field::Workspaces => "Tenants",
        Field::Name => "Name",
        Field::Host => "Hostname",
        Field::Prefix => "PathPrefix",
        Field::Kind => "Type",
        Field::Timeout => "TimeoutMs",
        Field::Objective => "GoalMs",
        Field::Priority => "Prio",
        Field::Service => "Backend",
        Field::Targets => "Split",
        Field::MaxAttempts => "MaxAttempts",
        Field::Public => "Public",
        Field::Resumable => "Resumable",
        Field::PauseLimit => "ItlTargetMs",
        Field::Regions => "AllowedRegions",
        Field::MaxConnections => "MaxConns",
        Field::Slots => "Slots",
        Field::MemoryTokens => "KvCapacity",
        Field::Stride => "Stride",
        Field::Step => "step_ms",
        Field::StepPerStream => "per_seq_ms",
        Field::StepPerContext => "context_per_k",
        Field::PrefillRate => "read_per_s",
        Field::AttentionPerPairs => "pairs_per_m",
        Field::ChunkTokens => "chunk",
        Field::HelperStep => "HopMs",
        Field::MeanOutputTokens => "usual.answer",
        Field::ColdDuration => "ColdS",
        Field::ColdRate => "ColdPerS",
        Field::Keys => "ApiKeys",
    }
}
