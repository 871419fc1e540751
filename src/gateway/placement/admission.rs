//! Decides whether a request is placed now, waits at the entry, or is refused.
//!
//! This answers two loads. In spans of long prompts these alone could occupy the fleet, and what is
//! sent then delays all others; a refused caller returns only once, mostly into the same span. So a
//! long prompt waits at the entry until the engines have time for it, for as long as it can still
//! be served. In bursts of short prompts beyond the engines' slots, requests that are late already
//! must not take the slots of those that can be in time: they wait for a slot to spare, and are
//! refused before their callers would leave.

use std::time::Duration;

use super::decision::{OrderContext, PlacementRequest, Plan, RefusalCause};
use super::engine_model::EngineModel;
use super::engine_state::EngineState;
use super::policy::Policy;
use super::queue_order::priority_weight;
use super::value::LATE_LOSS_SHARE;
use crate::clock::duration_from_ms;

/// Interval at which a waiting request is decided about again, in milliseconds.
pub(super) const WAIT_INTERVAL_MS: f64 = 60.0;

/// Time that a long prompt must have left after its predicted first token to wait on, in
/// milliseconds. A caller that is refused after its wait needs it to come back.
const LONG_WAIT_RESERVE_MS: f64 = 2000.0;

/// Maximum wait of a late short request, in milliseconds. Callers leave after 2 s without an event.
const MAX_LATE_WAIT_MS: f64 = 1400.0;

/// Number of slots that a late short request leaves free at its engine.
const SPARE_SLOTS: usize = 2;

/// Retry delay suggested for a late short request that found no slot, in milliseconds.
const LATE_RETRY_AFTER: Duration = Duration::from_millis(2500);

/// Maximum number of late requests queued at one engine, as a fraction of its slots, if they don't
/// wait at the entry.
const MAX_LATE_QUEUE_SHARE: f64 = 0.75;

/// Mean prefill backlog, as a fraction of the objective, at which the fleet counts as saturated.
const SATURATED_BACKLOG_SHARE: f64 = 0.2;

/// Minimum value that a second of long prefill has to yield when the fleet is saturated.
const MIN_VALUE_PER_PREFILL_S: f64 = 10.0;

/// Fraction of [`MIN_VALUE_PER_PREFILL_S`] required of a retried prompt, so that prompts of all
/// sizes are eventually served.
const RETRY_VALUE_SHARE: f64 = 0.65;

/// Fraction of a prompt's value that other requests may lose by it.
const MAX_OTHERS_LOSS_SHARE: f64 = 0.25;

/// What to do with a request for which a plan exists.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// Place it as planned.
    Place,
    /// Decide again after this time.
    Wait(Duration),
    /// Refuse it; the caller may retry.
    Refuse {
        /// Suggested retry delay.
        retry_after: Duration,
        /// Reason for the refusal.
        cause: RefusalCause,
    },
}

/// Decides about a long prompt with its cheapest plan.
pub fn admit_long(
    policy: &Policy,
    model: &EngineModel,
    engines: &[EngineState],
    req: &PlacementRequest,
    plan: &Plan,
    order: Option<&OrderContext>,
) -> Admission {
    // In an order, the benefit for the engine time decides who comes first.
    let justified = order.is_some() || justifies_prefill(policy, model, engines, req, plan.late);
    let weight = order.map_or(1.0, |o| priority_weight(o.priority));
    let displaces = plan.others_loss > kept_value(req, plan.late) * weight * MAX_OTHERS_LOSS_SHARE;
    if justified && !(policy.wait_long && displaces) {
        return Admission::Place;
    }
    if policy.wait_long && can_wait(req, plan) {
        return Admission::Wait(duration_from_ms(WAIT_INTERVAL_MS));
    }
    let late_by_ms = plan.first_token_ms - req.objective_ms;
    let retry_after = duration_from_ms(mean_backlog_ms(engines).max(late_by_ms));
    Admission::Refuse { retry_after, cause: RefusalCause::DisplacesOthers }
}

/// Decides about a short request that is late, for the engine with the fewest requests.
pub fn admit_late_short(
    policy: &Policy,
    model: &EngineModel,
    engine: &EngineState,
    req: &PlacementRequest,
) -> Admission {
    let usable_slots = f64::from(model.slots) * engine.load_share();
    if !policy.wait_late_short {
        let limit = usable_slots * (1.0 + MAX_LATE_QUEUE_SHARE);
        if (engine.request_count as f64) < limit {
            return Admission::Place;
        }
        let cause = RefusalCause::NoSpareSlot;
        return Admission::Refuse { retry_after: LATE_RETRY_AFTER, cause };
    }
    if ((engine.request_count + SPARE_SLOTS) as f64) < usable_slots {
        return Admission::Place;
    }
    let has_time = req.remaining_ms > 2.0 * WAIT_INTERVAL_MS;
    if has_time && req.waited_ms + WAIT_INTERVAL_MS <= MAX_LATE_WAIT_MS {
        return Admission::Wait(duration_from_ms(WAIT_INTERVAL_MS));
    }
    Admission::Refuse { retry_after: LATE_RETRY_AFTER, cause: RefusalCause::NoSpareSlot }
}

/// Whether a long prompt can still be served, and its caller can still come back, after another
/// interval of waiting.
fn can_wait(req: &PlacementRequest, plan: &Plan) -> bool {
    plan.first_token_ms + WAIT_INTERVAL_MS + LONG_WAIT_RESERVE_MS < req.remaining_ms
}

/// Value of the request if its plan is carried out.
fn kept_value(req: &PlacementRequest, late: bool) -> f64 {
    let kept_share = if late { 1.0 - LATE_LOSS_SHARE } else { 1.0 };
    req.value() * kept_share
}

/// Whether a long prefill is worth the engine time that it takes from other requests.
///
/// The required value rises with the load, for periods in which long prompts alone could occupy
/// most of the fleet. Attention cost grows with the square of the prompt length, so the largest
/// prompts yield the least value per second and wait first.
fn justifies_prefill(
    policy: &Policy,
    model: &EngineModel,
    engines: &[EngineState],
    req: &PlacementRequest,
    late: bool,
) -> bool {
    if !policy.prefill_price {
        return true;
    }
    let saturated_ms = req.route_objective_ms * SATURATED_BACKLOG_SHARE;
    let backlog_ms = mean_backlog_ms(engines).max(req.smoothed_backlog_ms);
    let saturation = (backlog_ms / saturated_ms.max(1.0)).min(1.0);
    let retry_share = if policy.retry_relief { RETRY_VALUE_SHARE } else { 1.0 };
    let required_share = if req.is_retry { retry_share } else { 1.0 };
    let prefill_s = model.prefill_ms(req.prompt_tokens) / 1000.0;
    let required_value = prefill_s * MIN_VALUE_PER_PREFILL_S * required_share * saturation;
    kept_value(req, late) >= required_value
}

/// Mean prefill backlog per engine in milliseconds. Cold engines count with the share of the usual
/// load that they may take.
pub fn mean_backlog_ms(engines: &[EngineState]) -> f64 {
    let sum: f64 = engines.iter().map(|e| e.backlog_ms() * e.slowness).sum();
    let capacity: f64 = engines.iter().map(EngineState::load_share).sum();
    if capacity > 0.0 { sum / capacity } else { 0.0 }
}
