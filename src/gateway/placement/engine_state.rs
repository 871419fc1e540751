//! Estimated state of one engine, derived from the sends in flight there.
//!
//! The estimate is made for prompts whose prefill several engines share, beside streams and short
//! prompts on the same engines.
//!
//! An engine processes parts of shared prompts before all other prefills, the newest part first. A
//! new part therefore delays every prefill that is still queued there and is hardly delayed
//! itself.

use std::collections::HashMap;

use super::engine_model::EngineModel;
use super::value::{LATE_LOSS_SHARE, expected_loss, value};
use crate::directory::EndpointId;
use crate::gateway::load::in_flight::InFlightSend;
use crate::gateway::load::replay::replay;
use crate::ids::Moment;

/// Fraction of the KV cache kept free, because output lengths are estimates.
const MEMORY_MARGIN: f64 = 0.03;

/// Fractions of the pause limit between which the expected loss of a predicted pause rises from
/// none to all, because later prefills lengthen it.
const PAUSE_LOSS_RANGE: (f64, f64) = (0.6, 1.0);

/// Expected wait for a slot of a full engine, in milliseconds for each request queued ahead.
const SLOT_WAIT_MS: f64 = 150.0;

/// Requests of other entries that may be on their way to an engine and are not known here yet.
const UNSEEN_REQUESTS: usize = 2;

/// Prefill time that fits beside short streams without exceeding their pause limits, in
/// milliseconds.
pub(super) const SAFE_PREFILL_MS: f64 = 80.0;

/// Minimum number of engines reserved for short prompts, capped at a third of the fleet.
pub(super) const MIN_SHORT_ENGINES: usize = 3;

/// Requests that a helper receives at most for one prompt: its part, and a reservation.
const HELPER_SENDS: usize = 2;

/// A stream that becomes late when one of its pauses exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamState {
    /// Context length in tokens; it determines the cost of a decoding step.
    pub context_tokens: u64,
    /// Maximum pause between events in milliseconds; 0 for no limit.
    pub pause_limit_ms: f64,
    /// Value of the stream while it is in time; 0 once it is late.
    pub value: f64,
}

/// A prefill that an engine still has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingPrefill {
    /// Hash of the request id; the parts of one prompt share it.
    pub request_hash: u64,
    /// Whether several engines share the prompt.
    pub shared: bool,
    /// Tokens that remain to be prefilled at this engine.
    pub tokens: f64,
    /// Time that the remaining tokens take, in milliseconds.
    pub remaining_ms: f64,
    /// Whether it belongs to the pass in progress, so that a new prefill cannot delay it.
    pub in_pass: bool,
    /// Time until the whole prompt is prefilled, at all its engines, in milliseconds from now.
    pub done_in_ms: f64,
    /// Time since the request was sent, in milliseconds.
    pub age_ms: f64,
    /// Objective for the first token when the request was sent, in milliseconds.
    pub objective_ms: f64,
    /// Value of the request while it is in time; 0 once it is late.
    pub value: f64,
}

impl PendingPrefill {
    /// Expected loss of value if the prefill finishes in `done_in_ms` milliseconds.
    pub fn loss(&self, done_in_ms: f64) -> f64 {
        expected_loss((self.age_ms + done_in_ms) / self.objective_ms.max(1.0)) * self.value
    }
}

/// A prefill to be added to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewPrefill {
    /// Number of tokens to prefill at this engine.
    pub tokens: f64,
    /// Prefill time in milliseconds, at the published speed.
    pub prefill_ms: f64,
    /// Whether several engines share the prompt.
    pub shared: bool,
}

/// Estimated state of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Identity of the engine's endpoint.
    pub id: EndpointId,
    /// Requests in flight at the engine, without the parts that it prefills for other engines.
    pub request_count: usize,
    /// Requests among them that hold a slot or are served before late ones.
    pub urgent_count: usize,
    /// Streams that are being decoded.
    pub decoding: Vec<StreamState>,
    /// Streams whose prompts are still being prefilled.
    pub prefilling: Vec<StreamState>,
    /// Outstanding prefills, in the order in which the engine processes them.
    pub pending: Vec<PendingPrefill>,
    /// Time until the pass in progress ends, in milliseconds.
    pub pass_remaining_ms: f64,
    /// Requests in flight whose prompts are short.
    pub short_streams: usize,
    /// KV cache committed to requests in flight, in tokens.
    pub memory_used_tokens: u64,
    /// Factor by which the engine is slower than its published figures; 1.0 for none.
    pub slowness: f64,
    /// Failure rate of recent sends, 0 to 1.
    pub failure_rate: f64,
    /// Network round trip to the engine in milliseconds.
    pub round_trip_ms: f64,
    /// Fraction of the usual load that the engine may not take because it is cold; 0.0 if it may
    /// take all of it.
    pub cold_reduction: f64,
    /// Requests that this entry may send to the engine now; `None` for no bound.
    pub room: Option<usize>,
}

impl EngineState {
    /// Derives the state of an engine from the sends in flight there, and from the prefills that
    /// ended there lately.
    pub fn from_sends(
        id: EndpointId,
        model: &EngineModel,
        now: Moment,
        sends: &[&InFlightSend],
    ) -> Self {
        let mut state = Self { id, slowness: 1.0, ..Self::default() };
        let mut awaiting_prefill: Vec<&InFlightSend> = Vec::new();
        for f in sends.iter().filter(|f| f.prefill_ended_at.is_none()) {
            state.memory_used_tokens += f.held_tokens;
            if f.is_helper && f.has_ended_prefill() {
                continue;
            }
            let stream = StreamState {
                context_tokens: f.prompt_tokens + f.written_tokens,
                pause_limit_ms: f.pause_limit_ms,
                value: if f.late { 0.0 } else { value(f.prompt_tokens, f.output_tokens) },
            };
            if f.written_tokens > 0 {
                state.decoding.push(stream);
            } else {
                awaiting_prefill.push(f);
                if !f.is_helper {
                    state.prefilling.push(stream);
                }
            }
            if !f.is_helper {
                state.short_streams += usize::from(is_short(model, f));
                state.urgent_count += usize::from(f.written_tokens > 0 || !f.late);
                state.request_count += 1;
            }
        }
        if let Some(oldest_at) = awaiting_prefill.iter().map(|f| f.sent_at).min() {
            let has_delayed =
                |f: &&&InFlightSend| f.prefill_ended_at.is_some_and(|at| at > oldest_at);
            awaiting_prefill.extend(sends.iter().filter(has_delayed));
        }
        state.add_pending(model, now, awaiting_prefill);
        state
    }

    fn add_pending(
        &mut self,
        model: &EngineModel,
        now: Moment,
        mut awaiting_prefill: Vec<&InFlightSend>,
    ) {
        awaiting_prefill.sort_by_key(|f| (f.sent_at, f.request_hash, f.prefill_ended_at));
        let steps_ms = (!self.decoding.is_empty()).then(|| self.stride_ms(model));
        let replayed = replay(model, now, steps_ms, &awaiting_prefill);
        self.pass_remaining_ms = replayed.pass_remaining_ms;
        let mut finish_ms = replayed.pass_remaining_ms + steps_ms.unwrap_or_default();
        for rest in replayed.remaining {
            let f = awaiting_prefill[rest.send_index];
            if !rest.in_pass {
                finish_ms += rest.remaining_ms;
            }
            self.pending.push(PendingPrefill {
                request_hash: f.request_hash,
                shared: f.shared,
                tokens: f.prefill_tokens as f64 * rest.fraction,
                remaining_ms: rest.remaining_ms,
                in_pass: rest.in_pass,
                done_in_ms: if rest.in_pass { replayed.pass_remaining_ms } else { finish_ms },
                age_ms: now.saturating_sub(f.sent_at).as_secs_f64() * 1000.0,
                objective_ms: f.objective_ms,
                value: if f.late { 0.0 } else { value(f.prompt_tokens, f.output_tokens) },
            });
        }
    }

    fn stride_ms(&self, model: &EngineModel) -> f64 {
        stride_ms_for(model, &self.decoding)
    }

    /// Fraction of the usual load that the engine may take.
    pub fn load_share(&self) -> f64 {
        1.0 - self.cold_reduction
    }

    /// Whether the engine may take a part of a prompt, and a reservation with it.
    pub(super) fn has_room_to_help(&self) -> bool {
        self.room.is_none_or(|room| room >= HELPER_SENDS)
    }

    /// Total time of the outstanding prefills in milliseconds, at the published speed.
    pub fn backlog_ms(&self) -> f64 {
        self.pending.iter().map(|r| r.remaining_ms).sum()
    }

    /// KV cache that can still be committed, in tokens.
    pub(super) fn free_tokens(&self, model: &EngineModel) -> u64 {
        let memory = model.memory_tokens as f64 * (1.0 - MEMORY_MARGIN);
        (memory as u64).saturating_sub(self.memory_used_tokens)
    }

    pub(super) fn fits(&self, model: &EngineModel, need: u64) -> bool {
        need <= self.free_tokens(model)
    }

    /// Predicted time until the first token of a new prefill, in milliseconds.
    pub(super) fn first_token_ms(&self, model: &EngineModel, new: &NewPrefill) -> f64 {
        let prefill_ms = if self.decoding.is_empty() {
            let ahead_ms =
                if new.shared { 0.0 } else { self.backlog_ms() + self.first_pass_ms(model) };
            ahead_ms + new.prefill_ms
        } else {
            let queued_tokens: f64 = self.queued().map(|r| r.tokens).sum();
            let tokens = if new.shared { new.tokens } else { new.tokens + queued_tokens };
            let passes = model.pass_count(tokens as u64);
            let pass_ms = self.pass_prefill_ms(model, Some(new));
            let rest_ms = if passes > 1.0 { new.prefill_ms * (1.0 - 1.0 / passes) } else { 0.0 };
            self.pass_remaining_ms + self.stride_ms(model) * passes + pass_ms + rest_ms
        };
        (prefill_ms + self.slot_wait_ms(model)) * self.slowness + self.round_trip_ms
    }

    /// Decoding time of the pass that begins with the first event of a stream in prefill; zero if
    /// there is none. The prompts behind that stream are prefilled in this pass or a later one.
    fn first_pass_ms(&self, model: &EngineModel) -> f64 {
        let context_tokens = self.prefilling.iter().map(|s| s.context_tokens).max();
        context_tokens.map_or(0.0, |tokens| model.stride_ms(1, tokens))
    }

    /// Expected wait for a slot, in milliseconds. One of the last free slots may be taken by a
    /// request that is not known here yet.
    fn slot_wait_ms(&self, model: &EngineModel) -> f64 {
        let free_slots = (model.slots as usize).saturating_sub(self.urgent_count);
        if free_slots > 0 {
            let contended = (UNSEEN_REQUESTS + 1).saturating_sub(free_slots);
            return contended as f64 * SLOT_WAIT_MS / 2.0;
        }
        let queued_ahead = self.urgent_count + 1 - model.slots as usize;
        queued_ahead as f64 * SLOT_WAIT_MS
    }

    /// Prefills that are not part of the pass in progress.
    fn queued(&self) -> impl Iterator<Item = &PendingPrefill> {
        self.pending.iter().filter(|r| !r.in_pass)
    }

    /// Prefill time of the next pass beside decoding streams, with `new` at its position in the
    /// queue.
    fn pass_prefill_ms(&self, model: &EngineModel, new: Option<&NewPrefill>) -> f64 {
        let mut budget = model.pass_prefill_tokens();
        let mut sum = 0.0;
        let mut take = |tokens: f64, ms: f64| {
            let counted_tokens = tokens.min(budget);
            budget -= counted_tokens;
            sum += ms * counted_tokens / tokens.max(1.0);
        };
        if let Some(new) = new.filter(|n| n.shared) {
            take(new.tokens, new.prefill_ms);
        }
        for r in self.queued() {
            take(r.tokens, r.remaining_ms);
        }
        if let Some(new) = new.filter(|n| !n.shared) {
            take(new.tokens, new.prefill_ms);
        }
        sum
    }

    /// Value that the engine's streams lose to longer pauses when `new` is added.
    ///
    /// Decoding streams are delayed by the outstanding prefills together with the new one; a loss
    /// that the outstanding prefills cause anyway is not counted. Streams that are still in
    /// prefill are delayed by what is left of the new prefill once they have begun to decode.
    pub(super) fn stream_loss(&self, model: &EngineModel, new: &NewPrefill) -> f64 {
        let steps_ms = self.stride_ms(model);
        let before = (steps_ms + self.pass_prefill_ms(model, None)) * self.slowness;
        let after = (steps_ms + self.pass_prefill_ms(model, Some(new))) * self.slowness;
        let added = pause_loss(&self.decoding, after) - pause_loss(&self.decoding, before);
        added.max(0.0) + self.prefilling_stream_loss(model, new, steps_ms)
    }

    /// Value that the streams in prefill lose to the first pause after their first token.
    fn prefilling_stream_loss(&self, model: &EngineModel, new: &NewPrefill, steps_ms: f64) -> f64 {
        let longest_ms = model.max_pass_prefill_ms(new.tokens as u64, new.prefill_ms);
        let left_ms = if new.shared {
            // A part of a shared prompt is processed first, so that some of it is done by then.
            let first_done_ms = self.pending.iter().map(|r| r.done_in_ms).reduce(f64::min);
            let done_ms = first_done_ms.unwrap_or_default() / self.slowness.max(1.0);
            longest_ms.min((new.prefill_ms - done_ms).max(0.0))
        } else {
            longest_ms
        };
        if left_ms <= 0.0 {
            return 0.0;
        }
        pause_loss(&self.prefilling, (steps_ms + left_ms) * self.slowness)
    }

    /// Value that the new stream itself loses if it is decoded here while older prefills are still
    /// processed.
    pub(super) fn new_stream_loss(
        &self,
        model: &EngineModel,
        new: &NewPrefill,
        stream: &StreamState,
    ) -> f64 {
        if !new.shared {
            return 0.0;
        }
        let pause = (self.stride_ms(model) + self.pass_prefill_ms(model, None)) * self.slowness;
        pause_loss(std::slice::from_ref(stream), pause)
    }

    /// Queued prompts that a new prefill delays: the request hash, the expected loss without the
    /// new prefill, and the expected loss with it.
    pub(super) fn delayed_prompts<'a>(
        &'a self,
        new: &'a NewPrefill,
    ) -> impl Iterator<Item = (u64, f64, f64)> + 'a {
        let delay_ms = if new.shared { new.prefill_ms * self.slowness } else { 0.0 };
        let mut ready_ms = self.pass_remaining_ms;
        self.queued().filter(move |_| delay_ms > 0.0).filter_map(move |r| {
            ready_ms += r.remaining_ms;
            let finish_ms = r.done_in_ms.max(ready_ms + delay_ms);
            let (before, after) = (r.loss(r.done_in_ms), r.loss(finish_ms));
            (after > before).then_some((r.request_hash, before, after))
        })
    }
}

/// Whether a send counts among the short prompts for which engines are reserved.
pub(super) fn is_short(model: &EngineModel, f: &InFlightSend) -> bool {
    !f.is_helper && model.prefill_ms(f.prompt_tokens) <= SAFE_PREFILL_MS * MIN_SHORT_ENGINES as f64
}

/// Expected value that streams lose to a predicted pause.
fn pause_loss(streams: &[StreamState], pause_ms: f64) -> f64 {
    let (safe_share, lost_share) = PAUSE_LOSS_RANGE;
    let loss = |s: &StreamState| {
        let share = pause_ms / s.pause_limit_ms;
        let probability = ((share - safe_share) / (lost_share - safe_share)).clamp(0.0, 1.0);
        probability * s.value * LATE_LOSS_SHARE
    };
    streams.iter().filter(|s| s.pause_limit_ms > 0.0).map(loss).sum()
}

/// Time of the decoding steps of one pass with these streams, in milliseconds.
fn stride_ms_for(model: &EngineModel, decoding: &[StreamState]) -> f64 {
    model.stride_ms(decoding.len(), decoding.iter().map(|s| s.context_tokens).sum())
}

/// Derives the states of the listed engines from all sends in flight and the prefills that ended
/// lately.
pub fn build_states<'a>(
    model: &EngineModel,
    now: Moment,
    ids: impl Iterator<Item = &'a EndpointId>,
    sends: impl Iterator<Item = &'a InFlightSend>,
) -> Vec<EngineState> {
    let mut by_endpoint: HashMap<&str, Vec<&InFlightSend>> = HashMap::new();
    for f in sends {
        by_endpoint.entry(f.endpoint.as_str()).or_default().push(f);
    }
    let build_state = |id: &EndpointId| {
        let sends_there = by_endpoint.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        EngineState::from_sends(id.clone(), model, now, sends_there)
    };
    let mut states: Vec<EngineState> = ids.map(build_state).collect();
    align_shared_prefills(&mut states);
    states
}

/// Sets the finish time of each shared prompt to that of its slowest engine.
pub(super) fn align_shared_prefills(states: &mut [EngineState]) {
    let mut finish_ms: HashMap<u64, f64> = HashMap::new();
    for r in states.iter().flat_map(|s| &s.pending).filter(|r| r.shared) {
        let held = finish_ms.entry(r.request_hash).or_default();
        *held = held.max(r.done_in_ms);
    }
    for r in states.iter_mut().flat_map(|s| &mut s.pending).filter(|r| r.shared) {
        r.done_in_ms = finish_ms[&r.request_hash];
    }
}
