//! Table of the sends in flight: those of this entry and those that other entries report.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};
use smol_str::SmolStr;

use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire;

/// Age after which the load reported by another entry is dropped.
const REMOTE_LIFE: Duration = Duration::from_millis(2000);

new_key_type! {
    /// Key of a send made by this entry.
    pub struct FlightKey;
}

/// A request in flight at one endpoint, or the part of its prompt that a helper prefills.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Flight {
    /// Endpoint that received the send.
    pub endpoint: EndpointId,
    /// Hash of the request id; the parts of one prompt share it.
    pub request: u64,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Maximum output length in tokens.
    pub output: u64,
    /// Prompt tokens that this endpoint prefills.
    pub read_tokens: u64,
    /// Prefill time at this endpoint in milliseconds, at the published speed.
    pub read_ms: f64,
    /// When the request was sent.
    pub sent_at: Moment,
    /// Output tokens produced so far; 0 during prefill.
    pub written: u64,
    /// Maximum pause between events before the stream counts as late, in milliseconds; 0 for no
    /// limit.
    pub pause_limit_ms: f64,
    /// KV cache held at this endpoint in tokens.
    pub held_tokens: u64,
    /// Whether the endpoint only prefills a part of the prompt for another endpoint.
    pub helps: bool,
    /// Whether several endpoints share the prefill.
    pub shared: bool,
    /// Objective for the first token when the request was sent, in milliseconds.
    pub objective_ms: f64,
    /// Whether the request already missed its objective and is queued behind others.
    pub late: bool,
}

struct Remote {
    incarnation: u64,
    seq: u64,
    heard_at: Moment,
    flights: Vec<Flight>,
}

/// All sends in flight that this entry knows of.
#[derive(Default)]
pub struct Flights {
    own: SlotMap<FlightKey, Flight>,
    remote: HashMap<SmolStr, Remote>,
}

impl Flights {
    /// Adds a send of this entry.
    pub fn start(&mut self, flight: Flight) -> FlightKey {
        self.own.insert(flight)
    }

    /// Removes a send of this entry.
    pub fn end(&mut self, key: FlightKey) -> Option<Flight> {
        self.own.remove(key)
    }

    /// Returns a send of this entry for an update.
    pub fn get_mut(&mut self, key: FlightKey) -> Option<&mut Flight> {
        self.own.get_mut(key)
    }

    /// Number of sends in flight that this entry made.
    pub fn own_count(&self) -> usize {
        self.own.len()
    }

    /// Encodes the sends of this entry for other entries.
    pub fn share(&self, now: Moment) -> Vec<wire::Flight> {
        self.own.values().map(|f| encode(f, now)).collect()
    }

    /// Replaces the load of another entry by a newer report. Reports that arrive out of order are
    /// ignored.
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

    /// Drops the load of entries that have not reported recently.
    pub fn sweep(&mut self, now: Moment) {
        self.remote.retain(|_, r| now.saturating_sub(r.heard_at) < REMOTE_LIFE);
    }

    /// Number of entries that reported recently, including this one.
    pub fn entries(&self) -> usize {
        self.remote.len() + 1
    }

    /// All sends in flight, local and remote.
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
