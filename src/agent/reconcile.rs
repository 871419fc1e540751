//! Keeps ledger and engine in step: confirms releases and cancels orphans.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::endpoint::Slot;
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
pub async fn run_sweep(node: Arc<Node>, slot: Arc<Slot>, cx: CancellationToken) {
    let mut failures = 0;
    loop {
        let healthy = sweep_once(&node, &slot).await;
        failures = if healthy { 0 } else { failures + 1 };
        if failures == MOST_FAILURES && slot.set_fit(false) {
            event!(node.log, EndpointUnfit, "endpoint" => slot.name.as_str());
        }
        slot.tick(node.now());
        tokio::select! {
            () = cx.cancelled() => return,
            () = sleep(INTERVAL) => {}
        }
    }
}

/// Looks once at an endpoint; false when it does not answer or the inventory lacks it.
pub async fn sweep_once(node: &Node, slot: &Slot) -> bool {
    let Some(kind) = node.config().servers.get(&slot.name).map(|s| s.kind) else {
        return false;
    };
    if kind == ServerKind::Service {
        let healthy = slot.service.probe().await;
        if healthy {
            slot.open_service();
        }
        return healthy;
    }
    confirm_releases(node, slot).await;
    let Ok(report) = slot.engine.load().await else { return false };
    for id in slot.take_report(node.now(), report) {
        event!(node.log, OrphanCancelled, "endpoint" => slot.name.as_str(), "id" => id.clone());
        node.metrics.orphans.inc();
        let _ = slot.engine.cancel(&id).await;
    }
    true
}

async fn confirm_releases(node: &Node, slot: &Slot) {
    for (key, since) in slot.releasing() {
        confirm_release(node, slot, &key, since).await;
    }
}

async fn confirm_release(node: &Node, slot: &Slot, key: &AttemptKey, since: Duration) {
    match slot.engine.cancel(&key.engine_request_id()).await {
        Ok(()) => slot.finish(node.now(), key),
        Err(e) => {
            let age = node.now().saturating_sub(since);
            if age >= RELEASE_ALARM && age < RELEASE_ALARM + INTERVAL * 2 {
                let endpoint = slot.name.as_str();
                event!(node.log, ReleaseOverdue, "endpoint" => endpoint, "e" => e.to_string());
            }
        }
    }
}
