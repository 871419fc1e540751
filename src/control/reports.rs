//! Reports for operators, as they are encoded in JSON by the administration interface.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::core::CoreView;
use super::zone_drains;
use crate::wire::{BurnCount, Order};

/// State of the cluster as one replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Identity of the replica that answers.
    pub replica: String,
    /// Whether it leads and a quorum has acknowledged it recently enough for reads.
    pub confirmed: bool,
    /// Current term of that replica.
    pub term: u64,
    /// Highest log index that it knows to be committed.
    pub commit: u64,
    /// Highest log index that it has applied.
    pub applied: u64,
    /// Version of the configuration that it has applied.
    pub config_version: u64,
    /// Number of claims that have not expired.
    pub claims: usize,
    /// Control replicas of the newest membership.
    pub replicas: Vec<ReplicaLine>,
    /// Nodes by availability zone; empty unless the replica leads.
    pub zones: BTreeMap<String, ZoneLine>,
    /// Drained availability zones.
    #[serde(default)]
    pub drained_zones: Vec<String>,
    /// Endpoints in the order of their names; empty unless the replica leads.
    pub endpoints: Vec<EndpointLine>,
}

/// One control replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLine {
    /// Identity in hexadecimal.
    pub id: String,
    /// Address at which nodes and other replicas reach it.
    pub address: String,
    /// Address of its interface for operators.
    pub operators: String,
    /// Whether it is a voter, else a learner.
    pub voter: bool,
    /// Whether the answering replica takes it for the leader.
    pub leader: bool,
}

/// Nodes of one availability zone and the configuration versions that they have applied.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneLine {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes by configuration version.
    pub versions: BTreeMap<u64, usize>,
}

/// One endpoint as its agent last reported it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLine {
    /// Name of the endpoint.
    pub name: String,
    /// Name of the node whose agent serves it.
    pub agent: String,
    /// Availability zone of that node.
    pub zone: String,
    /// Whether it takes no new requests.
    pub leaving: bool,
    /// Models that are loaded.
    pub models: Vec<String>,
    /// Number of requests that are being executed.
    pub running: u64,
    /// Number of requests in its queue.
    pub queued: u64,
    /// Reserved KV cache in tokens.
    pub kv_reserved: u64,
}

impl StatusReport {
    /// Builds the report from a view of the core.
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
            drained_zones: zone_drains::read(&view.state.config).zones,
            endpoints,
        }
    }
}

/// One order for an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OrderLine {
    /// Number of the order: its log index and fencing token.
    pub number: u64,
    /// Name of the endpoint.
    pub endpoint: String,
    /// Kind of the order, such as `load-model`.
    pub kind: String,
    /// Argument of the kind, such as the name of a model.
    pub argument: String,
    /// `open`, `done`, `superseded`, or `failed: ` and the reason.
    pub state: String,
}

impl From<Order> for OrderLine {
    fn from(order: Order) -> Self {
        let Order { number, endpoint, kind, argument, state } = order;
        Self { number, endpoint, kind, argument, state }
    }
}

/// Counts of one workspace and prompt class within one minute, or one hour after merging.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnLine {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the prompt class.
    pub class: String,
    /// Start of the period in minutes since 1970.
    pub minute: u64,
    /// Number of requests.
    pub total: u64,
    /// Number of requests that missed the objective.
    pub missed: u64,
}

impl From<BurnCount> for BurnLine {
    fn from(count: BurnCount) -> Self {
        let BurnCount { workspace, class, minute, total, missed } = count;
        Self { workspace, class, minute, total, missed }
    }
}
