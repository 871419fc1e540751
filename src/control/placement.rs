//! Compares the models that servers should carry with those that they report, and orders loads.

use std::collections::BTreeSet;
use std::time::Duration;

use jiff::Timestamp;
use smol_str::SmolStr;

use super::orders::Orders;
use super::roster::Roster;
use crate::config::{FleetConfig, Server, ServerKind};
use crate::wire::PlaceOrder;

/// Interval between comparisons.
pub const INTERVAL: Duration = Duration::from_millis(500);

/// Kind of an order that loads a model.
pub const LOAD_MODEL: &str = "load-model";

/// Orders to place now: few, only to endpoints that are present and not leaving.
///
/// Loads in progress, over the whole fleet, stay within the limit of the weight store.
pub fn plan(
    fleet: &FleetConfig,
    roster: &Roster,
    orders: &Orders,
    now: Timestamp,
) -> Vec<PlaceOrder> {
    let open: BTreeSet<&str> =
        orders.open_of_kind(LOAD_MODEL).map(|o| o.endpoint.as_str()).collect();
    let mut room = (fleet.limits.loads_at_once as usize).saturating_sub(open.len());
    let mut plan = Vec::new();
    let scheduled = scheduled_models(fleet, now);
    for server in fleet.servers.values().filter(|s| s.kind == ServerKind::Engine) {
        if room == 0 {
            break;
        }
        if open.contains(server.name.as_str()) || fleet.is_leaving(&server.name) {
            continue;
        }
        if let Some(model) = missing_model(server, &scheduled, roster) {
            let endpoint = server.name.to_string();
            let argument = model.to_string();
            plan.push(PlaceOrder { endpoint, kind: LOAD_MODEL.into(), argument });
            room -= 1;
        }
    }
    plan
}

/// Servers and models of the schedules that are due.
fn scheduled_models(fleet: &FleetConfig, now: Timestamp) -> BTreeSet<(SmolStr, SmolStr)> {
    let mut wanted = BTreeSet::new();
    for schedule in fleet.schedules.values().filter(|s| s.wants_models(now)) {
        for server in &schedule.servers {
            for model in &schedule.models {
                wanted.insert((server.clone(), model.clone()));
            }
        }
    }
    wanted
}

fn missing_model(
    server: &Server,
    scheduled: &BTreeSet<(SmolStr, SmolStr)>,
    roster: &Roster,
) -> Option<SmolStr> {
    let report = roster.report(&server.name).filter(|r| r.fit)?;
    let due = scheduled.iter().filter(|(s, _)| *s == server.name).map(|(_, m)| m);
    let mut wanted = due.chain(server.models.iter());
    wanted.find(|m| !report.models.iter().any(|have| have == m.as_str())).cloned()
}
