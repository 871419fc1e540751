//! The values that an inventory and rules are made of.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{EndpointName, ModelName, Tokens, WorkspaceName, ZoneName};

/// What an endpoint is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerKind {
    /// A model engine.
    #[default]
    Engine,
    /// A plain service.
    Service,
}

/// One server of the inventory.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Name; its endpoint announces itself under it.
    pub name: EndpointName,
    /// Host that it runs on.
    pub host: SmolStr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region.
    pub region: SmolStr,
    /// Engine or service.
    pub kind: ServerKind,
    /// Models that it should carry.
    pub models: Vec<ModelName>,
    /// Plain services that it answers for.
    pub services: Vec<SmolStr>,
    /// Number of accelerators.
    pub accelerators: u64,
    /// KV memory in tokens; 0 leaves it to the engine's report.
    pub kv_tokens: Tokens,
    /// Whether it refuses orders with an old number itself.
    pub checks_orders: bool,
}

/// How soon a workspace's requests should be answered.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Somebody waits.
    #[default]
    Interactive,
    /// Can wait.
    Batch,
}

impl Priority {
    /// Number for engines and queues; lower is sooner.
    pub fn level(self) -> u32 {
        match self {
            Self::Interactive => 0,
            Self::Batch => 10,
        }
    }
}

/// Rules of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// SHA-256 of its bearer keys, in hexadecimal.
    pub key_hashes: Vec<String>,
    /// Share of a busy fleet relative to other workspaces.
    pub weight: u64,
    /// Requests a second over a longer time.
    pub requests_per_s: u64,
    /// Requests at once.
    pub concurrency: u64,
    /// Longest prompt.
    pub max_prompt_tokens: Tokens,
    /// Time within which a request finishes or fails, in milliseconds.
    pub deadline_ms: u64,
    /// Priority.
    pub priority: Priority,
    /// Objective for the first token of short prompts, in milliseconds.
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

/// Rules of one plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: SmolStr,
    /// Calls that may be repeated; all others may not.
    pub idempotent: Vec<CallPattern>,
}

/// Calls of a service by method and path.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallPattern {
    /// HTTP method.
    pub method: SmolStr,
    /// Path; a trailing `*` stands for any rest.
    pub path: SmolStr,
}

impl CallPattern {
    /// Whether a call fits.
    ///
    /// ```
    /// use bitternlead::config::CallPattern;
    ///
    /// let pattern = CallPattern { method: "GET".into(), path: "/slots/*".into() };
    /// assert!(pattern.matches("GET", "/slots/7"));
    /// assert!(!pattern.matches("POST", "/slots/7"));
    /// ```
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let fits_path = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => path == self.path,
        };
        fits_path && method.eq_ignore_ascii_case(&self.method)
    }
}

/// A model of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name.
    pub name: ModelName,
}

/// Busy hours of a workspace in its local time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    /// Name.
    pub name: SmolStr,
    /// IANA time zone.
    pub time_zone: SmolStr,
    /// Weekdays from 1 (Monday) to 7; empty means every day.
    pub days: Vec<u8>,
    /// Start of the busy time, in minutes after local midnight.
    pub start_min: u32,
    /// End of the busy time, in minutes after local midnight.
    pub end_min: u32,
    /// Models that have to be loaded then.
    pub models: Vec<ModelName>,
    /// Servers on which they are loaded.
    pub servers: Vec<EndpointName>,
    /// Minutes before the start at which loading begins.
    pub lead_min: u32,
}

/// Limits of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Models loaded from the weight store at once.
    pub loads_at_once: u64,
    /// Prompts over this many tokens are kept to few engines.
    pub long_prompt_tokens: Tokens,
    /// Share of a model's engines that may take long prompts, in percent.
    pub long_share_percent: u64,
    /// Share of fresh requests that may be retried, in percent.
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
