//! The one thread that owns a replica: protocol, store, state and the leader's soft state.

use std::collections::BTreeMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use bytes::Bytes;
use slog::Logger;
use tokio::sync::{oneshot, watch};

use super::core_config::{CoreConfig, OnWriteError, Published};
use super::node_registry::{EndpointEvent, NodeRegistry, RunStatus};
use super::peers::PeerSender;
use super::placement;
use super::state::ControlState;
use super::store::Store;
use super::sync_queue::{QueuedSync, SyncQueue};
use crate::clock::{boot_now, wall_ms};
use crate::config::FleetConfig;
use crate::event;
use crate::faults;
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::raft::{Effect, Raft};
use crate::wire::{Command, Document, HardState, Outcome, Peer, Replica, Sync, SyncReply, command};

/// Pause between tries to write a data folder anew.
const REWRITE_PAUSE: Duration = Duration::from_millis(200);

/// Inputs taken before the batch is synced.
const MOST_INPUTS: usize = 2048;

/// An answer that only the leader can give.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer<T> {
    /// The answer.
    Done(T),
    /// This replica does not lead; the leader's address if it is known.
    NotLeader(Option<String>),
}

/// The state as a read sees it.
pub struct CoreView<'a> {
    /// Whether this replica leads and a quorum has just confirmed it.
    pub confirmed: bool,
    /// Replicated state as far as it is applied here.
    pub state: &'a ControlState,
    /// Nodes and endpoints; empty unless this replica leads.
    pub registry: &'a NodeRegistry,
    /// The protocol.
    pub raft: &'a Raft,
    /// Moment of the read.
    pub now: Moment,
}

/// A read of the core's state.
pub type ReadFn = Box<dyn FnOnce(CoreView<'_>) + Send>;

/// What the core is asked.
pub enum Input {
    /// A message of another replica.
    Peer(Peer),
    /// Commit a command.
    Propose(Command, oneshot::Sender<Answer<Outcome>>),
    /// Hear a node and answer with news.
    Sync(Box<Sync>, oneshot::Sender<Answer<SyncReply>>),
    /// Look at the state.
    Read(ReadFn),
    /// Read the newest document, once a quorum has confirmed this leader after the call.
    ReadDocument(oneshot::Sender<Answer<Document>>),
    /// Form a cluster of given voters.
    BootstrapWith(Vec<Replica>),
    /// Add a replica.
    Join(Replica, oneshot::Sender<Answer<bool>>),
    /// Remove a replica.
    Remove(ReplicaId, oneshot::Sender<Answer<bool>>),
    /// Form a cluster of this replica alone.
    Bootstrap(oneshot::Sender<bool>),
    /// End the thread.
    Stop,
}

type Pending = BTreeMap<Index, (Term, oneshot::Sender<Answer<Outcome>>)>;

/// The core of a control replica.
pub struct Core {
    cfg: CoreConfig,
    own: Replica,
    raft: Raft,
    store: Store,
    state: ControlState,
    fleet: FleetConfig,
    registry: NodeRegistry,
    sync_queue: SyncQueue,
    pending: Pending,
    peers: PeerSender,
    placed_at: Moment,
    log: Logger,
    reads: Vec<(Moment, oneshot::Sender<Answer<Document>>)>,
    published: watch::Sender<Published>,
}

impl Core {
    /// Builds the core; `state` is what the snapshot in the store held.
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
        let news = state.config.changes_since(0);
        fleet.apply(news.version, true, &news.records);
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
            pending: Pending::new(),
            peers,
            placed_at: Moment::ZERO,
            log,
            reads: Vec::new(),
            published: watch::Sender::new(Published::default()),
        }
    }

    /// What this replica publishes of itself.
    pub fn published(&self) -> watch::Receiver<Published> {
        self.published.subscribe()
    }

    /// Runs until stopped.
    pub fn run(mut self, rx: Receiver<Input>) {
        loop {
            let first = match rx.recv_timeout(self.cfg.tick) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let now = boot_now();
            let rest = std::iter::from_fn(|| rx.try_recv().ok()).take(MOST_INPUTS);
            for input in first.into_iter().chain(rest) {
                if matches!(input, Input::Stop) {
                    return;
                }
                self.take(now, input);
            }
            self.advance(now);
        }
    }

    fn take(&mut self, now: Moment, input: Input) {
        match input {
            Input::Peer(msg) => self.take_peer(now, msg),
            Input::Propose(command, reply) => self.propose(now, command, reply),
            Input::Sync(sync, reply) => self.take_sync(now, *sync, reply),
            Input::Read(read) => read(CoreView {
                confirmed: self.raft.may_read(now),
                state: &self.state,
                registry: &self.registry,
                raft: &self.raft,
                now,
            }),
            Input::Join(replica, reply) => {
                let done = self.raft.join(now, replica);
                self.answer_leader(reply, done);
            }
            Input::Remove(id, reply) => {
                let done = self.raft.remove(now, id);
                self.answer_leader(reply, done);
            }
            Input::Bootstrap(reply) => {
                let formed = self.raft.bootstrap(now, self.own.clone());
                if formed {
                    event!(self.log, ClusterFormed, "replica" => format!("{:016x}", self.own.id));
                }
                let _ = reply.send(formed);
            }
            Input::ReadDocument(reply) => self.reads.push((now, reply)),
            Input::BootstrapWith(voters) => {
                if self.raft.bootstrap_with(now, voters) {
                    event!(self.log, ClusterFormed, "replica" => format!("{:016x}", self.own.id));
                }
            }
            Input::Stop => {}
        }
    }

    fn take_peer(&mut self, now: Moment, msg: Peer) {
        if !msg.from_address.is_empty() {
            self.peers.learn(msg.from, &msg.from_address);
        }
        self.raft.receive(now, msg);
    }

    fn answer_leader<T>(&self, reply: oneshot::Sender<Answer<T>>, value: T) {
        let answer = if self.raft.is_leader() { Answer::Done(value) } else { self.not_leader() };
        let _ = reply.send(answer);
    }

    fn not_leader<T>(&self) -> Answer<T> {
        let leader = self.raft.leader().filter(|id| *id != self.raft.id());
        let replica = self.raft.replicas().iter().find(|r| Some(r.id) == leader);
        Answer::NotLeader(replica.map(|r| r.address.clone()))
    }

    fn propose(
        &mut self,
        now: Moment,
        mut command: Command,
        reply: oneshot::Sender<Answer<Outcome>>,
    ) {
        command.wall_ms = wall_ms();
        let few = self.raft.quorum() < self.cfg.document_copies;
        if few && matches!(command.kind, Some(command::Kind::Document(_))) {
            let _ = reply.send(Answer::NotLeader(None));
            return;
        }
        match self.raft.propose(now, command) {
            Some((index, term)) => {
                self.pending.insert(index, (term, reply));
            }
            None => {
                let _ = reply.send(self.not_leader());
            }
        }
    }

    fn take_sync(&mut self, now: Moment, sync: Sync, reply: oneshot::Sender<Answer<SyncReply>>) {
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
        let heard = self.registry.record_sync(now, &sync);
        let superseded = heard == RunStatus::Superseded;
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
            self.log_roster();
            self.place_orders(now);
        }
        self.perform(now);
        self.compact_if_due();
        self.answer_reads();
        self.publish();
        if self.raft.may_read(now) {
            let confirmed = self.raft.last_quorum_ack(now);
            self.sync_queue.answer(now, confirmed, &self.state, &self.registry);
        } else {
            let answer = self.not_leader();
            self.sync_queue.reject_all(&answer);
        }
    }

    /// Writes and syncs first; then sends, applies and answers.
    fn perform(&mut self, now: Moment) {
        let effects = self.raft.take_effects(now);
        let mut later = Vec::new();
        for effect in effects {
            match effect {
                Effect::SaveHardState(hard) => self.store.put_hard(hard),
                Effect::SaveEntry(entry) => self.store.put_entry(entry),
                Effect::Truncate(from) => self.store.put_truncate(from),
                Effect::Restore(data) => self.restore(data),
                other => later.push(other),
            }
        }
        let synced = self.store.sync();
        self.settle_write(synced);
        for effect in later {
            self.perform_later(now, effect);
        }
    }

    fn perform_later(&mut self, now: Moment, effect: Effect) {
        match effect {
            Effect::Send(msg) => self.peers.send(self.raft.replicas(), msg),
            Effect::Commit(entry) => self.apply(entry),
            Effect::BecomeLeader => {
                event!(self.log, LeaderElected, "term" => self.raft.term());
                self.registry = NodeRegistry::new(self.cfg.registry.clone(), self.raft.term(), now);
            }
            Effect::StepDown => {
                event!(self.log, LeaderLost, "term" => self.raft.term());
                self.pending.clear();
                self.registry = NodeRegistry::default();
            }
            Effect::SaveHardState(_)
            | Effect::SaveEntry(_)
            | Effect::Truncate(_)
            | Effect::Restore(_) => {}
        }
    }

    fn apply(&mut self, entry: crate::wire::Entry) {
        faults::reach("control.apply");
        if entry.index <= self.state.applied_index {
            return;
        }
        let (index, term) = (entry.index, entry.term);
        let before = self.state.config.version();
        let replicas = self.state.replicas.len();
        let outcome = self.state.apply(entry);
        let version = self.state.config.version();
        if outcome.result == "conflict" {
            event!(self.log, ConfigRefused, "detail" => &outcome.detail);
        }
        if version > before {
            let news = self.state.config.changes_since(before);
            self.fleet.apply(news.version, news.full, &news.records);
            event!(self.log, ConfigAccepted, "version" => version);
        }
        if self.state.replicas.len() != replicas {
            event!(self.log, MembersChanged, "replicas" => self.state.replicas.len());
        }
        if let Some((proposed_in, reply)) = self.pending.remove(&index) {
            let answer =
                if proposed_in == term { Answer::Done(outcome) } else { self.not_leader() };
            faults::reach("control.answer");
            let _ = reply.send(answer);
        }
    }

    fn restore(&mut self, data: Bytes) {
        let Ok(state) = ControlState::decode(&data) else { return };
        let hard = self.hard_state();
        let rest = self.raft.log().slice(state.applied_index + 1, usize::MAX);
        let written = self.store.compact(&data, hard, rest);
        self.settle_write(written);
        event!(self.log, SnapshotRestored, "index" => state.applied_index);
        self.state = state;
        let news = self.state.config.changes_since(0);
        self.fleet.apply(news.version, true, &news.records);
    }

    fn compact_if_due(&mut self) {
        if self.raft.log().len() < self.cfg.snapshot_entries {
            return;
        }
        let applied = self.state.applied_index;
        if applied <= self.raft.log().snapshot_index() {
            return;
        }
        let data = Bytes::from(self.state.encode());
        self.raft.compact(applied, data.clone());
        let rest = self.raft.log().slice(applied + 1, usize::MAX);
        let written = self.store.compact(&data, self.hard_state(), rest);
        self.settle_write(written);
        event!(self.log, SnapshotTaken, "index" => applied, "bytes" => data.len());
    }

    fn hard_state(&self) -> HardState {
        self.raft.hard_state()
    }

    /// After a failed write the folder's content is unknown, so no later answer can be trusted.
    fn settle_write(&mut self, written: std::io::Result<()>) {
        let Err(e) = written else { return };
        event!(self.log, SyncFailed, "error" => e.to_string());
        if self.cfg.on_write_error == OnWriteError::End {
            eprintln!("bitternlead: write or sync of the data folder failed: {e}");
            std::process::exit(crate::exit_codes::ExitCode::DataFolder as i32);
        }
        while !self.rewrite_store() {
            std::thread::sleep(REWRITE_PAUSE);
        }
        event!(self.log, StoreRewritten, "index" => self.raft.log().last_index());
    }

    fn rewrite_store(&mut self) -> bool {
        let log = self.raft.log();
        let base = log.snapshot_index();
        let snapshot = (base > 0).then(|| log.snapshot().clone());
        let entries = log.slice(base + 1, usize::MAX);
        self.store.rewrite(snapshot.as_deref(), self.raft.hard_state(), entries).is_ok()
    }

    /// Answers reads that a quorum has confirmed since they came.
    fn answer_reads(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let now = boot_now();
        if !self.raft.may_read(now) {
            for (_, reply) in std::mem::take(&mut self.reads) {
                let _ = reply.send(self.not_leader());
            }
            return;
        }
        let confirmed = self.raft.last_quorum_ack(now);
        for (since, reply) in std::mem::take(&mut self.reads) {
            if confirmed > since {
                let _ = reply.send(Answer::Done(self.state.document.clone()));
            } else {
                self.reads.push((since, reply));
            }
        }
    }

    fn publish(&self) {
        let leads = self.raft.is_leader();
        let in_touch = leads || self.raft.leader().is_some();
        self.published.send_if_modified(|held| {
            let same = held.leads == leads
                && held.in_touch == in_touch
                && held.document.version == self.state.document.version
                && held.replicas == self.raft.replicas();
            if !same {
                let document = self.state.document.clone();
                let replicas = self.raft.replicas().to_vec();
                *held = Published { document, replicas, leads, in_touch };
            }
            !same
        });
    }

    fn log_roster(&mut self) {
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

    fn place_orders(&mut self, now: Moment) {
        if now.saturating_sub(self.placed_at) < placement::PLAN_INTERVAL || !self.raft.may_read(now)
        {
            return;
        }
        self.placed_at = now;
        let wall = jiff::Timestamp::now();
        for order in placement::plan_loads(&self.fleet, &self.registry, &self.state.orders, wall) {
            event!(self.log, OrderPlaced, "endpoint" => &order.endpoint, "kind" => &order.kind);
            let kind = Some(command::Kind::PlaceOrder(order));
            let command = Command { wall_ms: wall_ms(), operation: String::new(), kind };
            self.raft.propose(now, command);
        }
    }
}
