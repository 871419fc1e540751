//! Sends that are under way at endpoints, own ones and those that other entries tell of.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire;

/// Age after which the load that another entry told is forgotten.
const REMOTE_LIFE: Duration = Duration::from_millis(2000);

new_key_type! {
    /// An own send that is under way.
    pub struct FlightKey;
}

/// One send at one endpoint, or the part of it that a helper reads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flight {
    /// Endpoint.
    pub endpoint: EndpointId,
    /// Request that it belongs to, by a hash of its id.
    pub request: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Most output tokens.
    pub output: u64,
    /// Prompt tokens that this endpoint reads.
    pub read_tokens: u64,
    /// Milliseconds that the reading takes.
    pub read_ms: f64,
    /// When it was sent.
    pub sent_at: Moment,
    /// Output tokens written so far; 0 while the prompt is read.
    pub written: u64,
    /// Longest pause between events in milliseconds.
    pub pause_limit_ms: f64,
    /// Memory held at this endpoint in tokens.
    pub held_tokens: u64,
    /// Whether the endpoint only reads a part of the prompt for another one.
    pub helps: bool,
    /// Whether several endpoints read the prompt.
    pub shared: bool,
    /// Time within which its first token was worth most when it was sent, in milliseconds.
    pub objective_ms: f64,
    /// Whether it is late already, and so waits for others.
    pub late: bool,
}

struct Remote {
    incarnation: u64,
    seq: u64,
    heard_at: Moment,
    flights: Vec<Flight>,
}

/// All sends that this entry knows of.
#[derive(Default)]
pub struct Flights {
    own: SlotMap<FlightKey, Flight>,
    remote: HashMap<SmolStr, Remote>,
}

impl Flights {
    /// Adds an own send.
    pub fn start(&mut self, flight: Flight) -> FlightKey {
        self.own.insert(flight)
    }

    /// Ends an own send.
    pub fn end(&mut self, key: FlightKey) -> Option<Flight> {
        self.own.remove(key)
    }

    /// Own send, to be updated.
    pub fn get_mut(&mut self, key: FlightKey) -> Option<&mut Flight> {
        self.own.get_mut(key)
    }

    /// Number of own sends under way.
    pub fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Own sends in the form that other entries take.
    pub fn share(&self, now: Moment) -> Vec<wire::Flight> {
        self.own.values().map(|f| encode(f, now)).collect()
    }

    /// Takes what another entry has under way.
    pub fn hear(&mut self, now: Moment, load: wire::SharedLoad) {
        let held = self.remote.get(load.node.as_str());
        let newer = held.is_none_or(|r| (load.incarnation, load.seq) > (r.incarnation, r.seq));
        if !newer {
            return;
        }
        let flights = load.flights.iter().map(|f| decode(f, now)).collect();
        let remote =
            Remote { incarnation: load.incarnation, seq: load.seq, heard_at: now, flights };
        self.remote.insert(SmolStr::new(&load.node), remote);
    }

    /// Forgets entries that were not heard for long.
    pub fn sweep(&mut self, now: Moment) {
        self.remote.retain(|_, r| now.saturating_sub(r.heard_at) < REMOTE_LIFE);
    }

    /// Number of entries that were heard lately, this one included.
    pub fn entries(&self) -> usize {
        self.remote.len() + 1
    }

    /// All sends, own and told.
    pub fn all(&self) -> impl Iterator<Item = &Flight> {
        let told = self.remote.values().flat_map(|r| r.flights.iter());
        self.own.values().chain(told)
    }
}

fn encode(f: &Flight, now: Moment) -> wire::Flight {
    wire::Flight {
        endpoint: f.endpoint.to_string(),
        prompt_tokens: f.prompt as u32,
        output_tokens: f.output as u32,
        read_tokens: f.read_tokens as u32,
        read_ms: f.read_ms as u32,
        age_ms: now.saturating_sub(f.sent_at).as_millis() as u32,
        written_tokens: f.written as u32,
        pause_limit_ms: f.pause_limit_ms as u32,
        held_tokens: f.held_tokens as u32,
        helps: f.helps,
        late: f.late,
        request: f.request,
        shared: f.shared,
        objective_ms: f.objective_ms as u32,
    }
}

fn decode(f: &wire::Flight, now: Moment) -> Flight {
    Flight {
        endpoint: EndpointId::new(&f.endpoint),
        prompt: u64::from(f.prompt_tokens),
        output: u64::from(f.output_tokens),
        read_tokens: u64::from(f.read_tokens),
        read_ms: f64::from(f.read_ms),
        sent_at: now.saturating_sub(Duration::from_millis(u64::from(f.age_ms))),
        written: u64::from(f.written_tokens),
        pause_limit_ms: f64::from(f.pause_limit_ms),
        held_tokens: u64::from(f.held_tokens),
        helps: f.helps,
        late: f.late,
        request: f.request,
        shared: f.shared,
        objective_ms: f64::from(f.objective_ms),
    }
}
