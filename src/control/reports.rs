//! What operators see of the state.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::core::CoreView;
use crate::wire::{BurnCount, Order};

/// State of the cluster as one replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Identity of the replica that answers.
    pub replica: String,
    /// Whether it leads and a quorum has just confirmed it.
    pub confirmed: bool,
    /// Term.
    pub term: u64,
    /// Committed index.
    pub commit: u64,
    /// Applied index.
    pub applied: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Claims held.
    pub claims: usize,
    /// Replicas of control.
    pub replicas: Vec<ReplicaLine>,
    /// Nodes by availability zone.
    pub zones: BTreeMap<String, ZoneLine>,
    /// Endpoints.
    pub endpoints: Vec<EndpointLine>,
}

/// One replica of control.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLine {
    /// Identity in hexadecimal.
    pub id: String,
    /// Address for the system's own processes.
    pub address: String,
    /// Address for operators.
    pub operators: String,
    /// Whether it has a vote.
    pub voter: bool,
    /// Whether it leads.
    pub leader: bool,
}

/// Nodes of one availability zone by the version in force there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneLine {
    /// Number of nodes.
    pub nodes: usize,
    /// Nodes by configuration version.
    pub versions: BTreeMap<u64, usize>,
}

/// One endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLine {
    /// Name.
    pub name: String,
    /// Agent.
    pub agent: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Models that it carries.
    pub models: Vec<String>,
    /// Requests that run there.
    pub running: u64,
    /// Requests that wait there.
    pub queued: u64,
    /// KV memory reserved, in tokens.
    pub kv_reserved: u64,
}

impl StatusReport {
    /// Builds the report from the core's state.
    pub fn build(view: &CoreView<'_>) -> Self {
        let mut zones: BTreeMap<String, ZoneLine> = BTreeMap::new();
        for node in view.registry.nodes().values() {
            let zone = zones.entry(node.zone.to_string()).or_default();
            zone.nodes += 1;
            *zone.versions.entry(node.config_version).or_default() += 1;
        }
        let leader = view.raft.leader();
        let replicas = view.raft.replicas().iter().map(|r| ReplicaLine {
            id: format!("{:016x}", r.id),
            address: r.address.clone(),
            operators: r.operators.clone(),
            voter: r.voter,
            leader: Some(r.id) == leader,
        });
        let mut endpoints: Vec<EndpointLine> = view
            .registry
            .members()
            .map(|m| {
                let load = m.load.clone().unwrap_or_default();
                EndpointLine {
                    name: m.endpoint.clone(),
                    agent: m.agent.clone(),
                    zone: m.zone.clone(),
                    leaving: m.leaving,
                    models: m.models.clone(),
                    running: load.running,
                    queued: load.queued,
                    kv_reserved: load.kv_reserved,
                }
            })
            .collect();
        endpoints.sort_by(|a, b| a.name.cmp(&b.name));
        Self {
            replica: format!("{:016x}", view.raft.id()),
            confirmed: view.may_read,
            term: view.raft.term(),
            commit: view.raft.commit_index(),
            applied: view.state.applied_index,
            config_version: view.state.config.version(),
            claims: view.state.claims.len(),
            replicas: replicas.collect(),
            zones,
            endpoints,
        }
    }
}

/// One order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderLine {
    /// Number.
    pub number: u64,
    /// Endpoint.
    pub endpoint: String,
    /// Kind.
    pub kind: String,
    /// Argument.
    pub argument: String,
    /// open, done, superseded, or failed with the reason.
    pub state: String,
}

impl From<Order> for OrderLine {
    fn from(order: Order) -> Self {
        let Order { number, endpoint, kind, argument, state } = order;
        Self { number, endpoint, kind, argument, state }
    }
}

/// Counts of one workspace and prompt class within one minute.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Workspace.
    pub workspace: String,
    /// Prompt class.
    pub class: String,
    /// Minutes since 1970.
    pub minute: u64,
    /// Requests.
    pub total: u64,
    /// Requests that missed the objective.
    pub missed: u64,
}

impl From<BurnCount> for BurnLine {
    fn from(count: BurnCount) -> Self {
        let BurnCount { workspace, class, minute, total, missed } = count;
        Self { workspace, class, minute, total, missed }
    }
}
