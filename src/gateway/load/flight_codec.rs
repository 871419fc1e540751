//! Encoding of sends in flight for other entries.
//!
//! A long prompt has a send at each of up to 17 endpoints. Those of helpers that hold no KV cache
//! differ only in the endpoint, so they are encoded as a list of endpoints in the flight of the
//! primary endpoint. Every entry gets every flight, so its size bounds how soon others learn of it.

use std::iter::once;
use std::time::Duration;

use super::in_flight::InFlightSend;
use crate::directory::EndpointId;
use crate::ids::Moment;
use crate::wire;

/// Number of a send within one run of its entry; it identifies the send in reports.
pub type SendNumber = u32;

/// Encodes sends of this entry, given with their numbers.
pub fn encode_flights(
    mut sends: Vec<(SendNumber, &InFlightSend)>,
    now: Moment,
) -> Vec<wire::Flight> {
    sends.sort_unstable_by_key(|(number, _)| *number);
    let mut flights: Vec<wire::Flight> = Vec::with_capacity(sends.len());
    let mut previous: Option<(SendNumber, &InFlightSend)> = None;
    for (number, send) in sends {
        match flights.last_mut() {
            Some(flight) if previous.is_some_and(|p| is_listed_with(p, (number, send))) => {
                flight.helpers.push(send.endpoint.to_string());
            }
            _ => flights.push(encode(number, send, now)),
        }
        previous = Some((number, send));
    }
    flights
}

/// Decodes the sends of one flight with their numbers; `number` is that of the flight.
pub fn decode_flight(
    flight: &wire::Flight,
    number: SendNumber,
    now: Moment,
) -> impl Iterator<Item = (SendNumber, InFlightSend)> {
    let primary = decode(flight, now);
    let part = InFlightSend { is_helper: true, held_tokens: 0, ..primary.clone() };
    let helpers = flight.helpers.iter().zip(1..).map(move |(endpoint, offset)| {
        let send = InFlightSend { endpoint: EndpointId::new(endpoint), ..part.clone() };
        (number.wrapping_add(offset), send)
    });
    once((number, primary)).chain(helpers)
}

/// Whether a send is listed as a helper in the flight that contains the send before it.
fn is_listed_with(
    previous: (SendNumber, &InFlightSend),
    send: (SendNumber, &InFlightSend),
) -> bool {
    let ((previous_number, previous), (number, send)) = (previous, send);
    send.is_helper
        && send.held_tokens == 0
        && number == previous_number.wrapping_add(1)
        && send.request_hash == previous.request_hash
        && send.sent_at == previous.sent_at
}

fn encode(number: SendNumber, f: &InFlightSend, now: Moment) -> wire::Flight {
    wire::Flight {
        number,
        endpoint: f.endpoint.to_string(),
        prompt_tokens: f.prompt_tokens as u32,
        output_tokens: f.output_tokens as u32,
        read_tokens: f.prefill_tokens as u32,
        read_ms: f.prefill_ms as u32,
        age_ms: now.saturating_sub(f.sent_at).as_millis() as u32,
        written_tokens: f.written_tokens as u32,
        pause_limit_ms: f.pause_limit_ms as u32,
        held_tokens: f.held_tokens as u32,
        helps: f.is_helper,
        late: f.late,
        request: f.request_hash,
        shared: f.shared,
        objective_ms: f.objective_ms as u32,
        helpers: Vec::new(),
    }
}

fn decode(f: &wire::Flight, now: Moment) -> InFlightSend {
    InFlightSend {
        endpoint: EndpointId::new(&f.endpoint),
        prompt_tokens: u64::from(f.prompt_tokens),
        output_tokens: u64::from(f.output_tokens),
        prefill_tokens: u64::from(f.read_tokens),
        prefill_ms: f64::from(f.read_ms),
        sent_at: now.saturating_sub(Duration::from_millis(u64::from(f.age_ms))),
        written_tokens: u64::from(f.written_tokens),
        pause_limit_ms: f64::from(f.pause_limit_ms),
        held_tokens: u64::from(f.held_tokens),
        is_helper: f.helps,
        late: f.late,
        request_hash: f.request,
        shared: f.shared,
        objective_ms: f64::from(f.objective_ms),
        prefill_ended_at: None,
    }
}
