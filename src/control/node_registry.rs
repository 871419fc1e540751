//! Nodes and endpoints that report to the leader.
//!
//! The registry is not replicated: a new leader rebuilds it from the reports that it receives.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::derive_value;
use crate::ids::{Incarnation, Moment, Term, Version, ZoneName};
use crate::wire::{EndpointReport, Member, Sync};

/// Timing of the registry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRegistryConfig {
    /// Time without a sync after which a node and its endpoints are lost.
    pub node_timeout: Duration,
    /// Time for which a new leader collects reports before it hands out members; before that, its
    /// list may lack endpoints that are still running.
    pub warmup: Duration,
}

impl Default for NodeRegistryConfig {
    fn default() -> Self {
        Self { node_timeout: Duration::from_millis(3000), warmup: Duration::from_millis(2500) }
    }
}

/// Maximum number of removed members that are kept so that deltas can report the removal.
const MAX_REMOVED_MEMBERS: usize = 2000;

derive_value! {
    /// A node as of its last sync.
    pub struct NodeState {
        /// `entry` or `agent`.
        pub role: SmolStr,
        /// Availability zone that the node runs in.
        pub zone: ZoneName,
        /// Incarnation of the process that sent the last sync.
        pub incarnation: Incarnation,
        /// Version of the configuration that the node has applied.
        pub config_version: Version,
        /// When the leader received the last sync.
        pub last_sync_at: Moment,
        /// Whether the node has announced that it is shutting down.
        pub leaving: bool,
    }
}

/// Whether the sender of a sync is the current run of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// The sync was recorded.
    Current,
    /// A newer run of the same node is active; the sync was ignored.
    Superseded,
}

/// A change of an endpoint that is logged; each variant holds the name of the endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointEvent {
    /// An agent reported the endpoint for the first time.
    Joined(SmolStr),
    /// The endpoint is draining or unfit, or its agent is shutting down.
    Leaving(SmolStr),
    /// The agent timed out or no longer reports the endpoint.
    Lost(SmolStr),
}

/// Difference between a version of the member list and the current one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MemberDelta {
    /// Leader term that the version belongs to; 0 during the warm-up of a new leader.
    pub term: Term,
    /// Version that results from applying the delta.
    pub version: Version,
    /// Whether `members` is the whole list and replaces all earlier members.
    pub full: bool,
    /// Changed members; one with `gone` set was removed.
    pub members: Vec<Member>,
}

/// Nodes and endpoints as known to the leader of one term.
#[derive(Clone, Debug, Default)]
pub struct NodeRegistry {
    cfg: NodeRegistryConfig,
    term: Term,
    started_at: Moment,
    version: Version,
    delta_floor: Version,
    nodes: BTreeMap<SmolStr, NodeState>,
    members: HashMap<SmolStr, Member>,
    reports: HashMap<SmolStr, EndpointReport>,
    removed_names: VecDeque<SmolStr>,
    events: Vec<EndpointEvent>,
}

impl NodeRegistry {
    /// Creates an empty registry for the leader of a term.
    pub fn new(cfg: NodeRegistryConfig, term: Term, now: Moment) -> Self {
        Self { cfg, term, started_at: now, ..Self::default() }
    }

    /// All nodes that have not timed out, by name.
    pub fn nodes(&self) -> &BTreeMap<SmolStr, NodeState> {
        &self.nodes
    }

    /// Number of entry nodes that are not shutting down.
    pub fn entries(&self) -> u64 {
        self.nodes.values().filter(|n| n.role == "entry" && !n.leaving).count() as u64
    }

    /// Endpoints that have not been removed.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|m| !m.gone)
    }

    /// Latest report of an endpoint that has not been removed.
    pub fn report(&self, endpoint: &str) -> Option<&EndpointReport> {
        self.reports.get(endpoint)
    }

    /// Version of the member list; every change raises it by one.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<EndpointEvent> {
        std::mem::take(&mut self.events)
    }

    /// Records the sync of a node.
    ///
    /// A sync of an older run is ignored while a newer run of the same node has not timed out.
    pub fn record_sync(&mut self, now: Moment, sync: &Sync) -> RunStatus {
        let name = SmolStr::new(&sync.node);
        if let Some(previous) = self.nodes.get(&name) {
            let timed_out = now.saturating_sub(previous.last_sync_at) >= self.cfg.node_timeout;
            if previous.incarnation > sync.incarnation && !timed_out {
                return RunStatus::Superseded;
            }
        }
        let node = NodeState {
            role: SmolStr::new(&sync.role),
            zone: SmolStr::new(&sync.zone),
            incarnation: sync.incarnation,
            config_version: sync.config_version,
            last_sync_at: now,
            leaving: sync.leaving,
        };
        self.nodes.insert(name.clone(), node);
        for report in &sync.endpoints {
            self.record_endpoint(sync, report);
        }
        self.drop_unreported(&name, sync);
        RunStatus::Current
    }

    /// Adds or updates the member of an endpoint; a change of its load alone keeps the version.
    fn record_endpoint(&mut self, sync: &Sync, report: &EndpointReport) {
        let name = SmolStr::new(&report.name);
        let updated = Member {
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
        let listed = self.members.get_mut(&name);
        if let Some(listed) = listed {
            let unchanged = Member { load: None, version: 0, ..listed.clone() }
                == Member { load: None, ..updated.clone() };
            if unchanged {
                listed.load = updated.load;
                return;
            }
            if updated.leaving && !listed.leaving {
                self.events.push(EndpointEvent::Leaving(name.clone()));
            }
        } else {
            self.events.push(EndpointEvent::Joined(name.clone()));
        }
        self.version += 1;
        self.members.insert(name, Member { version: self.version, ..updated });
    }

    /// Removes the endpoints that the agent no longer reports.
    fn drop_unreported(&mut self, node: &SmolStr, sync: &Sync) {
        let reported = |m: &Member| sync.endpoints.iter().any(|e| e.name == m.endpoint);
        let unreported: Vec<SmolStr> = self
            .members
            .values()
            .filter(|m| !m.gone && m.agent == *node && !reported(m))
            .map(|m| SmolStr::new(&m.endpoint))
            .collect();
        for name in unreported {
            self.remove(&name);
        }
    }

    /// Marks a member as gone; it stays for a while so that deltas can report the removal.
    fn remove(&mut self, name: &SmolStr) {
        self.version += 1;
        if let Some(member) = self.members.get_mut(name) {
            member.gone = true;
            member.version = self.version;
            self.removed_names.push_back(name.clone());
            self.events.push(EndpointEvent::Lost(name.clone()));
        }
        self.reports.remove(name);
        self.prune_removed();
    }

    /// Drops the oldest removed members; deltas then start after their versions.
    fn prune_removed(&mut self) {
        while self.removed_names.len() > MAX_REMOVED_MEMBERS {
            let Some(oldest) = self.removed_names.pop_front() else { return };
            if let Some(member) = self.members.get(&oldest).filter(|m| m.gone) {
                self.delta_floor = self.delta_floor.max(member.version);
                self.members.remove(&oldest);
            }
        }
    }

    /// Removes nodes that have timed out, with their endpoints.
    pub fn tick(&mut self, now: Moment) {
        let node_timeout = self.cfg.node_timeout;
        let lost: Vec<SmolStr> = self
            .nodes
            .iter()
            .filter(|(_, n)| now.saturating_sub(n.last_sync_at) > node_timeout)
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

    /// Whether a new leader is still collecting reports before it hands out members.
    pub fn is_warming_up(&self, now: Moment) -> bool {
        now.saturating_sub(self.started_at) < self.cfg.warmup
    }

    /// Changes of the member list since a version of a term; an empty delta during the warm-up.
    ///
    /// The whole list is returned if the version belongs to another term, is unknown, or is older
    /// than the oldest removed member that is kept.
    pub fn members_since(&self, now: Moment, term: Term, version: Version) -> MemberDelta {
        if self.is_warming_up(now) {
            return MemberDelta::default();
        }
        let full = term != self.term || version < self.delta_floor || version > self.version;
        let included = |m: &&Member| if full { !m.gone } else { m.version > version };
        let members = self.members.values().filter(included).cloned().collect();
        MemberDelta { term: self.term, version: self.version, full, members }
    }
}
