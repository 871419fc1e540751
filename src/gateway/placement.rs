//! Chooses the engine of a request, and those that help to read its prompt.
//!
//! Load that this answers: short questions beside prompts of hundreds of thousands of tokens,
//! in spans of some seconds that are heavy in one or the other. Short ones are packed onto few
//! engines, so that the others are free for long reading, which would stretch the pauses of
//! streams on the same engine. Long reading is spread over engines that it harms least.

use std::collections::HashMap;

use super::engine_model::EngineModel;
use super::engine_state::{EngineState, HARMLESS_PART_MS, LEAST_SHORT_SET, NewRead, StreamAtStake};
use super::flights::Flight;
use super::worth::{LATE_LOSS, probable_loss, worth};
use crate::ids::Moment;

/// Late requests that may wait at one engine, as a share of its slots.
const LATE_WAITING_SHARE: f64 = 0.75;

/// Time after which a late request had better come back, in milliseconds.
const LATE_RETURN_MS: f64 = 2500.0;

/// Reading ahead at all engines, as a share of the objective, at which the fleet counts as full.
const BUSY_SHARE: f64 = 0.3;

/// Worth that an engine yields in a second of long reading when the fleet is full.
const WORTH_PER_S: f64 = 10.0;

/// Part of that which is asked of a prompt whose caller comes back, so that all sizes are served.
const RETURN_SHARE: f64 = 0.65;

/// Streams that are planned for each engine kept for short prompts, as a share of its slots.
const PACKED_SHARE: f64 = 0.65;

/// Share of the slots above which each further stream counts as crowded.
const CROWDED_SHARE: f64 = 0.75;

/// Worth that is set against each stream above that.
const CROWDED_COST: f64 = 0.1;

/// Time after which it is decided anew about a prompt that waits here, in milliseconds.
const HOLD_MS: f64 = 40.0;

/// Part of a prompt's worth that others may lose by it without its waiting for them.
const HARMLESS_SHARE: f64 = 0.2;

/// Part of the objective within which the first token has to be predicted for a prompt to wait.
const WAIT_SHARE: f64 = 0.6;

/// Most engines that help with one prompt.
const MOST_HELPERS: usize = 16;

/// Shortest part of a prompt's reading that is worth a helper, in milliseconds.
const LEAST_PART_MS: f64 = 60.0;

/// Part of the time that is left within which a first token has to be predicted.
const LEFT_SHARE: f64 = 0.8;

/// Worth that is set against one more helper, for the chance that it fails.
const HELPER_COST: f64 = 0.02;

/// Worth that is set against one more reservation.
const RESERVATION_COST: f64 = 0.1;

/// Part of a stream's worth that is set against a first token at the objective, so that of
/// two plans in time the faster one is taken.
const SLOWNESS_COST: f64 = 0.12;

/// A request to be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Request that it belongs to.
    pub request: u64,
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
    /// Reading ahead at an engine in the last seconds, on average, in milliseconds.
    pub usual_backlog_ms: f64,
    /// Whether its caller has probably been turned away before.
    pub comes_back: bool,
}

impl Ask {
    fn worth(&self) -> f64 {
        worth(self.prompt, self.output)
    }

    fn stream(&self) -> StreamAtStake {
        StreamAtStake {
            context: self.prompt,
            pause_limit_ms: self.pause_limit_ms,
            worth: self.worth(),
        }
    }

    fn need(&self) -> u64 {
        self.prompt + self.output
    }
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
    /// Worth that others probably lose by it.
    pub damage: f64,
    /// Whether it will be late, and so waits for what can still be in time.
    pub late: bool,
}

impl Plan {
    /// Sends that the plan adds: the request at the first engine, then the parts of helpers.
    pub fn flights(&self, engines: &[EngineState], ask: &Ask, now: Moment) -> Vec<Flight> {
        let at_helpers: u64 = self.helpers.iter().map(|h| h.held_tokens).sum();
        let width = self.helpers.len() as u64 + 1;
        let flight = |at: usize, helps: bool, held_tokens: u64| Flight {
            endpoint: engines[at].id.clone(),
            request: ask.request,
            shared: width > 1,
            objective_ms: ask.objective_ms,
            prompt: ask.prompt,
            output: ask.output,
            read_tokens: ask.prompt / width,
            read_ms: self.part_ms,
            sent_at: now,
            written: 0,
            pause_limit_ms: ask.pause_limit_ms,
            held_tokens,
            helps,
            late: self.late,
        };
        let first = flight(self.first, false, ask.need().saturating_sub(at_helpers));
        let parts = self.helpers.iter().map(|h| flight(h.at, true, h.held_tokens));
        std::iter::once(first).chain(parts).collect()
    }
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
    /// It had better wait here for so many milliseconds, since others lose less by it then.
    Hold(f64),
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
/// use bitternlead::gateway::engine_state::EngineState;
/// use bitternlead::gateway::placement::{Ask, Decision, decide};
///
/// let engine = EngineState { slowness: 1.0, ..EngineState::default() };
/// let ask = Ask {
///     request: 1, prompt: 5_000, output: 1_500, objective_ms: 300.0, pause_limit_ms: 200.0,
///     left_ms: 9_000.0, usual_backlog_ms: 0.0, comes_back: false,
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
    if !is_short && had_better_wait(ask, &plan) {
        return Decision::Hold(HOLD_MS);
    }
    if !is_short && !pays(model, engines, ask, late) {
        let free_in_ms = mean_backlog(engines).max(after_ms);
        return Decision::Refuse { free_in_ms, cause: RefusalCause::Displaces };
    }
    Decision::Send(Plan { late, ..plan })
}

/// Whether a prompt that would make others late has the time to wait until they are done.
///
/// Load that this answers: the turn from a span of short questions to one of long prompts, when
/// all engines still write short streams.
fn had_better_wait(ask: &Ask, plan: &Plan) -> bool {
    let harms = plan.damage > ask.worth() * HARMLESS_SHARE;
    harms && plan.first_token_ms + HOLD_MS < ask.objective_ms * WAIT_SHARE
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
    let busy = (mean_backlog(engines).max(ask.usual_backlog_ms) / (ask.objective_ms * BUSY_SHARE))
        .min(1.0);
    let kept = if late { 1.0 - LATE_LOSS } else { 1.0 };
    let work_s = model.read_ms(ask.prompt) / 1000.0;
    let price = if ask.comes_back { WORTH_PER_S * RETURN_SHARE } else { WORTH_PER_S };
    ask.worth() * kept >= work_s * price * busy
}

/// Reading ahead at an engine on average, in milliseconds.
pub fn mean_backlog(engines: &[EngineState]) -> f64 {
    let sum: f64 = engines.iter().map(|e| e.backlog_ms() * e.slowness).sum();
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
    let tokens = ask.prompt as f64 / width as f64;
    let new = NewRead { tokens, read_ms: part_ms, shared: width > 1 };
    let cost_at = |at: &usize| (engine_cost(model, &engines[*at], ask, &new), *at);
    let mut order: Vec<(f64, usize)> = allowed.iter().map(cost_at).collect();
    order.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let own = ask.stream();
    let beside = |at: usize| engines[at].loss_beside_older(model, &new, &own);
    let fitting = order.iter().filter(|(_, at)| engines[*at].fits(model, ask.need()));
    let calmest = fitting.min_by(|(a, x), (b, y)| (a + beside(*x)).total_cmp(&(b + beside(*y))));
    let (_, first) = *calmest.or_else(|| order.first())?;
    let others = order.iter().filter(|(_, at)| *at != first && engines[*at].failing < 0.2);
    let chosen: Vec<usize> = others.map(|(_, at)| *at).take(width - 1).collect();
    if chosen.len() + 1 < width {
        return None;
    }
    let lacking = ask.need().saturating_sub(engines[first].free(model));
    let helpers = share_memory(model, engines, &chosen, lacking)?;
    let readers: Vec<&EngineState> =
        std::iter::once(first).chain(chosen).map(|at| &engines[at]).collect();
    let times = readers.iter().map(|e| e.first_token_ms(model, &new));
    let first_token_ms = times.fold(0.0, f64::max);
    let harm: f64 = readers.iter().map(|e| e.harm(model, &new)).sum();
    let reserved = helpers.iter().filter(|h| h.held_tokens > 0).count();
    let damage = harm + delay_loss(&readers, &new);
    let cost = damage
        + beside(first)
        + risk(model, &engines[first], ask)
        + lateness(first_token_ms, ask) * ask.worth()
        + helpers.len() as f64 * HELPER_COST
        + reserved as f64 * RESERVATION_COST;
    Some((cost, Plan { first, helpers, part_ms, first_token_ms, damage, late: false }))
}

/// Worth that prompts lose which are delayed at one or several of these engines.
fn delay_loss(readers: &[&EngineState], new: &NewRead) -> f64 {
    let mut worst: HashMap<u64, (f64, f64)> = HashMap::new();
    for (request, before, after) in readers.iter().flat_map(|e| e.delayed(new)) {
        let held = worst.entry(request).or_insert((before, after));
        held.1 = held.1.max(after);
    }
    worst.into_values().map(|(before, after)| after - before).sum()
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
    probable_loss(share) + share * SLOWNESS_COST
}

/// What it costs, in worth, to read a part of the prompt at one engine.
fn engine_cost(model: &EngineModel, engine: &EngineState, ask: &Ask, new: &NewRead) -> f64 {
    let late = lateness(engine.first_token_ms(model, new), ask) * ask.worth();
    let delays: f64 = engine.delayed(new).map(|(_, before, after)| after - before).sum();
    late + engine.harm(model, new) + delays + risk(model, engine, ask)
}

/// Worth that is set against crowding an engine, and against one that fails.
fn risk(model: &EngineModel, engine: &EngineState, ask: &Ask) -> f64 {
    let roomy = f64::from(model.slots) * CROWDED_SHARE;
    let crowded = (engine.flights as f64 + 1.0 - roomy).max(0.0) * CROWDED_COST;
    crowded + engine.failing * 2.0 * ask.worth()
}
