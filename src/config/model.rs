//! Types of the inventory and the rules. Their JSON form is stored in configuration records.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{EndpointName, ModelName, Tokens, WorkspaceName, ZoneName};

/// Kind of a server's endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// Inference engine, which serves models.
    #[default]
    Engine,
    /// HTTP service, which serves calls by method and path.
    Service,
}

/// Server of the inventory; it has one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Unique name; the endpoint is reported under it.
    pub name: EndpointName,
    /// Host that it runs on; a drain may name it instead of the server.
    pub host: SmolStr,
    /// Availability zone of the host.
    pub zone: ZoneName,
    /// Region of the zone; may be empty.
    pub region: SmolStr,
    /// Engine, unless the inventory says otherwise.
    pub kind: ServerKind,
    /// Models that an engine should have loaded.
    pub models: Vec<ModelName>,
    /// Services that it serves; empty for engines.
    pub services: Vec<SmolStr>,
    /// Number of accelerators in the server.
    pub accelerators: u64,
    /// KV cache capacity in tokens; 0 takes the capacity that the engine reports.
    pub kv_tokens: Tokens,
    /// Whether the server itself rejects orders whose number is older than one that it has seen.
    pub checks_orders: bool,
}

/// Priority of a workspace's requests.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// A user waits for the response.
    #[default]
    Interactive,
    /// No user waits; the request may queue behind interactive ones.
    Batch,
}

impl Priority {
    /// Numeric priority for engines and queues; lower values go first.
    pub fn level(self) -> u32 {
        match self {
            Self::Interactive => 0,
            Self::Batch => 10,
        }
    }
}

/// Limits and keys of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Unique name, used in metrics and claims.
    pub name: WorkspaceName,
    /// SHA-256 hashes of its bearer keys, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Share of a saturated fleet, relative to the weights of other workspaces.
    pub weight: u64,
    /// Sustained rate limit in requests per second.
    pub requests_per_s: u64,
    /// Maximum number of requests that run at once.
    pub concurrency: u64,
    /// Maximum prompt length in tokens.
    pub max_prompt_tokens: Tokens,
    /// Deadline of a request in milliseconds from its arrival.
    pub deadline_ms: u64,
    /// Priority of all its requests.
    pub priority: Priority,
    /// Objective for the time to the first token of short prompts, in milliseconds.
    pub objective_ms: u64,
}

impl Default for Workspace {
    fn default() -> Self {
        Self {
            name: WorkspaceName::default(),
            key_hashes: Vec::new(),
            weight: 1,
            requests_per_s: 100,
            concurrency: 256,
            max_prompt_tokens: 1_000_000,
            deadline_ms: 120_000,
            priority: Priority::Interactive,
            objective_ms: 790,
        }
    }
}

/// Rules of one HTTP service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Unique name, the first part of a call's path after `/services/`.
    pub name: SmolStr,
    /// Calls that are idempotent and may be retried; all others run at most once.
    pub idempotent: Vec<CallPattern>,
}

/// Pattern that selects calls of a service by method and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallPattern {
    /// HTTP method, compared without case.
    pub method: SmolStr,
    /// Path; a trailing `*` matches any suffix.
    pub path: SmolStr,
}

impl CallPattern {
    /// Whether the pattern matches a call.
    ///
    /// ```
    /// use bitternlead::config::CallPattern;
    ///
    /// let pattern = CallPattern { method: "GET".into(), path: "/slots/*".into() };
    /// assert!(pattern.matches("GET", "/slots/7"));
    /// assert!(!pattern.matches("POST", "/slots/7"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        path_matches && method.eq_ignore_ascii_case(&self.method)
    }
}

/// Model that servers of the fleet may serve.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Unique name, which callers send in requests.
    pub name: ModelName,
}

/// Recurring busy hours in local time, for which models are loaded in advance.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Name of the schedule, unique among the schedules.
    pub name: SmolStr,
    /// IANA time zone of all times of the schedule.
    pub time_zone: SmolStr,
    /// Days of the week on which the window starts, from 1 (Monday) to 7; empty means every day.
    pub days: Vec<u8>,
    /// Start of the busy hours, in minutes after local midnight.
    pub start_min: u32,
    /// End of the busy hours, in minutes after local midnight; not after the start means on the
    /// next day.
    pub end_min: u32,
    /// Models that have to be loaded during the busy hours.
    pub models: Vec<ModelName>,
    /// Servers on which the models are loaded.
    pub servers: Vec<EndpointName>,
    /// Minutes before the start at which loading begins.
    pub lead_min: u32,
}

/// Limits of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Maximum number of model loads from the weight store that run at once.
    pub loads_at_once: u64,
    /// Prompts of more than this many tokens are confined to a share of the engines.
    pub long_prompt_tokens: Tokens,
    /// Share of a model's engines that may serve long prompts, in percent.
    pub long_share_percent: u64,
    /// Retry budget in percent of first attempts.
    pub retry_percent: u64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self {
            loads_at_once: 2,
            long_prompt_tokens: 32_000,
            long_share_percent: 34,
            retry_percent: 20,
        }
    }
}
