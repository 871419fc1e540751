//! A control replica that forms and repairs its cluster without an operator and replicates the
//! configuration document.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;

use slog::Logger;
use snafu::Snafu;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::acknowledgements::Acknowledgements;
use super::announcement_relay::{RelayedAnnouncement, relay_announcements};
use super::bootstrap::{self, BootstrapService, REPORT_INTERVAL};
use super::core::{Answer, Core, Input};
use super::core_config::{CoreConfig, OnWriteError, Published};
use super::departing::Departing;
use super::departure_file::{DepartureFile, keep_departures};
use super::endpoint_file;
use super::endpoint_probe::EndpointProbe;
use super::hub::{Hub, HubSettings, ServiceReader};
use super::hub_handler::HubHandler;
use super::joining::{maintain_membership, update_seeds};
use super::peers::PeerSender;
use super::quarantine_file;
use super::server;
use super::state::ControlState;
use super::store::{OpenedStore, Store, StoreError};
use crate::clock::boot_now;
use crate::directory::newest_of;
use crate::event;
use crate::http::Readiness;
use crate::ids::ReplicaId;
use crate::metrics::Metrics;
use crate::process::{self, RunError};
use crate::raft::{Raft, RaftConfig};
use crate::tasks::{run_essential_thread, spawn_essential};
use crate::wire::link::LinkConfig;
use crate::wire::{Announcement, Command, Document, Outcome, Replica, command};

/// Voters beyond those that bear the loss of as many disks as tolerated: the successors of so many hosts may be
/// there before their predecessors are gone.
const MAX_SURPLUS_VOTERS: usize = 2;

/// Delay before another attempt to open the data directory.
const OPEN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Upper bound of the election timeout of a replica that has not met a leader since its start.
const MAX_STARTUP_ELECTION_TIMEOUT: Duration = Duration::from_millis(130);

/// Time within which replicas have to write that an endpoint leaves; endpoints call another
/// replica after a second.
const ACK_TIMEOUT: Duration = Duration::from_millis(700);

/// How long a caller waits for the answer of the core.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the addresses at which other replicas may be found; called again for each attempt.
pub type SeedSource = Arc<dyn Fn() -> Vec<SocketAddr> + Send + Sync>;

/// Configuration of a replica that forms its cluster without an operator.
#[derive(Clone)]
pub struct ServiceSettings {
    /// Name of this node, sent to the other side of each link.
    pub node: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address on which the system's other processes connect; identifies this replica to them.
    pub listen: SocketAddr,
    /// Address of the operators' HTTP interface; other replicas redirect callers to it.
    pub operators: SocketAddr,
    /// Directory of this replica's persistent state.
    pub data: PathBuf,
    /// Address of the bootstrap coordinator; absent unless the whole system starts for the first
    /// time.
    pub coordinator: Option<SocketAddr>,
    /// Addresses that are asked to let this replica join.
    pub seeds: SeedSource,
    /// Availability zones that the settings of this process name.
    pub zones: BTreeSet<String>,
    /// Number of disks that may be lost at the same time. The cluster aims at `2 * tolerance + 1`
    /// voters, with up to two more while all answer, and keeps a document, and each drain of a zone, on at least `tolerance + 1` of them.
    /// As many replicas have written that an endpoint leaves when it gets an acknowledgement.
    pub tolerance: usize,
    /// Time without an announcement after which an endpoint counts as silent.
    pub endpoint_timeout: Duration,
    /// Reads the services whose endpoints are used from a document; without it all are.
    pub services: Option<ServiceReader>,
    /// Asks endpoints that announce themselves after they were declared gone.
    pub probe: Option<Arc<dyn EndpointProbe>>,
}

/// Why this replica did not answer a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// This replica does not lead; the operators' address of the leader if it is known.
    NotLeader(Option<String>),
    /// The core did not answer within the call timeout.
    TimedOut,
}

/// Why this replica does not acknowledge what an endpoint has announced.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum AnnouncementError {
    /// This replica knows no leader, so that entries may not follow it.
    #[snafu(display("no leader is known here; call another replica"))]
    NoLeader,
    /// A later start of the endpoint is in use, which does not leave.
    #[snafu(display("a later start of this endpoint is in use; call another replica"))]
    AnotherStart,
    /// Too few replicas have written in time that the endpoint leaves.
    #[snafu(display("{wanted} replicas did not write it in time; call another replica"))]
    NotAcknowledged {
        /// Number of replicas that have to write it.
        wanted: usize,
    },
}

/// Handle to a running replica; clones share the replica.
#[derive(Clone)]
pub struct ControlService {
    core: Sender<Input>,
    published: watch::Receiver<Published>,
    hub: Arc<Hub>,
    id: ReplicaId,
    /// Address that identifies this replica to others.
    address: String,
    link: LinkConfig,
    log: Logger,
    tolerance: usize,
    /// Availability zones of the settings, with that of this host.
    pub(super) zones: BTreeSet<String>,
}

impl ControlService {
    /// Opens the data directory, starts the core on its own thread and all tasks of the replica.
    ///
    /// # Errors
    /// `cfg.listen` could not be bound.
    pub async fn start(
        cfg: ServiceSettings,
        log: Logger,
        cx: CancellationToken,
    ) -> Result<Self, RunError> {
        let mut zones = cfg.zones.clone();
        zones.insert(cfg.zone.clone());
        let link = build_link_config(&cfg.node, "control");
        let opened = open_store(&cfg, &log).await;
        let own = Replica {
            id: opened.store.id(),
            address: cfg.listen.to_string(),
            operators: cfg.operators.to_string(),
            zone: cfg.zone.clone(),
            ..Replica::default()
        };
        let core = build_core(&cfg, own.clone(), opened, link.clone(), &log, &cx);
        let published = core.published();
        let (tx, rx) = channel();
        run_essential_thread("replica of control", log.clone(), move || core.run(rx));
        let (relay_tx, relay_rx) = mpsc::unbounded_channel();
        let hub = start_hub(&cfg, &published, relay_tx, &log, &cx);
        let (listener, _) = process::bind(cfg.listen).await?;
        let fallback = server::build_handler(tx.clone());
        let bootstrap = BootstrapService::new(cfg.coordinator, cfg.listen, cfg.tolerance);
        let handler = Arc::new(HubHandler { hub: Arc::clone(&hub), bootstrap, fallback });
        let serving =
            crate::wire::server::serve(listener, handler, link.clone(), log.clone(), cx.clone());
        spawn_essential("messages", log.clone(), serving);
        if let Some(coordinator) = cfg.coordinator {
            let (core, published) = (tx.clone(), published.clone());
            let (own, link, cx) = (own.clone(), link.clone(), cx.clone());
            let reporting =
                bootstrap::report_until_formed(coordinator, own, core, published, link, cx);
            spawn_essential("first members", log.clone(), reporting);
        }
        let relaying = relay_announcements(
            relay_rx,
            published.clone(),
            own.address.clone(),
            link.clone(),
            cx.clone(),
        );
        spawn_essential("announcements to replicas", log.clone(), relaying);
        let updating = update_seeds(
            published.clone(),
            own.address.clone(),
            Arc::clone(&cfg.seeds),
            link.clone(),
            cx.clone(),
        );
        spawn_essential("seeds", log.clone(), updating);
        let (id, address, tolerance) = (own.id, own.address.clone(), cfg.tolerance);
        let maintaining = maintain_membership(published.clone(), own, cfg.seeds, link.clone(), cx);
        spawn_essential("members", log.clone(), maintaining);
        Ok(Self { core: tx, published, hub, id, address, link, log, tolerance, zones })
    }

    /// Endpoints that announce themselves, as this replica knows them.
    pub(super) fn hub(&self) -> &Hub {
        &self.hub
    }

    /// Applies an announcement of an endpoint, and waits until it may be acknowledged.
    ///
    /// # Errors
    /// The announcement may be lost with this replica, or does not reach the entries.
    pub async fn announce(&self, announcement: Announcement) -> Result<(), AnnouncementError> {
        match self.hub.announce(announcement) {
            Some((_, false)) => Err(AnnouncementError::AnotherStart),
            Some((acknowledgements, true)) => self.await_acknowledgements(acknowledgements).await,
            None => self.check_leader(),
        }
    }

    /// Records that an endpoint has gone, as it says itself, and waits until that may be acknowledged.
    ///
    /// # Errors
    /// The departure may be lost with this replica, or does not reach the entries.
    pub async fn depart(&self, id: &str) -> Result<(), AnnouncementError> {
        self.await_acknowledgements(self.hub.depart(id)).await
    }

    /// Waits until so many replicas have written an announcement that the loss of `tolerance` of them
    /// does not lose it, also if all of them end.
    async fn await_acknowledgements(
        &self,
        acknowledgements: Acknowledgements,
    ) -> Result<(), AnnouncementError> {
        self.check_leader()?;
        let is_other = |replica: &&Replica| replica.address != self.address;
        let others = self.published.borrow().replicas.iter().filter(is_other).count();
        let wanted = (self.tolerance + 1).min(others + 1);
        if acknowledgements.wait(wanted, ACK_TIMEOUT).await {
            Ok(())
        } else {
            Err(AnnouncementError::NotAcknowledged { wanted })
        }
    }

    /// Entries follow replicas that know a leader.
    fn check_leader(&self) -> Result<(), AnnouncementError> {
        if self.published.borrow().has_leader { Ok(()) } else { Err(AnnouncementError::NoLeader) }
    }

    /// State that the replica published last.
    pub fn published(&self) -> Published {
        self.published.borrow().clone()
    }

    /// Proposes a document; the number of the outcome is the version in force afterwards.
    ///
    /// # Errors
    /// This replica does not lead, or the commit did not finish in time; the document may still be
    /// committed later.
    pub async fn propose_document(&self, document: Document) -> Result<Outcome, CallError> {
        let kind = Some(command::Kind::Document(document));
        let command = Command { kind, ..Command::default() };
        self.call(|tx| Input::Propose(command, tx)).await
    }

    /// Reads the newest committed document.
    ///
    /// # Errors
    /// A quorum did not confirm this replica as the leader in time.
    pub async fn read_document(&self) -> Result<Document, CallError> {
        self.call(Input::ReadDocument).await
    }

    /// Prepares the end of this process, within `limit`: a learner that is there takes the vote of this
    /// replica over, and another voter its leadership.
    pub async fn leave(&self, limit: Duration, cx: &CancellationToken) {
        let start = boot_now();
        let (core, published) = (self.core.clone(), self.published.clone());
        let departing = Departing {
            core,
            published,
            id: self.id,
            wanted_voters: wanted_voters(self.tolerance),
            link: self.link.clone(),
        };
        let departure = departing.leave(limit, cx).await;
        let took_ms = (boot_now() - start).as_millis() as u64;
        event!(self.log, VoteSettled, "departure" => format!("{departure:?}"), "ms" => took_ms);
    }

    /// Updates readiness and metrics whenever the replica publishes its state, until cancelled.
    pub async fn update_probes(
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
            metrics.zones_drained.set(state.zone_drains.zones.len() as i64);
            if self.published.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sends an input to the core and waits for the answer.
    pub(super) async fn call<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<Answer<T>>) -> Input,
    ) -> Result<T, CallError> {
        let (tx, rx) = oneshot::channel();
        let _ = self.core.send(input(tx));
        match timeout(CALL_TIMEOUT, rx).await {
            Ok(Ok(Answer::Done(value))) => Ok(value),
            Ok(Ok(Answer::NotLeader(address))) => {
                Err(CallError::NotLeader(self.operators_address(address)))
            }
            Ok(Err(_)) => Err(CallError::NotLeader(None)),
            Err(_) => Err(CallError::TimedOut),
        }
    }

    fn operators_address(&self, address: Option<String>) -> Option<String> {
        let address = address?;
        let published = self.published.borrow();
        let replica = published.replicas.iter().find(|r| r.address == address)?;
        Some(replica.operators.clone())
    }
}

/// Configuration of links to control processes; `role` names this side in the first frame.
pub fn build_link_config(node: &str, role: &str) -> LinkConfig {
    LinkConfig {
        node: node.to_owned(),
        role: role.to_owned(),
        max_frame: 16 * 1024 * 1024,
        connect_timeout: Duration::from_millis(500),
        keepalive_interval: Duration::from_millis(400),
        idle_timeout: Duration::from_millis(1300),
    }
}

/// Opens the data directory and retries until that succeeds.
///
/// A directory that lost synced data is emptied, so that the replica comes back as a new member.
async fn open_store(cfg: &ServiceSettings, log: &Logger) -> OpenedStore {
    loop {
        let reason = match Store::open(&cfg.data) {
            Ok(opened) => return opened,
            Err(reason) => reason,
        };
        event!(log, StoreRefused, "reason" => reason.to_string());
        if matches!(reason, StoreError::Damaged { .. })
            && let Err(e) = clear_data_dir(&cfg.data)
        {
            event!(log, StoreRefused, "reason" => e.to_string());
        }
        sleep(OPEN_RETRY_DELAY).await;
    }
}

fn clear_data_dir(data_dir: &std::path::Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(data_dir)? {
        std::fs::remove_file(entry?.path())?;
    }
    Ok(())
}

/// Starts the hub with what the files of the data directory say, and the tasks that keep them.
fn start_hub(
    cfg: &ServiceSettings,
    published: &watch::Receiver<Published>,
    relay: mpsc::UnboundedSender<RelayedAnnouncement>,
    log: &Logger,
    cx: &CancellationToken,
) -> Arc<Hub> {
    let departure_file = DepartureFile::open(&cfg.data);
    let departures = departure_file.departures();
    let known = endpoint_file::load(&cfg.data, log);
    let restored = newest_of(known.into_iter().chain(departures.iter().cloned()));
    let (departure_tx, departure_rx) = mpsc::unbounded_channel();
    let keeping = keep_departures(departure_file, departure_rx, log.clone());
    spawn_essential("file of departures", log.clone(), keeping);
    let hub_cfg = HubSettings {
        silence_timeout: cfg.endpoint_timeout,
        restored,
        departures: Some(departure_tx),
        services: cfg.services.clone(),
        probe: cfg.probe.clone(),
    };
    let hub = Arc::new(Hub::new(hub_cfg, published.clone(), relay, log.clone()));
    tokio::spawn(Arc::clone(&hub).relay_again(departures));
    let saving =
        endpoint_file::keep_saved(cfg.data.clone(), Arc::clone(&hub), log.clone(), cx.clone());
    spawn_essential("file of endpoints", log.clone(), saving);
    hub.apply_quarantine_report(quarantine_file::load(&cfg.data, log));
    let saving =
        quarantine_file::keep_saved(cfg.data.clone(), Arc::clone(&hub), log.clone(), cx.clone());
    spawn_essential("file of poison requests", log.clone(), saving);
    spawn_essential("updates to subscribers", log.clone(), Arc::clone(&hub).run(cx.clone()));
    hub
}

/// Number of voters that bear the loss of `tolerance` disks at once.
fn wanted_voters(tolerance: usize) -> usize {
    2 * tolerance + 1
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
        event!(log, LogTailTruncated, "bytes" => opened.torn_bytes);
    }
    let snapshot = opened.persisted.snapshot.as_deref();
    let state = snapshot.map(|data| ControlState::decode(data).unwrap_or_default());
    let raft_cfg = RaftConfig {
        election_timeout: Duration::from_millis(600),
        heartbeat: Duration::from_millis(120),
        wanted_voters: Some(wanted_voters(cfg.tolerance)),
        // Without a tolerance one more voter would only be one more that has to be there.
        surplus_voters: if cfg.tolerance > 0 { MAX_SURPLUS_VOTERS } else { 0 },
        startup_election_timeout: Some(MAX_STARTUP_ELECTION_TIMEOUT),
        bootstrap_election_delay: 2 * REPORT_INTERVAL,
        ..RaftConfig::default()
    };
    let raft = Raft::new(own.id, raft_cfg, rand::random(), boot_now(), opened.persisted);
    let peers = PeerSender::new(Handle::current(), link, own.address.clone(), cx.clone());
    let core_cfg = CoreConfig {
        snapshot_entries: 48,
        snapshot_log_bytes: 2 * 1024 * 1024,
        tick: Duration::from_millis(30),
        on_write_error: OnWriteError::Rewrite,
        min_document_copies: cfg.tolerance + 1,
        ..CoreConfig::default()
    };
    Core::new(core_cfg, own, raft, opened.store, state.unwrap_or_default(), peers, log.clone())
}
