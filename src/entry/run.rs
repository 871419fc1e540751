//! Startup and shutdown of an entry.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::burn_meter::BurnMeter;
use super::client_api::{self, ClientApi, ClientApiConfig};
use super::driver::Driver;
use super::filter;
use super::fleet_view::FleetView;
use super::limits::WorkspaceLimits;
use super::link_pool::LinkPool;
use crate::event;
use crate::http;
use crate::node::{Node, SyncRole};
use crate::process::{self, RunError, ShutdownSignals};
use crate::settings::EntrySettings;
use crate::wire::link::LinkConfig;
use crate::wire::{Sync, SyncReply};

/// Time between the failing readiness probe and the refusal of new requests, in which load
/// balancers take the entry out of rotation.
const UNREADY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait for the last burn report at shutdown.
const FINAL_REPORT_TIMEOUT: Duration = Duration::from_secs(6);

/// Part of an entry that takes part in the sync with control.
struct EntryRole {
    node: Arc<Node>,
    view: Arc<FleetView>,
}

impl SyncRole for EntryRole {
    fn fill_sync(&self, sync: &mut Sync) {
        let (term, version) = self.view.version();
        sync.wants_members = true;
        sync.members_term = term;
        sync.members_version = version;
    }

    fn apply_reply(&self, reply: SyncReply) {
        if !reply.superseded {
            self.view.apply(self.node.now(), &reply);
        }
    }
}

/// Runs an entry until a termination signal, then drains and stops it.
///
/// # Errors
/// An address could not be bound, or the signal handlers could not be installed.
pub async fn run(settings: EntrySettings, log: Logger) -> Result<(), RunError> {
    let mut signals = ShutdownSignals::new()?;
    let common = settings.common.clone();
    let (client_listener, client_addr) = process::bind(settings.listen).await?;
    let (admin_listener, admin_addr) = process::bind(common.admin_listen).await?;
    let cx = CancellationToken::new();
    let (node, link) = Node::start(&common, "entry", String::new(), &settings.control, &log, &cx);
    let view = Arc::new(FleetView::new(xxh3_64(common.node.as_bytes())));
    let burn = Arc::new(BurnMeter::default());
    let api = build_client_api(&settings, &node, &view, &burn, link, &cx);
    let role = EntryRole { node: Arc::clone(&node), view };
    let sync_task = tokio::spawn({
        let (node, cx) = (Arc::clone(&node), cx.clone());
        async move { node.run_sync(&role, cx).await }
    });
    // The burn meter has its own token, cancelled before `cx`, because its last report needs the
    // connection to control, which closes with `cx`.
    let burn_cx = CancellationToken::new();
    let burn_task = tokio::spawn({
        let (node, cx) = (Arc::clone(&node), burn_cx.clone());
        async move { burn.run(node, cx).await }
    });
    let admin = http::add_probes(viz::Router::new(), node.readiness.clone(), node.metrics.clone());
    tokio::spawn(http::serve(admin_listener, admin, cx.clone()));
    let router = client_api::build_router(api);
    let server_task = tokio::spawn(http::serve(client_listener, router, cx.clone()));
    event!(log, ProcessStarted, "callers" => client_addr.to_string());
    process::print_ready(&[("callers", client_addr), ("admin", admin_addr)]);
    signals.next().await;
    node.shutdown.cancel();
    node.readiness.set(false);
    tokio::time::sleep(UNREADY_DELAY).await;
    node.draining.cancel();
    let drain_timeout = Duration::from_millis(common.drain_limit_ms);
    let count_in_flight = || node.metrics.in_flight.get().max(0) as usize;
    process::drain(&log, &mut signals, drain_timeout, count_in_flight).await;
    burn_cx.cancel();
    let _ = tokio::time::timeout(FINAL_REPORT_TIMEOUT, burn_task).await;
    cx.cancel();
    let _ = tokio::time::timeout(Duration::from_secs(2), server_task).await;
    sync_task.abort();
    event!(log, ProcessStopped);
    Ok(())
}

fn build_client_api(
    settings: &EntrySettings,
    node: &Arc<Node>,
    view: &Arc<FleetView>,
    burn: &Arc<BurnMeter>,
    link: LinkConfig,
    cx: &CancellationToken,
) -> Arc<ClientApi> {
    let limits = Arc::new(WorkspaceLimits::default());
    let links = LinkPool::new(Arc::clone(node), Arc::clone(view), link, cx.clone());
    let driver = Driver {
        node: Arc::clone(node),
        view: Arc::clone(view),
        links,
        limits,
        router: settings.routing.build(),
        rng: Driver::seeded_rng(settings.seed),
    };
    Arc::new(ClientApi {
        driver: Arc::new(driver),
        burn: Arc::clone(burn),
        cfg: ClientApiConfig {
            max_body: settings.max_body,
            body_timeout: Duration::from_millis(settings.body_limit_ms),
        },
        header_filters: filter::build_header_filters(),
        body_filters: filter::build_body_filters(),
        cx: cx.clone(),
    })
}
