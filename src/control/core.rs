//! The single thread that owns a control replica: protocol, store, state machine and, on the
//! leader, the node registry and the queue of syncs.

mod storage;

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};

use slog::Logger;
use tokio::sync::{oneshot, watch};

use super::core_config::{CoreConfig, OnWriteError, Published};
use super::node_registry::{EndpointEvent, NodeRegistry, RunStatus};
use super::peers::PeerSender;
use super::placement;
use super::state::ControlState;
use super::store::Store;
use super::sync_queue::{QueuedSync, SyncQueue};
use super::zone_drains;
use crate::clock::{boot_now, wall_ms};
use crate::config::FleetConfig;
use crate::event;
use crate::faults;
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::raft::{Departure, Effect, Raft};
use crate::wire::{Command, Document, Outcome, Peer, Replica, Sync, SyncReply, command};

/// Maximum number of inputs, after the first, that share one sync of the log.
const MAX_INPUTS_PER_BATCH: usize = 2048;

/// Answer to a request that only the leader can serve.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// This replica leads; the result of the request.
    Done(T),
    /// This replica does not lead or cannot serve the request now; the address of the leader, if
    /// another replica is known to lead.
    NotLeader(Option<String>),
}

/// State of the replica at the time of a read.
pub struct CoreView<'a> {
    /// Whether the state may be served as current, see [`Raft::may_read`].
    pub may_read: bool,
    /// Replicated state as applied by this replica; may lag behind unless `may_read` is set.
    pub state: &'a ControlState,
    /// Nodes and endpoints; empty unless this replica leads.
    pub registry: &'a NodeRegistry,
    /// Raft state of this replica.
    pub raft: &'a Raft,
    /// Time of the read.
    pub now: Moment,
}

impl CoreView<'_> {
    /// Address of the leader, if another replica is known to lead.
    pub fn other_leader(&self) -> Option<String> {
        let leader = self.raft.leader().filter(|id| *id != self.raft.id())?;
        self.raft.replicas().iter().find(|r| r.id == leader).map(|r| r.address.clone())
    }
}

/// Closure that reads the state on the thread of the core.
pub type ReadFn = Box<dyn FnOnce(CoreView<'_>) + Send>;

/// Request or message to the core.
pub enum Input {
    /// Handle a message from another replica.
    Peer(Peer),
    /// Commit a command and answer with its outcome.
    Propose(Command, oneshot::Sender<Answer<Outcome>>),
    /// Record the sync of a node and answer once something has changed for it.
    Sync(Box<Sync>, oneshot::Sender<Answer<SyncReply>>),
    /// Run a read, on any replica.
    Read(ReadFn),
    /// Read the current document. The answer waits until a quorum has acknowledged this leader
    /// after the request arrived.
    ReadDocument(oneshot::Sender<Answer<Document>>),
    /// Bootstrap a cluster of the given voters.
    BootstrapWith(Vec<Replica>),
    /// Add a replica as a learner; answers true once it is in the membership.
    Join(Replica, oneshot::Sender<Answer<bool>>),
    /// Remove a replica; answers true once it is out of the membership.
    Remove(ReplicaId, oneshot::Sender<Answer<bool>>),
    /// Prepare for the end of a replica's process: answers what becomes of its vote. A leader that
    /// keeps its own vote hands the leadership over.
    Leave(ReplicaId, oneshot::Sender<Answer<Departure>>),
    /// Bootstrap a cluster of this replica alone; answers false if it already has one.
    Bootstrap(oneshot::Sender<bool>),
    /// End the thread.
    Stop,
}

/// Proposals of this leader without an outcome yet, by log index, with the term of the proposal.
type PendingProposals = BTreeMap<Index, (Term, oneshot::Sender<Answer<Outcome>>)>;

/// A control replica: applies inputs to the protocol and performs its effects.
pub struct Core {
    cfg: CoreConfig,
    own: Replica,
    raft: Raft,
    store: Store,
    state: ControlState,
    fleet: FleetConfig,
    registry: NodeRegistry,
    sync_queue: SyncQueue,
    pending_proposals: PendingProposals,
    peers: PeerSender,
    last_plan_at: Moment,
    log: Logger,
    document_reads: Vec<(Moment, oneshot::Sender<Answer<Document>>)>,
    published: watch::Sender<Published>,
}

impl Core {
    /// Builds the core; `state` is the state of the snapshot in the store.
    pub fn new(
        cfg: CoreConfig,
        own: Replica,
        raft: Raft,
        store: Store,
        state: ControlState,
        peers: PeerSender,
        log: Logger,
    ) -> Self {
        let mut fleet = FleetConfig::default();
        let delta = state.config.changes_since(0);
        fleet.apply(delta.version, true, &delta.records);
        let lease = cfg.lease;
        Self {
            cfg,
            own,
            raft,
            store,
            state,
            fleet,
            registry: NodeRegistry::default(),
            sync_queue: SyncQueue::new(lease),
            pending_proposals: PendingProposals::new(),
            peers,
            last_plan_at: Moment::ZERO,
            log,
            document_reads: Vec::new(),
            published: watch::Sender::new(Published::default()),
        }
    }

    /// Subscribes to the document, membership and leadership as seen by this replica.
    pub fn published(&self) -> watch::Receiver<Published> {
        self.published.subscribe()
    }

    /// Processes inputs until [`Input::Stop`], or until all senders are dropped.
    pub fn run(mut self, rx: Receiver<Input>) {
        loop {
            let first = match rx.recv_timeout(self.cfg.tick) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = boot_now();
            let rest = std::iter::from_fn(|| rx.try_recv().ok()).take(MAX_INPUTS_PER_BATCH);
            for input in first.into_iter().chain(rest) {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.handle_input(now, input);
            }
            self.advance(now);
        }
    }

    fn handle_input(&mut self, now: Moment, input: Input) {
        match input {
            Input::Peer(msg) => self.handle_peer(now, msg),
            Input::Propose(command, reply) => self.propose(now, command, reply),
            Input::Sync(sync, reply) => self.handle_sync(now, *sync, reply),
            Input::Read(read) => read(CoreView {
                may_read: self.raft.may_read(now),
                state: &self.state,
                registry: &self.registry,
                raft: &self.raft,
                now,
            }),
            Input::Join(replica, reply) => {
                let done = self.raft.join(now, replica);
                self.reply_if_leader(reply, done);
            }
            Input::Remove(id, reply) => {
                let done = self.raft.remove(now, id);
                self.reply_if_leader(reply, done);
            }
            Input::Leave(id, reply) => self.leave(now, id, reply),
            Input::Bootstrap(reply) => {
                let formed = self.raft.bootstrap(now, self.own.clone());
                if formed {
                    event!(self.log, ClusterFormed, "replica" => format!("{:016x}", self.own.id));
                }
                let _ = reply.send(formed);
            }
            Input::ReadDocument(reply) => self.document_reads.push((now, reply)),
            Input::BootstrapWith(voters) => {
                if self.raft.bootstrap_with(now, voters) {
                    event!(self.log, ClusterFormed, "replica" => format!("{:016x}", self.own.id));
                }
            }
            Input::Stop => {}
        }
    }

    fn handle_peer(&mut self, now: Moment, msg: Peer) {
        if !msg.from_address.is_empty() {
            self.peers.record_address(msg.from, &msg.from_address);
        }
        self.raft.receive(now, msg);
    }

    fn leave(&mut self, now: Moment, id: ReplicaId, reply: oneshot::Sender<Answer<Departure>>) {
        let departure = self.raft.leave(now, id);
        let is_known_here = self.raft.is_leader() || departure == Departure::Done;
        if self.raft.is_leader() && id == self.raft.id() && departure == Departure::NoSuccessor {
            self.raft.resign(now);
        }
        let answer = if is_known_here { Answer::Done(departure) } else { self.not_leader() };
        let _ = reply.send(answer);
    }

    fn reply_if_leader<T>(&self, reply: oneshot::Sender<Answer<T>>, value: T) {
        let answer = if self.raft.is_leader() { Answer::Done(value) } else { self.not_leader() };
        let _ = reply.send(answer);
    }

    fn not_leader<T>(&self) -> Answer<T> {
        let leader = self.raft.leader().filter(|id| *id != self.raft.id());
        let replica = self.raft.replicas().iter().find(|r| Some(r.id) == leader);
        Answer::NotLeader(replica.map(|r| r.address.clone()))
    }

    /// Proposes a command; a document and the drain of a zone are refused while a quorum has fewer
    /// than `min_document_copies` voters.
    fn propose(
        &mut self,
        now: Moment,
        mut command: Command,
        reply: oneshot::Sender<Answer<Outcome>>,
    ) {
        command.wall_ms = wall_ms();
        let too_few_copies = self.raft.quorum() < self.cfg.min_document_copies;
        let needs_copies = matches!(command.kind, Some(command::Kind::Document(_)))
            || zone_drains::is_zone_drain(&command);
        if too_few_copies && needs_copies {
            let _ = reply.send(Answer::NotLeader(None));
            return;
        }
        match self.raft.propose(now, command) {
            Some((index, term)) => {
                self.pending_proposals.insert(index, (term, reply));
            }
            None => {
                let _ = reply.send(self.not_leader());
            }
        }
    }

    fn handle_sync(&mut self, now: Moment, sync: Sync, reply: oneshot::Sender<Answer<SyncReply>>) {
        if !self.raft.may_read(now) {
            let _ = reply.send(self.not_leader());
            return;
        }
        for result in &sync.order_results {
            let kind = Some(command::Kind::OrderResult(result.clone()));
            let operation = format!("order-result/{}", result.number);
            let wall_ms = wall_ms();
            self.raft.propose(now, Command { wall_ms, operation, kind });
        }
        let run_status = self.registry.record_sync(now, &sync);
        let superseded = run_status == RunStatus::Superseded;
        self.sync_queue.push(QueuedSync {
            sync,
            received_at: now,
            superseded,
            checked: false,
            reply,
        });
    }

    fn advance(&mut self, now: Moment) {
        self.raft.tick(now);
        if self.raft.is_leader() {
            self.registry.tick(now);
            self.log_endpoint_events();
            self.place_orders(now);
        }
        self.perform_effects(now);
        self.compact_if_due();
        self.answer_document_reads();
        self.publish();
        if self.raft.may_read(now) {
            let last_quorum_ack = self.raft.last_quorum_ack(now);
            self.sync_queue.answer(now, last_quorum_ack, &self.state, &self.registry);
        } else {
            let answer = self.not_leader();
            self.sync_queue.reject_all(&answer);
        }
    }

    /// Writes and syncs first; only then sends messages, applies entries and answers, so that
    /// nothing leaves the replica before it is durable.
    fn perform_effects(&mut self, now: Moment) {
        let effects = self.raft.take_effects(now);
        let lost_bytes = self.raft.take_lost_bytes();
        if lost_bytes > 0 {
            event!(self.log, EntriesSentAgain, "bytes" => lost_bytes);
        }
        let mut deferred = Vec::new();
        for effect in effects {
            match effect {
                Effect::SaveHardState(hard) => self.store.put_hard_state(hard),
                Effect::SaveEntry(entry) => self.store.put_entry(entry),
                Effect::Truncate(from) => self.store.put_truncate(from),
                Effect::Restore(data) => self.restore(data),
                other => deferred.push(other),
            }
        }
        let sync_start = boot_now();
        let sync_result = self.store.sync();
        let sync_end = boot_now();
        self.raft.record_sync(sync_end, sync_end.saturating_sub(sync_start));
        self.handle_write_result(sync_result);
        for effect in deferred {
            self.perform_deferred(now, effect);
        }
    }

    fn perform_deferred(&mut self, now: Moment, effect: Effect) {
        match effect {
            Effect::Send(msg) => self.peers.send(self.raft.replicas(), msg),
            Effect::Commit(entry) => self.apply(entry),
            Effect::BecomeLeader => {
                event!(self.log, LeaderElected, "term" => self.raft.term());
                self.registry = NodeRegistry::new(self.cfg.registry.clone(), self.raft.term(), now);
            }
            Effect::StepDown => {
                event!(self.log, LeaderLost, "term" => self.raft.term());
                self.pending_proposals.clear();
                self.registry = NodeRegistry::default();
            }
            Effect::VoteVoid(id) => {
                event!(self.log, VoteVoid, "replica" => format!("{id:016x}"));
            }
            Effect::SaveHardState(_)
            | Effect::SaveEntry(_)
            | Effect::Truncate(_)
            | Effect::Restore(_) => {}
        }
    }

    fn apply(&mut self, entry: crate::wire::Entry) {
        faults::inject("control.apply");
        if entry.index <= self.state.applied_index {
            return;
        }
        let (index, term) = (entry.index, entry.term);
        let version_before = self.state.config.version();
        let replicas_before = self.state.replicas.clone();
        let outcome = self.state.apply(entry);
        let version = self.state.config.version();
        if outcome.result == "conflict" {
            event!(self.log, ConfigRefused, "detail" => &outcome.detail);
        }
        if version > version_before {
            let delta = self.state.config.changes_since(version_before);
            self.fleet.apply(delta.version, delta.full, &delta.records);
            event!(self.log, ConfigAccepted, "version" => version);
        }
        if self.state.replicas != replicas_before {
            self.log_members();
        }
        if let Some((proposal_term, reply)) = self.pending_proposals.remove(&index) {
            let answer =
                if proposal_term == term { Answer::Done(outcome) } else { self.not_leader() };
            faults::inject("control.answer");
            let _ = reply.send(answer);
        }
    }

    fn log_members(&self) {
        let replicas = &self.state.replicas;
        let voters = replicas.iter().filter(|r| r.voter).map(|r| r.address.as_str());
        let voters: Vec<&str> = voters.collect();
        let replaced = replicas.iter().find(|r| r.former_voter && !r.voter);
        event!(self.log, MembersChanged, "replicas" => replicas.len(),
            "voters" => voters.join(" "), "replaced" => replaced.map_or("", |r| &r.address));
    }

    /// Answers the document reads that arrived before the newest heartbeat round that a quorum has
    /// acknowledged was sent. Refuses all of them if this replica may not serve reads.
    fn answer_document_reads(&mut self) {
        if self.document_reads.is_empty() {
            return;
        }
        let now = boot_now();
        if !self.raft.may_read(now) {
            for (_, reply) in std::mem::take(&mut self.document_reads) {
                let _ = reply.send(self.not_leader());
            }
            return;
        }
        let last_quorum_ack = self.raft.last_quorum_ack(now);
        for (received_at, reply) in std::mem::take(&mut self.document_reads) {
            if last_quorum_ack > received_at {
                let _ = reply.send(Answer::Done(self.state.document.clone()));
            } else {
                self.document_reads.push((received_at, reply));
            }
        }
    }

    /// Publishes the state to the rest of the process if it has changed.
    fn publish(&self) {
        let is_leader = self.raft.is_leader();
        let has_leader = is_leader || self.raft.leader().is_some();
        let lags = !self.raft.is_caught_up();
        self.published.send_if_modified(|current| {
            let same = current.is_leader == is_leader
                && current.has_leader == has_leader
                && current.lags == lags
                && current.document.version == self.state.document.version
                && current.zone_drains.revision == self.state.config.version()
                && current.replicas == self.raft.replicas();
            if !same {
                let document = self.state.document.clone();
                let replicas = self.raft.replicas().to_vec();
                let zone_drains = zone_drains::read(&self.state.config);
                *current =
                    Published { document, replicas, is_leader, has_leader, lags, zone_drains };
            }
            !same
        });
    }

    fn log_endpoint_events(&mut self) {
        for event in self.registry.take_events() {
            match event {
                EndpointEvent::Joined(e) => {
                    event!(self.log, EndpointJoined, "endpoint" => e.as_str())
                }
                EndpointEvent::Leaving(e) => {
                    event!(self.log, EndpointLeaving, "endpoint" => e.as_str())
                }
                EndpointEvent::Lost(e) => event!(self.log, EndpointLost, "endpoint" => e.as_str()),
            }
        }
    }

    /// Proposes the load orders that the planner asks for.
    fn place_orders(&mut self, now: Moment) {
        if now.saturating_sub(self.last_plan_at) < placement::PLAN_INTERVAL
            || !self.raft.may_read(now)
        {
            return;
        }
        self.last_plan_at = now;
        let wall = jiff::Timestamp::now();
        for order in placement::plan_loads(&self.fleet, &self.registry, &self.state.orders, wall) {
            event!(self.log, OrderPlaced, "endpoint" => &order.endpoint, "kind" => &order.kind);
            let kind = Some(command::Kind::PlaceOrder(order));
            let command = Command { wall_ms: wall_ms(), operation: String::new(), kind };
            self.raft.propose(now, command);
        }
    }
}
