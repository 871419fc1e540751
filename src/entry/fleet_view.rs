//! Endpoints as an entry knows them: announced members, reported load, and own corrections.

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
use crate::ids::{EndpointName, Incarnation, Moment, Term, Tokens, Version};
use crate::plain;
use crate::prompt_class::SHORT_PROMPT;
use crate::wire::{Load, Member, SyncReply};

/// Endpoints of one model that an entry uses.
pub const SUBSET: usize = 32;

/// Time within which a new endpoint comes to full use.
const WARM_UP: Duration = Duration::from_secs(10);

/// Use that a new endpoint starts with.
const COLD: f64 = 0.2;

/// Age after which a load report no longer counts.
const REPORT_AGE: Duration = Duration::from_secs(3);

/// Time that a report may have been on its way while an attempt was sent.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// Prefixes remembered.
const PREFIXES: usize = 200_000;

plain! {
    /// Where an attempt goes.
    pub struct Route {
        /// Endpoint.
        pub endpoint: EndpointName,
        /// Address of its agent.
        pub address: SocketAddr,
        /// Run of its agent.
        pub incarnation: Incarnation,
    }
}

/// What an attempt adds to a load until the next report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sent {
    /// Prompt tokens that need prefill.
    pub prefill: Tokens,
    /// Memory.
    pub memory: Tokens,
}

#[derive(Debug)]
struct Known {
    route: Route,
    zone: SmolStr,
    leaving: bool,
    joined_at: Moment,
    load: Load,
    reported_at: Moment,
    sent: Vec<(Moment, Sent)>,
    breaker: CircuitBreaker,
}

impl Known {
    fn load_now(&self, now: Moment) -> Load {
        let fresh = now.saturating_sub(self.reported_at) < REPORT_AGE;
        let mut load = match fresh {
            true => self.load.clone(),
            false => Load {
                kv_capacity: self.load.kv_capacity,
                prefill_rate: self.load.prefill_rate,
                ..Load::default()
            },
        };
        for (_, sent) in &self.sent {
            load.running += 1;
            load.queued_prefill_tokens += sent.prefill;
            load.kv_reserved += sent.memory;
            if sent.prefill <= SHORT_PROMPT {
                load.queued_short_tokens += sent.prefill;
            }
        }
        load
    }

    fn warmth(&self, now: Moment) -> f64 {
        let age = now.saturating_sub(self.joined_at).as_secs_f64() / WARM_UP.as_secs_f64();
        (COLD + (1.0 - COLD) * age).min(1.0)
    }
}

#[derive(Debug, Default)]
struct State {
    term: Term,
    version: Version,
    entries: u64,
    known: BTreeMap<EndpointName, Known>,
    by_target: HashMap<SmolStr, Vec<EndpointName>>,
    targets: BTreeMap<EndpointName, Vec<SmolStr>>,
}

/// The view, under its lock.
pub struct FleetView {
    seed: u64,
    state: Mutex<State>,
    prefixes: Mutex<PrefixIndex>,
}

impl FleetView {
    /// Builds an empty view; `seed` spreads the entries over the endpoints.
    pub fn new(seed: u64) -> Self {
        let prefixes = Mutex::new(PrefixIndex::new(PREFIXES));
        Self { seed, state: Mutex::default(), prefixes }
    }

    /// Term and version of the members held.
    pub fn version(&self) -> (Term, Version) {
        let state = self.state.lock();
        (state.term, state.version)
    }

    /// Number of endpoints held.
    pub fn len(&self) -> usize {
        self.state.lock().known.len()
    }

    /// Whether no endpoint is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// This entry's share of the limits of workspaces.
    pub fn share(&self) -> f64 {
        1.0 / self.state.lock().entries.max(1) as f64
    }

    /// Takes members from a confirmed leader.
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
            state.known.retain(|name, _| kept(name));
            state.targets.retain(|name, _| kept(name));
        }
        for member in &reply.members {
            self.apply_member(&mut state, now, member);
        }
        state.term = reply.members_term;
        state.version = reply.members_version;
        if !reply.members.is_empty() || reply.members_full {
            self.index(&mut state);
        }
    }

    fn apply_member(&self, state: &mut State, now: Moment, member: &Member) {
        let name = SmolStr::new(&member.endpoint);
        let address = member.address.parse().ok().filter(|_| !member.gone);
        let Some(address) = address else {
            state.known.remove(&name);
            state.targets.remove(&name);
            return;
        };
        let targets = member.models.iter().map(SmolStr::new).collect();
        state.targets.insert(name.clone(), targets);
        let route = Route { endpoint: name.clone(), address, incarnation: member.incarnation };
        if let Some(known) = state.known.get_mut(&name) {
            if known.route.incarnation != route.incarnation {
                known.breaker = CircuitBreaker::default();
                known.joined_at = now;
                self.prefixes.lock().forget(&name);
            }
            known.route = route;
            known.leaving = member.leaving;
            return;
        }
        let known = Known {
            route,
            zone: SmolStr::new(&member.zone),
            leaving: member.leaving,
            joined_at: now,
            load: member.load.clone().unwrap_or_default(),
            reported_at: now,
            sent: Vec::new(),
            breaker: CircuitBreaker::default(),
        };
        state.known.insert(name, known);
    }

    /// Chooses the bounded subset of each target's endpoints that this entry uses.
    fn index(&self, state: &mut State) {
        let mut by_target: HashMap<SmolStr, Vec<EndpointName>> = HashMap::new();
        for (name, targets) in &state.targets {
            for target in targets {
                by_target.entry(target.clone()).or_default().push(name.clone());
            }
        }
        for names in by_target.values_mut() {
            if names.len() > SUBSET {
                names.sort_by_cached_key(|n| xxh3_64_with_seed(n.as_bytes(), self.seed));
                names.truncate(SUBSET);
            }
        }
        state.by_target = by_target;
    }

    /// Endpoints that may take an attempt now, but those to avoid unless there are no others.
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
        let mut fresh = Vec::new();
        let mut avoided = Vec::new();
        for name in names {
            let Some(known) = state.known.get(name) else { continue };
            if known.leaving || config.is_leaving(name) || !known.breaker.allows(now) {
                continue;
            }
            let candidate = Candidate {
                endpoint: name.clone(),
                zone: known.zone.clone(),
                load: known.load_now(now),
                cached: cached.get(name).copied().unwrap_or(0),
                warmth: known.warmth(now),
            };
            let list = if avoid.contains(name) { &mut avoided } else { &mut fresh };
            list.push(candidate);
        }
        if fresh.is_empty() { avoided } else { fresh }
    }

    /// Whether any endpoint answers for a target.
    pub fn serves(&self, target: &str) -> bool {
        self.state.lock().by_target.contains_key(target)
    }

    /// Largest memory of one engine that carries a target, in tokens.
    pub fn largest_memory(&self, target: &str) -> Tokens {
        let state = self.state.lock();
        let names = state.by_target.get(target).map(Vec::as_slice).unwrap_or_default();
        let capacities = names.iter().filter_map(|n| state.known.get(n));
        capacities.map(|k| k.load.kv_capacity).max().unwrap_or(0)
    }

    /// Notes that an attempt is sent, and returns where it goes.
    pub fn send(
        &self,
        now: Moment,
        endpoint: &str,
        sent: Sent,
        chain: &PrefixChain,
    ) -> Option<Route> {
        self.prefixes.lock().note(chain, endpoint);
        let mut state = self.state.lock();
        let known = state.known.get_mut(endpoint)?;
        known.sent.push((now, sent));
        known.breaker.on_sent(now);
        Some(known.route.clone())
    }

    /// Takes a load report of an agent.
    pub fn report(&self, now: Moment, load: Load) {
        let mut state = self.state.lock();
        if let Some(known) = state.known.get_mut(load.endpoint.as_str()) {
            known.load = load;
            known.reported_at = now;
            known.sent.retain(|(at, _)| now.saturating_sub(*at) < REPORT_DELAY);
        }
    }

    /// Notes how an attempt ended.
    pub fn ended(&self, now: Moment, endpoint: &str, well: bool) {
        let mut state = self.state.lock();
        let Some(known) = state.known.get_mut(endpoint) else { return };
        if well {
            known.breaker.on_success();
        } else {
            known.breaker.on_failure(now);
        }
    }

    /// Whether an agent's run is still announced for an endpoint.
    pub fn is_current(&self, route: &Route) -> bool {
        let state = self.state.lock();
        state.known.get(&route.endpoint).is_some_and(|k| k.route == *route)
    }
}
