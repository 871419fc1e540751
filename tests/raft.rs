//! The replicated log under lost, repeated and reordered messages, crashes, cuts and lost disks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlead::control::state::ControlState;
use bitternlead::raft::{Effect, Raft, RaftConfig, Restored, Role};
use bitternlead::wire::{Command, Entry, HardState, Peer, Replica, Snapshot};
use bytes::Bytes;
use prost::Message;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a crash leaves of a replica.
#[derive(Default, Clone)]
struct Disk {
    hard: HardState,
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
}

struct Bench {
    rng: ChaCha8Rng,
    cfg: RaftConfig,
    now: Duration,
    hosts: Vec<Host>,
    network: Vec<Peer>,
    committed: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, u64>,
    next_id: u64,
    next_op: u64,
    loss: u32,
}

impl Bench {
    fn new(seed: u64, count: usize, loss: u32) -> Self {
        let cfg = RaftConfig { chunk: 64, batch: 8, ..RaftConfig::default() };
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
        };
        for _ in 0..count {
            bench.add_host();
        }
        let now = bench.now;
        let own = bench.replica(0);
        assert!(bench.hosts[0].raft.as_mut().unwrap().found(now, own));
        bench.settle(0);
        for at in 1..count {
            bench.join(at);
        }
        bench.run_until(20_000, |b| b.voters() == count);
        assert_eq!(bench.voters(), count, "all replicas become voters");
        bench.loss = loss;
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
        let found = Restored {
            hard: host.disk.hard,
            snapshot: host.disk.snapshot.clone(),
            entries: host.disk.entries.clone(),
        };
        host.state = match &host.disk.snapshot {
            Some(data) => ControlState::decode(data).unwrap(),
            None => ControlState::default(),
        };
        host.applied = host.state.applied;
        host.raft = Some(Raft::new(host.id, self.cfg.clone(), seed, self.now, found));
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
                Effect::SaveHard(hard) => disk.hard = hard,
                Effect::SaveEntry(entry) => {
                    disk.entries.retain(|e| e.index < entry.index);
                    disk.entries.push(entry);
                }
                Effect::Truncate(from) => disk.entries.retain(|e| e.index < from),
                Effect::Restore(data) => {
                    let state = ControlState::decode(&data).unwrap();
                    let base = state.applied;
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
            Effect::Send(msg) => self.network.push(msg),
            Effect::Commit(entry) => self.commit(at, entry),
            Effect::Lead => {
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

    fn deliver(&mut self) {
        let sent = std::mem::take(&mut self.network);
        for msg in sent {
            let from_cut = self.hosts.iter().any(|h| h.id == msg.from && h.cut);
            let to = self.hosts.iter().position(|h| h.id == msg.to);
            let Some(to) = to.filter(|to| !self.hosts[*to].cut && !from_cut) else { continue };
            match self.rng.random_range(0..100) {
                roll if roll < self.loss => continue,
                roll if roll < self.loss * 2 => self.network.push(msg.clone()),
                roll if roll < self.loss * 3 => {
                    self.network.push(msg);
                    continue;
                }
                _ => {}
            }
            let now = self.now;
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
        if host.applied <= raft.log().base_index() {
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
        for at in 0..self.hosts.len() {
            self.hosts[at].cut = false;
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

fn random_faults(seed: u64, count: usize, steps: usize) {
    let mut bench = Bench::new(seed, count, 5);
    for _ in 0..steps {
        match bench.rng.random_range(0..40) {
            0 => {
                let at = bench.rng.random_range(0..count);
                bench.hosts[at].raft = None;
            }
            1..=3 => {
                let at = bench.rng.random_range(0..count);
                bench.restart(at);
            }
            4 => {
                let at = bench.rng.random_range(0..count);
                bench.hosts[at].cut = !bench.hosts[at].cut;
            }
            5 => {
                let at = bench.rng.random_range(0..count);
                bench.compact(at);
            }
            6 => {
                // A frozen replica: time passes for the others only.
                let at = bench.rng.random_range(0..count);
                let frozen = bench.hosts[at].raft.take();
                for _ in 0..bench.rng.random_range(1..150) {
                    bench.step(10);
                }
                bench.hosts[at].raft = frozen;
            }
            7..=14 => {
                bench.propose();
            }
            _ => {
                let ms = bench.rng.random_range(5..120);
                bench.step(ms);
            }
        }
    }
    bench.heal_and_check();
}

/// Seeds of one run; `RAFT_SEEDS=FROM..TO` runs others.
fn seeds() -> std::ops::Range<u64> {
    let given = std::env::var("RAFT_SEEDS").unwrap_or_default();
    let parts = given.split_once("..").and_then(|(a, b)| Some(a.parse().ok()?..b.parse().ok()?));
    parts.unwrap_or(0..60)
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
fn a_second_host_lost_right_after_a_repair_loses_nothing() {
    for seed in 0..30 {
        let mut bench = Bench::new(seed, 3, 0);
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
        assert!(state.applied >= *indexes.last().unwrap(), "nothing accepted is lost");
    }
}

#[test]
fn a_replica_with_a_lost_disk_never_votes_as_the_old_one() {
    let mut bench = Bench::new(7, 3, 0);
    let old = bench.hosts[2].id;
    bench.lose_disk(2);
    bench.run_until(3000, |_| false);
    let host = &bench.hosts[2];
    assert_ne!(host.id, old);
    assert_eq!(host.raft.as_ref().unwrap().role(), Role::Follower);
    assert_eq!(host.disk.hard, HardState::default(), "no vote was cast");
}

#[test]
fn a_silently_cut_leader_steps_down_and_answers_no_reads() {
    let mut bench = Bench::new(3, 3, 0);
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
    let mut bench = Bench::new(11, 3, 3);
    bench.hosts[2].raft = None;
    for _ in 0..200 {
        bench.propose();
        bench.step(10);
    }
    bench.compact(0);
    bench.compact(1);
    let size = bench.hosts[bench.leader().unwrap()].disk.snapshot.as_ref().unwrap().len();
    assert!(size > bench.cfg.chunk * 10);
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
