//! Replication of the log: elections, appends, snapshots and member changes, without I/O.
//!
//! A [`Raft`] turns inputs into [`Effect`]s. The caller first performs every effect that
//! writes, syncs once, and only then performs the others, in order.

mod election;
mod log;
mod membership;
mod replication;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::log::RaftLog;
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::wire::{AppendReply, Command, Entry, HardState, Noop, Peer, Replica, command, peer};

/// Timing and sizes of the replication protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// Shortest silence of a leader after which another may be elected.
    pub election_timeout: Duration,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Most entries in one append.
    pub max_append_entries: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Voters beyond which a learner that caught up has to replace a silent voter; any number
    /// when absent.
    pub max_voters: Option<usize>,
    /// Longest pause between a starting replica's calls for votes until it meets a leader; as
    /// for all others when absent. Reads that rely on a lease instead of a round need it absent.
    pub startup_election_timeout: Option<Duration>,
    /// Silence after which a waiting learner replaces a voter.
    pub voter_replacement_delay: Duration,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(800),
            heartbeat: Duration::from_millis(150),
            max_append_entries: 512,
            snapshot_chunk_bytes: 256 * 1024,
            max_voters: None,
            startup_election_timeout: None,
            voter_replacement_delay: Duration::from_secs(2),
        }
    }
}

/// What the caller of [`Raft`] has to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Write term and vote.
    SaveHardState(HardState),
    /// Write an entry.
    SaveEntry(Entry),
    /// Void all entries from this index on.
    Truncate(Index),
    /// Replace snapshot and log by this encoded snapshot.
    Restore(Bytes),
    /// Send a message to another replica.
    Send(Peer),
    /// Apply a committed entry to the state.
    Commit(Entry),
    /// This replica now leads.
    BecomeLeader,
    /// This replica no longer leads.
    StepDown,
}

/// What a replica found in its data folder.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Last synced term and vote.
    pub hard_state: HardState,
    /// Encoded snapshot, if one was taken.
    pub snapshot: Option<Bytes>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The part that a replica plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Runs for leader.
    Candidate,
    /// Leads.
    Leader,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    next: Index,
    matched: Index,
    in_flight: bool,
    round: u64,
    install_offset: u64,
    heard_at: Moment,
}

/// One replica's protocol state.
pub struct Raft {
    id: ReplicaId,
    cfg: RaftConfig,
    rng: ChaCha8Rng,
    term: Term,
    voted_for: ReplicaId,
    role: Role,
    leader: Option<ReplicaId>,
    log: RaftLog,
    commit: Index,
    heard_at: Moment,
    deadline: Moment,
    votes: BTreeMap<ReplicaId, bool>,
    progress: BTreeMap<ReplicaId, Progress>,
    round: u64,
    rounds: VecDeque<(u64, Moment)>,
    confirmed_at: Moment,
    heartbeat_at: Moment,
    led_at: Moment,
    met_leader: bool,
    incoming: Option<(Index, Term, Vec<u8>)>,
    effects: Vec<Effect>,
}

impl Raft {
    /// Builds a replica from what its data folder held; it starts as a follower.
    pub fn new(
        id: ReplicaId,
        cfg: RaftConfig,
        seed: u64,
        now: Moment,
        persisted: PersistedState,
    ) -> Self {
        let log = RaftLog::new(persisted.snapshot, persisted.entries);
        let mut raft = Self {
            id,
            cfg,
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: persisted.hard_state.term,
            voted_for: persisted.hard_state.voted_for,
            role: Role::Follower,
            leader: None,
            commit: log.snapshot_index(),
            log,
            heard_at: now,
            deadline: now,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            confirmed_at: now,
            heartbeat_at: now,
            led_at: now,
            met_leader: false,
            incoming: None,
            effects: Vec::new(),
        };
        raft.reset_deadline(now);
        raft.hurry_first_election(now);
        raft
    }

    /// Own identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this replica leads its term.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Identity of the leader, as far as it is known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Index up to which entries are committed.
    pub fn commit_index(&self) -> Index {
        self.commit
    }

    /// The log as held in memory.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Replicas of the newest membership in the log.
    pub fn replicas(&self) -> &[Replica] {
        self.log.members()
    }

    /// Takes the effects gathered since the last call, appends to be sent included.
    pub fn take_effects(&mut self, now: Moment) -> Vec<Effect> {
        if self.is_leader() {
            self.replicate(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Moves time on: elections, heartbeats, the quorum check and member changes.
    pub fn tick(&mut self, now: Moment) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.deadline {
            self.start_pre_vote(now);
        }
    }

    /// Takes a message of another replica.
    pub fn receive(&mut self, now: Moment, msg: Peer) {
        if msg.to != self.id {
            return;
        }
        let Some(kind) = msg.kind else { return };
        if !self.accept_term(now, msg.from, msg.term, &kind) {
            return;
        }
        match kind {
            peer::Kind::PreVote(m) => self.on_pre_vote(now, msg.from, msg.term, m),
            peer::Kind::PreVoteReply(m) => self.on_pre_vote_reply(now, msg.from, msg.term, m),
            peer::Kind::Vote(m) => self.on_vote(now, msg.from, m),
            peer::Kind::VoteReply(m) => self.on_vote_reply(now, msg.from, m),
            peer::Kind::Append(m) => self.on_append(now, msg.from, m),
            peer::Kind::AppendReply(m) => self.on_append_reply(now, msg.from, m),
            peer::Kind::Install(m) => self.on_install(now, msg.from, m),
            peer::Kind::InstallReply(m) => self.on_install_reply(now, msg.from, m),
        }
    }

    /// Appends a command to the leader's log; `None` when this replica does not lead.
    pub fn propose(&mut self, now: Moment, command: Command) -> Option<(Index, Term)> {
        if !self.is_leader() {
            return None;
        }
        let entry =
            Entry { index: self.log.last_index() + 1, term: self.term, command: Some(command) };
        let index = entry.index;
        self.log.append(entry.clone());
        self.effects.push(Effect::SaveEntry(entry));
        self.advance_commit(now);
        Some((index, self.term))
    }

    /// Replaces the log up to `index` by an encoded snapshot of the state at that index.
    pub fn compact(&mut self, index: Index, snapshot: Bytes) {
        if index <= self.commit {
            self.log.compact(index, snapshot);
        }
    }

    /// Whether the leader's state may be read now: a quorum confirmed it too recently for
    /// another leader to exist, and an entry of its own term is committed.
    pub fn may_read(&self, now: Moment) -> bool {
        self.is_leader()
            && self.log.term_of(self.commit) == Some(self.term)
            && now.saturating_sub(self.last_quorum_ack(now)) < self.cfg.election_timeout * 3 / 4
    }

    /// Latest moment at which a quorum is known to have followed this leader.
    pub fn last_quorum_ack(&self, now: Moment) -> Moment {
        if self.is_only_voter() { now } else { self.confirmed_at }
    }

    fn is_only_voter(&self) -> bool {
        let mut voters = self.log.members().iter().filter(|r| r.voter);
        voters.next().is_some_and(|r| r.id == self.id) && voters.next().is_none()
    }

    fn is_voter(&self, id: ReplicaId) -> bool {
        self.log.members().iter().any(|r| r.voter && r.id == id)
    }

    fn voters(&self) -> Vec<ReplicaId> {
        self.log.members().iter().filter(|r| r.voter).map(|r| r.id).collect()
    }

    fn others(&self) -> Vec<ReplicaId> {
        self.log.members().iter().map(|r| r.id).filter(|id| *id != self.id).collect()
    }

    /// Number of voters that have to agree.
    pub fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    fn hurry_first_election(&mut self, now: Moment) {
        if self.cfg.startup_election_timeout.is_some() {
            self.heard_at = now.saturating_sub(self.cfg.election_timeout);
            self.reset_deadline(now);
        }
    }

    fn reset_deadline(&mut self, now: Moment) {
        let hurried = self.cfg.startup_election_timeout.filter(|_| !self.met_leader);
        let base = hurried.map_or(self.cfg.election_timeout, |wait| wait / 2);
        let spread = self.rng.random_range(0..=base.as_millis() as u64);
        self.deadline = now + base + Duration::from_millis(spread);
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, voted_for: self.voted_for }
    }

    fn save_hard(&mut self) {
        self.effects.push(Effect::SaveHardState(self.hard_state()));
    }

    fn send(&mut self, to: ReplicaId, kind: peer::Kind) {
        self.send_in_term(to, self.term, kind);
    }

    fn send_in_term(&mut self, to: ReplicaId, term: Term, kind: peer::Kind) {
        let from = self.id;
        let msg = Peer { from, to, term, kind: Some(kind), from_address: String::new() };
        self.effects.push(Effect::Send(msg));
    }

    fn become_follower(&mut self, now: Moment, term: Term, leader: Option<ReplicaId>) {
        if self.is_leader() {
            self.effects.push(Effect::StepDown);
        }
        if term > self.term {
            self.term = term;
            self.voted_for = 0;
            self.save_hard();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.reset_deadline(now);
    }

    fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.votes.clear();
        self.progress.clear();
        self.rounds.clear();
        self.confirmed_at = now;
        self.heartbeat_at = now;
        self.led_at = now;
        self.met_leader = true;
        self.effects.push(Effect::BecomeLeader);
        let noop = Command { kind: Some(command::Kind::Noop(Noop {})), ..Command::default() };
        self.propose(now, noop);
        self.broadcast_heartbeat(now);
    }

    /// Handles the term of a message; false drops the message.
    fn accept_term(&mut self, now: Moment, from: ReplicaId, term: Term, kind: &peer::Kind) -> bool {
        match kind {
            peer::Kind::PreVote(_) => return true,
            peer::Kind::PreVoteReply(m) if m.granted => return true,
            peer::Kind::Vote(_) if self.hears_leader(now) => return false,
            _ => {}
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let stale = term < self.term;
        let from_leader = matches!(kind, peer::Kind::Append(_) | peer::Kind::Install(_));
        if stale && from_leader {
            let told = AppendReply { ok: false, index: self.log.last_index(), round: 0 };
            self.send(from, peer::Kind::AppendReply(told));
        }
        !stale
    }
}
