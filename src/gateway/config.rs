//! Configuration of the gateway: routes, services, limits and the keys of workspaces.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smol_str::SmolStr;

use super::eligibility::regions::RegionSet;
use super::placement::engine_model::EngineModel;
use crate::findings::{Findings, Place};
use crate::ids::{RegionName, Version, WorkspaceName};

/// Whether a request may be sent again after it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// It may run more than once.
    Idempotent,
    /// It must not run more than once.
    Never,
}

/// Destination and limits of the requests for one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in log events.
    pub name: SmolStr,
    /// Host name in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may run again, and whether a broken stream may be resumed.
    pub retry_policy: RetryPolicy,
    /// Whether successful responses are event streams.
    pub streams: bool,
    /// Maximum time until the response; a caller's shorter timeout takes precedence.
    pub timeout: Duration,
    /// Time to the response or a stream's first event within which the request counts as in time.
    pub objective: Duration,
    /// Maximum pause between the events of a stream that counts as in time; zero for no limit.
    pub pause_limit: Duration,
    /// Priority of requests whose workspace has none; 0 is the most urgent.
    pub priority: u32,
    /// Names of the services with their weights; a request goes to one of them at random.
    pub targets: Vec<(SmolStr, u32)>,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Regions that requests may be sent to.
    pub allowed_regions: RegionSet,
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name that endpoints announce themselves with.
    pub name: SmolStr,
    /// Maximum number of connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Cost model of the service's engines; `None` if its endpoints are not engines.
    pub engine: Option<EngineModel>,
    /// What a cold endpoint can handle; `None` if cold endpoints are served as others.
    pub cold: Option<ColdRate>,
}

/// What the endpoints of a service can handle while they are cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRate {
    /// Requests per second that a cold endpoint can handle.
    pub per_s: f64,
    /// Time for which an endpoint is cold after a start.
    pub duration: Duration,
}

/// A workspace as found by a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Name sent to endpoints.
    pub name: WorkspaceName,
    /// Priority of its requests; it takes precedence over that of the route.
    pub priority: Option<u32>,
    /// Regions that its requests may be sent to, as far as the route allows them too.
    pub allowed_regions: RegionSet,
}

/// Limits on requests of callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub header_timeout: Duration,
    /// Maximum time that a connection of a caller may be idle.
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

/// A complete configuration, indexed for lookup by request.
#[derive(Clone, Debug, Default)]
pub struct GatewayConfig {
    /// Version of the document that the configuration was read from.
    pub version: Version,
    /// Limits on requests of callers.
    pub limits: CallerLimits,
    /// Services by name.
    pub services: HashMap<SmolStr, Arc<Service>>,
    /// Workspaces by key; `None` if no route requires a key.
    pub keys: Option<HashMap<SmolStr, Arc<Workspace>>>,
    /// Regions that routes and workspaces name, with the places where they do.
    pub named_regions: Vec<(Place, RegionName)>,
    routes: HashMap<SmolStr, HashMap<SmolStr, Arc<Route>>>,
    declared_priorities: HashMap<SmolStr, BTreeSet<u32>>,
}

impl GatewayConfig {
    /// Adds a route; false if there already is one for its host and prefix.
    pub fn add_route(&mut self, route: Route) -> bool {
        let of_host = self.routes.entry(route.host.clone()).or_default();
        if of_host.contains_key(&route.prefix) {
            return false;
        }
        of_host.insert(route.prefix.clone(), Arc::new(route));
        true
    }

    /// Reports the regions that routes and workspaces name and that are not among `known`.
    pub fn find_unknown_regions(&self, known: &BTreeSet<RegionName>) -> Findings {
        let mut findings = Findings::default();
        for (place, region) in self.named_regions.iter().filter(|(_, name)| !known.contains(name)) {
            findings.add(place.clone(), format!("no known zone belongs to region {region:?}"));
        }
        findings
    }

    /// Records that a streaming route to this service declares a priority.
    pub fn declare_priority(&mut self, service: &SmolStr, priority: u32) {
        self.declared_priorities.entry(service.clone()).or_default().insert(priority);
    }

    /// Whether the streaming routes to this service declare more than one priority, so that its requests
    /// wait in one order.
    ///
    /// ```
    /// use bitternlead::gateway::config::GatewayConfig;
    ///
    /// let mut config = GatewayConfig::default();
    /// config.declare_priority(&"engines".into(), 0);
    /// assert!(!config.has_order("engines"));
    /// config.declare_priority(&"engines".into(), 2);
    /// assert!(config.has_order("engines"));
    /// ```
    pub fn has_order(&self, service: &str) -> bool {
        self.declared_priorities.get(service).is_some_and(|p| p.len() > 1)
    }

    /// Finds the route with the longest prefix that matches `path`.
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
