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

/// Late requests that may wait at one engine, as a share of its slots.
const LATE_WAITING_SHARE: f64 = 0.75;

/// Time after which a late request had better come back, in milliseconds.
const LATE_RETURN_MS: f64 = 2500.0;

/// Reading ahead at all engines, as a share of the objective, at which the fleet counts as full.
const BUSY_SHARE: f64 = 0.3;

/// Worth that an engine yields in a second of long reading when the fleet is full.
const WORTH_PER_S: f64 = 3.0;

/// Share of memory that is never promised, since lengths are estimates.
const MEMORY_MARGIN: f64 = 0.03;

/// Streams that are planned for each engine kept for short prompts, as a share of its slots.
const PACKED_SHARE: f64 = 0.8;

/// Least number of engines kept for short prompts, up to a third of all.
const LEAST_SHORT_SET: usize = 3;

/// Reading beside short streams that does not stretch their pauses too far, in milliseconds.
const HARMLESS_PART_MS: f64 = 80.0;

/// Share of a pause limit up to which a predicted pause counts as harmless.
const SURE_PAUSE: f64 = 0.85;

/// Share of the slots above which each further stream counts as crowded.
const CROWDED_SHARE: f64 = 0.75;

/// Worth that is set against each stream above that.
const CROWDED_COST: f64 = 0.1;

/// Time until a slot of a full engine is free, for each stream that waits, in milliseconds.
const SLOT_WAIT_MS: f64 = 150.0;

/// Share of the objective within which a prediction counts as in time for sure.
const SURE_SHARE: f64 = 0.6;

/// Most engines that help with one prompt.
const MOST_HELPERS: usize = 16;

/// Shortest part of a prompt's reading that is worth a helper, in milliseconds.
const LEAST_PART_MS: f64 = 60.0;

/// Reading that is assumed to be left of a prompt that should have been read by now, in
/// milliseconds.
const OVERDUE_MS: f64 = 10.0;

/// Part of the time that is left within which a first token has to be predicted.
const LEFT_SHARE: f64 = 0.8;

/// Worth that is set against one more helper, for the chance that it fails.
const HELPER_COST: f64 = 0.02;

/// Worth that is set against one more reservation.
const RESERVATION_COST: f64 = 0.1;

/// Part of a stream's worth that is set against a first token at the objective, so that of
/// two plans in time the faster one is taken.
const SLOWNESS_COST: f64 = 0.12;

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
    /// Reading that is ahead of a new prompt, in milliseconds.
    pub backlog_ms: f64,
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
            let at_stake = if f.late { 0.0 } else { worth(f.prompt, f.output) };
            let stream = StreamAtStake {
                context: f.prompt + f.written,
                pause_limit_ms: f.pause_limit_ms,
                worth: at_stake,
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
        state.backlog_ms = remaining_reading(model, now, &state.writers, reading);
        state
    }

    fn stride_ms(&self, model: &EngineModel) -> f64 {
        stride_beside(model, &self.writers)
    }

    /// Memory that may still be promised, in tokens.
    fn free(&self, model: &EngineModel) -> u64 {
        let memory = model.memory_tokens as f64 * (1.0 - MEMORY_MARGIN);
        (memory as u64).saturating_sub(self.memory_used)
    }

    fn fits(&self, model: &EngineModel, need: u64) -> bool {
        need <= self.free(model)
    }

    /// Time to the first token of a prompt whose part here takes `read_ms`.
    fn first_token_ms(&self, model: &EngineModel, tokens: u64, read_ms: f64) -> f64 {
        let beside = if self.writers.is_empty() {
            0.0
        } else {
            self.stride_ms(model) * (0.5 + model.passes(tokens))
        };
        let above = (self.urgent as f64 + 1.0 - f64::from(model.slots)).max(0.0);
        let waiting = above * SLOT_WAIT_MS;
        (self.backlog_ms + read_ms + beside + waiting) * self.slowness + self.round_trip_ms
    }

    /// Worth that streams here lose by pauses when a part of `read_ms` is read beside them.
    ///
    /// Streams that are written meet the part together with the reading that is ahead of it;
    /// those whose prompts are still read meet only what comes after. What is lost already by
    /// the reading ahead is not lost again.
    fn harm(&self, model: &EngineModel, tokens: u64, read_ms: f64) -> f64 {
        let stride = self.stride_ms(model);
        let part = model.pass_read_ms(tokens, read_ms);
        let most = model.most_pass_read_ms().max(part);
        let before = (stride + self.backlog_ms.min(most)) * self.slowness;
        let after = (stride + (self.backlog_ms + part).min(most)) * self.slowness;
        let alone = (stride + part) * self.slowness;
        let added = late_worth(&self.writers, after) - late_worth(&self.writers, before);
        added.max(0.0) + late_worth(&self.coming, alone)
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

/// Reading that is left, if prompts are read one after the other since they were sent.
fn remaining_reading(
    model: &EngineModel,
    now: Moment,
    writers: &[StreamAtStake],
    mut reading: Vec<&Flight>,
) -> f64 {
    reading.sort_by_key(|f| f.sent_at);
    let stride = if writers.is_empty() { 0.0 } else { stride_beside(model, writers) };
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

/// An engine that helps to read a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Its place in the list.
    pub at: usize,
    /// Part of the prompt's memory that it holds, in tokens.
    pub held_tokens: u64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Engine that takes the request, as its place in the list.
    pub first: usize,
    /// Engines that help to read.
    pub helpers: Vec<Helper>,
    /// Reading at each of them, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Whether it will be late, and so waits for what can still be in time.
    pub late: bool,
}

/// Why a request is not sent to any engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No engine can begin it in the time that is left.
    TooLate,
    /// It would make more late than it is worth.
    Displaces,
}

impl RefusalCause {
    /// Text for logs and answers.
    pub fn text(self) -> &'static str {
        match self {
            Self::TooLate => "no engine can serve it in time",
            Self::Displaces => "the engines are full, and it would make too many others late",
        }
    }
}

/// What is decided about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// It had better come back.
    Refuse {
        /// Milliseconds until reading that is ahead will have ended.
        free_in_ms: f64,
        /// Why.
        cause: RefusalCause,
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
    let short = short_set(model, engines);
    let is_short = model.read_ms(ask.prompt) <= HARMLESS_PART_MS * short as f64;
    let own: Vec<usize> =
        if is_short { (0..short).collect() } else { (short..engines.len()).collect() };
    let mut best = best_plan(model, engines, &own, ask);
    let in_time = |(_, plan): &(f64, Plan)| plan.first_token_ms <= ask.objective_ms * 0.9;
    if !best.as_ref().is_some_and(in_time) {
        let all: Vec<usize> = (0..engines.len()).collect();
        let other = best_plan(model, engines, &all, ask);
        best = best.into_iter().chain(other).min_by(|(a, _), (b, _)| a.total_cmp(b));
    }
    let Some((_, plan)) = best else { return Decision::TooLarge };
    let after_ms = plan.first_token_ms - ask.objective_ms;
    if plan.first_token_ms > ask.left_ms * LEFT_SHARE {
        return Decision::Refuse { free_in_ms: after_ms, cause: RefusalCause::TooLate };
    }
    let late = plan.first_token_ms > ask.objective_ms;
    if is_short && late {
        return place_late(model, engines, ask, plan);
    }
    if !is_short && !pays(model, engines, ask, late) {
        let free_in_ms = mean_backlog(engines).max(after_ms);
        return Decision::Refuse { free_in_ms, cause: RefusalCause::Displaces };
    }
    Decision::Send(Plan { late, ..plan })
}

/// Lets a short request that will be late wait at the engine with the fewest sends, behind all
/// that can still be in time; where too many wait already, it had better come back.
fn place_late(model: &EngineModel, engines: &[EngineState], ask: &Ask, plan: Plan) -> Decision {
    let fitting = (0..engines.len()).filter(|at| engines[*at].fits(model, ask.need()));
    let Some(first) = fitting.min_by_key(|at| engines[*at].flights) else {
        return Decision::TooLarge;
    };
    let most = f64::from(model.slots) * (1.0 + LATE_WAITING_SHARE);
    if engines[first].flights as f64 >= most {
        let cause = RefusalCause::TooLate;
        return Decision::Refuse { free_in_ms: LATE_RETURN_MS, cause };
    }
    Decision::Send(Plan { first, helpers: Vec::new(), late: true, ..plan })
}

/// Whether long reading is worth more than what it displaces while the engines are busy.
///
/// Load that this answers: spans in which long prompts alone need most of the fleet. Pairs grow
/// with the square of a prompt, so the largest ones give the least worth for their time.
fn pays(model: &EngineModel, engines: &[EngineState], ask: &Ask, late: bool) -> bool {
    let busy = (mean_backlog(engines) / (ask.objective_ms * BUSY_SHARE)).min(1.0);
    let kept = if late { 1.0 - LATE_LOSS } else { 1.0 };
    let work_s = model.read_ms(ask.prompt) / 1000.0;
    ask.worth() * kept >= work_s * WORTH_PER_S * busy
}

fn mean_backlog(engines: &[EngineState]) -> f64 {
    let sum: f64 = engines.iter().map(|e| e.backlog_ms * e.slowness).sum();
    sum / engines.len().max(1) as f64
}

/// Number of engines, from the first on, that are kept for short prompts.
///
/// It follows the short streams under way, so it grows and shrinks within a second or two; all
/// entries come to the same number since they see the same sends.
pub fn short_set(model: &EngineModel, engines: &[EngineState]) -> usize {
    let streams: usize = engines.iter().map(|e| e.short_streams).sum();
    let per_engine = f64::from(model.slots) * PACKED_SHARE;
    let wanted = (streams as f64 / per_engine).ceil() as usize + 1;
    let most = engines.len().saturating_sub(1).max(1);
    wanted.max(LEAST_SHORT_SET.min(engines.len() / 3)).clamp(1, most)
}

fn best_plan(
    model: &EngineModel,
    engines: &[EngineState],
    allowed: &[usize],
    ask: &Ask,
) -> Option<(f64, Plan)> {
    let parts = (model.read_ms(ask.prompt) / LEAST_PART_MS) as usize;
    let most = parts.clamp(1, MOST_HELPERS + 1).min(allowed.len());
    let plans = (1..=most).filter_map(|width| place(model, engines, allowed, ask, width));
    plans.min_by(|(a, _), (b, _)| a.total_cmp(b))
}

/// Best plan with `width` engines that share the reading, and the memory where one has too
/// little; `None` if they have too little together.
fn place(
    model: &EngineModel,
    engines: &[EngineState],
    allowed: &[usize],
    ask: &Ask,
    width: usize,
) -> Option<(f64, Plan)> {
    let part_ms = model.read_ms(ask.prompt) / width as f64;
    let tokens = ask.prompt / width as u64;
    let cost_at = |at: &usize| engine_cost(model, &engines[*at], ask, tokens, part_ms);
    let mut order: Vec<usize> = allowed.to_vec();
    order.sort_by(|a, b| cost_at(a).total_cmp(&cost_at(b)));
    let fitting = order.iter().copied().find(|at| engines[*at].fits(model, ask.need()));
    let first = fitting.or_else(|| order.first().copied())?;
    let others = order.iter().filter(|at| **at != first && engines[**at].failing < 0.2);
    let chosen: Vec<usize> = others.copied().take(width - 1).collect();
    if chosen.len() + 1 < width {
        return None;
    }
    let lacking = ask.need().saturating_sub(engines[first].free(model));
    let helpers = share_memory(model, engines, &chosen, lacking)?;
    let times = chosen.iter().chain([&first]);
    let first_token_ms =
        times.map(|at| engines[*at].first_token_ms(model, tokens, part_ms)).fold(0.0, f64::max);
    let harm: f64 = chosen.iter().map(|at| engines[*at].harm(model, tokens, part_ms)).sum();
    let reserved = helpers.iter().filter(|h| h.held_tokens > 0).count();
    let cost = engine_cost(model, &engines[first], ask, tokens, part_ms)
        + harm
        + lateness(first_token_ms, ask) * ask.worth()
        + chosen.len() as f64 * HELPER_COST
        + reserved as f64 * RESERVATION_COST;
    Some((cost, Plan { first, helpers, part_ms, first_token_ms, late: false }))
}

/// Shares memory that the first engine lacks between helpers, in their order.
fn share_memory(
    model: &EngineModel,
    engines: &[EngineState],
    chosen: &[usize],
    lacking: u64,
) -> Option<Vec<Helper>> {
    let mut lacking = lacking;
    let mut helpers = Vec::with_capacity(chosen.len());
    for at in chosen {
        let held_tokens = lacking.min(engines[*at].free(model));
        lacking -= held_tokens;
        helpers.push(Helper { at: *at, held_tokens });
    }
    (lacking == 0).then_some(helpers)
}

/// Part of the worth that is lost by a first token after so many milliseconds.
fn lateness(first_token_ms: f64, ask: &Ask) -> f64 {
    let share = first_token_ms / ask.objective_ms.max(1.0);
    let late = ((share - SURE_SHARE) / (1.0 - SURE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS;
    late + share * SLOWNESS_COST
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
    let roomy = f64::from(model.slots) * CROWDED_SHARE;
    let crowded = (engine.flights as f64 + 1.0 - roomy).max(0.0) * CROWDED_COST;
    let late = lateness(first_token_ms, ask) * ask.worth();
    let harm = engine.harm(model, tokens, part_ms);
    late + harm + crowded + engine.failing * 2.0 * ask.worth()
}
