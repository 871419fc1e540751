//! A control replica that founds and repairs its cluster by itself and keeps a document.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use slog::Logger;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::core::{Answer, Core, Input};
use super::core_config::{CoreConfig, OnWriteError, Published};
use super::founding::{self, RollDesk};
use super::hub::{Hub, HubHandler};
use super::joining::{stay_joined, tell_seeds};
use super::peers::PeerSender;
use super::server;
use super::state::ControlState;
use super::store::{OpenedStore, Store, StoreError};
use crate::clock::boot_now;
use crate::event;
use crate::http::Readiness;
use crate::metrics::Metrics;
use crate::process::{self, RunError};
use crate::raft::{Raft, RaftConfig};
use crate::wire::envelope::Body;
use crate::wire::link::{Link, LinkConfig};
use crate::wire::{Announcement, Command, Document, Outcome, Replica, command};

/// Pause before a data folder that could not be opened is tried again.
const OPEN_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause between a starting replica's calls for votes until it meets a leader.
const FIRST_WAIT: Duration = Duration::from_millis(250);

/// Longest wait for the core's answer to a call from outside.
const CALL_LIMIT: Duration = Duration::from_millis(1500);

/// Where a replica finds the others; read anew for each try.
pub type SeedSource = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Settings of a self-founding replica.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Name of this node.
    pub node: String,
    /// Availability zone.
    pub zone: String,
    /// Address for the system's own processes.
    pub listen: SocketAddr,
    /// Address for operators, as other replicas name it to callers.
    pub operators: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Host that counts the replicas which form the cluster; none unless the whole system
    /// starts for the first time.
    pub counting: Option<SocketAddr>,
    /// Addresses to ask for being taken in.
    pub seeds: SeedSource,
    /// Disks that may be lost at once.
    pub tolerance: usize,
    /// Silence after which an announced endpoint counts as silent.
    pub endpoint_silence: Duration,
}

/// Why a call was not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Another replica leads; its operators' address if it is known.
    Elsewhere(Option<String>),
    /// No answer in time.
    TimedOut,
}

/// A running replica as the rest of the process uses it.
#[derive(Clone)]
pub struct ControlService {
    core: Sender<Input>,
    published: watch::Receiver<Published>,
    hub: Arc<Hub>,
}

impl ControlService {
    /// Opens the data folder and starts the replica.
    ///
    /// # Errors
    /// The address could not be bound.
    pub async fn start(
        cfg: ServiceSettings,
        log: Logger,
        cx: CancellationToken,
    ) -> Result<Self, RunError> {
        let link = build_link_config(&cfg.node, "control");
        let opened = open_store(&cfg, &log).await;
        let own = Replica {
            id: opened.store.id(),
            address: cfg.listen.to_string(),
            operators: cfg.operators.to_string(),
            voter: false,
            zone: cfg.zone.clone(),
        };
        let core = build_core(&cfg, own.clone(), opened, link.clone(), &log, &cx);
        let published = core.published();
        let (tx, rx) = channel();
        std::thread::spawn(move || core.run(rx));
        let (relay, relayed) = mpsc::unbounded_channel();
        let hub = Hub::new(cfg.endpoint_silence, published.clone(), relay, log.clone());
        let hub = Arc::new(hub);
        tokio::spawn(Arc::clone(&hub).run(cx.clone()));
        let (listener, _) = process::bind(cfg.listen).await?;
        let rest = server::build_handler(tx.clone());
        let desk = RollDesk::new(cfg.counting, cfg.listen, cfg.tolerance);
        let handler = Arc::new(HubHandler { hub: Arc::clone(&hub), desk, rest });
        let serving =
            crate::wire::server::serve(listener, handler, link.clone(), log.clone(), cx.clone());
        tokio::spawn(serving);
        if let Some(counting) = cfg.counting {
            let (core, published) = (tx.clone(), published.clone());
            let (own, link, cx) = (own.clone(), link.clone(), cx.clone());
            tokio::spawn(founding::report(counting, own, core, published, link, cx));
        }
        tokio::spawn(relay_announcements(
            relayed,
            published.clone(),
            own.address.clone(),
            link.clone(),
            cx.clone(),
        ));
        let telling = tell_seeds(
            published.clone(),
            own.address.clone(),
            Arc::clone(&cfg.seeds),
            link.clone(),
            cx.clone(),
        );
        tokio::spawn(telling);
        tokio::spawn(stay_joined(published.clone(), own, cfg.seeds, link, cx));
        Ok(Self { core: tx, published, hub })
    }

    /// Takes announcements.
    pub fn hub(&self) -> &Hub {
        &self.hub
    }

    /// What the replica publishes of itself.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// Offers a document; its outcome tells the version that is held then.
    ///
    /// # Errors
    /// This replica does not lead or cannot commit now; the document may still be committed.
    pub async fn offer(&self, document: Document) -> Result<Outcome, CallError> {
        let kind = Some(command::Kind::Document(document));
        let command = Command { kind, ..Command::default() };
        self.call(|tx| Input::Propose(command, tx)).await
    }

    /// Reads the newest document.
    ///
    /// # Errors
    /// This replica cannot be sure which document is the newest.
    pub async fn read(&self) -> Result<Document, CallError> {
        self.call(Input::ReadDocument).await
    }

    /// Keeps readiness and metrics as the replica publishes its state.
    pub async fn count(
        mut self,
        readiness: Readiness,
        metrics: Arc<Metrics>,
        cx: CancellationToken,
    ) {
        while !cx.is_cancelled() {
            let state = self.published.borrow_and_update().clone();
            readiness.set(state.has_leader);
            metrics.leader.set(i64::from(state.is_leader));
            metrics.config_version.set(state.document.version);
            if self.published.changed().await.is_err() {
                return;
            }
        }
    }

    async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Answer<T>>) -> Input,
    ) -> Result<T, CallError> {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(input(tx));
        match timeout(CALL_LIMIT, rx).await {
            Ok(Ok(Answer::Done(value))) => Ok(value),
            Ok(Ok(Answer::NotLeader(address))) => {
                Err(CallError::Elsewhere(self.operators(address)))
            }
            Ok(Err(_)) => Err(CallError::Elsewhere(None)),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    fn operators(&self, address: Option<String>) -> Option<String> {
        let address = address?;
        let published = self.published.borrow();
        let replica = published.replicas.iter().find(|r| r.address == address)?;
        Some(replica.operators.clone())
    }
}

/// Settings of links between the processes of control.
pub fn build_link_config(node: &str, role: &str) -> LinkConfig {
    LinkConfig {
        node: node.to_owned(),
        role: role.to_owned(),
        max_frame: 16 * 1024 * 1024,
        connect_timeout: Duration::from_millis(500),
        keepalive: Duration::from_millis(400),
        silence: Duration::from_millis(1300),
    }
}

/// Opens the folder; one that lost synced data is given up, so that a new member comes back.
async fn open_store(cfg: &ServiceSettings, log: &Logger) -> OpenedStore {
    loop {
        let reason = match Store::open(&cfg.data) {
            Ok(opened) => return opened,
            Err(reason) => reason,
        };
        event!(log, StoreRefused, "reason" => reason.to_string());
        if matches!(reason, StoreError::Damaged { .. })
            && let Err(e) = clear_folder(&cfg.data)
        {
            event!(log, StoreRefused, "reason" => e.to_string());
        }
        sleep(OPEN_PAUSE).await;
    }
}

fn clear_folder(folder: &std::path::Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        std::fs::remove_file(entry?.path())?;
    }
    Ok(())
}

fn build_core(
    cfg: &ServiceSettings,
    own: Replica,
    opened: OpenedStore,
    link: LinkConfig,
    log: &Logger,
    cx: &CancellationToken,
) -> Core {
    if opened.torn_bytes > 0 {
        event!(log, LogTailCut, "bytes" => opened.torn_bytes);
    }
    let snapshot = opened.persisted.snapshot.as_deref();
    let state = snapshot.map(|data| ControlState::decode(data).unwrap_or_default());
    let raft_cfg = RaftConfig {
        election_timeout: Duration::from_millis(600),
        heartbeat: Duration::from_millis(120),
        max_voters: Some(2 * cfg.tolerance + 1),
        startup_election_timeout: Some(FIRST_WAIT),
        ..RaftConfig::default()
    };
    let raft = Raft::new(own.id, raft_cfg, rand::random(), boot_now(), opened.persisted);
    let peers = PeerSender::new(Handle::current(), link, own.address.clone(), cx.clone());
    let core_cfg = CoreConfig {
        snapshot_entries: 48,
        tick: Duration::from_millis(30),
        on_write_error: OnWriteError::Rewrite,
        min_document_copies: cfg.tolerance + 1,
        ..CoreConfig::default()
    };
    Core::new(core_cfg, own, raft, opened.store, state.unwrap_or_default(), peers, log.clone())
}

/// Hands announcements to all other replicas, over one link each.
async fn relay_announcements(
    mut rx: mpsc::UnboundedReceiver<Announcement>,
    published: watch::Receiver<Published>,
    own: String,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    let mut links: std::collections::HashMap<String, mpsc::Sender<Announcement>> =
        std::collections::HashMap::new();
    while let Some(said) = rx.recv().await {
        let replicas = published.borrow().replicas.clone();
        links.retain(|address, _| replicas.iter().any(|r| r.address == *address));
        for replica in replicas.iter().filter(|r| r.address != own) {
            let tx = links.entry(replica.address.clone()).or_insert_with(|| {
                let (tx, rx) = mpsc::channel(256);
                if let Ok(addr) = replica.address.parse() {
                    tokio::spawn(relay_to(addr, rx, cfg.clone(), cx.clone()));
                }
                tx
            });
            let _ = tx.try_send(said.clone());
        }
    }
}

async fn relay_to(
    addr: SocketAddr,
    mut rx: mpsc::Receiver<Announcement>,
    cfg: LinkConfig,
    cx: CancellationToken,
) {
    let mut link: Option<Link> = None;
    while let Some(said) = rx.recv().await {
        if link.as_ref().is_none_or(|l| l.is_closed()) {
            link = Link::connect(addr, &cfg, &cx).await.ok();
        }
        if let Some(link) = &link {
            link.post(Body::Announcement(said));
        }
    }
}
