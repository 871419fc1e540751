//! Model placement: plans load orders for servers that lack a model that they should serve.

use std::collections::BTreeSet;
use std::time::Duration;

use jiff::Timestamp;
use smol_str::SmolStr;

use super::node_registry::NodeRegistry;
use super::orders::Orders;
use crate::config::{FleetConfig, Server, ServerKind};
use crate::wire::PlaceOrder;

/// Interval between two runs of the planner.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// Order kind that loads a model; its argument is the name of the model.
pub const LOAD_MODEL: &str = "load-model";

/// Plans the load orders to place now.
///
/// A server gets one order at a time, and only if its endpoint reports itself as fit and is not
/// leaving. All loads in progress together stay within `loads_at_once`, the limit of the weight
/// store.
pub fn plan_loads(
    fleet: &FleetConfig,
    registry: &NodeRegistry,
    orders: &Orders,
    now: Timestamp,
) -> Vec<PlaceOrder> {
    let open: BTreeSet<&str> =
        orders.open_of_kind(LOAD_MODEL).map(|o| o.endpoint.as_str()).collect();
    let mut free_loads = (fleet.limits.loads_at_once as usize).saturating_sub(open.len());
    let mut planned = Vec::new();
    let scheduled = scheduled_models(fleet, now);
    for server in fleet.servers.values().filter(|s| s.kind == ServerKind::Engine) {
        if free_loads == 0 {
            break;
        }
        if open.contains(server.name.as_str()) || fleet.is_leaving(&server.name) {
            continue;
        }
        if let Some(model) = missing_model(server, &scheduled, registry) {
            let endpoint = server.name.to_string();
            let argument = model.to_string();
            planned.push(PlaceOrder { endpoint, kind: LOAD_MODEL.into(), argument });
            free_loads -= 1;
        }
    }
    planned
}

/// Pairs of server and model that schedules require at `now`.
fn scheduled_models(fleet: &FleetConfig, now: Timestamp) -> BTreeSet<(SmolStr, SmolStr)> {
    let mut scheduled = BTreeSet::new();
    for schedule in fleet.schedules.values().filter(|s| s.should_load_models(now)) {
        for server in &schedule.servers {
            for model in &schedule.models {
                scheduled.insert((server.clone(), model.clone()));
            }
        }
    }
    scheduled
}

/// The first model that a server should serve and does not report, scheduled models first.
fn missing_model(
    server: &Server,
    scheduled: &BTreeSet<(SmolStr, SmolStr)>,
    registry: &NodeRegistry,
) -> Option<SmolStr> {
    let report = registry.report(&server.name).filter(|r| r.fit)?;
    let due = scheduled.iter().filter(|(s, _)| *s == server.name).map(|(_, m)| m);
    let mut required = due.chain(server.models.iter());
    required.find(|m| !report.models.iter().any(|loaded| loaded == m.as_str())).cloned()
}
