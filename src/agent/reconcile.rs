//! Reconciles an endpoint's KV reservations with its engine.
//!
//! Pending releases are cancelled at the engine until it acknowledges them. Orphans, requests that
//! the engine runs without a reservation, are cancelled too.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::endpoint::ManagedEndpoint;
use super::ledger::AttemptKey;
use crate::config::ServerKind;
use crate::event;
use crate::node::Node;

/// Interval between health checks of an endpoint.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive failed checks after which an endpoint counts as unhealthy.
const FAILURES_UNTIL_UNHEALTHY: u32 = 2;

/// Age from which a release that the engine has not acknowledged is logged as overdue.
const RELEASE_OVERDUE_AGE: Duration = Duration::from_secs(10);

/// Checks and reconciles one endpoint periodically until cancelled.
pub async fn run_reconciler(
    node: Arc<Node>,
    endpoint: Arc<ManagedEndpoint>,
    cx: CancellationToken,
) {
    let mut failures = 0;
    loop {
        let healthy = reconcile_once(&node, &endpoint).await;
        failures = if healthy { 0 } else { failures + 1 };
        if failures == FAILURES_UNTIL_UNHEALTHY && endpoint.set_healthy(false) {
            event!(node.log, EndpointUnfit, "endpoint" => endpoint.name.as_str());
        }
        endpoint.tick(node.now());
        tokio::select! {
            () = cx.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

/// Checks and reconciles an endpoint once.
///
/// Returns false when the endpoint does not answer or is not in the configuration.
pub async fn reconcile_once(node: &Node, endpoint: &ManagedEndpoint) -> bool {
    let Some(kind) = node.config().servers.get(&endpoint.name).map(|s| s.kind) else {
        return false;
    };
    if kind == ServerKind::Service {
        let healthy = endpoint.service.probe().await;
        if healthy {
            endpoint.mark_service_healthy();
        }
        return healthy;
    }
    cancel_releasing(node, endpoint).await;
    let Ok(report) = endpoint.engine.load().await else { return false };
    for id in endpoint.apply_load_report(node.now(), report) {
        event!(node.log, OrphanCancelled, "endpoint" => endpoint.name.as_str(), "id" => id.clone());
        node.metrics.orphans.inc();
        let _ = endpoint.engine.cancel(&id).await;
    }
    true
}

/// Cancels all attempts whose release is pending.
async fn cancel_releasing(node: &Node, endpoint: &ManagedEndpoint) {
    for (key, since) in endpoint.releasing() {
        cancel_attempt(node, endpoint, &key, since).await;
    }
}

/// Cancels an ended attempt at its engine and releases its memory once the engine acknowledges.
///
/// `since` is the time at which the attempt ended. An overdue release is logged only within a
/// window of two check intervals, so that it doesn't fill the log.
async fn cancel_attempt(
    node: &Node,
    endpoint: &ManagedEndpoint,
    key: &AttemptKey,
    since: Duration,
) {
    match endpoint.engine.cancel(&key.engine_request_id()).await {
        Ok(()) => endpoint.finish(node.now(), key),
        Err(e) => {
            let age = node.now().saturating_sub(since);
            if age >= RELEASE_OVERDUE_AGE && age < RELEASE_OVERDUE_AGE + CHECK_INTERVAL * 2 {
                let name = endpoint.name.as_str();
                event!(node.log, ReleaseOverdue, "endpoint" => name, "e" => e.to_string());
            }
        }
    }
}
