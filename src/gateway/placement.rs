//! Chooses the engine of a request, and those that help to read its prompt.
//!
//! Load that this answers: short questions beside prompts of hundreds of thousands of tokens,
//! in spans of some seconds that are heavy in one or the other. Short ones are packed onto few
//! engines, so that the others are free for long reading, which would stretch the pauses of
//! streams on the same engine. Long reading is spread over engines that it harms least.

use crate::directory::EndpointId;
use crate::ids::Moment;

use super::engine_model::EngineModel;
use super::flights::Flight;

/// Share of memory that is never promised, since lengths are estimates.
const MEMORY_MARGIN: f64 = 0.03;

/// Writers beside which another one is still welcome, as a share of an engine's slots.
const PACKED_SHARE: f64 = 0.75;

/// Share of the objective within which a prediction counts as in time for sure.
const SURE_SHARE: f64 = 0.6;

/// Most engines that help with one prompt.
const MOST_HELPERS: usize = 7;

/// Shortest part of a prompt's reading that is worth a helper, in milliseconds.
const LEAST_PART_MS: f64 = 60.0;

/// Reading that is assumed to be left of a prompt that should have been read by now, in
/// milliseconds.
const OVERDUE_MS: f64 = 10.0;

/// Part of a stream's worth that is lost when it is late.
const LATE_LOSS: f64 = 0.75;

/// Tokens (prompt and ten times the output) that count as one unit of worth.
const WORTH_TOKENS: f64 = 20_000.0;

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Prompt tokens.
    pub prompt: u64,
    /// Most output tokens.
    pub output: u64,
    /// Time within which the first token is worth most, counted from now, in milliseconds.
    pub objective_ms: f64,
    /// Longest pause between events in milliseconds.
    pub pause_limit_ms: f64,
    /// Time that is left in milliseconds.
    pub left_ms: f64,
}

impl Ask {
    fn worth(&self) -> f64 {
        worth(self.prompt, self.output)
    }

    fn need(&self) -> u64 {
        self.prompt + self.output
    }
}

fn worth(prompt: u64, output: u64) -> f64 {
    (prompt as f64 + 10.0 * output as f64) / WORTH_TOKENS
}

/// One engine as it is believed to be.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineState {
    /// Identity.
    pub id: EndpointId,
    /// Sends under way there.
    pub flights: usize,
    /// Streams that are being written: context in tokens, longest pause in milliseconds, worth.
    pub writers: Vec<(u64, f64, f64)>,
    /// Streams that will be written once their prompts are read: as for writers.
    pub coming: Vec<(u64, f64, f64)>,
    /// Reading that is ahead of a new prompt, in milliseconds.
    pub backlog_ms: f64,
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
            let stream = (f.prompt + f.written, f.pause_limit_ms, worth(f.prompt, f.output));
            if f.written > 0 {
                state.writers.push(stream);
            } else {
                reading.push(f);
                if !f.helps {
                    state.coming.push(stream);
                }
            }
            if !f.helps {
                state.flights += 1;
            }
        }
        state.backlog_ms = remaining_reading(model, now, &state.writers, reading);
        state
    }

    fn stride_ms(&self, model: &EngineModel) -> f64 {
        let context = self.writers.iter().map(|(context, ..)| context).sum();
        model.stride_ms(self.writers.len(), context)
    }

    fn fits(&self, model: &EngineModel, need: u64) -> bool {
        let memory = model.memory_tokens as f64 * (1.0 - MEMORY_MARGIN);
        (self.memory_used + need) as f64 <= memory
    }

    /// Time to the first token of a prompt whose part here takes `read_ms`.
    fn first_token_ms(&self, model: &EngineModel, tokens: u64, read_ms: f64) -> f64 {
        let beside = if self.writers.is_empty() {
            0.0
        } else {
            self.stride_ms(model) * (0.5 + model.passes(tokens))
        };
        (self.backlog_ms + read_ms + beside) * self.slowness + self.round_trip_ms
    }

    /// Worth that streams here lose by pauses when a part of `read_ms` is read beside them.
    fn harm(&self, model: &EngineModel, tokens: u64, read_ms: f64) -> f64 {
        let stride = self.stride_ms(model);
        let pause = (stride + model.pass_read_ms(tokens, read_ms)) * self.slowness;
        let ahead = self.writers.iter().chain(&self.coming);
        let lost = ahead.filter(|(_, limit, _)| *limit > 0.0 && pause > *limit * 0.95);
        lost.map(|(_, _, worth)| worth * LATE_LOSS).sum()
    }
}

/// Reading that is left, if prompts are read one after the other since they were sent.
fn remaining_reading(
    model: &EngineModel,
    now: Moment,
    writers: &[(u64, f64, f64)],
    mut reading: Vec<&Flight>,
) -> f64 {
    reading.sort_by_key(|f| f.sent_at);
    let context = writers.iter().map(|(context, ..)| context).sum();
    let stride = if writers.is_empty() { 0.0 } else { model.stride_ms(writers.len(), context) };
    let mut free_at = f64::NEG_INFINITY;
    let mut overdue = 0.0f64;
    for f in reading {
        let age = now.saturating_sub(f.sent_at).as_secs_f64() * 1000.0;
        let time = f.read_ms + stride * model.passes(f.read_tokens) * 0.5;
        let start = free_at.max(-age);
        free_at = start + time;
        if free_at < 0.0 {
            overdue += OVERDUE_MS;
        }
    }
    free_at.max(0.0) + overdue
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Engine that takes the request, as its place in the list.
    pub first: usize,
    /// Engines that help to read, as their places in the list.
    pub helpers: Vec<usize>,
    /// Reading at each of them, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first token in milliseconds.
    pub first_token_ms: f64,
}

/// What is decided about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// No engine can serve it in the time that is left; one could after this many milliseconds.
    Refuse {
        /// Milliseconds until reading that is ahead will have ended.
        free_in_ms: f64,
    },
    /// It needs more memory than one engine has or has free.
    TooLarge,
}

/// Decides about one request on the engines that may take it.
///
/// ```
/// use bitternlead::gateway::engine_model::EngineModel;
/// use bitternlead::gateway::placement::{Ask, Decision, EngineState, decide};
///
/// let engine = EngineState { slowness: 1.0, ..EngineState::default() };
/// let ask = Ask {
///     prompt: 5_000, output: 1_500, objective_ms: 300.0, pause_limit_ms: 200.0, left_ms: 9_000.0,
/// };
/// assert!(matches!(decide(&EngineModel::default(), &[engine], &ask), Decision::Send(_)));
/// ```
pub fn decide(model: &EngineModel, engines: &[EngineState], ask: &Ask) -> Decision {
    let fitting: Vec<usize> =
        (0..engines.len()).filter(|at| engines[*at].fits(model, ask.need())).collect();
    if fitting.is_empty() {
        return Decision::TooLarge;
    }
    let mut best: Option<(f64, Plan)> = None;
    let whole = model.read_ms(ask.prompt);
    let most = ((whole / LEAST_PART_MS) as usize).clamp(1, MOST_HELPERS + 1);
    let mut width = 1;
    while width <= most {
        let found = place(model, engines, &fitting, ask, width);
        if let Some((cost, plan)) = found
            && best.as_ref().is_none_or(|(least, _)| cost < *least)
        {
            best = Some((cost, plan));
        }
        width += 1;
    }
    match best {
        Some((_, plan)) if plan.first_token_ms <= ask.left_ms * 0.8 => Decision::Send(plan),
        Some((_, plan)) => Decision::Refuse { free_in_ms: plan.first_token_ms - ask.objective_ms },
        None => Decision::Refuse { free_in_ms: ask.objective_ms },
    }
}

/// Best plan with `width` engines that share the reading.
fn place(
    model: &EngineModel,
    engines: &[EngineState],
    fitting: &[usize],
    ask: &Ask,
    width: usize,
) -> Option<(f64, Plan)> {
    let part_ms = model.read_ms(ask.prompt) / width as f64;
    let tokens = ask.prompt / width as u64;
    let cost_at = |at: usize| engine_cost(model, &engines[at], ask, tokens, part_ms);
    let first = *fitting.iter().min_by(|a, b| cost_at(**a).total_cmp(&cost_at(**b)))?;
    let mut helpers: Vec<usize> =
        (0..engines.len()).filter(|at| *at != first && engines[*at].failing < 0.2).collect();
    if helpers.len() + 1 < width {
        return None;
    }
    helpers.sort_by(|a, b| cost_at(*a).total_cmp(&cost_at(*b)));
    helpers.truncate(width - 1);
    let times = helpers.iter().chain([&first]);
    let first_token_ms =
        times.map(|at| engines[*at].first_token_ms(model, tokens, part_ms)).fold(0.0, f64::max);
    let harm: f64 = helpers.iter().map(|at| engines[*at].harm(model, tokens, part_ms)).sum();
    let cost = engine_cost(model, &engines[first], ask, tokens, part_ms)
        + harm
        + lateness(first_token_ms, ask) * ask.worth()
        + helpers.len() as f64 * 0.02;
    Some((cost, Plan { first, helpers, part_ms, first_token_ms }))
}

/// Part of the worth that is lost by a first token after so many milliseconds.
fn lateness(first_token_ms: f64, ask: &Ask) -> f64 {
    let share = first_token_ms / ask.objective_ms.max(1.0);
    let late = ((share - SURE_SHARE) / (1.0 - SURE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS;
    late + share * 0.05
}

/// What it costs, in worth, to read a part of the prompt at one engine.
fn engine_cost(
    model: &EngineModel,
    engine: &EngineState,
    ask: &Ask,
    tokens: u64,
    part_ms: f64,
) -> f64 {
    let first_token_ms = engine.first_token_ms(model, tokens, part_ms);
    let packed = f64::from(model.slots) * PACKED_SHARE;
    let writers = engine.flights as f64;
    let crowded = (writers + 1.0 - packed).max(0.0) * 0.1;
    let over = if writers >= f64::from(model.slots) { 2.0 } else { 0.0 };
    let opens = if engine.flights == 0 && part_ms < LEAST_PART_MS * 2.0 { 0.12 } else { 0.0 };
    let late = lateness(first_token_ms, ask) * ask.worth();
    let harm = engine.harm(model, tokens, part_ms);
    late + harm + crowded + over + opens + engine.failing * 2.0 * ask.worth()
}
