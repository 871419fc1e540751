//! The agent's part of the periodic sync calls to control.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::Mutex;
use smol_str::SmolStr;

use super::endpoint::ManagedEndpoint;
use super::orders::OrderExecutor;
use crate::node::{Node, SyncRole};
use crate::wire::{EndpointReport, Sync, SyncReply};

/// Reports the agent's endpoints and order results to control and receives orders.
pub struct AgentRole {
    /// This node, whose configuration names the services of each endpoint.
    pub node: Arc<Node>,
    /// All endpoints of this agent by name.
    pub endpoints: HashMap<SmolStr, Arc<ManagedEndpoint>>,
    /// Executes the orders that control sends.
    pub orders: Arc<OrderExecutor>,
    /// Endpoint names, in the order sent, and numbers of the order results in the pending call.
    /// The reply lists floors in that order.
    pub pending_sync: Mutex<(Vec<SmolStr>, Vec<u64>)>,
}

impl SyncRole for AgentRole {
    fn fill_sync(&self, sync: &mut Sync) {
        let config = self.node.config();
        let mut reserved = 0;
        let mut names: Vec<&SmolStr> = self.endpoints.keys().collect();
        names.sort();
        for name in &names {
            let endpoint = &self.endpoints[*name];
            let load = endpoint.load();
            reserved += load.kv_reserved;
            let services = config.servers.get(*name).map(|s| s.services.clone());
            let services = services.unwrap_or_default().into_iter();
            let mut models = endpoint.models();
            models.extend(services.map(|s| format!("service:{s}")));
            sync.endpoints.push(EndpointReport {
                name: name.to_string(),
                load: Some(load),
                models,
                fit: endpoint.is_healthy(),
                draining: config.version > 0 && config.is_leaving(name),
                order_floor: self.orders.floor(name),
            });
        }
        self.node.metrics.kv_reserved.set(reserved);
        sync.orders_seen = self.orders.highest_seen();
        sync.order_results = self.orders.results();
        let results = sync.order_results.iter().map(|r| r.number).collect();
        *self.pending_sync.lock() = (names.into_iter().cloned().collect(), results);
    }

    fn apply_reply(&self, reply: SyncReply) {
        if reply.superseded {
            return;
        }
        let (names, results) = std::mem::take(&mut *self.pending_sync.lock());
        let floors: Vec<_> = names.into_iter().zip(reply.order_floors).collect();
        self.orders.receive(&floors, reply.orders);
        self.orders.drop_acknowledged_results(&results, &reply.open_orders);
    }
}
