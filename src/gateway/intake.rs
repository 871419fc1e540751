//! Takes a request in: finds its route, workspace and service, and reads its body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, request};
use hyper::body::Incoming;
use rand::RngExt;
use tokio::time::timeout;

use super::active_request::ActiveRequest;
use super::collect::{CollectError, Collected, collect, discard};
use super::config::{GatewayConfig, Route, Service, Workspace};
use super::crashes::recent_suspects::Suspect;
use super::crashes::watch;
use super::dialect::CallerHead;
use super::exclusions::Exclusions;
use super::memory_budget::HeldKind;
use super::responses::{ResponseBody, default_retry_after, jittered_retry_after, refuse, reject};
use super::startup;
use super::state::Gateway;
use crate::clock::boot_now;
use crate::event;
use crate::ids::Moment;

/// Maximum wait for room in the memory budget before a request is refused. Its caller needs the rest
/// of its time to come back.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(500);

/// Fraction of a caller's time that it may wait for room in the memory budget.
const ROOM_WAIT_SHARE: f64 = 0.25;

/// Retry delay suggested when a body found no room.
const ROOM_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Response to a request that is refused or rejected.
type Refusal = Response<ResponseBody>;

/// Takes a request in. An error is the response to a request that is refused or rejected.
pub async fn admit(
    gateway: &Arc<Gateway>,
    head: request::Parts,
    body: Incoming,
    caller: CallerHead,
) -> Result<ActiveRequest, Refusal> {
    let started = boot_now();
    let config = find_config(gateway, &caller, started).await?;
    let Some(route) = config.find_route(&caller.host, head.uri.path()).cloned() else {
        return Err(reject(gateway, &caller, StatusCode::NOT_FOUND, "no such route", &config));
    };
    let Ok(workspace) = find_workspace(&config, &route, &caller) else {
        return Err(reject(gateway, &caller, StatusCode::UNAUTHORIZED, "unknown key", &config));
    };
    let Some(service) = choose_service(&config, &route) else {
        return Err(refuse(gateway, &caller.id, "no service", default_retry_after(&caller)));
    };
    let priority = workspace.as_ref().and_then(|w| w.priority).unwrap_or(route.priority);
    let of_workspace = workspace.as_ref().map(|w| w.allowed_regions.clone()).unwrap_or_default();
    let allowed_regions = route.allowed_regions.and(&of_workspace);
    let wait_limit = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let body = read_body(gateway, &config, &caller, body, wait_limit).await?;
    let suspect = Arc::new(Suspect {
        request: caller.id.clone(),
        prompt_parts: caller.prompt_parts.join(","),
        keys: watch::suspect_keys(&caller, &head, &body),
    });
    let entries = gateway.in_flight.lock().entry_count();
    gateway.budget.lock().record_request(started, &service.name, entries);
    Ok(ActiveRequest {
        gateway: Arc::clone(gateway),
        config,
        route,
        service,
        caller,
        head,
        body,
        priority,
        allowed_regions,
        workspace: workspace.map(|w| w.name.clone()),
        started,
        deadline: started + wait_limit,
        sends: 0,
        may_have_run: false,
        exclusions: Exclusions::default(),
        suspect,
    })
}

/// Configuration for a request that has just arrived.
async fn find_config(
    gateway: &Arc<Gateway>,
    caller: &CallerHead,
    arrived: Moment,
) -> Result<Arc<GatewayConfig>, Refusal> {
    let refusal = |reason| refuse(gateway, &caller.id, reason, default_retry_after(caller));
    if gateway.closing.is_cancelled() {
        return Err(refusal("this process is ending"));
    }
    let config = startup::wait_for_config(gateway, caller, arrived).await;
    config.ok_or_else(|| refusal("no configuration yet"))
}

/// The caller's key belongs to no workspace, or there is none.
struct UnknownKey;

/// Workspace of the caller's key; `None` if the route needs no key.
fn find_workspace(
    config: &GatewayConfig,
    route: &Route,
    caller: &CallerHead,
) -> Result<Option<Arc<Workspace>>, UnknownKey> {
    let Some(keys) = config.keys.as_ref().filter(|_| !route.public) else { return Ok(None) };
    let found = caller.key.as_ref().and_then(|key| keys.get(key)).cloned();
    found.map(Some).ok_or(UnknownKey)
}

/// Reads the whole body within the limits of the configuration and the memory budget.
async fn read_body(
    gateway: &Gateway,
    config: &GatewayConfig,
    caller: &CallerHead,
    mut body: Incoming,
    limit: Duration,
) -> Result<Bytes, Refusal> {
    let wait = MAX_ROOM_WAIT.min(limit.mul_f64(ROOM_WAIT_SHARE));
    let max = config.limits.body_bytes;
    let collected = collect(&gateway.memory, &mut body, Collected::Request, max, wait);
    let (status, reason) = match timeout(limit, collected).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(CollectError::TooLarge)) => {
            discard(body);
            (StatusCode::PAYLOAD_TOO_LARGE, "body too large")
        }
        Ok(Err(CollectError::NoRoom(_))) => {
            event!(gateway.log, MemoryRefused, "request" => caller.id.as_str(),
                "bodies" => gateway.memory.held(HeldKind::Body),
                "large_bodies" => gateway.memory.held(HeldKind::LargeBody),
                "wait_ms" => wait.as_millis() as u64);
            discard(body);
            let after = jittered_retry_after(ROOM_RETRY_AFTER, limit);
            return Err(refuse(gateway, &caller.id, "no memory for the body", after));
        }
        Ok(Err(CollectError::Broken(_))) => (StatusCode::BAD_REQUEST, "body not complete"),
        Err(_) => (StatusCode::REQUEST_TIMEOUT, "body too slow"),
    };
    Err(reject(gateway, caller, status, reason, config))
}

/// Picks one of the route's services at random, by weight.
fn choose_service(config: &GatewayConfig, route: &Route) -> Option<Arc<Service>> {
    let total_weight: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total_weight == 0 {
        return None;
    }
    let mut ticket = rand::rng().random_range(0..total_weight);
    for (name, weight) in &route.targets {
        if ticket < *weight {
            return config.services.get(name).cloned();
        }
        ticket -= weight;
    }
    None
}
