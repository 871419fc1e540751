//! Configuration of the gateway: routes, services, limits and workspaces' keys.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use super::engine_model::EngineModel;
use crate::ids::{Version, WorkspaceName};

/// What may be repeated about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Never,
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: SmolStr,
    /// Host in lower case.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run again; for streams, whether they may be resumed.
    pub repeat: Repeat,
    /// Whether answers are streams of events.
    pub streams: bool,
    /// Longest time that a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or a stream's first event, is worth most.
    pub objective: Duration,
    /// Longest pause between events of a stream that is still in time.
    pub pause_limit: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights.
    pub targets: Vec<(SmolStr, u32)>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: SmolStr,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// Timing of its engines; plain services have none.
    pub engine: Option<EngineModel>,
}

/// A workspace as its key tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// Rank that goes before that of the route.
    pub priority: Option<u32>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration, indexed for requests.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version.
    pub version: Version,
    /// Bounds on callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<SmolStr, Arc<Service>>,
    /// Workspaces by key; `None` when requests need no keys at all.
    pub keys: Option<HashMap<SmolStr, Arc<Workspace>>>,
    routes: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
}

impl GatewayConfig {
    /// Adds a route; false if its host and prefix are taken.
    pub fn add_route(&mut self, route: Route) -> bool {
        let of_host = self.routes.entry(route.host.clone()).or_default();
        if of_host.contains_key(&route.prefix) {
            return false;
        }
        of_host.insert(route.prefix.clone(), Arc::new(route));
        true
    }

    /// Finds the route with the longest prefix that begins `path`.
    ///
    /// The cost grows with the number of slashes in the path, not with the number of routes.
    ///
    /// ```
    /// use bitternlead::gateway::config::GatewayConfig;
    ///
    /// assert!(GatewayConfig::default().find_route("a.example", "/x/y").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let of_host = match self.routes.get(host) {
            Some(of_host) => of_host,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = of_host.get(&path[..=slash]) {
                return Some(route);
            }
            end = slash;
        }
        None
    }
}
