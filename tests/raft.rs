//! The replicated log under lost, repeated and reordered messages, crashes, cuts and lost disks.

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

/// What a crash leaves of a replica.
#[derive(Default, Clone)]
struct Disk {
    hard_state: HardState,
    snapshot: Option<Bytes>,
    entries: Vec<Entry>,
}

struct Host {
    id: u64,
    raft: Option<Raft>,
    disk: Disk,
    applied: u64,
    state: ControlState,
    cut: bool,
    deaf_to: Option<u64>,
}

struct Bench {
    rng: ChaCha8Rng,
    cfg: RaftConfig,
    now: Duration,
    hosts: Vec<Host>,
    network: Vec<(Duration, Peer)>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, u64>,
    next_id: u64,
    next_op: u64,
    loss: u32,
    late: u32,
}

impl Bench {
    fn new(seed: u64, count: usize) -> Self {
        let cfg = RaftConfig {
            snapshot_chunk_bytes: 64,
            max_append_entries: 1 + seed as usize % 8,
            ..RaftConfig::default()
        };
        let mut bench = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cfg,
            now: Duration::ZERO,
            hosts: Vec::new(),
            network: Vec::new(),
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            next_id: 1,
            next_op: 1,
            loss: 0,
            late: 0,
        };
        for _ in 0..count {
            bench.add_host();
        }
        let now = bench.now;
        let own = bench.replica(0);
        assert!(bench.hosts[0].raft.as_mut().unwrap().bootstrap(now, own));
        bench.settle(0);
        for at in 1..count {
            bench.join(at);
        }
        bench.run_until(20_000, |b| b.voters() == count);
        assert_eq!(bench.voters(), count, "all replicas become voters");
        bench
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
            cut: false,
            deaf_to: None,
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

    fn lose_disk(&mut self, at: usize) {
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
        self.settle(leader);
        joined
    }

    fn leader(&self) -> Option<usize> {
        let leads = |h: &&(usize, &Host)| h.1.raft.as_ref().is_some_and(Raft::is_leader);
        let hosts: Vec<(usize, &Host)> = self.hosts.iter().enumerate().collect();
        let best = hosts.iter().filter(leads).max_by_key(|h| h.1.raft.as_ref().unwrap().term());
        best.map(|h| h.0)
    }

    fn voters(&self) -> usize {
        let Some(leader) = self.leader() else { return 0 };
        let raft = self.hosts[leader].raft.as_ref().unwrap();
        raft.replicas().iter().filter(|r| r.voter).count()
    }

    /// Performs the effects of a replica: first what is written, then the rest.
    fn settle(&mut self, at: usize) {
        let now = self.now;
        let Some(raft) = self.hosts[at].raft.as_mut() else { return };
        let effects = raft.take_effects(now);
        let mut later = Vec::new();
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
                other => later.push(other),
            }
        }
        for effect in later {
            self.perform(at, effect);
        }
    }

    fn perform(&mut self, at: usize, effect: Effect) {
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

    fn step(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.deliver();
        let now = self.now;
        for at in 0..self.hosts.len() {
            if let Some(raft) = self.hosts[at].raft.as_mut() {
                raft.tick(now);
            }
            self.settle(at);
        }
        self.check_reads();
    }

    /// A leader that may be read has applied all that was ever committed.
    fn check_reads(&self) {
        let newest = self.committed.keys().next_back().copied().unwrap_or(0);
        for host in &self.hosts {
            let Some(raft) = host.raft.as_ref().filter(|r| r.may_read(self.now)) else { continue };
            let behind = "a confirmed leader lacks a committed entry";
            assert!(raft.commit_index() >= newest, "{behind}: host {}", host.id);
        }
    }

    /// Puts a message on its way: it may be lost, doubled, or late by up to two seconds.
    fn send(&mut self, msg: Peer) {
        if self.rng.random_range(0..100) < self.loss {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.loss { 2 } else { 1 };
        for _ in 0..copies {
            let late = self.rng.random_range(0..100) < self.late;
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
            let from_cut = self.hosts.iter().any(|h| h.id == msg.from && h.cut);
            let to = self.hosts.iter().position(|h| h.id == msg.to);
            let Some(to) = to.filter(|to| !from_cut && !self.hosts[*to].cut) else { continue };
            if self.hosts[to].deaf_to == Some(msg.from) {
                continue;
            }
            if let Some(raft) = self.hosts[to].raft.as_mut() {
                raft.receive(now, msg);
            }
            self.settle(to);
        }
    }

    fn propose(&mut self) -> Option<u64> {
        let operation = format!("op-{}", self.next_op);
        let command = Command { operation, ..Command::default() };
        let now = self.now;
        let leader = self.leader()?;
        let (index, _) = self.hosts[leader].raft.as_mut().unwrap().propose(now, command)?;
        self.next_op += 1;
        self.settle(leader);
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

    fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        for _ in 0..limit_ms / 10 {
            if done(self) {
                return true;
            }
            self.step(10);
        }
        done(self)
    }

    /// Ends all faults and checks that the cluster works and agrees.
    fn heal_and_check(&mut self) {
        self.loss = 0;
        self.late = 0;
        for at in 0..self.hosts.len() {
            self.hosts[at].cut = false;
            self.hosts[at].deaf_to = None;
            if self.hosts[at].raft.is_none() {
                self.restart(at);
            }
        }
        let mut index = None;
        for _ in 0..40 {
            self.run_until(500, |_| false);
            index = self.propose();
            let Some(index) = index else { continue };
            if self.run_until(2000, |b| b.committed.contains_key(&index)) {
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
        let caught_up = move |b: &Self| {
            b.hosts.iter().filter(|h| members.contains(&h.id)).all(|h| h.applied >= index)
        };
        assert!(self.run_until(10_000, caught_up), "all members catch up");
    }
}

/// Freezes a replica for a while: time passes for the others only.
fn freeze(bench: &mut Bench, at: usize) {
    let frozen = bench.hosts[at].raft.take();
    for _ in 0..bench.rng.random_range(1..200) {
        bench.step(10);
        if bench.rng.random_range(0..5) == 0 {
            bench.propose();
        }
    }
    bench.hosts[at].raft = frozen;
    bench.check_reads();
}

/// One random fault or piece of work.
fn disturb(bench: &mut Bench) {
    let at = bench.rng.random_range(0..bench.hosts.len());
    match bench.rng.random_range(0..40) {
        0 => bench.hosts[at].raft = None,
        1..=3 => bench.restart(at),
        4 | 5 => bench.hosts[at].cut = !bench.hosts[at].cut,
        6 => bench.hosts[at].deaf_to = bench.leader().map(|l| bench.hosts[l].id),
        7 => bench.compact(at),
        8 => freeze(bench, at),
        9 => {
            for host in &mut bench.hosts {
                host.cut = false;
                host.deaf_to = None;
            }
        }
        10..=20 => {
            bench.propose();
        }
        _ => {
            let ms = bench.rng.random_range(5..90);
            bench.step(ms);
        }
    }
}

fn random_faults(seed: u64, count: usize, steps: usize) {
    let mut bench = Bench::new(seed, count);
    bench.loss = [0, 5, 20][seed as usize % 3];
    bench.late = [0, 5, 20][seed as usize / 3 % 3];
    for _ in 0..steps {
        disturb(&mut bench);
    }
    bench.heal_and_check();
}

/// Replicas come and go while leaders fail.
fn changing_members(seed: u64) {
    let mut bench = Bench::new(seed, 3);
    bench.loss = 10;
    bench.late = 5;
    for _ in 0..2 {
        bench.add_host();
    }
    for _ in 0..400 {
        let at = bench.rng.random_range(0..bench.hosts.len());
        match bench.rng.random_range(0..12) {
            0 => {
                bench.join(at);
            }
            1 => {
                let id = bench.hosts[at].id;
                let now = bench.now;
                let leader = bench.leader().filter(|_| bench.voters() > 2);
                if let Some(leader) = leader {
                    bench.hosts[leader].raft.as_mut().unwrap().remove(now, id);
                    bench.settle(leader);
                }
            }
            _ => disturb(&mut bench),
        }
    }
    bench.heal_and_check();
}

/// Seeds of one run; `RAFT_SEEDS=FROM..TO` runs others.
fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("RAFT_SEEDS").unwrap_or_default();
    let parts = given.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.unwrap_or(0..300)
}

#[test]
fn three_replicas_agree_under_random_faults() {
    for seed in seeds() {
        random_faults(seed, 3, 400);
    }
}

#[test]
fn five_replicas_agree_under_random_faults() {
    for seed in seeds().step_by(3) {
        random_faults(seed + 1_000_000, 5, 400);
    }
}

#[test]
fn replicas_agree_while_members_change() {
    for seed in seeds() {
        changing_members(seed + 2_000_000);
    }
}

#[test]
fn a_replica_that_does_not_hear_the_leader_does_not_unseat_it() {
    let mut bench = Bench::new(5, 3);
    // All have the whole log, so only the leader's being heard speaks against an election.
    bench.run_until(1_000, |_| false);
    let leader = bench.leader().unwrap();
    let term = bench.hosts[leader].raft.as_ref().unwrap().term();
    bench.hosts[(leader + 1) % 3].deaf_to = Some(bench.hosts[leader].id);
    bench.run_until(20_000, |_| false);
    assert_eq!(bench.leader(), Some(leader));
    bench.hosts[(leader + 1) % 3].deaf_to = None;
    bench.run_until(5_000, |_| false);
    assert_eq!(bench.leader(), Some(leader), "nor once it hears it again");
    assert_eq!(bench.hosts[leader].raft.as_ref().unwrap().term(), term);
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
    let late = cfg.election_timeout * 2;
    let ask = peer::Kind::Vote(Vote { last_index: 0, last_term: 0 });
    let mut raft = Raft::new(1, cfg.clone(), 0, Duration::ZERO, PersistedState::default());
    raft.receive(late, peer(2, 1, 5, ask.clone()));
    let effects = raft.take_effects(late);
    assert_eq!(granted(&effects), Some(true));
    let mut hard_state = HardState::default();
    for effect in &effects {
        if let Effect::SaveHardState(saved) = effect {
            hard_state = *saved;
        }
    }
    let persisted = PersistedState { hard_state, ..PersistedState::default() };
    let mut raft = Raft::new(1, cfg, 0, Duration::ZERO, persisted);
    raft.receive(late, peer(3, 1, 5, ask));
    assert_eq!(granted(&raft.take_effects(late)), Some(false));
}

#[test]
fn no_vote_is_cast_while_a_leader_is_heard() {
    let cfg = RaftConfig::default();
    let late = cfg.election_timeout * 2;
    let mut raft = Raft::new(1, cfg.clone(), 0, Duration::ZERO, PersistedState::default());
    raft.receive(late, peer(2, 1, 5, peer::Kind::Append(Append::default())));
    raft.take_effects(late);
    let soon = late + cfg.election_timeout / 2;
    let ask = peer::Kind::Vote(Vote { last_index: 9, last_term: 9 });
    raft.receive(soon, peer(3, 1, 6, ask));
    assert_eq!(granted(&raft.take_effects(soon)), None);
    assert_eq!(raft.term(), 5);
}

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

#[test]
fn a_learner_that_lags_does_not_count() {
    let mut bench = Bench::new(9, 1);
    bench.add_host();
    bench.hosts[1].cut = true;
    assert!(bench.join(1));
    bench.run_until(2000, |_| false);
    let index = bench.propose().unwrap();
    assert!(bench.run_until(1000, |b| b.committed.contains_key(&index)));
    bench.hosts[1].cut = false;
    assert!(bench.run_until(5000, |b| b.voters() == 2));
}

#[test]
fn a_second_host_lost_right_after_a_repair_loses_nothing() {
    for seed in 0..30 {
        let mut bench = Bench::new(seed, 3);
        let mut indexes = Vec::new();
        for _ in 0..20 {
            indexes.extend(bench.propose());
            bench.step(10);
        }
        bench.run_until(2000, |b| indexes.iter().all(|i| b.committed.contains_key(i)));
        let lost = bench.rng.random_range(0..3);
        bench.lose_disk(lost);
        let repaired = |b: &Bench| {
            let id = b.hosts[lost].id;
            let Some(leader) = b.leader() else { return false };
            let raft = b.hosts[leader].raft.as_ref().unwrap();
            raft.replicas().iter().any(|r| r.id == id && r.voter) && b.voters() == 3
        };
        for _ in 0..100 {
            bench.run_until(300, |_| false);
            bench.join(lost);
            if repaired(&bench) {
                break;
            }
        }
        assert!(repaired(&bench), "the new replica replaces the lost one");
        let second = (lost + 1) % 3;
        bench.lose_disk(second);
        bench.run_until(5000, |b| b.leader().is_some_and(|l| l != second));
        let leader = bench.leader().expect("the remaining two elect a leader");
        assert!(leader != second);
        let state = &bench.hosts[leader].state;
        bench.hosts[leader].raft.as_ref().unwrap();
        assert!(state.applied_index >= *indexes.last().unwrap(), "nothing accepted is lost");
    }
}

#[test]
fn a_replica_with_a_lost_disk_never_votes_as_the_old_one() {
    let mut bench = Bench::new(7, 3);
    let old = bench.hosts[2].id;
    bench.lose_disk(2);
    bench.run_until(3000, |_| false);
    let host = &bench.hosts[2];
    assert_ne!(host.id, old);
    assert_eq!(host.raft.as_ref().unwrap().role(), Role::Follower);
    assert_eq!(host.disk.hard_state, HardState::default(), "no vote was cast");
}

#[test]
fn a_silently_cut_leader_steps_down_and_answers_no_reads() {
    let mut bench = Bench::new(3, 3);
    let leader = bench.leader().unwrap();
    bench.hosts[leader].cut = true;
    let limit = bench.cfg.election_timeout;
    let start = bench.now;
    while bench.now - start < limit {
        bench.step(10);
    }
    let raft = bench.hosts[leader].raft.as_ref().unwrap();
    assert!(!raft.is_leader() && !raft.may_read(bench.now));
    bench.run_until(5000, |b| b.leader().is_some());
    assert_ne!(bench.leader(), Some(leader));
    let term = bench.hosts[leader].raft.as_ref().unwrap().term();
    bench.run_until(20_000, |_| false);
    let still = bench.hosts[leader].raft.as_ref().unwrap().term();
    assert_eq!(term, still, "pre-vote keeps a cut replica from raising the term");
}

#[test]
fn a_large_snapshot_is_installed_in_chunks() {
    let mut bench = Bench::new(11, 3);
    bench.hosts[2].raft = None;
    for _ in 0..200 {
        bench.propose();
        bench.step(10);
    }
    bench.compact(0);
    bench.compact(1);
    let size = bench.hosts[bench.leader().unwrap()].disk.snapshot.as_ref().unwrap().len();
    assert!(size > bench.cfg.snapshot_chunk_bytes * 10);
    bench.restart(2);
    bench.heal_and_check();
    let data = bench.hosts[2].disk.snapshot.clone().expect("a snapshot was installed");
    assert!(Snapshot::decode(data).unwrap().last_index > 100);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]
    #[test]
    fn any_seed_agrees(seed in any::<u64>(), count in 1usize..6) {
        random_faults(seed, count, 150);
    }
}

fn founding(ids: &[u64]) -> Vec<bitternlead::wire::Replica> {
    let build = |id: &u64| bitternlead::wire::Replica {
        id: *id,
        address: format!("host-{id}"),
        voter: true,
        ..bitternlead::wire::Replica::default()
    };
    ids.iter().map(build).collect()
}

/// Replicas that hand each other all messages at once; those in `down` get and send none.
struct Together {
    replicas: Vec<bitternlead::raft::Raft>,
    down: Vec<u64>,
    now: std::time::Duration,
}

impl Together {
    fn start(ids: &[u64], cfg: bitternlead::raft::RaftConfig) -> Self {
        let build = |id: &u64| {
            let persisted = bitternlead::raft::PersistedState::default();
            bitternlead::raft::Raft::new(
                *id,
                cfg.clone(),
                *id,
                std::time::Duration::ZERO,
                persisted,
            )
        };
        let now = std::time::Duration::ZERO;
        Self { replicas: ids.iter().map(build).collect(), down: vec![], now }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now += std::time::Duration::from_millis(10);
            let now = self.now;
            let mut on_their_way = Vec::new();
            for replica in &mut self.replicas {
                if self.down.contains(&replica.id()) {
                    continue;
                }
                replica.tick(now);
                on_their_way.extend(replica.take_effects(now));
            }
            while let Some(effect) = on_their_way.pop() {
                let bitternlead::raft::Effect::Send(msg) = effect else { continue };
                let to = self.replicas.iter_mut().find(|r| r.id() == msg.to);
                let Some(to) = to.filter(|r| !self.down.contains(&r.id())) else { continue };
                to.receive(now, msg);
                on_their_way.extend(to.take_effects(now));
            }
        }
    }

    fn leader(&mut self) -> &mut bitternlead::raft::Raft {
        let down = self.down.clone();
        let leads = |r: &&mut bitternlead::raft::Raft| r.is_leader() && !down.contains(&r.id());
        self.replicas.iter_mut().find(leads).expect("a leader")
    }
}

#[test]
fn founders_with_the_same_list_form_one_cluster() {
    let mut all = Together::start(&[1, 2, 3], bitternlead::raft::RaftConfig::default());
    let now = all.now;
    for replica in &mut all.replicas {
        assert!(replica.bootstrap_with(now, founding(&[1, 2, 3])));
        assert!(!replica.bootstrap_with(now, founding(&[1, 2, 3])), "once only");
    }
    all.run(3000);
    let leaders = all.replicas.iter().filter(|r| r.is_leader()).count();
    assert_eq!(leaders, 1);
    assert!(all.replicas.iter().all(|r| r.replicas().len() == 3));
}

#[test]
fn a_learner_replaces_a_silent_voter_but_never_a_sound_one() {
    let cfg = bitternlead::raft::RaftConfig {
        max_voters: Some(3),
        ..bitternlead::raft::RaftConfig::default()
    };
    let mut all = Together::start(&[1, 2, 3, 4], cfg);
    let now = all.now;
    for replica in &mut all.replicas[..3] {
        replica.bootstrap_with(now, founding(&[1, 2, 3]));
    }
    all.run(3000);
    let learner = bitternlead::wire::Replica { voter: false, ..founding(&[4]).remove(0) };
    let now = all.now;
    assert!(all.leader().join(now, learner));
    all.run(3000);
    let voters = |r: &bitternlead::raft::Raft| {
        let mut ids: Vec<u64> = r.replicas().iter().filter(|r| r.voter).map(|r| r.id).collect();
        ids.sort_unstable();
        ids
    };
    assert_eq!(voters(all.leader()), [1, 2, 3], "all voters are sound");
    let silent = (1..=3).find(|id| *id != all.leader().id()).unwrap();
    all.down.push(silent);
    all.run(4000);
    let mut wanted: Vec<u64> = (1..=4).filter(|id| *id != silent).collect();
    wanted.sort_unstable();
    assert_eq!(voters(all.leader()), wanted);
}
