//! Simulates a fleet without a network: control replicas that list entries, entries that send as much
//! as they may, and a zone of endpoints that return cold at once.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use bitternlead::directory::EndpointId;
use bitternlead::gateway::config::ColdRate;
use bitternlead::gateway::eligibility::cold::{ColdEndpoints, ColdSettings, SendClaim};
use bitternlead::ids::Moment;
use bitternlead::wire::Announcement;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const REPLICAS: usize = 3;
/// Time at which the zone returns, in milliseconds. All fixed entries are listed long before.
const RETURN_MS: u64 = 5000;
/// Time span in which entries join, restart and are cut off, in milliseconds.
const DISTURBED_MS: std::ops::Range<u64> = 3000..7500;
/// Interval at which a replica publishes the list of entries if it changed, in milliseconds. The
/// larger one is for large fleets, to bound the time of a test.
const PUBLISH_MS: (u64, u64) = (100, 300);
/// Number of entries above which a fleet is large.
const LARGE_FLEET: usize = 200;
/// Interval of an endpoint's announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 1200;
/// Longest time that an update of a replica travels, in milliseconds.
const MAX_UPDATE_MS: u64 = 300;
/// Longest time until either side of a link that is cut notices it, in milliseconds.
const MAX_NOTICE_MS: u64 = 1300;
/// Longest time from a send to its arrival, in milliseconds.
const MAX_ARRIVAL_MS: u64 = 30;
/// Most entries that join, restart, or are cut off, of each kind.
const MAX_DISTURBED: usize = 12;

/// What is played.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub entries: usize,
    pub endpoints: usize,
    pub per_s: f64,
    pub cold_time: Duration,
    /// Whether a third of the entries sees only one of the replicas, and the others only the rest.
    pub is_split: bool,
    /// Whether links of some entries are cut, without notice at first.
    pub cuts_links: bool,
    /// Whether one replica crashes while the endpoints are cold.
    pub loses_replica: bool,
    /// Sends a second to each endpoint while it is warm, of all entries together. Without them the
    /// endpoints are unknown until they return cold; with them they become cold without a start, and
    /// their next announcement says so.
    pub usual_per_s: Option<f64>,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 6,
            endpoints: 15,
            per_s: 26.0,
            cold_time: Duration::from_secs(3),
            is_split: false,
            cuts_links: true,
            loses_replica: false,
            usual_per_s: None,
            seed: 1,
        }
    }
}

/// What happens to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Undisturbed,
    Joins,
    Restarts,
    LosesLinks,
}

impl Scenario {
    fn fate(&self, entry: usize) -> Fate {
        let count = (self.entries / 6).clamp(1, MAX_DISTURBED);
        match entry / count {
            0 => Fate::Joins,
            1 => Fate::Restarts,
            2 if self.cuts_links => Fate::LosesLinks,
            _ => Fate::Undisturbed,
        }
    }

    /// Replicas that an entry can reach while its links are not cut.
    fn reachable(&self, entry: usize) -> [bool; REPLICAS] {
        match (self.is_split, entry % 3) {
            (false, _) => [true; REPLICAS],
            (true, 0) => [false, false, true],
            (true, _) => [true, true, false],
        }
    }

    /// Fraction of the entries with a share to which nothing happens.
    pub fn undisturbed_share(&self) -> f64 {
        let has_share = |entry: &usize| self.reachable(*entry)[0];
        let sharing: Vec<usize> = (0..self.entries).filter(has_share).collect();
        let undisturbed = sharing.iter().filter(|e| self.fate(**e) == Fate::Undisturbed);
        undisturbed.count() as f64 / sharing.len() as f64
    }
}

/// Arrivals at each endpoint while it was cold.
pub struct Played {
    arrivals: Vec<Vec<Moment>>,
    cold_time: Duration,
}

impl Played {
    pub fn most_arrivals_in_a_second(&self) -> usize {
        self.arrivals.iter().map(|times| most_in_a_second(times)).max().unwrap_or(0)
    }

    pub fn mean_arrivals_per_s(&self) -> f64 {
        let all: usize = self.arrivals.iter().map(Vec::len).sum();
        all as f64 / self.arrivals.len() as f64 / self.cold_time.as_secs_f64()
    }
}

/// Highest number of these times within one second.
fn most_in_a_second(times: &[Moment]) -> usize {
    let mut times = times.to_vec();
    times.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while *at - times[first] >= Duration::from_secs(1) {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

enum Event {
    /// An update of a replica reaches an entry, over the link with this number.
    Update {
        replica: usize,
        link: u64,
        update: Update,
    },
    /// An entry notices that a link is lost.
    Lost {
        replica: usize,
    },
    Sent {
        claim: SendClaim,
        endpoint: usize,
        count: usize,
    },
    NotSent {
        claim: SendClaim,
    },
    Stop,
    Start {
        link: [bool; REPLICAS],
    },
    /// The links of an entry are cut, or restored.
    Cut,
    Restore,
}

enum Update {
    List(Vec<SocketAddr>),
    Announcement(Box<Announcement>),
}

/// What becomes of a link at a replica.
enum LinkChange {
    Connected,
    Dropped,
}

type Queue<T> = BinaryHeap<Reverse<Timed<T>>>;

struct Timed<T> {
    at_ms: u64,
    number: u64,
    item: T,
}

impl<T> PartialEq for Timed<T> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl<T> Eq for Timed<T> {}
impl<T> PartialOrd for Timed<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Timed<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

struct Entry {
    cold: ColdEndpoints,
    runs: bool,
    /// Number of the process; events for an earlier one are dropped.
    start: u64,
    /// Replicas that it can reach.
    reaches: [bool; REPLICAS],
    /// Number of the link to each replica; updates over an earlier one are lost with it.
    links: [u64; REPLICAS],
    /// When the last update of each replica arrives, since updates don't overtake each other.
    last_update_ms: [u64; REPLICAS],
    /// Replicas that list it.
    listed: [bool; REPLICAS],
}

pub struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    events: Queue<(usize, u64, Event)>,
    link_changes: Queue<(usize, usize, LinkChange)>,
    next_number: u64,
    list_changed: [bool; REPLICAS],
    replica_runs: [bool; REPLICAS],
    ids: Vec<EndpointId>,
    /// When each endpoint becomes cold.
    cold_from_ms: Vec<u64>,
    /// When it announces that.
    announced_ms: Vec<u64>,
    arrivals: Vec<Vec<Moment>>,
}

fn ms(n: u64) -> Moment {
    Duration::from_millis(n)
}

fn entry_address(entry: usize) -> SocketAddr {
    format!("10.1.{}.{}:7341", entry / 200, entry % 200 + 1).parse().unwrap()
}

fn replica_address(replica: usize) -> SocketAddr {
    format!("10.0.0.{}:7340", replica + 1).parse().unwrap()
}

fn endpoint_id(endpoint: usize) -> EndpointId {
    format!("engine-{endpoint}").into()
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        let cold_from_ms: Vec<u64> =
            (0..scenario.endpoints).map(|_| RETURN_MS + rng.random_range(0..100)).collect();
        let max_wait_ms = if scenario.usual_per_s.is_some() { ANNOUNCE_MS } else { 1 };
        let announced_ms =
            cold_from_ms.iter().map(|at| at + rng.random_range(0..max_wait_ms)).collect();
        let mut fleet = Self {
            rng,
            entries: Vec::new(),
            events: Queue::new(),
            link_changes: Queue::new(),
            next_number: 0,
            list_changed: [false; REPLICAS],
            replica_runs: [true; REPLICAS],
            ids: (0..scenario.endpoints).map(endpoint_id).collect(),
            cold_from_ms,
            announced_ms,
            arrivals: vec![Vec::new(); scenario.endpoints],
            scenario,
        };
        fleet.plan();
        fleet
    }

    fn build_cold(&self) -> ColdEndpoints {
        let mut cold = ColdEndpoints::new(ColdSettings::default());
        let rate = ColdRate { per_s: self.scenario.per_s, duration: self.scenario.cold_time };
        cold.set_rate("engines", Some(rate));
        cold
    }

    /// Plans what happens to the entries: most run from the start on, some join, some restart, some
    /// are cut off, of which half return.
    fn plan(&mut self) {
        let all = self.scenario.entries;
        for entry in 0..all {
            let cold = self.build_cold();
            let (reaches, fate) = (self.scenario.reachable(entry), self.scenario.fate(entry));
            self.entries.push(Entry {
                cold,
                runs: false,
                start: 0,
                reaches,
                links: [0; REPLICAS],
                last_update_ms: [0; REPLICAS],
                listed: [false; REPLICAS],
            });
            let joins = fate == Fate::Joins;
            let start_ms = if joins { self.rng.random_range(DISTURBED_MS) } else { 0 };
            self.schedule(start_ms, entry, 0, Event::Start { link: reaches });
            let change_ms = self.rng.random_range(DISTURBED_MS);
            if fate == Fate::Restarts {
                let down_ms = self.rng.random_range(50..900);
                self.schedule(change_ms, entry, 0, Event::Stop);
                self.schedule(change_ms + down_ms, entry, 1, Event::Start { link: reaches });
            } else if fate == Fate::LosesLinks {
                self.schedule(change_ms, entry, 0, Event::Cut);
                if entry.is_multiple_of(2) {
                    let cut_ms = self.rng.random_range(100..3500);
                    self.schedule(change_ms + cut_ms, entry, 0, Event::Restore);
                }
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, entry: usize, start: u64, event: Event) {
        self.next_number += 1;
        let item = (entry, start, event);
        self.events.push(Reverse(Timed { at_ms, number: self.next_number, item }));
    }

    fn change_link(&mut self, at_ms: u64, replica: usize, entry: usize, change: LinkChange) {
        self.next_number += 1;
        let item = (replica, entry, change);
        self.link_changes.push(Reverse(Timed { at_ms, number: self.next_number, item }));
    }

    pub fn play(mut self) -> Played {
        let cold_ms = self.scenario.cold_time.as_millis() as u64;
        let end_ms = RETURN_MS + 100 + cold_ms + MAX_ARRIVAL_MS;
        let step_ms = if self.scenario.entries > LARGE_FLEET { 40 } else { 5 };
        for now_ms in 0..end_ms {
            if self.scenario.loses_replica && now_ms == RETURN_MS + 700 {
                self.lose_replica(now_ms, 1);
            }
            self.apply_link_changes(now_ms);
            self.publish(now_ms);
            self.announce(now_ms);
            self.apply_events(now_ms);
            if now_ms + 2000 >= RETURN_MS && now_ms % step_ms == 0 {
                self.send(now_ms, step_ms);
            }
        }
        Played { arrivals: self.arrivals, cold_time: self.scenario.cold_time }
    }

    fn apply_link_changes(&mut self, now_ms: u64) {
        while self.link_changes.peek().is_some_and(|Reverse(next)| next.at_ms <= now_ms) {
            let Some(Reverse(Timed { item: (replica, entry, change), .. })) =
                self.link_changes.pop()
            else {
                return;
            };
            let is_connected = match change {
                LinkChange::Connected => {
                    let e = &self.entries[entry];
                    e.runs && e.reaches[replica] && self.replica_runs[replica]
                }
                LinkChange::Dropped => false,
            };
            self.entries[entry].listed[replica] = is_connected;
            self.list_changed[replica] = true;
            if is_connected {
                self.send_all_announcements(now_ms, replica, entry);
            }
        }
    }

    fn publish(&mut self, now_ms: u64) {
        let (often_ms, seldom_ms) = PUBLISH_MS;
        let interval_ms = if self.scenario.entries > LARGE_FLEET { seldom_ms } else { often_ms };
        if !now_ms.is_multiple_of(interval_ms) {
            return;
        }
        for replica in 0..REPLICAS {
            if !std::mem::take(&mut self.list_changed[replica]) || !self.replica_runs[replica] {
                continue;
            }
            let listed: Vec<usize> =
                (0..self.entries.len()).filter(|e| self.entries[*e].listed[replica]).collect();
            let entries: Vec<SocketAddr> = listed.iter().map(|e| entry_address(*e)).collect();
            for entry in listed {
                self.update(now_ms, replica, entry, Update::List(entries.clone()));
            }
        }
    }

    /// Sends an update to an entry, unless the link is cut.
    fn update(&mut self, now_ms: u64, replica: usize, entry: usize, update: Update) {
        let e = &mut self.entries[entry];
        if !e.reaches[replica] {
            return;
        }
        let arrives_ms = now_ms + self.rng.random_range(0..MAX_UPDATE_MS);
        let at_ms = arrives_ms.max(e.last_update_ms[replica]);
        e.last_update_ms[replica] = at_ms;
        let (start, link) = (e.start, e.links[replica]);
        self.schedule(at_ms, entry, start, Event::Update { replica, link, update });
    }

    fn announcement(&self, now_ms: u64, endpoint: usize) -> Option<Box<Announcement>> {
        let cold_until_ms =
            self.cold_from_ms[endpoint] + self.scenario.cold_time.as_millis() as u64;
        let is_cold = now_ms >= self.announced_ms[endpoint];
        (is_cold || self.scenario.usual_per_s.is_some()).then(|| {
            Box::new(Announcement {
                id: endpoint_id(endpoint).to_string(),
                service: "engines".into(),
                born: 1,
                seq: now_ms,
                cold_ms: if is_cold { cold_until_ms.saturating_sub(now_ms) } else { 0 },
                ..Announcement::default()
            })
        })
    }

    fn announce(&mut self, now_ms: u64) {
        for endpoint in 0..self.scenario.endpoints {
            if self.announced_ms[endpoint] != now_ms {
                continue;
            }
            for replica in 0..REPLICAS {
                for entry in 0..self.entries.len() {
                    if self.entries[entry].listed[replica]
                        && let Some(a) = self.announcement(now_ms, endpoint)
                    {
                        self.update(now_ms, replica, entry, Update::Announcement(a));
                    }
                }
            }
        }
    }

    fn send_all_announcements(&mut self, now_ms: u64, replica: usize, entry: usize) {
        for endpoint in 0..self.scenario.endpoints {
            if let Some(a) = self.announcement(now_ms, endpoint) {
                self.update(now_ms, replica, entry, Update::Announcement(a));
            }
        }
    }

    fn apply_events(&mut self, now_ms: u64) {
        while self.events.peek().is_some_and(|Reverse(next)| next.at_ms <= now_ms) {
            let Some(Reverse(Timed { item: (entry, start, event), .. })) = self.events.pop() else {
                return;
            };
            if self.entries[entry].start == start {
                self.apply(now_ms, entry, event);
            }
        }
    }

    fn apply(&mut self, now_ms: u64, entry: usize, event: Event) {
        let now = ms(now_ms);
        let cold = &mut self.entries[entry].cold;
        match event {
            Event::Update { replica, link, update } => {
                if self.entries[entry].links[replica] == link {
                    self.apply_update(now, entry, replica, update);
                }
            }
            Event::Lost { replica } => {
                cold.view().forget(now, replica_address(replica));
                self.entries[entry].links[replica] += 1;
            }
            Event::Sent { claim, endpoint, count } => {
                cold.mark_sent(now, &claim);
                for _ in 0..count {
                    let at = now + ms(self.rng.random_range(0..=MAX_ARRIVAL_MS));
                    let cold_until = ms(self.cold_from_ms[endpoint]) + self.scenario.cold_time;
                    if at < cold_until && at >= ms(self.cold_from_ms[endpoint]) {
                        self.arrivals[endpoint].push(at);
                    }
                }
            }
            Event::NotSent { claim } => cold.release(&claim),
            Event::Stop => {
                let cold = self.build_cold();
                let e = &mut self.entries[entry];
                (e.runs, e.cold, e.start) = (false, cold, e.start + 1);
                for replica in 0..REPLICAS {
                    let at_ms = now_ms + self.rng.random_range(0..50);
                    self.change_link(at_ms, replica, entry, LinkChange::Dropped);
                }
            }
            Event::Start { link } => {
                (self.entries[entry].runs, self.entries[entry].reaches) = (true, link);
                self.connect(now_ms, entry);
            }
            Event::Cut => {
                for replica in 0..REPLICAS {
                    self.entries[entry].reaches[replica] = false;
                    let at_ms = now_ms + self.rng.random_range(0..MAX_NOTICE_MS);
                    self.change_link(at_ms, replica, entry, LinkChange::Dropped);
                    let at_ms = now_ms + self.rng.random_range(0..MAX_NOTICE_MS);
                    let start = self.entries[entry].start;
                    self.schedule(at_ms, entry, start, Event::Lost { replica });
                }
            }
            Event::Restore => {
                self.entries[entry].reaches = self.scenario.reachable(entry);
                self.connect(now_ms + MAX_NOTICE_MS, entry);
            }
        }
    }

    fn apply_update(&mut self, now: Moment, entry: usize, replica: usize, update: Update) {
        let (cold, control) = (&mut self.entries[entry].cold, replica_address(replica));
        match update {
            Update::List(entries) => {
                let voters = (0..REPLICAS).map(replica_address).collect();
                cold.view().apply_voters(now, control, voters);
                cold.view().apply_list(now, control, entry_address(entry), &entries);
            }
            Update::Announcement(announcement) => cold.record_announcement(now, &announcement),
        }
    }

    fn connect(&mut self, now_ms: u64, entry: usize) {
        for replica in 0..REPLICAS {
            let at_ms = now_ms + self.rng.random_range(0..200);
            self.change_link(at_ms, replica, entry, LinkChange::Connected);
        }
    }

    fn lose_replica(&mut self, now_ms: u64, replica: usize) {
        self.replica_runs[replica] = false;
        for entry in 0..self.entries.len() {
            let (start, at_ms) =
                (self.entries[entry].start, now_ms + self.rng.random_range(0..MAX_NOTICE_MS));
            self.entries[entry].listed[replica] = false;
            self.schedule(at_ms, entry, start, Event::Lost { replica });
        }
    }

    /// Every entry sends to every endpoint that it knows: the usual load, or as much as it may. Some
    /// sends take long to connect, some are given up, and some are parts for helpers that hold memory.
    fn send(&mut self, now_ms: u64, step_ms: u64) {
        let usual_per_s = self.scenario.usual_per_s.unwrap_or(0.0);
        let usual = usual_per_s / self.entries.len() as f64 * step_ms as f64 / 1000.0;
        for entry in 0..self.entries.len() {
            if !self.entries[entry].runs {
                continue;
            }
            for endpoint in 0..self.scenario.endpoints {
                match self.entries[entry].cold.room(ms(now_ms), &self.ids[endpoint]) {
                    // An endpoint that is not announced yet is not in the list of those that are
                    // ready.
                    None if usual > 0.0 && self.rng.random_bool(usual.min(1.0)) => {
                        self.try_send(now_ms, entry, endpoint);
                    }
                    None | Some(0) => {}
                    Some(_) => while self.try_send(now_ms, entry, endpoint) {},
                }
            }
        }
    }

    /// Claims a send and plans when it is made; false if there is no room.
    fn try_send(&mut self, now_ms: u64, entry: usize, endpoint: usize) -> bool {
        let count = if self.rng.random_bool(0.1) { 2 } else { 1 };
        let wanted = [(self.ids[endpoint].clone(), count)];
        let e = &mut self.entries[entry];
        let start = e.start;
        let Some(claim) = e.cold.claim(ms(now_ms), &wanted) else { return false };
        let is_slow = self.rng.random_bool(0.2);
        let delay_ms = self.rng.random_range(0..if is_slow { 400 } else { 3 });
        let event = match self.rng.random_bool(0.1) {
            true => Event::NotSent { claim },
            false => Event::Sent { claim, endpoint, count },
        };
        self.schedule(now_ms + delay_ms, entry, start, event);
        true
    }
}
