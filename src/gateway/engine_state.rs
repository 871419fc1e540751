//! One engine as it is believed to be, from the sends that are under way there.
//!
//! Load that this answers: prompts that several engines read beside streams and short prompts.
//! An engine reads the parts of shared prompts ahead of all other reading, the newest first, so
//! a new part delays everything that is still read there, and itself waits for little.

use std::collections::HashMap;

use super::engine_model::EngineModel;
use super::flights::Flight;
use super::replay::replay;
use super::worth::{LATE_LOSS, probable_loss, worth};
use crate::directory::EndpointId;
use crate::ids::Moment;

/// Share of memory that is never promised, since lengths are estimates.
const MEMORY_MARGIN: f64 = 0.03;

/// Share of a pause limit up to which a predicted pause counts as harmless.
const SURE_PAUSE: f64 = 0.85;

/// Time until a slot of a full engine is free, for each stream that waits, in milliseconds.
const SLOT_WAIT_MS: f64 = 150.0;

/// Reading beside short streams that does not stretch their pauses too far, in milliseconds.
pub(super) const HARMLESS_PART_MS: f64 = 80.0;

/// Least number of engines kept for short prompts, up to a third of all.
pub(super) const LEAST_SHORT_SET: usize = 3;

/// A stream that pauses can make late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StreamAtStake {
    /// Tokens that its steps attend to.
    pub context: u64,
    /// Longest pause between events in milliseconds; 0 for any.
    pub pause_limit_ms: f64,
    /// Worth that it has while it is in time.
    pub worth: f64,
}

/// Reading that an engine has ahead of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadAhead {
    /// Request that it belongs to.
    pub request: u64,
    /// Whether several engines read the prompt.
    pub shared: bool,
    /// Tokens that are left to read here.
    pub tokens: f64,
    /// Time that this takes, in milliseconds.
    pub left_ms: f64,
    /// Whether it is read in the pass that is under way, so that nothing new can delay it.
    pub in_pass: bool,
    /// Time until the whole prompt is read, at all its engines, in milliseconds from now.
    pub ends_ms: f64,
    /// Time since it was sent, in milliseconds.
    pub age_ms: f64,
    /// Time within which its first token was worth most when it was sent, in milliseconds.
    pub objective_ms: f64,
    /// Worth that it has while it is in time.
    pub worth: f64,
}

impl ReadAhead {
    /// Worth that is probably lost if the prompt is read only after so many milliseconds.
    pub fn loss(&self, ends_ms: f64) -> f64 {
        probable_loss((self.age_ms + ends_ms) / self.objective_ms.max(1.0)) * self.worth
    }
}

/// Reading that is to be added to an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NewRead {
    /// Tokens.
    pub tokens: f64,
    /// Time that it takes, in milliseconds.
    pub read_ms: f64,
    /// Whether several engines read the prompt.
    pub shared: bool,
}

/// One engine as it is believed to be.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Identity.
    pub id: EndpointId,
    /// Sends under way there.
    pub flights: usize,
    /// Of these, those that hold a slot or go before what is late.
    pub urgent: usize,
    /// Streams that are being written.
    pub writers: Vec<StreamAtStake>,
    /// Streams that will be written once their prompts are read.
    pub coming: Vec<StreamAtStake>,
    /// What is read next, in this order.
    pub reads: Vec<ReadAhead>,
    /// Time until the pass that is under way ends, in milliseconds.
    pub pass_rest_ms: f64,
    /// Streams under way whose prompts are short.
    pub short_streams: usize,
    /// Memory promised, in tokens.
    pub memory_used: u64,
    /// How many times slower than published it seems.
    pub slowness: f64,
    /// Share of recent sends that it failed.
    pub failing: f64,
    /// Round trip to it in milliseconds.
    pub round_trip_ms: f64,
}

impl EngineState {
    /// Builds the state of an engine from the sends that are under way there.
    pub fn of(id: EndpointId, model: &EngineModel, now: Moment, flights: &[&Flight]) -> Self {
        let mut state = Self { id, slowness: 1.0, ..Self::default() };
        let mut reading: Vec<&Flight> = Vec::new();
        for f in flights {
            state.memory_used += f.held_tokens;
            let stream = StreamAtStake {
                context: f.prompt + f.written,
                pause_limit_ms: f.pause_limit_ms,
                worth: if f.late { 0.0 } else { worth(f.prompt, f.output) },
            };
            if f.written > 0 {
                state.writers.push(stream);
            } else {
                reading.push(f);
                if !f.helps {
                    state.coming.push(stream);
                }
            }
            if !f.helps {
                let is_short = model.read_ms(f.prompt) <= HARMLESS_PART_MS * LEAST_SHORT_SET as f64;
                state.short_streams += usize::from(is_short);
                state.urgent += usize::from(f.written > 0 || !f.late);
                state.flights += 1;
            }
        }
        state.note_reading(model, now, reading);
        state
    }

    fn note_reading(&mut self, model: &EngineModel, now: Moment, mut reading: Vec<&Flight>) {
        reading.sort_by_key(|f| f.sent_at);
        let stride = (!self.writers.is_empty()).then(|| self.stride_ms(model));
        let replayed = replay(model, now, stride, &reading);
        self.pass_rest_ms = replayed.pass_rest_ms;
        let mut ends = replayed.pass_rest_ms + stride.unwrap_or_default();
        for left in replayed.left {
            let f = reading[left.at];
            if !left.in_pass {
                ends += left.ms;
            }
            self.reads.push(ReadAhead {
                request: f.request,
                shared: f.shared,
                tokens: f.read_tokens as f64 * left.share,
                left_ms: left.ms,
                in_pass: left.in_pass,
                ends_ms: if left.in_pass { replayed.pass_rest_ms } else { ends },
                age_ms: now.saturating_sub(f.sent_at).as_secs_f64() * 1000.0,
                objective_ms: f.objective_ms,
                worth: if f.late { 0.0 } else { worth(f.prompt, f.output) },
            });
        }
    }

    fn stride_ms(&self, model: &EngineModel) -> f64 {
        stride_beside(model, &self.writers)
    }

    /// Reading ahead in all, in milliseconds.
    pub fn backlog_ms(&self) -> f64 {
        self.reads.iter().map(|r| r.left_ms).sum()
    }

    /// Memory that may still be promised, in tokens.
    pub(super) fn free(&self, model: &EngineModel) -> u64 {
        let memory = model.memory_tokens as f64 * (1.0 - MEMORY_MARGIN);
        (memory as u64).saturating_sub(self.memory_used)
    }

    pub(super) fn fits(&self, model: &EngineModel, need: u64) -> bool {
        need <= self.free(model)
    }

    /// Time until new reading here has ended and its first token can be written.
    pub(super) fn first_token_ms(&self, model: &EngineModel, new: &NewRead) -> f64 {
        let above = (self.urgent as f64 + 1.0 - f64::from(model.slots)).max(0.0);
        let reading = if self.writers.is_empty() {
            let ahead = if new.shared { 0.0 } else { self.backlog_ms() };
            ahead + new.read_ms
        } else {
            let waiting: f64 = self.waiting().map(|r| r.tokens).sum();
            let tokens = if new.shared { new.tokens } else { new.tokens + waiting };
            let passes = model.passes(tokens as u64);
            let pass = self.pass_read_ms(model, Some(new));
            let rest = if passes > 1.0 { new.read_ms * (1.0 - 1.0 / passes) } else { 0.0 };
            self.pass_rest_ms + self.stride_ms(model) * passes + pass + rest
        };
        (reading + above * SLOT_WAIT_MS) * self.slowness + self.round_trip_ms
    }

    /// Reading that is in no pass yet.
    fn waiting(&self) -> impl Iterator<Item = &ReadAhead> {
        self.reads.iter().filter(|r| !r.in_pass)
    }

    /// Reading in the next pass with writers, with new reading in its place.
    fn pass_read_ms(&self, model: &EngineModel, new: Option<&NewRead>) -> f64 {
        let mut budget = model.pass_tokens();
        let mut sum = 0.0;
        let mut take = |tokens: f64, ms: f64| {
            let taken = tokens.min(budget);
            budget -= taken;
            sum += ms * taken / tokens.max(1.0);
        };
        if let Some(new) = new.filter(|n| n.shared) {
            take(new.tokens, new.read_ms);
        }
        for r in self.waiting() {
            take(r.tokens, r.left_ms);
        }
        if let Some(new) = new.filter(|n| !n.shared) {
            take(new.tokens, new.read_ms);
        }
        sum
    }

    /// Worth that streams here lose by pauses when new reading is added.
    ///
    /// Streams that are written meet it together with the reading that is ahead. Those whose
    /// prompts are still read meet only what comes after them, and a part of a shared prompt
    /// goes before them. What is lost already is not lost again.
    pub(super) fn harm(&self, model: &EngineModel, new: &NewRead) -> f64 {
        let stride = self.stride_ms(model);
        let before = (stride + self.pass_read_ms(model, None)) * self.slowness;
        let after = (stride + self.pass_read_ms(model, Some(new))) * self.slowness;
        let added = late_worth(&self.writers, after) - late_worth(&self.writers, before);
        let coming = if new.shared {
            0.0
        } else {
            let part = model.pass_read_ms(new.tokens as u64, new.read_ms);
            late_worth(&self.coming, (stride + part) * self.slowness)
        };
        added.max(0.0) + coming
    }

    /// Worth that a stream loses which is written here while older parts are still read.
    pub(super) fn loss_beside_older(
        &self,
        model: &EngineModel,
        new: &NewRead,
        stream: &StreamAtStake,
    ) -> f64 {
        if !new.shared {
            return 0.0;
        }
        let pause = (self.stride_ms(model) + self.pass_read_ms(model, None)) * self.slowness;
        late_worth(std::slice::from_ref(stream), pause)
    }

    /// Prompts that new reading here delays: the request, the worth that it loses so far, and
    /// the worth that it loses with the delay.
    pub(super) fn delayed<'a>(
        &'a self,
        new: &'a NewRead,
    ) -> impl Iterator<Item = (u64, f64, f64)> + 'a {
        let by = if new.shared { new.read_ms * self.slowness } else { 0.0 };
        let mut here = self.pass_rest_ms;
        self.waiting().filter(move |_| by > 0.0).filter_map(move |r| {
            here += r.left_ms;
            let ends = r.ends_ms.max(here + by);
            let (before, after) = (r.loss(r.ends_ms), r.loss(ends));
            (after > before).then_some((r.request, before, after))
        })
    }
}

/// Worth that streams lose by one pause.
fn late_worth(streams: &[StreamAtStake], pause_ms: f64) -> f64 {
    let late =
        |s: &&StreamAtStake| s.pause_limit_ms > 0.0 && pause_ms > s.pause_limit_ms * SURE_PAUSE;
    streams.iter().filter(late).map(|s| s.worth * LATE_LOSS).sum()
}

/// Time of the steps of one pass with these writers, in milliseconds.
fn stride_beside(model: &EngineModel, writers: &[StreamAtStake]) -> f64 {
    model.stride_ms(writers.len(), writers.iter().map(|s| s.context).sum())
}

/// Builds the states of the listed engines from all sends under way.
pub fn build_states<'a>(
    model: &EngineModel,
    now: Moment,
    ids: impl Iterator<Item = &'a EndpointId>,
    flights: impl Iterator<Item = &'a Flight>,
) -> Vec<EngineState> {
    let mut by_endpoint: HashMap<&str, Vec<&Flight>> = HashMap::new();
    for f in flights {
        by_endpoint.entry(f.endpoint.as_str()).or_default().push(f);
    }
    let build = |id: &EndpointId| {
        let there = by_endpoint.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        EngineState::of(id.clone(), model, now, there)
    };
    let mut states: Vec<EngineState> = ids.map(build).collect();
    join_parts(&mut states);
    states
}

/// A shared prompt is read when the last of its engines has read its part.
fn join_parts(states: &mut [EngineState]) {
    let mut ends: HashMap<u64, f64> = HashMap::new();
    for r in states.iter().flat_map(|s| &s.reads).filter(|r| r.shared) {
        let held = ends.entry(r.request).or_default();
        *held = held.max(r.ends_ms);
    }
    for r in states.iter_mut().flat_map(|s| &mut s.reads).filter(|r| r.shared) {
        r.ends_ms = ends[&r.request];
    }
}
