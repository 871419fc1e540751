//! Runs the process of a control replica from its start to its orderly end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use slog::Logger;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::core::{Core, CoreView, Input};
use super::core_config::CoreConfig;
use super::joining::request_join;
use super::node_registry::NodeRegistryConfig;
use super::peers::PeerSender;
use super::state::ControlState;
use super::store::Store;
use super::{operators, server, zone_drains};
use crate::clock::boot_now;
use crate::event;
use crate::http::{self, Readiness};
use crate::metrics::Metrics;
use crate::process::{self, RunError, ShutdownSignals};
use crate::raft::{Raft, RaftConfig};
use crate::settings::ControlSettings;
use crate::wire::Replica;
use crate::wire::link::LinkConfig;

/// Delay between two attempts to join a cluster.
const JOIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Interval at which metrics and readiness are updated from the core.
const METRICS_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a control replica until the process receives a signal to end.
///
/// # Errors
/// The data directory could not be opened, its snapshot could not be decoded, an address could not
/// be bound, or signals could not be handled.
pub async fn run(settings: ControlSettings, log: Logger) -> Result<(), RunError> {
    let mut signals = ShutdownSignals::new()?;
    let common = settings.common.clone();
    let opened = Store::open(&settings.data)
        .inspect_err(|e| event!(log, StoreRefused, "reason" => e.to_string()))?;
    if opened.torn_bytes > 0 {
        event!(log, LogTailTruncated, "bytes" => opened.torn_bytes);
    }
    let (listener, addr) = process::bind(settings.listen).await?;
    let (operators_listener, operators_addr) = process::bind(settings.operators_listen).await?;
    let (admin_listener, admin_addr) = process::bind(common.admin_listen).await?;
    let cx = CancellationToken::new();
    let link = LinkConfig {
        node: common.node.to_string(),
        role: "control".into(),
        max_frame: common.max_frame,
        ..LinkConfig::default()
    };
    let address = settings.advertise.unwrap_or(addr).to_string();
    let own = Replica {
        id: opened.store.id(),
        address: address.clone(),
        operators: operators_addr.to_string(),
        zone: common.zone.to_string(),
        ..Replica::default()
    };
    let state = match &opened.persisted.snapshot {
        Some(data) => ControlState::decode(data).map_err(|source| RunError::Snapshot { source })?,
        None => ControlState::default(),
    };
    let raft_cfg = RaftConfig {
        election_timeout: Duration::from_millis(settings.election_ms),
        heartbeat: Duration::from_millis(settings.heartbeat_ms),
        ..RaftConfig::default()
    };
    let raft = Raft::new(own.id, raft_cfg, rand::random(), boot_now(), opened.persisted);
    let peers = PeerSender::new(Handle::current(), link.clone(), address, cx.clone());
    let core_cfg = CoreConfig {
        lease: Duration::from_millis(settings.lease_ms),
        snapshot_entries: settings.snapshot_entries,
        registry: NodeRegistryConfig {
            warmup: Duration::from_millis(settings.settle_ms),
            ..NodeRegistryConfig::default()
        },
        ..CoreConfig::default()
    };
    let core = Core::new(core_cfg, own.clone(), raft, opened.store, state, peers, log.clone());
    let (tx, rx) = channel();
    let thread = std::thread::spawn(move || core.run(rx));
    let handler = server::build_handler(tx.clone());
    tokio::spawn(crate::wire::server::serve(
        listener,
        handler,
        link.clone(),
        log.clone(),
        cx.clone(),
    ));
    tokio::spawn(join_cluster(tx.clone(), own, settings.join.clone(), link, cx.clone()));
    let router = operators::build_router(tx.clone(), settings.operator_token.clone());
    tokio::spawn(http::serve(operators_listener, router, cx.clone()));
    let (readiness, metrics) = (Readiness::default(), Arc::new(Metrics::default()));
    tokio::spawn(update_probes(tx.clone(), readiness.clone(), Arc::clone(&metrics), cx.clone()));
    let admin = http::add_probes(viz::Router::new(), readiness.clone(), metrics);
    tokio::spawn(http::serve(admin_listener, admin, cx.clone()));
    event!(log, ProcessStarted, "address" => addr.to_string());
    process::print_ready(&[
        ("control", addr),
        ("operators", operators_addr),
        ("admin", admin_addr),
    ]);
    signals.next().await;
    event!(log, ProcessDraining);
    readiness.set(false);
    let _ = tx.send(Input::Stop);
    let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    cx.cancel();
    event!(log, ProcessStopped);
    Ok(())
}

/// Reads the core's state; none once the core has ended.
async fn read_core<T: Send + 'static>(
    core: &Sender<Input>,
    f: impl FnOnce(&CoreView<'_>) -> T + Send + 'static,
) -> Option<T> {
    let (tx, rx) = oneshot::channel();
    let read = Box::new(move |view: CoreView<'_>| {
        let _ = tx.send(f(&view));
    });
    core.send(Input::Read(read)).ok()?;
    rx.await.ok()
}

/// Keeps readiness and metrics up to date. A replica is ready while it knows a leader.
async fn update_probes(
    core: Sender<Input>,
    readiness: Readiness,
    metrics: Arc<Metrics>,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() {
        let state = read_core(&core, |view| {
            let knows_leader = view.raft.leader().is_some();
            let version = view.state.config.version();
            let drained = zone_drains::read(&view.state.config).zones.len();
            (knows_leader, view.raft.is_leader(), view.state.applied_index, version, drained)
        });
        let Some((knows_leader, leads, applied, version, drained)) = state.await else { return };
        readiness.set(knows_leader);
        metrics.leader.set(i64::from(leads));
        metrics.applied_index.set(applied);
        metrics.config_version.set(version);
        metrics.zones_drained.set(drained as i64);
        sleep(METRICS_INTERVAL).await;
    }
}

/// Asks the replicas at `others` to let this one join, until it is a member of a cluster.
async fn join_cluster(
    core: Sender<Input>,
    own: Replica,
    others: Vec<SocketAddr>,
    link: LinkConfig,
    cx: CancellationToken,
) {
    while !cx.is_cancelled() {
        let id = own.id;
        let is_member =
            read_core(&core, move |view| view.raft.replicas().iter().any(|r| r.id == id));
        match is_member.await {
            Some(false) => {}
            _ => return,
        }
        for addr in &others {
            request_join(*addr, &own, &link, &cx).await;
        }
        sleep(JOIN_RETRY_DELAY).await;
    }
}
