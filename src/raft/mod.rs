//! The Raft consensus protocol: elections, log replication, snapshots and membership changes.
//!
//! The module does no I/O. A [`Raft`] turns ticks, messages and proposals into [`Effect`]s. The
//! caller first performs every effect that writes, syncs once, and only then sends messages and
//! applies entries, in order.

mod config;
mod election;
mod log;
mod membership;
mod progress;
mod quorum;
mod replication;
mod voters;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::config::RaftConfig;
pub use self::log::RaftLog;
pub use self::membership::Departure;
use self::progress::Progress;
use self::quorum::Quorums;
use crate::ids::{Index, Moment, ReplicaId, Term};
use crate::wire::{
    Absent, AppendReply, Command, Entry, HardState, Noop, Peer, Replica, command, peer,
};

/// An action that the caller of [`Raft`] has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Persist the term and the vote.
    SaveHardState(HardState),
    /// Persist a log entry.
    SaveEntry(Entry),
    /// Discard all entries with this index or a higher one.
    Truncate(Index),
    /// Replace the state, the snapshot and the log entries that it covers by this encoded snapshot.
    Restore(Bytes),
    /// Send a message to another replica.
    Send(Peer),
    /// Apply a committed entry to the state machine.
    Commit(Entry),
    /// This replica has become the leader of its term.
    BecomeLeader,
    /// This replica has ceased to be the leader.
    StepDown,
    /// The disk of this replica is lost: another one is at its address.
    VoteVoid(ReplicaId),
}

/// State that a replica recovers from its data directory when it starts.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// Last persisted term and vote.
    pub hard_state: HardState,
    /// Encoded snapshot, if one was taken.
    pub snapshot: Option<Bytes>,
    /// Entries after the snapshot, in order and without gaps.
    pub entries: Vec<Entry>,
}

/// Role of a replica in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts entries from a leader, or waits for one.
    Follower,
    /// Asks other voters whether it could win an election, without raising its term.
    PreCandidate,
    /// Requests votes in its own new term.
    Candidate,
    /// Appends commands to the log and replicates them.
    Leader,
}

/// Protocol state of one replica.
pub struct Raft {
    id: ReplicaId,
    cfg: RaftConfig,
    rng: ChaCha8Rng,
    term: Term,
    voted_for: ReplicaId,
    role: Role,
    leader: Option<ReplicaId>,
    log: RaftLog,
    commit_index: Index,
    /// Highest commit index that a leader named since the process started.
    heard_commit_index: Index,
    /// When a message of a leader of the current term last arrived.
    leader_heard_at: Moment,
    election_deadline: Moment,
    votes: BTreeMap<ReplicaId, bool>,
    /// Replicas whose disks were lost, as the ones at their addresses said.
    void: BTreeSet<ReplicaId>,
    /// Those of them that were known when this replica began its election; they hold for its term as a leader.
    void_at_election: BTreeSet<ReplicaId>,
    progress: BTreeMap<ReplicaId, Progress>,
    /// Number of the last heartbeat round that this leader started.
    round: u64,
    /// Rounds that no quorum has acknowledged yet, with their send times.
    unacked_rounds: VecDeque<(u64, Moment)>,
    /// Send time of the newest round that a quorum has acknowledged.
    quorum_acked_at: Moment,
    last_heartbeat_at: Moment,
    leader_since: Moment,
    /// Replicas whose processes are about to end, with the time at which they last said so.
    leaving: BTreeMap<ReplicaId, Moment>,
    /// Whether a leader was seen since the process started.
    seen_leader: bool,
    /// Last index, last term and bytes so far of the snapshot that is being received.
    incoming_snapshot: Option<(Index, Term, Vec<u8>)>,
    effects: Vec<Effect>,
    /// Bytes of entries and snapshot chunks that were lost, since they were taken last.
    lost_bytes: usize,
    /// Longest sync of this replica's disk since the last one expired, and when it ended; shorter ones
    /// meanwhile are not kept.
    longest_sync: (Duration, Moment),
}

impl Raft {
    /// Builds a replica from its persisted state; it starts as a follower.
    ///
    /// `seed` determines the random part of the election timeouts.
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
            commit_index: log.snapshot_index(),
            heard_commit_index: 0,
            log,
            leader_heard_at: now,
            election_deadline: now,
            votes: BTreeMap::new(),
            void: BTreeSet::new(),
            void_at_election: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            unacked_rounds: VecDeque::new(),
            quorum_acked_at: now,
            last_heartbeat_at: now,
            leader_since: now,
            leaving: BTreeMap::new(),
            seen_leader: false,
            incoming_snapshot: None,
            effects: Vec::new(),
            lost_bytes: 0,
            longest_sync: (Duration::ZERO, Moment::ZERO),
        };
        raft.reset_election_deadline(now);
        raft.skip_startup_wait(now);
        raft
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current term; it never decreases.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whether this replica is the leader of its term.
    pub fn is_leader(&self) -> bool {
        self.role == Role::Leader
    }

    /// Identity of the leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> Index {
        self.commit_index
    }

    /// The in-memory log.
    pub fn log(&self) -> &RaftLog {
        &self.log
    }

    /// Replicas of the newest membership in the log, committed or not.
    pub fn replicas(&self) -> &[Replica] {
        self.log.members()
    }

    /// Returns the effects since the last call; a leader also sends the entries that replicas lack.
    pub fn take_effects(&mut self, now: Moment) -> Vec<Effect> {
        if self.is_leader() {
            self.replicate(now);
        }
        std::mem::take(&mut self.effects)
    }

    /// Returns the bytes of entries and snapshot chunks that were lost on their way to a replica
    /// since the last call; they are sent again.
    pub fn take_lost_bytes(&mut self) -> usize {
        std::mem::take(&mut self.lost_bytes)
    }

    /// Advances time: starts elections, and for a leader sends heartbeats, checks the quorum and
    /// gives votes to learners.
    pub fn tick(&mut self, now: Moment) {
        if self.is_leader() {
            self.tick_as_leader(now);
        } else if now >= self.election_deadline {
            self.start_pre_vote(now);
        }
    }

    /// Handles a message from another replica. One for a replica that was at this address before is answered: its
    /// disk is lost.
    pub fn receive(&mut self, now: Moment, msg: Peer) {
        let Some(kind) = msg.kind else { return };
        if let peer::Kind::Absent(absent) = kind {
            self.on_absent(now, absent.id, &msg.from_address);
            return;
        }
        if msg.to != self.id {
            self.send(msg.from, peer::Kind::Absent(Absent { id: msg.to }));
            return;
        }
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
            peer::Kind::Campaign(_) => self.on_campaign(now, msg.from),
            peer::Kind::Absent(_) => {}
        }
    }

    /// Appends a command to the log and returns its index and term; `None` if not the leader.
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
    ///
    /// An index that is not committed yet is ignored.
    pub fn compact(&mut self, index: Index, snapshot: Bytes) {
        if index <= self.commit_index {
            self.log.compact(index, snapshot);
        }
    }

    /// Whether this replica knows everything that was committed up to the last message of its
    /// leader: it has committed an entry of the current term, and all that the leader has named.
    pub fn is_caught_up(&self) -> bool {
        self.commit_index >= self.heard_commit_index
            && self.log.term_of(self.commit_index) == Some(self.term)
    }

    /// Whether this leader may answer reads from its own state.
    ///
    /// An entry of its own term must be committed, and a quorum must have acknowledged it within
    /// three quarters of an election timeout, so that no other leader can have been elected.
    pub fn may_read(&self, now: Moment) -> bool {
        self.is_leader()
            && self.log.term_of(self.commit_index) == Some(self.term)
            && now.saturating_sub(self.last_quorum_ack(now)) < self.cfg.election_timeout * 3 / 4
    }

    /// Send time of the newest heartbeat round that a quorum has acknowledged; `now` for a single
    /// voter.
    pub fn last_quorum_ack(&self, now: Moment) -> Moment {
        if self.quorums().is_only(self.id) { now } else { self.quorum_acked_at }
    }

    /// Voters of the newest membership in the log, committed or not.
    fn quorums(&self) -> Quorums {
        Quorums::of(self.log.members(), &self.void_at_election)
    }

    fn other_replicas(&self) -> Vec<ReplicaId> {
        self.log.members().iter().map(|r| r.id).filter(|id| *id != self.id).collect()
    }

    /// Number of voters that hold whatever is committed, at least.
    pub fn quorum(&self) -> usize {
        self.quorums().copies()
    }

    /// Lets the first election start without waiting for a leader that may not exist.
    fn skip_startup_wait(&mut self, now: Moment) {
        if self.cfg.startup_election_timeout.is_some() {
            self.leader_heard_at = now.saturating_sub(self.cfg.election_timeout);
            self.reset_election_deadline(now);
        }
    }

    /// Sets the next election to a random moment, so that replicas rarely split the vote.
    fn reset_election_deadline(&mut self, now: Moment) {
        let startup_timeout = self.cfg.startup_election_timeout.filter(|_| !self.seen_leader);
        let base = startup_timeout.map_or(self.cfg.election_timeout, |wait| wait / 2);
        let jitter_ms = self.rng.random_range(0..=base.as_millis() as u64);
        let least = base.max(self.sync_allowance(now));
        self.election_deadline = now + least + Duration::from_millis(jitter_ms);
    }

    /// Current term and vote, as they have to be persisted.
    pub fn hard_state(&self) -> HardState {
        HardState { term: self.term, voted_for: self.voted_for }
    }

    fn save_hard_state(&mut self) {
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
            self.save_hard_state();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.void_at_election.clear();
        self.reset_election_deadline(now);
    }

    fn become_leader(&mut self, now: Moment) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.votes.clear();
        self.progress.clear();
        self.unacked_rounds.clear();
        self.quorum_acked_at = now;
        self.last_heartbeat_at = now;
        self.leader_since = now;
        self.leaving.clear();
        self.seen_leader = true;
        self.effects.push(Effect::BecomeLeader);
        let noop = Command { kind: Some(command::Kind::Noop(Noop {})), ..Command::default() };
        self.propose(now, noop);
        self.broadcast_heartbeat(now);
    }

    /// Compares the term of a message with the own one; returns false if it must be dropped.
    ///
    /// Pre-vote requests and grants do not change the term. A vote request is dropped while a
    /// leader is known that has not handed over, so that a replica that cannot hear the leader does not
    /// depose it. A stale
    /// leader gets a reply with the newer term, which makes it step down.
    fn accept_term(&mut self, now: Moment, from: ReplicaId, term: Term, kind: &peer::Kind) -> bool {
        match kind {
            peer::Kind::PreVote(_) => return true,
            peer::Kind::PreVoteReply(m) if m.granted => return true,
            peer::Kind::Vote(m) if !m.handed_over && self.has_recent_leader(now) => return false,
            _ => {}
        }
        if term > self.term {
            self.become_follower(now, term, None);
        }
        let stale = term < self.term;
        let only_leader_sends = matches!(kind, peer::Kind::Append(_) | peer::Kind::Install(_));
        if stale && only_leader_sends {
            let reply = AppendReply { ok: false, index: self.log.last_index(), round: 0 };
            self.send(from, peer::Kind::AppendReply(reply));
        }
        !stale
    }
}
