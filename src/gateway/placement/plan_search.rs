//! Finds the engines on which a request costs other requests the least.

use std::collections::HashMap;

use super::decision::{Helper, PlacementRequest, Plan};
use super::engine_model::EngineModel;
use super::engine_state::{EngineState, NewPrefill};
use super::policy::Policy;
use super::value::expected_loss;

/// Failure rate from which an engine does not help others.
const MAX_HELPER_FAILURE_RATE: f64 = 0.2;

/// Number of times the value of a request that a certain failure of its engine costs: the request
/// itself and the time that it takes from others when it is sent again.
const FAILURE_COST_FACTOR: f64 = 2.0;

/// Maximum number of engines that help with one prompt.
const MAX_HELPERS: usize = 16;

/// Minimum prefill time of one part of a split prompt, in milliseconds.
const MIN_PART_MS: f64 = 60.0;

/// Cost, in value, of each additional helper, for the chance that it fails.
const HELPER_COST: f64 = 0.02;

/// Cost, in value, of each additional memory reservation.
const RESERVATION_COST: f64 = 0.1;

/// Fraction of a stream's value charged for a first token at exactly the objective. It makes the
/// faster of two plans win when both are in time.
const FIRST_TOKEN_TIME_COST: f64 = 0.05;

/// Whether a prompt is long enough for a helper.
pub fn is_worth_splitting(model: &EngineModel, prompt_tokens: u64) -> bool {
    model.prefill_ms(prompt_tokens) >= 2.0 * MIN_PART_MS
}

/// Fraction of the remaining time within which the first token has to be predicted.
pub(super) const MAX_REMAINING_TIME_FRACTION: f64 = 0.8;

/// Search for the cheapest plan of one request.
pub struct PlanSearch<'a> {
    /// Mechanisms in use.
    pub policy: &'a Policy,
    /// Cost model of the engines.
    pub model: &'a EngineModel,
    /// All candidates.
    pub engines: &'a [EngineState],
    /// Request to place.
    pub req: &'a PlacementRequest,
}

impl PlanSearch<'_> {
    /// Returns the cheapest plan on the engines with these indices that leaves the caller time, or
    /// the cheapest of all if none does, and its cost.
    pub fn best_plan(&self, allowed: &[usize]) -> Option<(f64, Plan)> {
        let parts = (self.model.prefill_ms(self.req.prompt_tokens) / MIN_PART_MS) as usize;
        let max_width = if self.policy.helpers { MAX_HELPERS + 1 } else { 1 };
        let limit = parts.clamp(1, max_width).min(allowed.len());
        let plans = (1..=limit).filter_map(|width| self.plan_width(allowed, width));
        let is_too_late =
            |plan: &Plan| plan.first_token_ms > self.req.remaining_ms * MAX_REMAINING_TIME_FRACTION;
        plans.min_by(|(a, plan_a), (b, plan_b)| {
            is_too_late(plan_a).cmp(&is_too_late(plan_b)).then(a.total_cmp(b))
        })
    }

    /// Returns the cheapest plan in which `width` engines share the prefill, and its cost. If the
    /// primary engine lacks KV cache, the helpers hold the rest; `None` if all of them together
    /// lack it.
    fn plan_width(&self, allowed: &[usize], width: usize) -> Option<(f64, Plan)> {
        let Self { model, engines, req, .. } = *self;
        let part_ms = model.prefill_ms(req.prompt_tokens) / width as f64;
        let tokens = req.prompt_tokens as f64 / width as f64;
        let new = NewPrefill { tokens, prefill_ms: part_ms, shared: width > 1 };
        let cost_at = |index: &usize| (self.prefill_cost(&engines[*index], &new), *index);
        let mut by_cost: Vec<(f64, usize)> = allowed.iter().map(cost_at).collect();
        by_cost.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        let primary = self.choose_primary(&by_cost, &new)?;
        let available = by_cost.iter().map(|(_, index)| *index).filter(|index| {
            let engine = &engines[*index];
            *index != primary
                && engine.failure_rate < MAX_HELPER_FAILURE_RATE
                && engine.has_room_to_help()
        });
        // A part takes room of a cold engine that a whole prompt could use.
        let warm = available.clone().filter(|index| engines[*index].room.is_none());
        let cold = available.filter(|index| engines[*index].room.is_some());
        let helper_indices: Vec<usize> = warm.chain(cold).take(width - 1).collect();
        if helper_indices.len() + 1 < width {
            return None;
        }
        let helpers = self.distribute_memory(primary, &helper_indices)?;
        let prefillers: Vec<&EngineState> =
            std::iter::once(primary).chain(helper_indices).map(|index| &engines[index]).collect();
        let first_token_times = prefillers.iter().map(|e| e.first_token_ms(model, &new));
        let first_token_ms = first_token_times.fold(0.0, f64::max);
        let stream_loss: f64 = prefillers.iter().map(|e| self.stream_loss(e, &new)).sum();
        let reservations = helpers.iter().filter(|h| h.held_tokens > 0).count();
        let others_loss = stream_loss + self.delayed_prompt_loss(&prefillers, &new);
        let cost = others_loss
            + self.own_stream_loss(&engines[primary], &new)
            + self.failure_risk(&engines[primary])
            + self.first_token_loss(first_token_ms) * req.value()
            + helpers.len() as f64 * HELPER_COST
            + reservations as f64 * RESERVATION_COST;
        Some((cost, Plan { primary, helpers, part_ms, first_token_ms, others_loss, late: false }))
    }

    /// Chooses the engine that takes the request, from the allowed ones sorted by cost: the
    /// cheapest one with enough memory, or the cheapest one.
    fn choose_primary(&self, by_cost: &[(f64, usize)], new: &NewPrefill) -> Option<usize> {
        let required_tokens = self.req.required_tokens();
        let fits = |index: usize| self.engines[index].fits(self.model, required_tokens);
        let total_cost =
            |(cost, index): (f64, usize)| cost + self.own_stream_loss(&self.engines[index], new);
        let with_memory = by_cost.iter().copied().filter(|(_, index)| fits(*index));
        let cheapest = with_memory.min_by(|a, b| total_cost(*a).total_cmp(&total_cost(*b)));
        cheapest.or_else(|| by_cost.first().copied()).map(|(_, index)| index)
    }

    /// Distributes the KV cache that the primary engine lacks over the helpers, in their order.
    fn distribute_memory(&self, primary: usize, helper_indices: &[usize]) -> Option<Vec<Helper>> {
        let free_tokens = |index: usize| self.engines[index].free_tokens(self.model);
        let mut missing_tokens = self.req.required_tokens().saturating_sub(free_tokens(primary));
        if missing_tokens > 0 && !self.policy.reservations {
            return None;
        }
        let mut helpers = Vec::with_capacity(helper_indices.len());
        for index in helper_indices {
            let held_tokens = missing_tokens.min(free_tokens(*index));
            missing_tokens -= held_tokens;
            helpers.push(Helper { index: *index, held_tokens });
        }
        (missing_tokens == 0).then_some(helpers)
    }

    /// Fraction of the value lost by a first token at this time, with a small cost for slowness
    /// within the objective.
    fn first_token_loss(&self, first_token_ms: f64) -> f64 {
        let share = first_token_ms / self.req.objective_ms.max(1.0);
        expected_loss(share) + share * FIRST_TOKEN_TIME_COST
    }

    /// Cost, in value, of prefilling a part of the prompt at one engine.
    fn prefill_cost(&self, engine: &EngineState, new: &NewPrefill) -> f64 {
        let first_token_ms = engine.first_token_ms(self.model, new);
        let late_loss = self.first_token_loss(first_token_ms) * self.req.value();
        let delays = self.delayed_prompt_loss(&[engine], new);
        late_loss + self.stream_loss(engine, new) + delays + self.failure_risk(engine)
    }

    /// Expected value lost by the streams of an engine to longer pauses.
    fn stream_loss(&self, engine: &EngineState, new: &NewPrefill) -> f64 {
        if self.policy.pause_cost { engine.stream_loss(self.model, new) } else { 0.0 }
    }

    /// Expected value that the new stream itself loses to pauses at its primary engine.
    fn own_stream_loss(&self, engine: &EngineState, new: &NewPrefill) -> f64 {
        if !self.policy.pause_cost {
            return 0.0;
        }
        engine.new_stream_loss(self.model, new, &self.req.stream_state())
    }

    /// Expected value lost by prompts that this prefill delays. A prompt delayed at several engines
    /// is counted once, with its longest delay.
    fn delayed_prompt_loss(&self, prefillers: &[&EngineState], new: &NewPrefill) -> f64 {
        if !self.policy.delay_cost {
            return 0.0;
        }
        let mut longest: HashMap<u64, (f64, f64)> = HashMap::new();
        for (request_hash, before, after) in prefillers.iter().flat_map(|e| e.delayed_prompts(new))
        {
            let entry = longest.entry(request_hash).or_insert((before, after));
            entry.1 = entry.1.max(after);
        }
        longest.into_values().map(|(before, after)| after - before).sum()
    }

    /// Cost, in value, of the chance that the engine fails.
    fn failure_risk(&self, engine: &EngineState) -> f64 {
        engine.failure_rate * FAILURE_COST_FACTOR * self.req.value()
    }
}
