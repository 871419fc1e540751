//! Keeps ledger and engine in step: confirms releases and cancels orphans.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::endpoint::ManagedEndpoint;
use super::ledger::AttemptKey;
use crate::config::ServerKind;
use crate::event;
use crate::node::Node;

/// Interval between looks at an endpoint.
const INTERVAL: Duration = Duration::from_millis(300);

/// Failed looks in a row after which an endpoint is unfit.
const MOST_FAILURES: u32 = 2;

/// Time after which an unconfirmed release is worth an alarm.
const RELEASE_ALARM: Duration = Duration::from_secs(10);

/// Watches one endpoint until cancelled.
pub async fn run_sweep(node: Arc<Node>, endpoint: Arc<ManagedEndpoint>, cx: CancellationToken) {
    let mut failures = 0;
    loop {
        let healthy = sweep_once(&node, &endpoint).await;
        failures = if healthy { 0 } else { failures + 1 };
        if failures == MOST_FAILURES && endpoint.set_healthy(false) {
            event!(node.log, EndpointUnfit, "endpoint" => endpoint.name.as_str());
        }
        endpoint.tick(node.now());
        tokio::select! {
            () = cx.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
    }
}

/// Looks once at an endpoint; false when it does not answer or the inventory lacks it.
pub async fn sweep_once(node: &Node, endpoint: &ManagedEndpoint) -> bool {
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
    confirm_releases(node, endpoint).await;
    let Ok(report) = endpoint.engine.load().await else { return false };
    for id in endpoint.apply_load_report(node.now(), report) {
        event!(node.log, OrphanCancelled, "endpoint" => endpoint.name.as_str(), "id" => id.clone());
        node.metrics.orphans.inc();
        let _ = endpoint.engine.cancel(&id).await;
    }
    true
}

async fn confirm_releases(node: &Node, endpoint: &ManagedEndpoint) {
    for (key, since) in endpoint.releasing() {
        confirm_release(node, endpoint, &key, since).await;
    }
}

async fn confirm_release(
    node: &Node,
    endpoint: &ManagedEndpoint,
    key: &AttemptKey,
    since: Duration,
) {
    match endpoint.engine.cancel(&key.engine_request_id()).await {
        Ok(()) => endpoint.finish(node.now(), key),
        Err(e) => {
            let age = node.now().saturating_sub(since);
            if age >= RELEASE_ALARM && age < RELEASE_ALARM + INTERVAL * 2 {
                let name = endpoint.name.as_str();
                event!(node.log, ReleaseOverdue, "endpoint" => name, "e" => e.to_string());
            }
        }
    }
}
