//! An entry's view of the fleet: announced endpoints, their reported load, and the load that this
//! entry has added since the reports.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::breaker::CircuitBreaker;
use super::prefix::{PrefixChain, PrefixIndex};
use super::router::Candidate;
use crate::config::FleetConfig;
use crate::derive_value;
use crate::ids::{EndpointName, Incarnation, Moment, Term, Tokens, Version};
use crate::prompt_class::SHORT_MAX_TOKENS;
use crate::wire::{Load, Member, SyncReply};

/// Largest number of endpoints of one model or service that an entry uses; it bounds the cost of a
/// routing decision in large fleets.
pub const MAX_ENDPOINTS_PER_TARGET: usize = 32;

/// Duration of the slow start, after which a new endpoint is used without a penalty.
const SLOW_START: Duration = Duration::from_secs(10);

/// Slow-start weight of an endpoint that has just joined.
const SLOW_START_MIN_WEIGHT: f64 = 0.2;

/// Age from which a load report is ignored, apart from KV capacity and prefill rate.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Longest expected transfer time of a load report. Attempts sent within this time before its
/// arrival are assumed to be missing from it.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(20);

/// Capacity of the prefix index, in prefixes.
const MAX_PREFIXES: usize = 200_000;

derive_value! {
    /// Destination of an attempt.
    pub struct Route {
        /// Name of the endpoint that receives the attempt.
        pub endpoint: EndpointName,
        /// Address of the agent that runs the endpoint.
        pub address: SocketAddr,
        /// Incarnation of that agent; a restarted agent refuses attempts meant for an earlier one.
        pub incarnation: Incarnation,
    }
}

/// Load that a sent attempt adds to an endpoint until the next report covers it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PendingLoad {
    /// Prompt tokens to prefill, without those that are probably cached.
    pub prefill_tokens: Tokens,
    /// KV memory to reserve, in tokens.
    pub kv_reserved_tokens: Tokens,
}

#[derive(Debug)]
struct EndpointState {
    route: Route,
    zone: SmolStr,
    leaving: bool,
    joined_at: Moment,
    load: Load,
    reported_at: Moment,
    pending: Vec<(Moment, PendingLoad)>,
    breaker: CircuitBreaker,
}

impl EndpointState {
    fn current_load(&self, now: Moment) -> Load {
        let fresh = now.saturating_sub(self.reported_at) < MAX_REPORT_AGE;
        let mut load = match fresh {
            true => self.load.clone(),
            false => Load {
                kv_capacity: self.load.kv_capacity,
                prefill_rate: self.load.prefill_rate,
                ..Load::default()
            },
        };
        for (_, pending) in &self.pending {
            load.running += 1;
            load.queued_prefill_tokens += pending.prefill_tokens;
            load.kv_reserved += pending.kv_reserved_tokens;
            if pending.prefill_tokens <= SHORT_MAX_TOKENS {
                load.queued_short_tokens += pending.prefill_tokens;
            }
        }
        load
    }

    fn slow_start_weight(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.joined_at).as_secs_f64() / SLOW_START.as_secs_f64();
        (SLOW_START_MIN_WEIGHT + (1.0 - SLOW_START_MIN_WEIGHT) * age).min(1.0)
    }
}

#[derive(Debug, Default)]
struct ViewState {
    term: Term,
    version: Version,
    entries: u64,
    endpoints: BTreeMap<EndpointName, EndpointState>,
    by_target: HashMap<SmolStr, Vec<EndpointName>>,
    targets: BTreeMap<EndpointName, Vec<SmolStr>>,
}

/// Endpoints, targets and prefixes known to an entry; safe for concurrent use.
pub struct FleetView {
    seed: u64,
    state: Mutex<ViewState>,
    prefixes: Mutex<PrefixIndex>,
}

impl FleetView {
    /// Builds an empty view; different seeds make entries choose different endpoint subsets.
    pub fn new(seed: u64) -> Self {
        let prefixes = Mutex::new(PrefixIndex::new(MAX_PREFIXES));
        Self { seed, state: Mutex::default(), prefixes }
    }

    /// Returns term and version of the membership last applied.
    pub fn version(&self) -> (Term, Version) {
        let state = self.state.lock();
        (state.term, state.version)
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.state.lock().endpoints.len()
    }

    /// Returns whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the part of the workspace limits that this entry may use: 1 / number of entries.
    pub fn limit_share(&self) -> f64 {
        1.0 / self.state.lock().entries.max(1) as f64
    }

    /// Applies a membership update from control; the reply has to come from a confirmed leader.
    pub fn apply(&self, now: Moment, reply: &SyncReply) {
        let mut state = self.state.lock();
        if reply.entries > 0 {
            state.entries = reply.entries;
        }
        if reply.members_term == 0 {
            return;
        }
        if reply.members_full {
            let kept = |name: &str| reply.members.iter().any(|m| m.endpoint == name);
            state.endpoints.retain(|name, _| kept(name));
            state.targets.retain(|name, _| kept(name));
        }
        for member in &reply.members {
            self.apply_member(&mut state, now, member);
        }
        state.term = reply.members_term;
        state.version = reply.members_version;
        if !reply.members.is_empty() || reply.members_full {
            self.rebuild_targets(&mut state);
        }
    }

    fn apply_member(&self, state: &mut ViewState, now: Moment, member: &Member) {
        let name = SmolStr::new(&member.endpoint);
        let address = member.address.parse().ok().filter(|_| !member.gone);
        let Some(address) = address else {
            state.endpoints.remove(&name);
            state.targets.remove(&name);
            return;
        };
        let targets = member.models.iter().map(SmolStr::new).collect();
        state.targets.insert(name.clone(), targets);
        let route = Route { endpoint: name.clone(), address, incarnation: member.incarnation };
        if let Some(known) = state.endpoints.get_mut(&name) {
            if known.route.incarnation != route.incarnation {
                known.breaker = CircuitBreaker::default();
                known.joined_at = now;
                self.prefixes.lock().forget(&name);
            }
            known.route = route;
            known.leaving = member.leaving;
            // The first announcement may precede the engine's first report, and load reports come only
            // over links, which this entry opens when it sends something.
            if known.load.kv_capacity == 0 {
                known.load = member.load.clone().unwrap_or_default();
                known.reported_at = now;
            }
            return;
        }
        let known = EndpointState {
            route,
            zone: SmolStr::new(&member.zone),
            leaving: member.leaving,
            joined_at: now,
            load: member.load.clone().unwrap_or_default(),
            reported_at: now,
            pending: Vec::new(),
            breaker: CircuitBreaker::default(),
        };
        state.endpoints.insert(name, known);
    }

    /// Rebuilds the map from targets to endpoints, with a bounded subset for large targets.
    fn rebuild_targets(&self, state: &mut ViewState) {
        let mut by_target: HashMap<SmolStr, Vec<EndpointName>> = HashMap::new();
        for (name, targets) in &state.targets {
            for target in targets {
                by_target.entry(target.clone()).or_default().push(name.clone());
            }
        }
        for names in by_target.values_mut() {
            if names.len() > MAX_ENDPOINTS_PER_TARGET {
                names.sort_by_cached_key(|n| xxh3_64_with_seed(n.as_bytes(), self.seed));
                names.truncate(MAX_ENDPOINTS_PER_TARGET);
            }
        }
        state.by_target = by_target;
    }

    /// Returns the endpoints that accept attempts now.
    ///
    /// Endpoints in `avoid` are returned only if there are no others.
    pub fn candidates(
        &self,
        now: Moment,
        target: &str,
        config: &FleetConfig,
        avoid: &[EndpointName],
        chain: &PrefixChain,
    ) -> Vec<Candidate> {
        let cached = self.prefixes.lock().lookup(chain);
        let state = self.state.lock();
        let names = state.by_target.get(target).map(Vec::as_slice).unwrap_or_default();
        let mut preferred = Vec::new();
        let mut avoided = Vec::new();
        for name in names {
            let Some(known) = state.endpoints.get(name) else { continue };
            if known.leaving || config.is_leaving(name) || !known.breaker.allows(now) {
                continue;
            }
            let candidate = Candidate {
                endpoint: name.clone(),
                zone: known.zone.clone(),
                load: known.current_load(now),
                cached: cached.get(name).copied().unwrap_or(0),
                slow_start_weight: known.slow_start_weight(now),
            };
            let list = if avoid.contains(name) { &mut avoided } else { &mut preferred };
            list.push(candidate);
        }
        if preferred.is_empty() { avoided } else { preferred }
    }

    /// Returns whether any endpoint serves a target.
    pub fn serves(&self, target: &str) -> bool {
        self.state.lock().by_target.contains_key(target)
    }

    /// Returns the largest KV capacity of an engine that serves a target, in tokens.
    pub fn max_kv_capacity(&self, target: &str) -> Tokens {
        let state = self.state.lock();
        let names = state.by_target.get(target).map(Vec::as_slice).unwrap_or_default();
        let capacities = names.iter().filter_map(|n| state.endpoints.get(n));
        capacities.map(|s| s.load.kv_capacity).max().unwrap_or(0)
    }

    /// Records an attempt as sent and returns its destination; `None` if the endpoint is gone.
    pub fn record_sent(
        &self,
        now: Moment,
        endpoint: &str,
        pending: PendingLoad,
        chain: &PrefixChain,
    ) -> Option<Route> {
        self.prefixes.lock().record_prompt(chain, endpoint);
        let mut state = self.state.lock();
        let known = state.endpoints.get_mut(endpoint)?;
        known.pending.push((now, pending));
        known.breaker.on_sent(now);
        Some(known.route.clone())
    }

    /// Records a load report of an agent and drops the pending load that it covers.
    pub fn record_load(&self, now: Moment, load: Load) {
        let mut state = self.state.lock();
        if let Some(known) = state.endpoints.get_mut(load.endpoint.as_str()) {
            known.load = load;
            known.reported_at = now;
            known.pending.retain(|(at, _)| now.saturating_sub(*at) < MAX_REPORT_DELAY);
        }
    }

    /// Records the result of an attempt in the endpoint's circuit breaker.
    pub fn record_result(&self, now: Moment, endpoint: &str, success: bool) {
        let mut state = self.state.lock();
        let Some(known) = state.endpoints.get_mut(endpoint) else { return };
        if success {
            known.breaker.on_success();
        } else {
            known.breaker.on_failure(now);
        }
    }

    /// Returns whether the endpoint is still announced at this address by the same agent
    /// incarnation.
    pub fn is_current(&self, route: &Route) -> bool {
        let state = self.state.lock();
        state.endpoints.get(&route.endpoint).is_some_and(|s| s.route == *route)
    }
}
