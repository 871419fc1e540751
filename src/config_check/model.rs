//! Configuration document as the checks see it: values with their units, without the names that the
//! platform gives them.

use std::fmt;

use smol_str::SmolStr;

use crate::findings::Place;
use crate::ids::{RegionName, Tokens, Version, WorkspaceName};

/// Field of a document; findings and differences name it as the document does.
#[expect(missing_docs, reason = "each is described at the field of the model that it names")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Field {
    Version,
    CallerLimits,
    MaxHeaderBytes,
    MaxBodyBytes,
    HeaderTimeout,
    IdleTimeout,
    Workspaces,
    Name,
    Host,
    Prefix,
    Kind,
    Timeout,
    Objective,
    Priority,
    Service,
    Targets,
    MaxAttempts,
    Public,
    Resumable,
    PauseLimit,
    Regions,
    MaxConnections,
    Slots,
    MemoryTokens,
    Stride,
    Step,
    StepPerStream,
    StepPerContext,
    PrefillRate,
    AttentionPerPairs,
    ChunkTokens,
    HelperStep,
    MeanOutputTokens,
    ColdDuration,
    ColdRate,
    Keys,
}

/// A configuration document.
#[derive(Clone, Debug)]
pub struct ConfigDocument {
    /// Of several documents the one with the highest version is in force.
    pub version: Version,
    /// Routes in the order of the document.
    pub routes: Vec<RouteSpec>,
    /// Services in the order of the document.
    pub services: Vec<ServiceSpec>,
    /// Limits on requests of callers; `None` for the defaults.
    pub limits: Option<LimitsSpec>,
    /// Workspaces; `None` if callers need no key.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
    /// Names of the fields in the document.
    pub field_name: fn(Field) -> &'static str,
}

/// A route.
#[derive(Clone, Debug)]
pub struct RouteSpec {
    /// Where it stands in the document.
    pub place: Place,
    /// Name used in log events.
    pub name: SmolStr,
    /// Host as written.
    pub host: SmolStr,
    /// The host without what is removed from the host of a request before the two are compared.
    pub host_without_port: SmolStr,
    /// Path prefix as written.
    pub prefix: SmolStr,
    /// Kind of its requests, as written.
    pub kind: SmolStr,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Whether a broken stream may be continued elsewhere.
    pub resumable: bool,
    /// Time for a whole request in milliseconds.
    pub timeout_ms: u64,
    /// Response time objective in milliseconds; `None` for a quarter of the timeout.
    pub objective_ms: Option<u64>,
    /// Limit on pauses between tokens in milliseconds; 0 for none.
    pub pause_limit_ms: u64,
    /// Priority; `None` if the route declares none.
    pub priority: Option<u32>,
    /// Service that the weighted targets replace; `None` unless both are given.
    pub ignored_service: Option<SmolStr>,
    /// Services with their weights.
    pub targets: Vec<(SmolStr, u32)>,
    /// Endpoints that a request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// Regions that requests may be sent to; all if empty.
    pub allowed_regions: Vec<RegionName>,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Where it stands in the document.
    pub place: Place,
    /// Name that routes refer to.
    pub name: SmolStr,
    /// Connections that an endpoint accepts.
    pub max_connections: u32,
    /// Performance model of its engines.
    pub engine: Option<EngineSpec>,
    /// Seconds for which an endpoint is cold after a start.
    pub cold_s: Option<f64>,
    /// Requests per second that a cold endpoint can handle.
    pub cold_per_s: Option<f64>,
}

/// Performance model of an engine.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// KV memory in tokens.
    pub memory_tokens: Tokens,
    /// Decoding steps in a pass.
    pub stride: Option<u32>,
    /// Base time of a step in milliseconds.
    pub step_ms: f64,
    /// Milliseconds that a stream adds to a step.
    pub per_stream_ms: Option<f64>,
    /// Milliseconds that a thousand tokens of context add to a step.
    pub context_ms_per_k: Option<f64>,
    /// Prompt tokens that are prefilled in a second.
    pub prefill_per_s: f64,
    /// Milliseconds of attention for a million token pairs.
    pub attention_ms: Option<f64>,
    /// Prompt tokens that are prefilled in a step.
    pub chunk_tokens: Option<u32>,
    /// Milliseconds that helpers add to a step.
    pub helper_step_ms: Option<f64>,
    /// Mean number of tokens that a request generates.
    pub mean_output_tokens: Option<u32>,
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct LimitsSpec {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceSpec {
    /// Where it stands in the document.
    pub place: Place,
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Keys as written, with repetitions.
    pub keys: Vec<WorkspaceKey>,
    /// Priority that takes precedence over that of the route.
    pub priority: Option<u32>,
    /// Regions that requests may be sent to; all if empty.
    pub allowed_regions: Vec<RegionName>,
}

/// Key of a workspace. It can be compared and not printed, so that no output contains it.
///
/// ```
/// use bitternlead::config_check::model::WorkspaceKey;
///
/// let key = WorkspaceKey::new("secret");
/// assert_eq!(key, WorkspaceKey::new("secret"));
/// assert_eq!(format!("{key:?}"), "WorkspaceKey");
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkspaceKey(SmolStr);

impl WorkspaceKey {
    /// Wraps a key.
    pub fn new(key: impl Into<SmolStr>) -> Self {
        Self(key.into())
    }
}

impl fmt::Debug for WorkspaceKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("WorkspaceKey")
    }
}
