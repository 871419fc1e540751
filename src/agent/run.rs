//! Starts and stops an agent process.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::Logger;
use smol_str::SmolStr;
use tokio_util::sync::CancellationToken;

use super::admission::AdmissionConfig;
use super::attempt_runner::AttemptRunner;
use super::dedup::DedupTable;
use super::endpoint::ManagedEndpoint;
use super::orders::OrderExecutor;
use super::outcome_recorder::OutcomeRecorder;
use super::reconcile;
use super::role::AgentRole;
use super::server::AgentHandler;
use crate::event;
use crate::http;
use crate::node::Node;
use crate::process::{self, RunError, ShutdownSignals};
use crate::settings::AgentSettings;
use crate::wire::server;

/// Time after a drain, and again after cancellation, in which final messages and outcomes are sent.
const FLUSH_PERIOD: Duration = Duration::from_millis(300);

/// Runs an agent until a signal ends it; drains before it returns.
///
/// # Errors
/// Fails when an address cannot be bound or signal handlers cannot be installed.
pub async fn run(settings: AgentSettings, log: Logger) -> Result<(), RunError> {
    let mut signals = ShutdownSignals::new()?;
    let common = settings.common.clone();
    let (listener, addr) = process::bind(settings.listen).await?;
    let (admin_listener, admin_addr) = process::bind(common.admin_listen).await?;
    let cx = CancellationToken::new();
    let address = settings.advertise.unwrap_or(addr).to_string();
    let (node, link) = Node::start(&common, "agent", address, &settings.control, &log, &cx);
    let endpoints = build_endpoints(&settings);
    for endpoint in endpoints.values() {
        tokio::spawn(reconcile::run_reconciler(
            Arc::clone(&node),
            Arc::clone(endpoint),
            cx.clone(),
        ));
    }
    let (orders, queue) = OrderExecutor::new(Arc::clone(&node));
    let orders = Arc::new(orders);
    tokio::spawn(Arc::clone(&orders).run(queue, endpoints.clone(), cx.clone()));
    let runner = Arc::new(AttemptRunner {
        node: Arc::clone(&node),
        dedup: Mutex::new(DedupTable::default()),
        outcomes: OutcomeRecorder::new(Arc::clone(&node), cx.clone()),
    });
    let handler = Arc::new(AgentHandler::new(runner, endpoints.clone(), cx.clone()));
    let serving = {
        let (handler, log, cx) = (Arc::clone(&handler), log.clone(), cx.clone());
        server::serve(listener, handler, link, log, cx)
    };
    tokio::spawn(serving);
    let role =
        AgentRole { node: Arc::clone(&node), endpoints, orders, pending_sync: Mutex::default() };
    let sync = tokio::spawn({
        let (node, cx) = (Arc::clone(&node), cx.clone());
        async move { node.run_sync(&role, cx).await }
    });
    let admin = http::add_probes(viz::Router::new(), node.readiness.clone(), node.metrics.clone());
    tokio::spawn(http::serve(admin_listener, admin, cx.clone()));
    event!(log, ProcessStarted, "address" => addr.to_string());
    process::print_ready(&[("agent", addr), ("admin", admin_addr)]);
    signals.next().await;
    node.shutdown.cancel();
    node.readiness.set(false);
    node.draining.cancel();
    let drain_timeout = Duration::from_millis(common.drain_limit_ms);
    process::drain(&log, &mut signals, drain_timeout, || handler.unfinished_attempts()).await;
    tokio::time::sleep(FLUSH_PERIOD).await;
    cx.cancel();
    sync.abort();
    tokio::time::sleep(FLUSH_PERIOD).await;
    event!(log, ProcessStopped);
    Ok(())
}

fn build_endpoints(settings: &AgentSettings) -> HashMap<SmolStr, Arc<ManagedEndpoint>> {
    let cfg = AdmissionConfig {
        max_waiting: settings.max_waiting,
        max_running: settings.max_running,
        ..AdmissionConfig::default()
    };
    let build = |(name, addr): &(SmolStr, std::net::SocketAddr)| {
        (name.clone(), Arc::new(ManagedEndpoint::new(name.clone(), *addr, cfg.clone())))
    };
    settings.endpoints.iter().map(build).collect()
}
