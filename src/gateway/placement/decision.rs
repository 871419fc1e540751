//! Decides about one request: on which engines it runs, whether it waits, or whether it is refused.
//!
//! The workload mixes short prompts with prompts of hundreds of thousands of tokens, and for
//! several seconds at a time either kind can dominate. Short prompts are packed onto a few
//! engines, which keeps the other engines free for long prefills: a long prefill lengthens the
//! pauses of all streams on the same engine. [`super::plan_search`] finds the engines that cost
//! other requests the least; [`super::admission`] says whether that cost is worth it now.

use std::time::Duration;

use super::admission::{Admission, WAIT_INTERVAL_MS, admit_late_short, admit_long};
use super::demand::DemandAhead;
use super::engine_model::EngineModel;
use super::engine_sample::sample_engines;
use super::engine_source::EngineSource;
use super::engine_state::{EngineState, MIN_SHORT_ENGINES, SAFE_PREFILL_MS, StreamState};
use super::plan_search::{MAX_REMAINING_TIME_FRACTION, PlanSearch, is_worth_splitting};
use super::policy::Policy;
use super::value::value;
use crate::clock::duration_from_ms;
use crate::directory::EndpointId;
use crate::gateway::load::in_flight::InFlightSend;
use crate::ids::Moment;

/// Target number of streams on each engine reserved for short prompts, as a fraction of its slots.
const SHORT_OCCUPANCY_SHARE: f64 = 0.5;

/// Fraction of the objective within which the first token has to be predicted for a plan on the
/// preferred engines to be taken without looking at the others.
const SAFE_OBJECTIVE_SHARE: f64 = 0.9;

/// A request to place, as [`decide`] sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Hash of the request id; the parts of one prompt share it.
    pub request_hash: u64,
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// Maximum output length in tokens.
    pub output_tokens: u64,
    /// Time to the first token that earns the full value, in milliseconds from now.
    pub objective_ms: f64,
    /// The same time in milliseconds from the arrival of the request.
    pub route_objective_ms: f64,
    /// Time since the arrival of the request in milliseconds.
    pub waited_ms: f64,
    /// Maximum pause between events before the stream counts as late, in milliseconds.
    pub pause_limit_ms: f64,
    /// Time until the caller's deadline, in milliseconds.
    pub remaining_ms: f64,
    /// Mean prefill backlog per engine, smoothed over the last seconds, in milliseconds.
    pub smoothed_backlog_ms: f64,
    /// Whether the caller was probably refused before and tries again.
    pub is_retry: bool,
}

impl PlacementRequest {
    pub(super) fn value(&self) -> f64 {
        value(self.prompt_tokens, self.output_tokens)
    }

    pub(super) fn stream_state(&self) -> StreamState {
        StreamState {
            context_tokens: self.prompt_tokens,
            pause_limit_ms: self.pause_limit_ms,
            value: self.value(),
        }
    }

    pub(super) fn required_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// An engine that prefills a part of a prompt for another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Index of the engine in the list passed to [`decide`].
    pub index: usize,
    /// Part of the prompt's KV cache that the engine holds, in tokens; 0 if it only computes.
    pub held_tokens: u64,
}

/// The engines that serve a request, with the predicted effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Index of the engine that takes the request and decodes its output.
    pub primary: usize,
    /// Engines that prefill a part of the prompt.
    pub helpers: Vec<Helper>,
    /// Prefill time at each of the engines, in milliseconds.
    pub part_ms: f64,
    /// Predicted time to the first token in milliseconds.
    pub first_token_ms: f64,
    /// Expected value that other requests lose because of this plan.
    pub others_loss: f64,
    /// Whether the request will miss its objective and is queued behind requests that can still
    /// meet theirs.
    pub late: bool,
}

impl Plan {
    /// In-flight sends that the plan adds: the request at the primary engine, then the parts of
    /// the helpers.
    pub fn sends(
        &self,
        engines: &[EngineState],
        req: &PlacementRequest,
        now: Moment,
    ) -> Vec<InFlightSend> {
        self.sends_to(|index| &engines[index].id, req, now)
    }

    /// In-flight sends that the plan adds, where `id` names the engine at an index.
    pub fn sends_to<'a>(
        &self,
        id: impl Fn(usize) -> &'a EndpointId,
        req: &PlacementRequest,
        now: Moment,
    ) -> Vec<InFlightSend> {
        let at_helpers: u64 = self.helpers.iter().map(|h| h.held_tokens).sum();
        let width = self.helpers.len() as u64 + 1;
        let send = |index: usize, is_helper: bool, held_tokens: u64| InFlightSend {
            endpoint: id(index).clone(),
            request_hash: req.request_hash,
            shared: width > 1,
            objective_ms: req.objective_ms,
            prompt_tokens: req.prompt_tokens,
            output_tokens: req.output_tokens,
            prefill_tokens: req.prompt_tokens / width,
            prefill_ms: self.part_ms,
            sent_at: now,
            written_tokens: 0,
            pause_limit_ms: req.pause_limit_ms,
            held_tokens,
            is_helper,
            late: self.late,
            prefill_ended_at: None,
        };
        let primary = send(self.primary, false, req.required_tokens().saturating_sub(at_helpers));
        let parts = self.helpers.iter().map(|h| send(h.index, true, h.held_tokens));
        std::iter::once(primary).chain(parts).collect()
    }
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// No engine can produce the first token before the deadline.
    TooLate,
    /// The request missed its objective, and no engine had a slot to spare while it waited.
    NoSpareSlot,
    /// The engines are busy, and the prompt's prefill would cost other requests more than its
    /// value.
    DisplacesOthers,
    /// More requests wait than the queue holds.
    QueueFull,
}

impl RefusalCause {
    /// Text for the log, the response body and the refusal metric.
    pub fn text(self) -> &'static str {
        match self {
            Self::TooLate => "no engine can serve it in time",
            Self::NoSpareSlot => "it is late, and all slots are needed for requests in time",
            Self::DisplacesOthers => "the engines are full, and it would make too many others late",
            Self::QueueFull => "too many requests wait for the engines",
        }
    }
}

/// Place of a request in the order of a service with several priorities.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OrderContext {
    /// Priority of the workspace or the route; 0 is the most urgent.
    pub priority: u32,
    /// More urgent requests that wait at other entries and need no more work.
    pub demand: DemandAhead,
    /// Whether requests like it were served less often than others of their priority.
    pub is_behind: bool,
}

/// Outcome of [`decide`].
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the request as planned.
    Send(Plan),
    /// Keep the request queued at the entry for this time, then decide again; other requests lose less
    /// by it later.
    Wait(Duration),
    /// Refuse the request; the caller may retry.
    Refuse {
        /// Suggested retry delay, until the present backlog is processed.
        retry_after: Duration,
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
/// use bitternlead::gateway::placement::engine_model::EngineModel;
/// use bitternlead::gateway::placement::engine_state::EngineState;
/// use bitternlead::gateway::placement::{Decision, PlacementRequest, decide};
/// use bitternlead::gateway::placement::policy::Policy;
///
/// let engine = EngineState { slowness: 1.0, ..EngineState::default() };
/// let req = PlacementRequest {
///     request_hash: 1, prompt_tokens: 5_000, output_tokens: 1_500, objective_ms: 300.0,
///     route_objective_ms: 300.0, waited_ms: 0.0, pause_limit_ms: 200.0, remaining_ms: 9_000.0,
///     smoothed_backlog_ms: 0.0, is_retry: false,
/// };
/// let decision = decide(&Policy::default(), &EngineModel::default(), &[engine], &req);
/// assert!(matches!(decision, Decision::Send(_)));
/// ```
pub fn decide(
    policy: &Policy,
    model: &EngineModel,
    engines: &[EngineState],
    req: &PlacementRequest,
) -> Decision {
    decide_among(policy, model, engines, req, None)
}

/// Decides where to place one request, as [`decide`] does, and derives only the states of the
/// engines that it looks at. A request of a service with several priorities has a place in an order.
pub fn decide_among(
    policy: &Policy,
    model: &EngineModel,
    engines: &(impl EngineSource + ?Sized),
    req: &PlacementRequest,
    order: Option<&OrderContext>,
) -> Decision {
    let is_needed = |order: &OrderContext| {
        let has_demand = order.demand != DemandAhead::default();
        !order.is_behind && has_demand && order.demand.exceeds_spare(model, engines.all())
    };
    if policy.shared_demand && order.is_some_and(is_needed) {
        return Decision::Wait(duration_from_ms(WAIT_INTERVAL_MS));
    }
    let count = engines.count();
    let short_engines =
        if policy.short_engines { short_engines_among(model, engines) } else { count };
    let is_short = model.prefill_ms(req.prompt_tokens) <= SAFE_PREFILL_MS * short_engines as f64;
    let Some(plan) = choose_plan(policy, model, engines, req, short_engines, is_short) else {
        return Decision::TooLarge;
    };
    if plan.first_token_ms > req.remaining_ms * MAX_REMAINING_TIME_FRACTION {
        // Without a backlog, only the time that this caller has left is too short.
        let retry_after = duration_from_ms(plan.first_token_ms - req.objective_ms);
        return Decision::Refuse { retry_after, cause: RefusalCause::TooLate };
    }
    let late = plan.first_token_ms > req.objective_ms;
    let plan = Plan { late, ..plan };
    let admission = match (is_short, late) {
        (true, false) => Admission::Place,
        (true, true) => {
            let engines = engines.all();
            let Some(primary) = emptiest_engine(policy, model, engines, req) else {
                return Decision::TooLarge;
            };
            let admission = admit_late_short(policy, model, &engines[primary], req);
            if admission == Admission::Place {
                return Decision::Send(Plan { primary, helpers: Vec::new(), ..plan });
            }
            admission
        }
        (false, _) => admit_long(policy, model, engines.all(), req, &plan, order),
    };
    match admission {
        Admission::Place => Decision::Send(plan),
        Admission::Wait(interval) => Decision::Wait(interval),
        Admission::Refuse { retry_after, cause } => Decision::Refuse { retry_after, cause },
    }
}

/// Finds the cheapest plan on the first of these groups of engines on which the prompt is in time:
/// a sample of the engines for prompts of this length, a sample of all, all engines for prompts of
/// this length, all engines.
fn choose_plan(
    policy: &Policy,
    model: &EngineModel,
    engines: &(impl EngineSource + ?Sized),
    req: &PlacementRequest,
    short_engines: usize,
    is_short: bool,
) -> Option<Plan> {
    let is_safe = |plan: &Plan| plan.first_token_ms <= req.objective_ms * SAFE_OBJECTIVE_SHARE;
    if policy.engine_samples && is_short && !is_worth_splitting(model, req.prompt_tokens) {
        let best_of_sample = |count: usize| {
            let sample = sample_engines(engines, count, req.request_hash);
            let states: Vec<EngineState> = sample.iter().map(|i| engines.state(*i)).collect();
            let search = PlanSearch { policy, model, engines: &states, req };
            let (_, plan) = search.best_plan(&(0..states.len()).collect::<Vec<usize>>())?;
            let helpers = plan.helpers.iter().map(|h| Helper { index: sample[h.index], ..*h });
            Some(Plan { primary: sample[plan.primary], helpers: helpers.collect(), ..plan })
        };
        if let Some(plan) = best_of_sample(short_engines).filter(is_safe) {
            return Some(plan);
        }
        let is_in_time = |plan: &Plan| plan.first_token_ms <= req.objective_ms;
        if let Some(plan) = best_of_sample(engines.count()).filter(is_in_time) {
            return Some(plan);
        }
    }
    let engines = engines.all();
    let search = PlanSearch { policy, model, engines, req };
    let preferred = if is_short { 0..short_engines } else { short_engines..engines.len() };
    let best = search.best_plan(&preferred.collect::<Vec<usize>>());
    if let Some((_, plan)) = &best
        && is_safe(plan)
    {
        return Some(plan.clone());
    }
    let fallback = search.best_plan(&(0..engines.len()).collect::<Vec<usize>>());
    let cheapest = best.into_iter().chain(fallback).min_by(|(a, _), (b, _)| a.total_cmp(b));
    cheapest.map(|(_, plan)| plan)
}

/// Index of the engine with the fewest requests among those with enough memory, of a sample if that
/// has one with a free slot.
fn emptiest_engine(
    policy: &Policy,
    model: &EngineModel,
    engines: &[EngineState],
    req: &PlacementRequest,
) -> Option<usize> {
    let emptiest_of = |indices: Vec<usize>| {
        let fits = |index: &usize| engines[*index].fits(model, req.required_tokens());
        indices.into_iter().filter(fits).min_by_key(|index| engines[*index].request_count)
    };
    if policy.engine_samples
        && let Some(index) = emptiest_of(sample_engines(engines, engines.len(), req.request_hash))
        && engines[index].request_count < model.slots as usize
    {
        return Some(index);
    }
    emptiest_of((0..engines.len()).collect())
}

/// Number of engines, counted from the start of the list, reserved for short prompts.
///
/// The number follows the short streams in flight, so it adapts within a second or two. All
/// entries arrive at the same number, because they see the same in-flight sends. Cold engines count
/// with the share of the usual load that they may take.
pub fn short_engine_count(model: &EngineModel, engines: &[EngineState]) -> usize {
    short_engines_among(model, engines)
}

fn short_engines_among(model: &EngineModel, engines: &(impl EngineSource + ?Sized)) -> usize {
    let count = engines.count();
    let per_engine = f64::from(model.slots) * SHORT_OCCUPANCY_SHARE;
    let wanted = (engines.short_streams() as f64 / per_engine).ceil() as usize + 1;
    let limit = count.saturating_sub(1).max(1);
    let wanted = wanted.max(MIN_SHORT_ENGINES.min(count / 3)) as f64;
    let mut capacity = 0.0;
    let is_short_of = |index: &usize| {
        let is_short = capacity < wanted;
        capacity += engines.load_share(*index);
        is_short
    };
    (0..count).take_while(is_short_of).count().clamp(1, limit)
}
