//! Raft under lost, duplicated, reordered and late messages, crashes, partitions and lost disks.
//!
//! A simulation runs the replicas in virtual time on a simulated network; every run is determined
//! by its seed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlead::control::state::ControlState;
use bitternlead::raft::{Effect, PersistedState, Raft, RaftConfig, Role};
use bitternlead::wire::{
    Append, AppendReply, Command, Entry, HardState, Members, Peer, PreVoteReply, Replica, Snapshot,
    Vote, VoteReply, command, peer,
};
use bytes::Bytes;
use proptest::prelude::*;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Persisted state of a replica, which survives a crash.
#[derive(Default, Clone)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<Bytes>,
    entries: Vec<Entry>,
}

/// A simulated host; `raft` is `None` while its process is down.
struct Host {
    id: u64,
    raft: Option<Raft>,
    disk: Disk,
    applied: u64,
    state: ControlState,
    isolated: bool,
    drops_from: Option<u64>,
}

/// Hosts and the network between them, with all entries committed and leaders elected so far.
struct Simulation {
    rng: ChaCha8Rng,
    cfg: RaftConfig,
    now: Duration,
    hosts: Vec<Host>,
    network: Vec<(Duration, Peer)>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, u64>,
    next_id: u64,
    next_op: u64,
    loss_percent: u32,
    late_percent: u32,
}

impl Simulation {
    fn new(seed: u64, count: usize) -> Self {
        let cfg = RaftConfig {
            snapshot_chunk_bytes: 64,
            max_append_entries: 1 + seed as usize % 8,
            ..RaftConfig::default()
        };
        let mut sim = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cfg,
            now: Duration::ZERO,
            hosts: Vec::new(),
            network: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_id: 1,
            next_op: 1,
            loss_percent: 0,
            late_percent: 0,
        };
        for _ in 0..count {
            sim.add_host();
        }
        let now = sim.now;
        let own = sim.replica(0);
        assert!(sim.hosts[0].raft.as_mut().unwrap().bootstrap(now, own));
        sim.perform_effects(0);
        for at in 1..count {
            sim.join(at);
        }
        sim.run_until(20_000, |s| s.voters() == count);
        assert_eq!(sim.voters(), count, "all replicas become voters");
        sim
    }

    fn add_host(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        let host = Host {
            id,
            raft: None,
            disk: Disk::default(),
            applied: 0,
            state: ControlState::default(),
            isolated: false,
            drops_from: None,
        };
        self.hosts.push(host);
        self.restart(self.hosts.len() - 1);
    }

    fn replica(&self, at: usize) -> Replica {
        let address = format!("host-{at}");
        Replica { id: self.hosts[at].id, address, ..Replica::default() }
    }

    fn restart(&mut self, at: usize) {
        let seed = self.rng.random();
        let host = &mut self.hosts[at];
        let persisted = PersistedState {
            hard_state: host.disk.hard_state,
            snapshot: host.disk.snapshot.clone(),
            entries: host.disk.entries.clone(),
        };
        host.state = match &host.disk.snapshot {
            Some(data) => ControlState::decode(data).unwrap(),
            None => ControlState::default(),
        };
        host.applied = host.state.applied_index;
        host.raft = Some(Raft::new(host.id, self.cfg.clone(), seed, self.now, persisted));
    }

    /// Restarts a host with an empty disk, as a replica with a new identity.
    fn replace_disk(&mut self, at: usize) {
        let id = self.next_id;
        self.next_id += 1;
        let host = &mut self.hosts[at];
        host.id = id;
        host.disk = Disk::default();
        self.restart(at);
    }

    fn join(&mut self, at: usize) -> bool {
        let replica = self.replica(at);
        let now = self.now;
        let Some(leader) = self.leader() else { return false };
        let joined = self.hosts[leader].raft.as_mut().unwrap().join(now, replica);
        self.perform_effects(leader);
        joined
    }

    /// Index of the host that leads the highest term.
    fn leader(&self) -> Option<usize> {
        let is_leader = |h: &&(usize, &Host)| h.1.raft.as_ref().is_some_and(Raft::is_leader);
        let hosts: Vec<(usize, &Host)> = self.hosts.iter().enumerate().collect();
        let best = hosts.iter().filter(is_leader).max_by_key(|h| h.1.raft.as_ref().unwrap().term());
        best.map(|h| h.0)
    }

    /// Number of voters according to the current leader; 0 without a leader.
    fn voters(&self) -> usize {
        let Some(leader) = self.leader() else { return 0 };
        let raft = self.hosts[leader].raft.as_ref().unwrap();
        raft.replicas().iter().filter(|r| r.voter).count()
    }

    /// Performs the effects of a replica: all writes first, then the others.
    fn perform_effects(&mut self, at: usize) {
        let now = self.now;
        let Some(raft) = self.hosts[at].raft.as_mut() else { return };
        let effects = raft.take_effects(now);
        let mut deferred = Vec::new();
        for effect in effects {
            let disk = &mut self.hosts[at].disk;
            match effect {
                Effect::SaveHardState(hard) => disk.hard_state = hard,
                Effect::SaveEntry(entry) => {
                    disk.entries.retain(|e| e.index < entry.index);
                    disk.entries.push(entry);
                }
                Effect::Truncate(from) => disk.entries.retain(|e| e.index < from),
                Effect::Restore(data) => {
                    let state = ControlState::decode(&data).unwrap();
                    let base = state.applied_index;
                    disk.entries.retain(|e| e.index > base);
                    disk.snapshot = Some(data);
                    self.hosts[at].applied = base;
                    self.hosts[at].state = state;
                }
                other => deferred.push(other),
            }
        }
        for effect in deferred {
            self.perform_effect(at, effect);
        }
    }

    fn perform_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send(msg) => self.send(msg),
            Effect::Commit(entry) => self.commit(at, entry),
            Effect::BecomeLeader => {
                let host = &self.hosts[at];
                let term = host.raft.as_ref().unwrap().term();
                let first = *self.leaders.entry(term).or_insert(host.id);
                assert_eq!(first, host.id, "two leaders in term {term}");
            }
            _ => {}
        }
    }

    /// Applies a committed entry; no two hosts may commit different entries at one index.
    fn commit(&mut self, at: usize, entry: Entry) {
        let known = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*known, entry, "two entries committed at one index");
        let host = &mut self.hosts[at];
        if entry.index <= host.applied {
            return;
        }
        assert_eq!(entry.index, host.applied + 1, "applied without a gap");
        host.applied = entry.index;
        host.state.apply(entry);
    }

    /// Advances time by `ms`, delivers due messages and ticks every replica.
    fn step(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.deliver();
        let now = self.now;
        for at in 0..self.hosts.len() {
            if let Some(raft) = self.hosts[at].raft.as_mut() {
                raft.tick(now);
            }
            self.perform_effects(at);
        }
        self.assert_reads_are_current();
    }

    /// Asserts that a replica that may serve reads knows every committed entry as committed.
    fn assert_reads_are_current(&self) {
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        for host in &self.hosts {
            let Some(raft) = host.raft.as_ref().filter(|r| r.may_read(self.now)) else { continue };
            let violation = "a confirmed leader lacks a committed entry";
            assert!(raft.commit_index() >= newest, "{violation}: host {}", host.id);
        }
    }

    /// Sends a message; it may be lost, duplicated, or delayed by up to two seconds.
    fn send(&mut self, msg: Peer) {
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.loss_percent { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_range(0..100) < self.late_percent;
            let delay = self.rng.random_range(0..if late { 2000 } else { 20 });
            self.network.push((self.now + Duration::from_millis(delay), msg.clone()));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.network).into_iter().partition(|m| m.0 <= now);
        self.network = later;
        let due: Vec<(Duration, Peer)> = due;
        for (_, msg) in due {
            let blocked = self.hosts.iter().any(|h| h.id == msg.from && h.isolated);
            let to = self.hosts.iter().position(|h| h.id == msg.to);
            let Some(to) = to.filter(|to| !blocked && !self.hosts[*to].isolated) else { continue };
            if self.hosts[to].drops_from == Some(msg.from) {
                continue;
            }
            if let Some(raft) = self.hosts[to].raft.as_mut() {
                raft.receive(now, msg);
            }
            self.perform_effects(to);
        }
    }

    fn propose(&mut self) -> Option<u64> {
        let operation = format!("op-{}", self.next_op);
        let command = Command { operation, ..Command::default() };
        let now = self.now;
        let leader = self.leader()?;
        let (index, _) = self.hosts[leader].raft.as_mut().unwrap().propose(now, command)?;
        self.next_op += 1;
        self.perform_effects(leader);
        Some(index)
    }

    fn compact(&mut self, at: usize) {
        let host = &mut self.hosts[at];
        let Some(raft) = host.raft.as_mut() else { return };
        if host.applied <= raft.log().snapshot_index() {
            return;
        }
        let data = Bytes::from(host.state.encode());
        raft.compact(host.applied, data.clone());
        let applied = host.applied;
        host.disk.entries.retain(|e| e.index > applied);
        host.disk.snapshot = Some(data);
    }

    /// Advances time in steps of 10 ms until `done` holds, at most by `limit_ms`; returns `done`.
    fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit_ms / 10 {
            if done(self) {
                return true;
            }
            self.step(10);
        }
        done(self)
    }

    /// Ends all faults, then checks that a proposal commits and that all members apply it.
    fn heal_and_check(&mut self) {
        self.loss_percent = 0;
        self.late_percent = 0;
        for at in 0..self.hosts.len() {
            self.hosts[at].isolated = false;
            self.hosts[at].drops_from = None;
            if self.hosts[at].raft.is_none() {
                self.restart(at);
            }
        }
        let mut index = None;
        for _ in 0..40 {
            self.run_until(500, |_| false);
            index = self.propose();
            let Some(index) = index else { continue };
            if self.run_until(2000, |s| s.committed.contains_key(&index)) {
                break;
            }
        }
        let index = index.expect("a leader after healing");
        assert!(self.committed.contains_key(&index), "a proposal commits after healing");
        let members: BTreeSet<u64> = {
            let leader = self.leader().unwrap();
            let raft = self.hosts[leader].raft.as_ref().unwrap();
            raft.replicas().iter().map(|r| r.id).collect()
        };
        let caught_up = move |s: &Self| {
            s.hosts.iter().filter(|h| members.contains(&h.id)).all(|h| h.applied >= index)
        };
        assert!(self.run_until(10_000, caught_up), "all members catch up");
    }
}

/// Pauses a replica for up to two seconds, in which time passes only for the others.
fn pause_replica(sim: &mut Simulation, at: usize) {
    let paused = sim.hosts[at].raft.take();
    for _ in 0..sim.rng.random_range(1..200) {
        sim.step(10);
        if sim.rng.random_range(0..5) == 0 {
            sim.propose();
        }
    }
    sim.hosts[at].raft = paused;
    sim.assert_reads_are_current();
}

/// Injects one random fault, proposes a command, or lets time pass.
fn random_step(sim: &mut Simulation) {
    let at = sim.rng.random_range(0..sim.hosts.len());
    match sim.rng.random_range(0..40) {
        0 => sim.hosts[at].raft = None,
        1..=3 => sim.restart(at),
        4 | 5 => sim.hosts[at].isolated = !sim.hosts[at].isolated,
        6 => sim.hosts[at].drops_from = sim.leader().map(|l| sim.hosts[l].id),
        7 => sim.compact(at),
        8 => pause_replica(sim, at),
        9 => {
            for host in &mut sim.hosts {
                host.isolated = false;
                host.drops_from = None;
            }
        }
        10..=20 => {
            sim.propose();
        }
        _ => {
            let ms = sim.rng.random_range(5..90);
            sim.step(ms);
        }
    }
}

fn run_random_faults(seed: u64, count: usize, steps: usize) {
    let mut sim = Simulation::new(seed, count);
    sim.loss_percent = [0, 5, 20][seed as usize % 3];
    sim.late_percent = [0, 5, 20][seed as usize / 3 % 3];
    for _ in 0..steps {
        random_step(&mut sim);
    }
    sim.heal_and_check();
}

/// Adds and removes replicas under the same random faults.
fn run_membership_changes(seed: u64) {
    let mut sim = Simulation::new(seed, 3);
    sim.loss_percent = 10;
    sim.late_percent = 5;
    for _ in 0..2 {
        sim.add_host();
    }
    for _ in 0..400 {
        let at = sim.rng.random_range(0..sim.hosts.len());
        match sim.rng.random_range(0..12) {
            0 => {
                sim.join(at);
            }
            1 => {
                let id = sim.hosts[at].id;
                let now = sim.now;
                let leader = sim.leader().filter(|_| sim.voters() > 2);
                if let Some(leader) = leader {
                    sim.hosts[leader].raft.as_mut().unwrap().remove(now, id);
                    sim.perform_effects(leader);
                }
            }
            _ => random_step(&mut sim),
        }
    }
    sim.heal_and_check();
}

/// Seeds to run; the variable `RAFT_SEEDS=FROM..TO` overrides the default range.
fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("RAFT_SEEDS").unwrap_or_default();
    let parts = given.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.unwrap_or(0..300)
}

#[test]
fn three_replicas_agree_under_random_faults() {
    for seed in seeds() {
        run_random_faults(seed, 3, 400);
    }
}

#[test]
fn five_replicas_agree_under_random_faults() {
    for seed in seeds().step_by(3) {
        run_random_faults(seed + 1_000_000, 5, 400);
    }
}

#[test]
fn replicas_agree_while_members_change() {
    for seed in seeds() {
        run_membership_changes(seed + 2_000_000);
    }
}

/// A replica that receives nothing from the leader starts pre-votes; neither these nor its return
/// may depose a leader that a quorum still follows.
#[test]
fn a_replica_that_does_not_hear_the_leader_does_not_unseat_it() {
    let mut sim = Simulation::new(5, 3);
    // Every replica has the whole log, so only recent contact to the leader prevents an election.
    sim.run_until(1_000, |_| false);
    let leader = sim.leader().unwrap();
    let term = sim.hosts[leader].raft.as_ref().unwrap().term();
    sim.hosts[(leader + 1) % 3].drops_from = Some(sim.hosts[leader].id);
    sim.run_until(20_000, |_| false);
    assert_eq!(sim.leader(), Some(leader));
    sim.hosts[(leader + 1) % 3].drops_from = None;
    sim.run_until(5_000, |_| false);
    assert_eq!(sim.leader(), Some(leader), "the leader stays when the replica hears it again");
    assert_eq!(sim.hosts[leader].raft.as_ref().unwrap().term(), term);
}

fn peer(from: u64, to: u64, term: u64, kind: peer::Kind) -> Peer {
    Peer { from, to, term, kind: Some(kind), from_address: String::new() }
}

fn granted(effects: &[Effect]) -> Option<bool> {
    effects.iter().find_map(|e| match e {
        Effect::Send(Peer { kind: Some(peer::Kind::VoteReply(r)), .. }) => Some(r.granted),
        _ => None,
    })
}

#[test]
fn a_vote_holds_across_a_restart() {
    let cfg = RaftConfig::default();
    let after_timeout = cfg.election_timeout * 2;
    let request = peer::Kind::Vote(Vote { last_index: 0, last_term: 0 });
    let mut raft = Raft::new(1, cfg.clone(), 0, Duration::ZERO, PersistedState::default());
    raft.receive(after_timeout, peer(2, 1, 5, request.clone()));
    let effects = raft.take_effects(after_timeout);
    assert_eq!(granted(&effects), Some(true));
    let mut hard_state = HardState::default();
    for effect in &effects {
        if let Effect::SaveHardState(saved) = effect {
            hard_state = *saved;
        }
    }
    let persisted = PersistedState { hard_state, ..PersistedState::default() };
    let mut raft = Raft::new(1, cfg, 0, Duration::ZERO, persisted);
    raft.receive(after_timeout, peer(3, 1, 5, request));
    assert_eq!(granted(&raft.take_effects(after_timeout)), Some(false));
}

#[test]
fn no_vote_is_cast_while_a_leader_is_heard() {
    let cfg = RaftConfig::default();
    let after_timeout = cfg.election_timeout * 2;
    let mut raft = Raft::new(1, cfg.clone(), 0, Duration::ZERO, PersistedState::default());
    raft.receive(after_timeout, peer(2, 1, 5, peer::Kind::Append(Append::default())));
    raft.take_effects(after_timeout);
    let before_timeout = after_timeout + cfg.election_timeout / 2;
    let request = peer::Kind::Vote(Vote { last_index: 9, last_term: 9 });
    raft.receive(before_timeout, peer(3, 1, 6, request));
    assert_eq!(granted(&raft.take_effects(before_timeout)), None);
    assert_eq!(raft.term(), 5);
}

/// An entry of an older term on a quorum can still be overwritten by a later leader, so it must not
/// count as committed until an entry of the current term is on a quorum too.
#[test]
fn entries_of_an_older_term_commit_only_with_one_of_the_leaders_own() {
    let voter = |id| Replica { id, voter: true, address: format!("h{id}"), ..Replica::default() };
    let members = Members { replicas: vec![voter(1), voter(2), voter(3)] };
    let first = Command { kind: Some(command::Kind::Members(members)), ..Command::default() };
    let entry = |index, command| Entry { index, term: 1, command: Some(command) };
    let persisted = PersistedState {
        hard_state: HardState { term: 1, voted_for: 1 },
        entries: vec![entry(1, first), entry(2, Command::default())],
        ..PersistedState::default()
    };
    let mut raft = Raft::new(1, RaftConfig::default(), 0, Duration::ZERO, persisted);
    let now = RaftConfig::default().election_timeout * 3;
    raft.tick(now);
    raft.receive(now, peer(2, 1, 2, peer::Kind::PreVoteReply(PreVoteReply { granted: true })));
    raft.receive(now, peer(2, 1, 2, peer::Kind::VoteReply(VoteReply { granted: true })));
    assert!(raft.is_leader());
    let mut reply = |index| {
        let reply = AppendReply { ok: true, index, round: 1 };
        raft.receive(now, peer(2, 1, 2, peer::Kind::AppendReply(reply)));
        raft.commit_index()
    };
    assert_eq!(reply(2), 0, "an older entry on a quorum is not committed by itself");
    assert_eq!(reply(3), 3);
}

/// A learner that has not caught up must not count towards the quorum, or it would block commits.
#[test]
fn a_learner_that_lags_does_not_count() {
    let mut sim = Simulation::new(9, 1);
    sim.add_host();
    sim.hosts[1].isolated = true;
    assert!(sim.join(1));
    sim.run_until(2000, |_| false);
    let index = sim.propose().unwrap();
    assert!(sim.run_until(1000, |s| s.committed.contains_key(&index)));
    sim.hosts[1].isolated = false;
    assert!(sim.run_until(5000, |s| s.voters() == 2));
}

/// One host loses its disk and rejoins, then another loses its disk: the two other disks must still
/// hold every accepted entry.
#[test]
fn a_second_host_lost_right_after_a_repair_loses_nothing() {
    for seed in 0..30 {
        let mut sim = Simulation::new(seed, 3);
        let mut indexes = Vec::new();
        for _ in 0..20 {
            indexes.extend(sim.propose());
            sim.step(10);
        }
        sim.run_until(2000, |s| indexes.iter().all(|i| s.committed.contains_key(i)));
        let lost = sim.rng.random_range(0..3);
        sim.replace_disk(lost);
        let repaired = |s: &Simulation| {
            let id = s.hosts[lost].id;
            let Some(leader) = s.leader() else { return false };
            let raft = s.hosts[leader].raft.as_ref().unwrap();
            raft.replicas().iter().any(|r| r.id == id && r.voter) && s.voters() == 3
        };
        for _ in 0..100 {
            sim.run_until(300, |_| false);
            sim.join(lost);
            if repaired(&sim) {
                break;
            }
        }
        assert!(repaired(&sim), "the new replica replaces the lost one");
        let second = (lost + 1) % 3;
        sim.replace_disk(second);
        sim.run_until(5000, |s| s.leader().is_some_and(|l| l != second));
        let leader = sim.leader().expect("the remaining two elect a leader");
        assert!(leader != second);
        let state = &sim.hosts[leader].state;
        sim.hosts[leader].raft.as_ref().unwrap();
        assert!(state.applied_index >= *indexes.last().unwrap(), "nothing accepted is lost");
    }
}

/// A replica that has lost its disk has forgotten its votes; under its old identity it could vote
/// twice in one term.
#[test]
fn a_replica_with_a_lost_disk_never_votes_as_the_old_one() {
    let mut sim = Simulation::new(7, 3);
    let old = sim.hosts[2].id;
    sim.replace_disk(2);
    sim.run_until(3000, |_| false);
    let host = &sim.hosts[2];
    assert_ne!(host.id, old);
    assert_eq!(host.raft.as_ref().unwrap().role(), Role::Follower);
    assert_eq!(host.disk.hard_state, HardState::default(), "no vote was cast");
}

#[test]
fn a_silently_cut_leader_steps_down_and_answers_no_reads() {
    let mut sim = Simulation::new(3, 3);
    let leader = sim.leader().unwrap();
    sim.hosts[leader].isolated = true;
    let election_timeout = sim.cfg.election_timeout;
    let start = sim.now;
    while sim.now - start < election_timeout {
        sim.step(10);
    }
    let raft = sim.hosts[leader].raft.as_ref().unwrap();
    assert!(!raft.is_leader() && !raft.may_read(sim.now));
    sim.run_until(5000, |s| s.leader().is_some());
    assert_ne!(sim.leader(), Some(leader));
    let term = sim.hosts[leader].raft.as_ref().unwrap().term();
    sim.run_until(20_000, |_| false);
    let term_after = sim.hosts[leader].raft.as_ref().unwrap().term();
    assert_eq!(term, term_after, "pre-vote keeps an isolated replica from raising the term");
}

#[test]
fn a_large_snapshot_is_installed_in_chunks() {
    let mut sim = Simulation::new(11, 3);
    sim.hosts[2].raft = None;
    for _ in 0..200 {
        sim.propose();
        sim.step(10);
    }
    sim.compact(0);
    sim.compact(1);
    let size = sim.hosts[sim.leader().unwrap()].disk.snapshot.as_ref().unwrap().len();
    assert!(size > sim.cfg.snapshot_chunk_bytes * 10);
    sim.restart(2);
    sim.heal_and_check();
    let data = sim.hosts[2].disk.snapshot.clone().expect("a snapshot was installed");
    assert!(Snapshot::decode(data).unwrap().last_index > 100);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]
    #[test]
    fn any_seed_agrees(seed in any::<u64>(), count in 1usize..6) {
        run_random_faults(seed, count, 150);
    }
}

/// Leader of three replicas whose messages reach nobody from now on.
fn cut_off_leader(sim: &mut Simulation) -> usize {
    let leader = sim.leader().unwrap();
    sim.run_until(500, |_| false);
    sim.hosts[leader].isolated = true;
    leader
}

/// Appends with entries among the messages that were sent since the last call.
fn sent_appends(sim: &mut Simulation) -> Vec<Append> {
    let sent = std::mem::take(&mut sim.network).into_iter();
    let appends = sent.filter_map(|(_, msg)| match msg.kind {
        Some(peer::Kind::Append(append)) if !append.entries.is_empty() => Some(append),
        _ => None,
    });
    appends.collect()
}

#[test]
fn entries_on_their_way_are_not_sent_again_with_each_heartbeat() {
    let mut sim = Simulation::new(8, 3);
    let leader = cut_off_leader(&mut sim);
    sent_appends(&mut sim);
    sim.propose();
    let mut sent = 0;
    for _ in 0..50 {
        sim.now += Duration::from_millis(10);
        let now = sim.now;
        sim.hosts[leader].raft.as_mut().unwrap().tick(now);
        sim.perform_effects(leader);
        sent += sent_appends(&mut sim).len();
    }
    assert_eq!(sent, 2, "one append to each of the two others");
}

#[test]
fn followers_learn_of_a_commit_without_waiting_for_a_heartbeat() {
    let mut sim = Simulation::new(8, 3);
    sim.cfg.heartbeat = Duration::from_secs(3);
    sim.cfg.election_timeout = Duration::from_secs(10);
    for at in 0..3 {
        sim.restart(at);
    }
    assert!(sim.run_until(60_000, |s| s.leader().is_some()));
    sim.run_until(200, |_| false);
    let index = sim.propose().unwrap();
    // Three trips of up to 20 ms each, in steps of 10 ms.
    let applied = |s: &Simulation| s.hosts.iter().all(|h| h.applied >= index);
    assert!(sim.run_until(100, applied), "not applied everywhere after three trips");
}

#[test]
fn one_append_carries_a_bounded_number_of_bytes() {
    let mut sim = Simulation::new(8, 3);
    sim.cfg.max_append_entries = RaftConfig::default().max_append_entries;
    for at in 0..3 {
        sim.restart(at);
    }
    assert!(sim.run_until(10_000, |s| s.leader().is_some()));
    let leader = cut_off_leader(&mut sim);
    sent_appends(&mut sim);
    for n in 0..40 {
        let operation = format!("{n}{}", "x".repeat(500_000));
        let now = sim.now;
        let raft = sim.hosts[leader].raft.as_mut().unwrap();
        raft.propose(now, Command { operation, ..Command::default() });
    }
    sim.perform_effects(leader);
    let sent = sent_appends(&mut sim);
    assert!(!sent.is_empty());
    assert!(sent.iter().all(|append| append.encoded_len() < 1_100_000));
}

fn voter_list(ids: &[u64]) -> Vec<bitternlead::wire::Replica> {
    let build = |id: &u64| bitternlead::wire::Replica {
        id: *id,
        address: format!("host-{id}"),
        voter: true,
        ..bitternlead::wire::Replica::default()
    };
    ids.iter().map(build).collect()
}

/// Replicas that deliver all messages immediately; those in `down` neither send nor receive.
struct LosslessCluster {
    replicas: Vec<bitternlead::raft::Raft>,
    down: Vec<u64>,
    now: std::time::Duration,
}

impl LosslessCluster {
    fn start(ids: &[u64], cfg: RaftConfig) -> Self {
        Self::start_at(Duration::ZERO, ids, cfg)
    }

    fn start_at(now: Duration, ids: &[u64], cfg: RaftConfig) -> Self {
        let build = |id: &u64| Raft::new(*id, cfg.clone(), *id, now, PersistedState::default());
        Self { replicas: ids.iter().map(build).collect(), down: vec![], now }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += std::time::Duration::from_millis(10);
            let now = self.now;
            let mut in_transit = Vec::new();
            for replica in &mut self.replicas {
                if self.down.contains(&replica.id()) {
                    continue;
                }
                replica.tick(now);
                in_transit.extend(replica.take_effects(now));
            }
            while let Some(effect) = in_transit.pop() {
                let bitternlead::raft::Effect::Send(msg) = effect else { continue };
                let to = self.replicas.iter_mut().find(|r| r.id() == msg.to);
                let Some(to) = to.filter(|r| !self.down.contains(&r.id())) else { continue };
                to.receive(now, msg);
                in_transit.extend(to.take_effects(now));
            }
        }
    }

    fn leader(&mut self) -> &mut bitternlead::raft::Raft {
        let down = self.down.clone();
        let is_leader = |r: &&mut bitternlead::raft::Raft| r.is_leader() && !down.contains(&r.id());
        self.replicas.iter_mut().find(is_leader).expect("a leader")
    }
}

#[test]
fn founders_with_the_same_list_form_one_cluster() {
    let mut all = LosslessCluster::start(&[1, 2, 3], bitternlead::raft::RaftConfig::default());
    let now = all.now;
    for replica in &mut all.replicas {
        assert!(replica.bootstrap_with(now, voter_list(&[1, 2, 3])));
        assert!(
            !replica.bootstrap_with(now, voter_list(&[1, 2, 3])),
            "a second bootstrap is refused"
        );
    }
    all.run(3000);
    let leaders = all.replicas.iter().filter(|r| r.is_leader()).count();
    assert_eq!(leaders, 1);
    assert!(all.replicas.iter().all(|r| r.replicas().len() == 3));
}

#[test]
fn a_voter_that_learns_of_its_selection_later_still_bootstraps() {
    let report_interval = Duration::from_millis(100);
    let cfg = RaftConfig {
        startup_election_timeout: Some(Duration::from_millis(130)),
        bootstrap_election_delay: 2 * report_interval,
        ..RaftConfig::default()
    };
    for seed in 0..20 {
        let ids = [3 * seed + 1, 3 * seed + 2, 3 * seed + 3];
        let start = Duration::from_secs(10);
        let mut all = LosslessCluster::start_at(start, &ids, cfg.clone());
        for replica in &mut all.replicas[..2] {
            assert!(replica.bootstrap_with(start, voter_list(&ids)));
        }
        all.run(150);
        let now = all.now;
        assert!(all.replicas[2].bootstrap_with(now, voter_list(&ids)), "ids {ids:?}");
        all.run(1000);
        all.leader();
    }
}

#[test]
fn a_learner_replaces_a_silent_voter_but_never_a_sound_one() {
    let cfg = bitternlead::raft::RaftConfig {
        max_voters: Some(3),
        ..bitternlead::raft::RaftConfig::default()
    };
    let mut all = LosslessCluster::start(&[1, 2, 3, 4], cfg);
    let now = all.now;
    for replica in &mut all.replicas[..3] {
        replica.bootstrap_with(now, voter_list(&[1, 2, 3]));
    }
    all.run(3000);
    let learner = bitternlead::wire::Replica { voter: false, ..voter_list(&[4]).remove(0) };
    let now = all.now;
    assert!(all.leader().join(now, learner));
    all.run(3000);
    let voters = |r: &bitternlead::raft::Raft| {
        let mut ids: Vec<u64> = r.replicas().iter().filter(|r| r.voter).map(|r| r.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(voters(all.leader()), [1, 2, 3], "no reachable voter is replaced");
    let stopped = (1..=3).find(|id| *id != all.leader().id()).unwrap();
    all.down.push(stopped);
    all.run(4000);
    let mut expected: Vec<u64> = (1..=4).filter(|id| *id != stopped).collect();
    expected.sort_unstable();
    assert_eq!(voters(all.leader()), expected);
}

/// Guards against a replica that publishes old state as the newest after it was away: with its log
/// on disk, with a snapshot to install, or with a new leader that has not committed anything yet.
#[test]
fn a_replica_that_was_away_has_caught_up_only_with_all_that_was_committed() {
    for seed in 0..60 {
        let mut sim = Simulation::new(seed, 3);
        sim.run_until(1_000, |_| false);
        let leader = sim.leader().unwrap();
        let away = (leader + 1) % 3;
        sim.hosts[away].raft = None;
        for _ in 0..12 {
            sim.propose();
            sim.step(20);
        }
        sim.run_until(2_000, |_| false);
        if seed % 3 == 0 {
            sim.compact(leader);
        }
        if seed % 2 == 0 {
            sim.hosts[leader].raft = None;
        }
        let committed = sim.committed.keys().next_back().copied().unwrap();
        sim.restart(away);
        if seed % 4 == 0 {
            sim.restart(leader);
        }
        let is_current = |sim: &Simulation| {
            let raft = sim.hosts[away].raft.as_ref().unwrap();
            raft.leader().is_some() && raft.is_caught_up()
        };
        for _ in 0..2_000 {
            sim.step(5);
            if is_current(&sim) {
                let applied = sim.hosts[away].applied;
                assert!(applied >= committed, "seed {seed}: {applied} of {committed}");
            }
        }
        assert!(is_current(&sim), "seed {seed}: it never catches up");
    }
}
