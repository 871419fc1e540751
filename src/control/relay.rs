//! A control process on a host without a disk. It stores nothing: it forwards requests to join,
//! tells subscribers which replicas there are, and names a replica to which callers are redirected.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use rand::RngExt;
use slog::Logger;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::bootstrap::BootstrapService;
use super::joining::request_join;
use super::service::{SeedSource, build_link_config};
use super::subscriber::{ReplicaSubscriber, UpdateListener};
use crate::event;
use crate::http::Readiness;
use crate::process::{self, RunError};
use crate::wire::envelope::Body;
use crate::wire::link::LinkConfig;
use crate::wire::server::{Conn, Handler};
use crate::wire::{Join, JoinReply, News, Replica, Subscribe};

/// Document version of a subscriber that wants no documents; no document has a higher one.
const NO_DOCUMENT: u64 = u64::MAX;

/// Configuration of a relay.
#[derive(Clone)]
pub struct RelaySettings {
    /// Name of this node, sent to the other side of each link.
    pub node: String,
    /// Address on which the system's other processes connect.
    pub listen: SocketAddr,
    /// Address of the bootstrap coordinator; absent unless the whole system starts for the first
    /// time.
    pub coordinator: Option<SocketAddr>,
    /// Number of disks that may be lost at the same time; used only by the bootstrap coordinator.
    pub tolerance: usize,
    /// Addresses at which replicas may be found.
    pub seeds: SeedSource,
}

/// Membership as each connected replica sent it last. A replica appears with its first update.
type Memberships = BTreeMap<SocketAddr, Vec<Replica>>;

/// A running relay. It becomes ready with the first membership that a replica sends, and unready
/// when the last of these connections is lost.
pub struct ControlRelay {
    node: String,
    memberships: watch::Sender<Memberships>,
    /// Replicas that a replica advertised over a link of its own to this process.
    advertised: Mutex<Vec<SocketAddr>>,
    bootstrap: BootstrapService,
    link: LinkConfig,
    readiness: Readiness,
    log: Logger,
    cx: CancellationToken,
}

impl ControlRelay {
    /// Subscribes to the replicas and starts to serve the system's other processes.
    ///
    /// # Errors
    /// `cfg.listen` could not be bound.
    pub async fn start(
        cfg: RelaySettings,
        readiness: Readiness,
        log: Logger,
        cx: CancellationToken,
    ) -> Result<Arc<Self>, RunError> {
        let link = build_link_config(&cfg.node, "relay");
        let relay = Arc::new(Self {
            bootstrap: BootstrapService::new(cfg.coordinator, cfg.listen, cfg.tolerance),
            node: cfg.node,
            memberships: watch::Sender::default(),
            advertised: Mutex::default(),
            link: link.clone(),
            readiness,
            log: log.clone(),
            cx: cx.clone(),
        });
        let (listener, _) = process::bind(cfg.listen).await?;
        let subscriber = ReplicaSubscriber::new(
            Arc::clone(&relay) as Arc<dyn UpdateListener>,
            link.clone(),
            cx.clone(),
        );
        tokio::spawn(Arc::clone(&subscriber).run(relay.extend_seeds(cfg.seeds)));
        let handler = Arc::new(RelayHandler { relay: Arc::clone(&relay), subscriber });
        let serving = crate::wire::server::serve(listener, handler, link.clone(), log, cx.clone());
        tokio::spawn(serving);
        Ok(relay)
    }

    /// Returns a source of the seeds and of the replicas that were advertised to this process.
    fn extend_seeds(self: &Arc<Self>, seeds: SeedSource) -> SeedSource {
        let relay = Arc::clone(self);
        Arc::new(move || {
            let mut all = seeds();
            all.extend(relay.advertised.lock().iter());
            all
        })
    }

    /// Returns the operators' address of a random connected replica; none if there is none.
    pub fn pick_operators_address(&self) -> Option<String> {
        let memberships = self.memberships.borrow();
        let replicas = connected_replicas(&memberships);
        if replicas.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..replicas.len());
        Some(replicas[at].operators.clone())
    }

    /// Removes what a replica sent; unready if it was the last one.
    fn forget(&self, control: SocketAddr) {
        self.memberships.send_modify(|memberships| {
            memberships.remove(&control);
        });
        self.readiness.set(!self.memberships.borrow().is_empty());
    }

    /// Asks connected replicas in turn to let another replica join; true once one has accepted it.
    async fn forward_join(&self, replica: Replica) -> bool {
        let replicas: Vec<SocketAddr> = self.memberships.borrow().keys().copied().collect();
        for addr in replicas {
            if request_join(addr, &replica, &self.link, &self.cx).await {
                return true;
            }
        }
        false
    }
}

/// Returns the members that are connected to this process themselves, each once.
fn connected_replicas(memberships: &Memberships) -> Vec<Replica> {
    let mut replicas: Vec<Replica> = Vec::new();
    for replica in memberships.values().flatten() {
        let connected = replica.address.parse().is_ok_and(|addr| memberships.contains_key(&addr));
        if connected && !replicas.iter().any(|r| r.address == replica.address) {
            replicas.push(replica.clone());
        }
    }
    replicas
}

impl UpdateListener for ControlRelay {
    fn subscription(&self) -> Subscribe {
        let node = self.node.clone();
        Subscribe {
            node,
            document_version: NO_DOCUMENT,
            replicas_only: true,
            ..Subscribe::default()
        }
    }

    fn on_connected(&self, control: SocketAddr) {
        event!(self.log, ControlReachable, "control" => control.to_string());
    }

    fn on_update(&self, control: SocketAddr, update: News) {
        if update.replicas.is_empty() {
            return;
        }
        self.memberships.send_modify(|memberships| {
            memberships.insert(control, update.replicas);
        });
        self.readiness.set(true);
    }

    fn on_disconnected(&self, control: SocketAddr) {
        self.forget(control);
        event!(self.log, ControlUnreachable, "control" => control.to_string());
    }

    fn on_removed(&self, control: SocketAddr) {
        self.forget(control);
    }
}

struct RelayHandler {
    relay: Arc<ControlRelay>,
    subscriber: Arc<ReplicaSubscriber>,
}

impl RelayHandler {
    /// Subscribes to the replicas that a replica advertised to this process, and keeps the list.
    fn subscribe_to_replicas(&self, update: &News) {
        let advertised = update.replicas.iter().filter_map(|r| r.address.parse().ok());
        *self.relay.advertised.lock() = advertised.collect();
        self.subscriber.rescan();
    }

    /// Sends a subscriber the list of connected replicas, at once and whenever it changes.
    fn send_replicas(&self, conn: &Conn, call: u64) {
        let mut memberships = self.relay.memberships.subscribe();
        let conn = conn.clone();
        tokio::spawn(async move {
            loop {
                let replicas = connected_replicas(&memberships.borrow_and_update());
                if !conn.send(call, Body::News(News { replicas, ..News::default() })).await {
                    return;
                }
                tokio::select! {
                    () = conn.cx.cancelled() => return,
                    changed = memberships.changed() => if changed.is_err() { return },
                }
            }
        });
    }

    /// Forwards a request to join and answers it.
    fn join(&self, conn: &Conn, call: u64, replica: Replica) {
        let (relay, conn) = (Arc::clone(&self.relay), conn.clone());
        tokio::spawn(async move {
            let accepted = relay.forward_join(replica).await;
            let reply = JoinReply { accepted, holds_cluster: accepted, ..JoinReply::default() };
            conn.send(call, Body::JoinReply(reply)).await;
        });
    }
}

impl Handler for RelayHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Subscribe(_) => self.send_replicas(conn, call),
            Body::RollCall(report) => self.relay.bootstrap.handle_report(conn, call, report),
            Body::News(update) => self.subscribe_to_replicas(&update),
            // The sender reports to the replicas too.
            Body::QuarantineReport(_) => {}
            Body::Join(Join { replica: Some(replica), .. }) => self.join(conn, call, replica),
            _ => {
                let conn = conn.clone();
                tokio::spawn(async move {
                    conn.refuse(call, "a control process without a disk keeps nothing").await;
                });
            }
        }
    }

    fn on_closed(&self, _conn: &Conn) {}
}
