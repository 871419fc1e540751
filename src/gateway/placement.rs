//! Selects the engine for a request and the engines that help to prefill its prompt.
//!
//! The workload mixes short prompts with prompts of hundreds of thousands of tokens, and for
//! several seconds at a time either kind can dominate. Short prompts are packed onto a few
//! engines, which keeps the other engines free for long prefills: a long prefill lengthens the
//! pauses of all streams on the same engine. Long prefills go to the engines where they cost other
//! requests the least value.

use std::collections::HashMap;

use super::engine_model::EngineModel;
use super::engine_state::{
    EngineState, MIN_SHORT_ENGINES, NewPrefill, SAFE_PREFILL_MS, StreamState,
};
use super::in_flight::InFlightSend;
use super::value::{LATE_LOSS_SHARE, expected_loss, value};
use crate::ids::Moment;

/// Maximum number of late requests queued at one engine, as a fraction of its slots.
const LATE_WAITING_SHARE: f64 = 0.75;

/// Retry delay suggested for a late request that no engine can queue, in milliseconds.
const LATE_RETURN_MS: f64 = 2500.0;

/// Mean prefill backlog, as a fraction of the objective, at which the fleet counts as saturated.
const BUSY_SHARE: f64 = 0.3;

/// Minimum value that a second of long prefill has to yield when the fleet is saturated.
const WORTH_PER_S: f64 = 10.0;

/// Fraction of [`MIN_VALUE_PER_PREFILL_S`] required of a retried prompt, so that prompts of all
/// sizes are eventually served.
const RETURN_SHARE: f64 = 0.65;

/// Target number of streams on each engine reserved for short prompts, as a fraction of its slots.
const PACKED_SHARE: f64 = 0.65;

/// Slot occupancy above which every further stream adds [`CROWDING_COST`].
const CROWDED_SHARE: f64 = 0.75;

/// Cost, in value, of each stream above [`CROWDING_THRESHOLD`].
const CROWDED_COST: f64 = 0.1;

/// Delay before a held prompt is placed again, in milliseconds.
const HOLD_MS: f64 = 40.0;

/// Fraction of a prompt's value that it may cost other requests without being held.
const HARMLESS_SHARE: f64 = 0.2;

/// Fraction of the objective within which the first token has to be predicted for a prompt to be
/// held.
const WAIT_SHARE: f64 = 0.6;

/// Maximum number of engines that help with one prompt.
const MOST_HELPERS: usize = 16;

/// Minimum prefill time of one part of a split prompt, in milliseconds.
const LEAST_PART_MS: f64 = 60.0;

/// Fraction of the remaining time within which the first token has to be predicted.
const LEFT_SHARE: f64 = 0.8;

/// Cost, in value, of each additional helper, for the chance that it fails.
const HELPER_COST: f64 = 0.02;

/// Cost, in value, of each additional memory reservation.
const RESERVATION_COST: f64 = 0.1;

/// Fraction of a stream's value charged for a first token at exactly the objective. It makes the
/// faster of two plans win when both are in time.
const SLOWNESS_COST: f64 = 0.12;

/// A request to place, as [`decide`] sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Hash of the request id; the parts of one prompt share it.
    pub request_hash: u64,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum output length in tokens.
    pub output_tokens: u64,
    /// Time to the first token that earns the full value, in milliseconds from now.
    pub objective_ms: f64,
    /// Maximum pause between events before the stream counts as late, in milliseconds.
    pub pause_limit_ms: f64,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: f64,
    /// Mean prefill backlog per engine, smoothed over the last seconds, in milliseconds.
    pub smoothed_backlog_ms: f64,
    /// Whether the caller was probably refused before and tries again.
    pub comes_back: bool,
}

impl Ask {
    fn value(&self) -> f64 {
        value(self.prompt_tokens, self.output_tokens)
    }

    fn stream(&self) -> StreamState {
        StreamState {
            context_tokens: self.prompt_tokens,
            pause_limit_ms: self.pause_limit_ms,
            value: self.value(),
        }
    }

    fn need(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// An engine that prefills a part of a prompt for another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Index of the engine in the list passed to [`decide`].
    pub at: usize,
    /// Part of the prompt's KV cache that the engine holds, in tokens; 0 if it only computes.
    pub held_tokens: u64,
}

/// The engines that serve a request, with the predicted effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Index of the engine that takes the request and decodes its output.
    pub first: usize,
    /// Engines that prefill a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Prefill time at each of the engines, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Expected value that other requests lose because of this plan.
    pub damage: f64,
    /// Whether the request will miss its objective and is queued behind requests that can still
    /// meet theirs.
    pub late: bool,
}

impl Plan {
    /// In-flight sends that the plan adds: the request at the primary engine, then the parts of
    /// the helpers.
    pub fn sends(&self, engines: &[EngineState], ask: &Ask, now: Moment) -> Vec<InFlightSend> {
        let at_helpers: u64 = self.helpers.iter().map(|h| h.held_tokens).sum();
        let width = self.helpers.len() as u64 + 1;
        let send = |at: usize, is_helper: bool, held_tokens: u64| InFlightSend {
            endpoint: engines[at].id.clone(),
            request_hash: ask.request_hash,
            shared: width > 1,
            objective_ms: ask.objective_ms,
            prompt_tokens: ask.prompt_tokens,
            output_tokens: ask.output_tokens,
            prefill_tokens: ask.prompt_tokens / width,
            prefill_ms: self.part_ms,
            sent_at: now,
            written_tokens: 0,
            pause_limit_ms: ask.pause_limit_ms,
            held_tokens,
            is_helper,
            late: self.late,
        };
        let first = send(self.first, false, ask.need().saturating_sub(at_helpers));
        let parts = self.helpers.iter().map(|h| send(h.at, true, h.held_tokens));
        std::iter::once(first).chain(parts).collect()
    }
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No engine can produce the first token before the deadline.
    TooLate,
    /// The engines are busy, and the prompt's prefill would cost other requests more than its
    /// value.
    Displaces,
}

impl RefusalCause {
    /// Text for the log, the response body and the refusal metric.
    pub fn text(self) -> &'static str {
        match self {
            Self::TooLate => "no engine can serve it in time",
            Self::Displaces => "the engines are full, and it would make too many others late",
        }
    }
}

/// Outcome of [`decide`].
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request as planned.
    Send(Plan),
    /// Keep the request queued at the entry for this many milliseconds, then decide again; other
    /// requests lose less by it later.
    Hold(f64),
    /// Refuse the request; the caller may retry.
    Refuse {
        /// Suggested retry delay in milliseconds, until the present backlog is processed.
        free_in_ms: f64,
        /// Reason for the refusal.
        cause: RefusalCause,
    },
    /// The request needs more KV cache than the engines have free.
    TooLarge,
}

/// Decides where to place one request.
///
/// `engines` holds the candidates in an order that all entries share: the first engines are
/// reserved for short prompts.
///
/// ```
/// use bitternlead::gateway::engine_model::EngineModel;
/// use bitternlead::gateway::engine_state::EngineState;
/// use bitternlead::gateway::placement::{Ask, Decision, decide};
///
/// let engine = EngineState { slowness: 1.0, ..EngineState::default() };
/// let ask = Ask {
///     request_hash: 1, prompt_tokens: 5_000, output_tokens: 1_500, objective_ms: 300.0, pause_limit_ms: 200.0,
///     remaining_ms: 9_000.0, smoothed_backlog_ms: 0.0, comes_back: false,
/// };
/// assert!(matches!(decide(&EngineModel::default(), &[engine], &ask), Decision::Send(_)));
/// ```
pub fn decide(model: &EngineModel, engines: &[EngineState], ask: &Ask) -> Decision {
    let short = short_set(model, engines);
    let is_short = model.prefill_ms(ask.prompt_tokens) <= SAFE_PREFILL_MS * short as f64;
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
    if plan.first_token_ms > ask.remaining_ms * LEFT_SHARE {
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

/// Whether to hold a prompt that costs others too much value now, if it can still meet its
/// objective later.
///
/// This covers the change from mostly short to mostly long prompts, when all engines are still
/// decoding short streams.
fn had_better_wait(ask: &Ask, plan: &Plan) -> bool {
    let harms = plan.damage > ask.value() * HARMLESS_SHARE;
    harms && plan.first_token_ms + HOLD_MS < ask.objective_ms * WAIT_SHARE
}

/// Queues a late short request at the engine with the fewest requests, behind all requests that
/// can still be in time. If that queue is full too, the request is refused.
fn place_late(model: &EngineModel, engines: &[EngineState], ask: &Ask, plan: Plan) -> Decision {
    let fitting = (0..engines.len()).filter(|at| engines[*at].fits(model, ask.need()));
    let Some(first) = fitting.min_by_key(|at| engines[*at].request_count) else {
        return Decision::TooLarge;
    };
    let most = f64::from(model.slots) * (1.0 + LATE_WAITING_SHARE);
    if engines[first].request_count as f64 >= most {
        let cause = RefusalCause::TooLate;
        return Decision::Refuse { free_in_ms: LATE_RETURN_MS, cause };
    }
    Decision::Send(Plan { first, helpers: Vec::new(), late: true, ..plan })
}

/// Whether a long prefill is worth the engine time that it takes from other requests.
///
/// The required value rises with the load, for periods in which long prompts alone could occupy
/// most of the fleet. Attention cost grows with the square of the prompt length, so the largest
/// prompts yield the least value per second and are refused first.
fn pays(model: &EngineModel, engines: &[EngineState], ask: &Ask, late: bool) -> bool {
    let busy = (mean_backlog(engines).max(ask.smoothed_backlog_ms)
        / (ask.objective_ms * BUSY_SHARE))
        .min(1.0);
    let kept = if late { 1.0 - LATE_LOSS_SHARE } else { 1.0 };
    let work_s = model.prefill_ms(ask.prompt_tokens) / 1000.0;
    let price = if ask.comes_back { WORTH_PER_S * RETURN_SHARE } else { WORTH_PER_S };
    ask.value() * kept >= work_s * price * busy
}

/// Mean prefill backlog per engine in milliseconds.
pub fn mean_backlog(engines: &[EngineState]) -> f64 {
    let sum: f64 = engines.iter().map(|e| e.backlog_ms() * e.slowness).sum();
    sum / engines.len().max(1) as f64
}

/// Number of engines, counted from the start of the list, reserved for short prompts.
///
/// The number follows the short streams in flight, so it adapts within a second or two. All
/// entries arrive at the same number, because they see the same in-flight sends.
pub fn short_set(model: &EngineModel, engines: &[EngineState]) -> usize {
    let streams: usize = engines.iter().map(|e| e.short_streams).sum();
    let per_engine = f64::from(model.slots) * PACKED_SHARE;
    let wanted = (streams as f64 / per_engine).ceil() as usize + 1;
    let most = engines.len().saturating_sub(1).max(1);
    wanted.max(MIN_SHORT_ENGINES.min(engines.len() / 3)).clamp(1, most)
}

fn best_plan(
    model: &EngineModel,
    engines: &[EngineState],
    allowed: &[usize],
    ask: &Ask,
) -> Option<(f64, Plan)> {
    let parts = (model.prefill_ms(ask.prompt_tokens) / LEAST_PART_MS) as usize;
    let most = parts.clamp(1, MOST_HELPERS + 1).min(allowed.len());
    let plans = (1..=most).filter_map(|width| place(model, engines, allowed, ask, width));
    plans.min_by(|(a, _), (b, _)| a.total_cmp(b))
}

/// Returns the cheapest plan in which `width` engines share the prefill, and its cost. If the
/// primary engine lacks KV cache, the helpers hold the rest; `None` if all of them together lack
/// it.
fn place(
    model: &EngineModel,
    engines: &[EngineState],
    allowed: &[usize],
    ask: &Ask,
    width: usize,
) -> Option<(f64, Plan)> {
    let part_ms = model.prefill_ms(ask.prompt_tokens) / width as f64;
    let tokens = ask.prompt_tokens as f64 / width as f64;
    let new = NewPrefill { tokens, prefill_ms: part_ms, shared: width > 1 };
    let cost_at = |at: &usize| (engine_cost(model, &engines[*at], ask, &new), *at);
    let mut order: Vec<(f64, usize)> = allowed.iter().map(cost_at).collect();
    order.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let own = ask.stream();
    let beside = |at: usize| engines[at].new_stream_loss(model, &new, &own);
    let fitting = order.iter().filter(|(_, at)| engines[*at].fits(model, ask.need()));
    let calmest = fitting.min_by(|(a, x), (b, y)| (a + beside(*x)).total_cmp(&(b + beside(*y))));
    let (_, first) = *calmest.or_else(|| order.first())?;
    let others = order.iter().filter(|(_, at)| *at != first && engines[*at].failure_rate < 0.2);
    let chosen: Vec<usize> = others.map(|(_, at)| *at).take(width - 1).collect();
    if chosen.len() + 1 < width {
        return None;
    }
    let lacking = ask.need().saturating_sub(engines[first].free_tokens(model));
    let helpers = share_memory(model, engines, &chosen, lacking)?;
    let readers: Vec<&EngineState> =
        std::iter::once(first).chain(chosen).map(|at| &engines[at]).collect();
    let times = readers.iter().map(|e| e.first_token_ms(model, &new));
    let first_token_ms = times.fold(0.0, f64::max);
    let stream_loss: f64 = readers.iter().map(|e| e.stream_loss(model, &new)).sum();
    let reserved = helpers.iter().filter(|h| h.held_tokens > 0).count();
    let damage = stream_loss + delay_loss(&readers, &new);
    let cost = damage
        + beside(first)
        + risk(model, &engines[first], ask)
        + lateness(first_token_ms, ask) * ask.value()
        + helpers.len() as f64 * HELPER_COST
        + reserved as f64 * RESERVATION_COST;
    Some((cost, Plan { first, helpers, part_ms, first_token_ms, damage, late: false }))
}

/// Expected value lost by prompts that this prefill delays. A prompt delayed at several engines is
/// counted once, with its longest delay.
fn delay_loss(readers: &[&EngineState], new: &NewPrefill) -> f64 {
    let mut worst: HashMap<u64, (f64, f64)> = HashMap::new();
    for (request_hash, before, after) in readers.iter().flat_map(|e| e.delayed_prompts(new)) {
        let held = worst.entry(request_hash).or_insert((before, after));
        held.1 = held.1.max(after);
    }
    worst.into_values().map(|(before, after)| after - before).sum()
}

/// Distributes the KV cache that the primary engine lacks over the helpers, in their order.
fn share_memory(
    model: &EngineModel,
    engines: &[EngineState],
    chosen: &[usize],
    lacking: u64,
) -> Option<Vec<Helper>> {
    let mut lacking = lacking;
    let mut helpers = Vec::with_capacity(chosen.len());
    for at in chosen {
        let held_tokens = lacking.min(engines[*at].free_tokens(model));
        lacking -= held_tokens;
        helpers.push(Helper { at: *at, held_tokens });
    }
    (lacking == 0).then_some(helpers)
}

/// Fraction of the value lost by a first token at this time, with a small cost for slowness within
/// the objective.
fn lateness(first_token_ms: f64, ask: &Ask) -> f64 {
    let share = first_token_ms / ask.objective_ms.max(1.0);
    expected_loss(share) + share * SLOWNESS_COST
}

/// Cost, in value, of prefilling a part of the prompt at one engine.
fn engine_cost(model: &EngineModel, engine: &EngineState, ask: &Ask, new: &NewPrefill) -> f64 {
    let late = lateness(engine.first_token_ms(model, new), ask) * ask.value();
    let delays: f64 = engine.delayed_prompts(new).map(|(_, before, after)| after - before).sum();
    late + engine.stream_loss(model, new) + delays + risk(model, engine, ask)
}

/// Cost, in value, of crowding an engine's slots and of the chance that the engine fails.
fn risk(model: &EngineModel, engine: &EngineState, ask: &Ask) -> f64 {
    let roomy = f64::from(model.slots) * CROWDED_SHARE;
    let crowded = (engine.request_count as f64 + 1.0 - roomy).max(0.0) * CROWDED_COST;
    crowded + engine.failure_rate * 2.0 * ask.value()
}
