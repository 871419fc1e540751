//! Starts and ends an entry.

use std::sync::Arc;
use std::time::Duration;

use slog::Logger;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use super::burn_meter::BurnMeter;
use super::callers::{self, Callers, CallersConfig};
use super::driver::Driver;
use super::filter;
use super::fleet_view::FleetView;
use super::limits::WorkspaceLimits;
use super::links::Links;
use crate::event;
use crate::http;
use crate::node::{Node, SyncRole};
use crate::process::{self, RunError, ShutdownSignals};
use crate::settings::EntrySettings;
use crate::wire::link::LinkConfig;
use crate::wire::{Sync, SyncReply};

/// Time between unreadiness and the refusal of new work, for balancers to notice.
const UNREADY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for the last counts of a drain.
const LAST_REPORT: Duration = Duration::from_secs(6);

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

/// Runs an entry until it is told to end.
///
/// # Errors
/// An address could not be bound or signals could not be taken.
pub async fn run(settings: EntrySettings, log: Logger) -> Result<(), RunError> {
    let mut signals = ShutdownSignals::new()?;
    let common = settings.common.clone();
    let (callers_listener, callers_addr) = process::bind(settings.listen).await?;
    let (admin_listener, admin_addr) = process::bind(common.admin_listen).await?;
    let cx = CancellationToken::new();
    let (node, link) = Node::start(&common, "entry", String::new(), &settings.control, &log, &cx);
    let view = Arc::new(FleetView::new(xxh3_64(common.node.as_bytes())));
    let burn = Arc::new(BurnMeter::default());
    let callers = build_callers(&settings, &node, &view, &burn, link, &cx);
    let role = EntryRole { node: Arc::clone(&node), view };
    let sync = tokio::spawn({
        let (node, cx) = (Arc::clone(&node), cx.clone());
        async move { node.run_sync(&role, cx).await }
    });
    // The last counts need the link to control, which ends with `cx`.
    let burn_cx = CancellationToken::new();
    let burning = tokio::spawn({
        let (node, cx) = (Arc::clone(&node), burn_cx.clone());
        async move { burn.run(node, cx).await }
    });
    let admin = http::add_probes(viz::Router::new(), node.readiness.clone(), node.metrics.clone());
    tokio::spawn(http::serve(admin_listener, admin, cx.clone()));
    let router = callers::build_router(callers);
    let served = tokio::spawn(http::serve(callers_listener, router, cx.clone()));
    event!(log, ProcessStarted, "callers" => callers_addr.to_string());
    process::print_ready(&[("callers", callers_addr), ("admin", admin_addr)]);
    signals.next().await;
    node.leaving.cancel();
    node.readiness.set(false);
    tokio::time::sleep(UNREADY_PAUSE).await;
    node.draining.cancel();
    let limit = Duration::from_millis(common.drain_limit_ms);
    let under_way = || node.metrics.in_flight.get().max(0) as usize;
    process::drain(&log, &mut signals, limit, under_way).await;
    burn_cx.cancel();
    let _ = tokio::time::timeout(LAST_REPORT, burning).await;
    cx.cancel();
    let _ = tokio::time::timeout(Duration::from_secs(2), served).await;
    sync.abort();
    event!(log, ProcessStopped);
    Ok(())
}

fn build_callers(
    settings: &EntrySettings,
    node: &Arc<Node>,
    view: &Arc<FleetView>,
    burn: &Arc<BurnMeter>,
    link: LinkConfig,
    cx: &CancellationToken,
) -> Arc<Callers> {
    let limits = Arc::new(WorkspaceLimits::default());
    let links = Links::new(Arc::clone(node), Arc::clone(view), link, cx.clone());
    let driver = Driver {
        node: Arc::clone(node),
        view: Arc::clone(view),
        links,
        limits,
        router: settings.routing.build(),
        rng: Driver::seeded_rng(settings.seed),
    };
    Arc::new(Callers {
        driver: Arc::new(driver),
        burn: Arc::clone(burn),
        cfg: CallersConfig {
            max_body: settings.max_body,
            body_limit: Duration::from_millis(settings.body_limit_ms),
        },
        head: filter::head_chain(),
        body: filter::body_chain(),
        cx: cx.clone(),
    })
}
