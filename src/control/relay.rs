//! A control process without a disk: it keeps nothing and sends everyone on to the replicas.

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

/// Version that no document exceeds, for a subscriber that wants none.
const NO_DOCUMENT: u64 = u64::MAX;

/// Settings of a relay.
#[derive(Clone)]
pub struct RelaySettings {
    /// Name of this node.
    pub node: String,
    /// Address for the system's own processes.
    pub listen: SocketAddr,
    /// Address of the bootstrap coordinator; absent unless the whole system starts for the first
    /// time.
    pub coordinator: Option<SocketAddr>,
    /// Disks that may be lost at once.
    pub tolerance: usize,
    /// Where replicas are looked for.
    pub seeds: SeedSource,
}

/// What each replica that is heard now says of the membership; empty until it has said it.
type Heard = BTreeMap<SocketAddr, Vec<Replica>>;

/// A running relay.
pub struct ControlRelay {
    node: String,
    heard: watch::Sender<Heard>,
    known: Mutex<Vec<SocketAddr>>,
    bootstrap: BootstrapService,
    link: LinkConfig,
    readiness: Readiness,
    log: Logger,
    cx: CancellationToken,
}

impl ControlRelay {
    /// Starts to follow the replicas and to answer the system's own processes.
    ///
    /// # Errors
    /// The address could not be bound.
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
            heard: watch::Sender::default(),
            known: Mutex::default(),
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
        tokio::spawn(Arc::clone(&subscriber).run(relay.add_known(cfg.seeds)));
        let handler = Arc::new(RelayHandler { relay: Arc::clone(&relay), subscriber });
        let serving = crate::wire::server::serve(listener, handler, link.clone(), log, cx.clone());
        tokio::spawn(serving);
        Ok(relay)
    }

    /// Adds the replicas that reported by themselves to the seeds.
    fn add_known(self: &Arc<Self>, seeds: SeedSource) -> SeedSource {
        let relay = Arc::clone(self);
        Arc::new(move || {
            let mut all = seeds();
            all.extend(relay.known.lock().iter());
            all
        })
    }

    /// Operators' address of a replica that is heard now, another one each time.
    pub fn pick(&self) -> Option<String> {
        let heard = self.heard.borrow();
        let reached = reached_replicas(&heard);
        if reached.is_empty() {
            return None;
        }
        let at = rand::rng().random_range(0..reached.len());
        Some(reached[at].operators.clone())
    }

    /// Asks the replicas to take another one in.
    async fn ask_for(&self, replica: Replica) -> bool {
        let reached: Vec<SocketAddr> = self.heard.borrow().keys().copied().collect();
        for addr in reached {
            if request_join(addr, &replica, &self.link, &self.cx).await {
                return true;
            }
        }
        false
    }
}

/// Replicas of the membership that are heard now.
fn reached_replicas(heard: &Heard) -> Vec<Replica> {
    let mut reached: Vec<Replica> = Vec::new();
    for replica in heard.values().flatten() {
        let answers = replica.address.parse().is_ok_and(|addr| heard.contains_key(&addr));
        if answers && !reached.iter().any(|r| r.address == replica.address) {
            reached.push(replica.clone());
        }
    }
    reached
}

impl UpdateListener for ControlRelay {
    fn subscription(&self) -> Subscribe {
        let node = self.node.clone();
        Subscribe { node, document_version: NO_DOCUMENT, ..Subscribe::default() }
    }

    fn on_connected(&self, control: SocketAddr) {
        event!(self.log, ControlHeard, "control" => control.to_string());
    }

    fn on_update(&self, control: SocketAddr, news: News) {
        if news.replicas.is_empty() {
            return;
        }
        self.heard.send_modify(|heard| {
            heard.insert(control, news.replicas);
        });
        self.readiness.set(true);
    }

    fn on_disconnected(&self, control: SocketAddr) {
        self.heard.send_modify(|heard| {
            heard.remove(&control);
        });
        self.readiness.set(!self.heard.borrow().is_empty());
        event!(self.log, ControlLost, "control" => control.to_string());
    }

    fn on_removed(&self, control: SocketAddr) {
        self.heard.send_modify(|heard| {
            heard.remove(&control);
        });
    }
}

struct RelayHandler {
    relay: Arc<ControlRelay>,
    subscriber: Arc<ReplicaSubscriber>,
}

impl RelayHandler {
    /// Takes the word of a replica on where all are.
    fn learn(&self, news: &News) {
        let told = news.replicas.iter().filter_map(|r| r.address.parse().ok());
        *self.relay.known.lock() = told.collect();
        self.subscriber.rescan();
    }

    /// Tells a subscriber which replicas there are, whenever that changes.
    fn tell_replicas(&self, conn: &Conn, call: u64) {
        let mut heard = self.relay.heard.subscribe();
        let conn = conn.clone();
        tokio::spawn(async move {
            loop {
                let replicas = reached_replicas(&heard.borrow_and_update());
                if !conn.send(call, Body::News(News { replicas, ..News::default() })).await {
                    return;
                }
                tokio::select! {
                    () = conn.cx.cancelled() => return,
                    changed = heard.changed() => if changed.is_err() { return },
                }
            }
        });
    }

    fn join(&self, conn: &Conn, call: u64, replica: Replica) {
        let (relay, conn) = (Arc::clone(&self.relay), conn.clone());
        tokio::spawn(async move {
            let accepted = relay.ask_for(replica).await;
            let reply = JoinReply { accepted, holds_cluster: accepted, ..JoinReply::default() };
            conn.send(call, Body::JoinReply(reply)).await;
        });
    }
}

impl Handler for RelayHandler {
    fn on_message(&self, conn: &Conn, call: u64, body: Body) {
        match body {
            Body::Subscribe(_) => self.tell_replicas(conn, call),
            Body::RollCall(report) => self.relay.bootstrap.handle_report(conn, call, report),
            Body::News(news) => self.learn(&news),
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
