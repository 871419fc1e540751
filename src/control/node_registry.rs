//! Nodes and endpoints that the leader hears from; soft state, rebuilt by a new leader.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::{Incarnation, Moment, Term, Version, ZoneName};
use crate::plain;
use crate::wire::{EndpointReport, Member, Sync};

/// Timing of the roster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterConfig {
    /// Silence after which a node counts as lost.
    pub silence: Duration,
    /// Time that a new leader listens before it hands out members.
    pub settle: Duration,
}

impl Default for RosterConfig {
    fn default() -> Self {
        Self { silence: Duration::from_millis(3000), settle: Duration::from_millis(2500) }
    }
}

/// Removed members that are remembered for deltas.
const MOST_GONE: usize = 2000;

plain! {
    /// One node as the leader last heard it.
    pub struct NodeState {
        /// entry or agent.
        pub role: SmolStr,
        /// Availability zone.
        pub zone: ZoneName,
        /// Current run.
        pub incarnation: Incarnation,
        /// Version of the configuration in force there.
        pub config_version: Version,
        /// Last time that it was heard.
        pub heard_at: Moment,
        /// Whether it said that it is leaving.
        pub leaving: bool,
    }
}

/// What became of a node's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// The node is current.
    Current,
    /// A newer run of the node has taken over.
    Superseded,
}

/// A change that is worth a log event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterEvent {
    /// An endpoint was announced.
    Joined(SmolStr),
    /// An endpoint announced that it is leaving.
    Leaving(SmolStr),
    /// An endpoint's agent fell silent.
    Lost(SmolStr),
}

/// News of the members since a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberNews {
    /// Leader term that the version belongs to; 0 while the leader still listens.
    pub term: Term,
    /// Version that the news lead to.
    pub version: Version,
    /// Whether `members` is the whole list.
    pub full: bool,
    /// Members that changed.
    pub members: Vec<Member>,
}

/// All nodes and endpoints.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    cfg: RosterConfig,
    term: Term,
    since: Moment,
    version: Version,
    gone_floor: Version,
    nodes: BTreeMap<SmolStr, NodeState>,
    members: HashMap<SmolStr, Member>,
    reports: HashMap<SmolStr, EndpointReport>,
    gone: VecDeque<SmolStr>,
    events: Vec<RosterEvent>,
}

impl Roster {
    /// Starts anew for a leader's term.
    pub fn new(cfg: RosterConfig, term: Term, now: Moment) -> Self {
        Self { cfg, term, since: now, ..Self::default() }
    }

    /// All nodes.
    pub fn nodes(&self) -> &BTreeMap<SmolStr, NodeState> {
        &self.nodes
    }

    /// Number of entries that are present.
    pub fn entries(&self) -> u64 {
        self.nodes.values().filter(|n| n.role == "entry" && !n.leaving).count() as u64
    }

    /// Members that are present.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| !m.gone)
    }

    /// Latest report of an endpoint.
    pub fn report(&self, endpoint: &str) -> Option<&EndpointReport> {
        self.reports.get(endpoint)
    }

    /// Version of the members.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Takes what changed since the last call.
    pub fn take_events(&mut self) -> Vec<RosterEvent> {
        std::mem::take(&mut self.events)
    }

    /// Hears a node; of two runs of one node the newer wins while it is heard.
    pub fn hear(&mut self, now: Moment, sync: &Sync) -> Heard {
        let name = SmolStr::new(&sync.node);
        if let Some(known) = self.nodes.get(&name) {
            let silent = now.saturating_sub(known.heard_at) >= self.cfg.silence;
            if known.incarnation > sync.incarnation && !silent {
                return Heard::Superseded;
            }
        }
        let node = NodeState {
            role: SmolStr::new(&sync.role),
            zone: SmolStr::new(&sync.zone),
            incarnation: sync.incarnation,
            config_version: sync.config_version,
            heard_at: now,
            leaving: sync.leaving,
        };
        self.nodes.insert(name.clone(), node);
        for report in &sync.endpoints {
            self.hear_endpoint(sync, report);
        }
        self.drop_unreported(&name, sync);
        Heard::Current
    }

    fn hear_endpoint(&mut self, sync: &Sync, report: &EndpointReport) {
        let name = SmolStr::new(&report.name);
        let wanted = Member {
            endpoint: report.name.clone(),
            agent: sync.node.clone(),
            address: sync.address.clone(),
            zone: sync.zone.clone(),
            incarnation: sync.incarnation,
            models: report.models.clone(),
            load: report.load.clone(),
            leaving: sync.leaving || report.draining || !report.fit,
            gone: false,
            version: 0,
        };
        self.reports.insert(name.clone(), report.clone());
        let held = self.members.get_mut(&name);
        if let Some(held) = held {
            let same = Member { load: None, version: 0, ..held.clone() }
                == Member { load: None, ..wanted.clone() };
            if same {
                held.load = wanted.load;
                return;
            }
            if wanted.leaving && !held.leaving {
                self.events.push(RosterEvent::Leaving(name.clone()));
            }
        } else {
            self.events.push(RosterEvent::Joined(name.clone()));
        }
        self.version += 1;
        self.members.insert(name, Member { version: self.version, ..wanted });
    }

    /// Endpoints that the agent's current run no longer reports are gone.
    fn drop_unreported(&mut self, node: &SmolStr, sync: &Sync) {
        let reported = |m: &Member| sync.endpoints.iter().any(|e| e.name == m.endpoint);
        let dropped: Vec<SmolStr> = self
            .members
            .values()
            .filter(|m| !m.gone && m.agent == *node && !reported(m))
            .map(|m| SmolStr::new(&m.endpoint))
            .collect();
        for name in dropped {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &SmolStr) {
        self.version += 1;
        if let Some(member) = self.members.get_mut(name) {
            member.gone = true;
            member.version = self.version;
            self.gone.push_back(name.clone());
            self.events.push(RosterEvent::Lost(name.clone()));
        }
        self.reports.remove(name);
        self.forget_gone();
    }

    fn forget_gone(&mut self) {
        while self.gone.len() > MOST_GONE {
            let Some(oldest) = self.gone.pop_front() else { return };
            if let Some(member) = self.members.get(&oldest).filter(|m| m.gone) {
                self.gone_floor = self.gone_floor.max(member.version);
                self.members.remove(&oldest);
            }
        }
    }

    /// Moves time on: silent nodes are lost.
    pub fn tick(&mut self, now: Moment) {
        let silence = self.cfg.silence;
        let lost: Vec<SmolStr> = self
            .nodes
            .iter()
            .filter(|(_, n)| now.saturating_sub(n.heard_at) > silence)
            .map(|(name, _)| name.clone())
            .collect();
        for node in lost {
            self.nodes.remove(&node);
            let endpoints: Vec<SmolStr> = self
                .members
                .values()
                .filter(|m| !m.gone && m.agent == *node)
                .map(|m| SmolStr::new(&m.endpoint))
                .collect();
            for name in endpoints {
                self.remove(&name);
            }
        }
    }

    /// Whether a new leader still listens before it hands out members.
    pub fn is_listening(&self, now: Moment) -> bool {
        now.saturating_sub(self.since) < self.cfg.settle
    }

    /// What changed since a version of a term; nothing while a new leader still listens.
    pub fn since(&self, now: Moment, term: Term, version: Version) -> MemberNews {
        if self.is_listening(now) {
            return MemberNews::default();
        }
        let full = term != self.term || version < self.gone_floor || version > self.version;
        let wanted = |m: &&Member| if full { !m.gone } else { m.version > version };
        let members = self.members.values().filter(wanted).cloned().collect();
        MemberNews { term: self.term, version: self.version, full, members }
    }
}
