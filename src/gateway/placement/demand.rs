//! Requests that wait at other entries, by class, as their load reports tell.

use std::collections::HashMap;
use std::time::Duration;

use smol_str::SmolStr;

use super::engine_model::EngineModel;
use super::engine_state::EngineState;
use crate::ids::Moment;
use crate::wire::{self, SharedLoad};

/// Age from which the demand of an entry is ignored. Entries report at least every 500 ms.
const DEMAND_TTL: Duration = Duration::from_millis(1000);

/// Maximum number of classes in a report; it bounds the datagram.
pub const MAX_CLASSES: usize = 24;

/// Prefill backlog up to which an engine has time to spare, in milliseconds. A short prompt behind it
/// still has its first token within a quarter of a second.
const SPARE_BACKLOG_MS: f64 = 125.0;

/// Demand that a request has to leave capacity for.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandAhead {
    /// Number of requests.
    pub requests: u32,
    /// Their prefill time on one engine in milliseconds.
    pub prefill_ms: f64,
}

impl DemandAhead {
    /// Whether the engines have less free time or fewer free slots than this demand needs.
    pub fn exceeds_spare(&self, model: &EngineModel, engines: &[EngineState]) -> bool {
        if self.requests == 0 {
            return false;
        }
        let spare_ms = |e: &EngineState| (SPARE_BACKLOG_MS - e.backlog_ms() * e.slowness).max(0.0);
        let slots = model.slots as usize;
        let free_slots: usize = engines.iter().map(|e| slots.saturating_sub(e.request_count)).sum();
        let free_ms: f64 = engines.iter().map(spare_ms).sum();
        free_ms < self.prefill_ms || free_slots <= self.requests as usize
    }
}

#[derive(Clone, Debug)]
struct ReportedDemand {
    incarnation: u64,
    seq: u64,
    received_at: Moment,
    classes: Vec<wire::DemandClass>,
}

/// Demand of the other entries.
#[derive(Clone, Debug, Default)]
pub struct RemoteDemand {
    entries: HashMap<SmolStr, ReportedDemand>,
}

impl RemoteDemand {
    /// Applies the demand of a report; true if it differs from the one before. A report without
    /// demand ends the demand of its entry, an outdated report changes nothing.
    pub fn apply_report(&mut self, now: Moment, load: &SharedLoad) -> bool {
        let node = load.node.as_str();
        let known = self.entries.get(node);
        let position = (load.incarnation, load.seq);
        if load.resend || known.is_some_and(|k| position <= (k.incarnation, k.seq)) {
            return false;
        }
        let mut classes = load.demand.clone().unwrap_or_default().classes;
        classes.truncate(MAX_CLASSES);
        if known.is_none() && classes.is_empty() {
            return false;
        }
        let changed = known.is_none_or(|k| k.classes != classes);
        let (incarnation, seq) = position;
        let reported = ReportedDemand { incarnation, seq, received_at: now, classes };
        self.entries.insert(SmolStr::new(node), reported);
        changed
    }

    /// Forgets entries that have not reported lately.
    pub fn expire(&mut self, now: Moment) {
        self.entries.retain(|_, e| is_fresh(now, e));
    }

    /// Requests of a service that wait at other entries, are more urgent than `priority` and need no
    /// more work than a request of this length class.
    pub fn ahead_of(
        &self,
        now: Moment,
        service: &str,
        priority: u32,
        length_class: u32,
    ) -> DemandAhead {
        let mut ahead = DemandAhead::default();
        let fresh = self.entries.values().filter(|e| is_fresh(now, e));
        let classes = fresh.flat_map(|e| &e.classes).filter(|c| {
            c.service == service && c.priority < priority && c.length_class <= length_class
        });
        for class in classes {
            ahead.requests = ahead.requests.saturating_add(class.requests);
            ahead.prefill_ms += f64::from(class.prefill_ms);
        }
        ahead
    }
}

fn is_fresh(now: Moment, demand: &ReportedDemand) -> bool {
    now.saturating_sub(demand.received_at) < DEMAND_TTL
}
