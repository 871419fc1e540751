//! Selects the endpoint for a request, and for engines also the helpers and their memory
//! reservations.

use std::time::Duration;

use rand::RngExt;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::config::Repeat;
use super::engine_state::{EngineState, build_states};
use super::handler::Task;
use super::in_flight::InFlightSend;
use super::placement::{self, Decision, PlacementRequest, Plan};
use super::reservation::Reservation;
use super::state::{Endpoint, InFlightGuard};
use crate::clock::boot_now;
use crate::event;
use crate::ids::Moment;

/// Upper bound of the random amount added to each cost, so that equal endpoints are chosen in
/// turn.
const TIE: f64 = 0.01;

/// Cost of an endpoint in another availability zone, in units of relative slot occupancy.
const ELSEWHERE: f64 = 0.05;

/// Assumed round trip within an availability zone and across zones, in milliseconds.
const ROUND_TRIPS_MS: (f64, f64) = (0.3, 3.0);

/// Minimum retry delay suggested to callers while the engines are busy, in milliseconds.
const LEAST_AWAY_MS: f64 = 100.0;

/// Fraction of the route's timeout below which a caller's own timeout shows that it was refused
/// before and retries with the rest of its time.
const WHOLE_PATIENCE: f64 = 0.97;

/// Retry delay suggested when KV cache could not be reserved.
const MEMORY_AWAY: Duration = Duration::from_millis(400);

/// Destination of one send.
pub struct Placed {
    /// Endpoint that receives the request.
    pub endpoint: Endpoint,
    /// Addresses of the helper engines, each with its reservation id if it holds KV cache.
    pub helpers: Vec<(String, Option<SmolStr>)>,
    /// Whether the request already missed its objective and is queued behind others at the engine.
    pub late: bool,
    /// Predicted time to the first token; `None` for endpoints that are not engines.
    pub predicted: Option<Duration>,
    /// KV cache reserved at the helpers, released when the placement is dropped.
    pub reservation: Option<Reservation>,
    /// When the placement was made.
    pub placed_at: Moment,
    /// Entries that the send adds to the shared load, removed when the guard is dropped.
    pub in_flight: InFlightGuard,
}

/// Outcome of [`Task::choose`].
pub enum Choice {
    /// Send the request as placed.
    Placed(Box<Placed>),
    /// No endpoint is ready and reachable.
    Nowhere,
    /// Place the request again after this time.
    Wait(Duration),
    /// The request cannot be served now; the caller may retry after this time, for this reason.
    Refused(Duration, &'static str),
}

impl Task {
    /// Selects the destination of another attempt; `None` if there is none right now.
    pub async fn choose_next(&self) -> Option<Placed> {
        match self.choose().await {
            Choice::Placed(placed) => Some(*placed),
            Choice::Nowhere | Choice::Wait(_) | Choice::Refused(..) => None,
        }
    }

    /// Ready endpoints that were not tried for this request and are not in a connection backoff.
    fn candidates(&self, now: Moment) -> Vec<Endpoint> {
        let listed = self.gateway.endpoints.lock().of(&self.service.name);
        let health = self.gateway.health.lock();
        let usable = |e: &&Endpoint| !self.tried.contains(&e.id) && health.allows(now, &e.id);
        listed.iter().filter(usable).cloned().collect()
    }

    /// Selects an endpoint that can take over a stream, if the route and the retry budget allow
    /// it.
    pub async fn find_move(&self) -> Option<Placed> {
        if self.may_move() { self.choose_next().await } else { None }
    }

    fn may_move(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
            && self.sends < self.route.max_attempts
            && !self.candidates(boot_now()).is_empty()
            && self.gateway.has_retry(&self.service.name)
    }

    /// Selects the destination of the request, or says why there is none.
    pub async fn choose(&self) -> Choice {
        let now = boot_now();
        let candidates = self.candidates(now);
        if candidates.is_empty() {
            return Choice::Nowhere;
        }
        match (self.service.engine.is_some(), self.caller.tokens) {
            (true, Some(_)) => self.choose_engine(now, candidates).await,
            _ => self.choose_plain(now, candidates),
        }
    }

    /// Selects the endpoint with the lowest cost: in-flight requests per slot, scaled by its
    /// slowness, plus its failure rate.
    fn choose_plain(&self, now: Moment, candidates: Vec<Endpoint>) -> Choice {
        let mut under_way = vec![0.0f64; candidates.len()];
        for f in self.gateway.in_flight.lock().all() {
            if let Some(at) = candidates.iter().position(|e| e.id == f.endpoint) {
                under_way[at] += 1.0;
            }
        }
        let health = self.gateway.health.lock();
        let mut rng = rand::rng();
        let cost = |at: usize| {
            let e = &candidates[at];
            let (failure_rate, slowness) = health.view(now, &e.id);
            let elsewhere = if e.zone == self.gateway.cfg.zone { 0.0 } else { ELSEWHERE };
            (under_way[at] + 0.2) * slowness / f64::from(e.slots.max(1)) + failure_rate + elsewhere
        };
        // The random amount distributes requests over equal endpoints.
        let costs: Vec<f64> =
            (0..candidates.len()).map(|at| cost(at) + rng.random_range(0.0..TIE)).collect();
        let best = (0..candidates.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        let Some(at) = best else { return Choice::Nowhere };
        drop(health);
        let endpoint = candidates[at].clone();
        let send =
            InFlightSend { endpoint: endpoint.id.clone(), sent_at: now, ..InFlightSend::default() };
        let in_flight = self.gateway.track_sends(vec![send]);
        Choice::Placed(Box::new(Placed {
            endpoint,
            helpers: Vec::new(),
            late: false,
            predicted: None,
            reservation: None,
            placed_at: now,
            in_flight,
        }))
    }

    async fn choose_engine(&self, now: Moment, candidates: Vec<Endpoint>) -> Choice {
        let (Some(model), Some(tokens)) = (&self.service.engine, self.caller.tokens) else {
            return Choice::Nowhere;
        };
        let waited = now.saturating_sub(self.started).as_secs_f64() * 1000.0;
        let objective = self.route.objective.as_secs_f64() * 1000.0;
        let mut req = PlacementRequest {
            request_hash: xxh3_64(self.caller.id.as_bytes()),
            prompt_tokens: tokens.prompt,
            output_tokens: tokens.output,
            objective_ms: (objective - waited).max(1.0),
            pause_limit_ms: self.route.pause_limit.as_secs_f64() * 1000.0,
            smoothed_backlog_ms: 0.0,
            is_retry: self.is_retry(),
            remaining_ms: self.left().as_secs_f64() * 1000.0,
        };
        let engines = self.engine_states(now, &candidates);
        let backlog = placement::mean_backlog_ms(&engines);
        req.smoothed_backlog_ms = self.gateway.smoothed_backlog.lock().record(now, backlog);
        match placement::decide(model, &engines, &req) {
            Decision::Send(plan) => {
                self.log_placed(&engines, &req, &plan);
                self.place(now, &candidates, &engines, &req, plan).await
            }
            Decision::Hold(ms) => Choice::Wait(Duration::from_secs_f64(ms / 1000.0)),
            Decision::Refuse { retry_after_ms, cause } => {
                let after = Duration::from_secs_f64(retry_after_ms.max(LEAST_AWAY_MS) / 1000.0);
                Choice::Refused(after, cause.text())
            }
            Decision::TooLarge => {
                Choice::Refused(Duration::from_secs(1), "the engines' memory is not free")
            }
        }
    }

    /// Whether the caller was probably refused before: its timeout is shorter than the route's.
    fn is_retry(&self) -> bool {
        self.caller.patience.is_some_and(|p| p < self.route.timeout.mul_f64(WHOLE_PATIENCE))
    }

    /// Logs the chosen engine and the state that the choice was based on.
    fn log_placed(&self, engines: &[EngineState], req: &PlacementRequest, plan: &Plan) {
        let engine = &engines[plan.primary];
        let helpers: Vec<&str> =
            plan.helpers.iter().map(|h| engines[h.index].id.as_str()).collect();
        event!(self.gateway.log, RequestPlaced, "request" => self.caller.id.as_str(),
            "endpoint" => engine.id.as_str(), "prompt" => req.prompt_tokens,
            "helpers" => helpers.join(","), "predicted_ms" => plan.first_token_ms as u64,
            "read_ms" => plan.part_ms as u64, "backlog_ms" => engine.backlog_ms() as u64,
            "writers" => engine.decoding.len(), "flights" => engine.request_count,
            "memory_used" => engine.memory_used_tokens, "slowness" => engine.slowness,
            "failing" => engine.failure_rate, "objective_ms" => req.objective_ms as u64);
    }

    /// Registers the in-flight sends of a plan and reserves KV cache at the helpers.
    async fn place(
        &self,
        now: Moment,
        candidates: &[Endpoint],
        engines: &[EngineState],
        req: &PlacementRequest,
        plan: Plan,
    ) -> Choice {
        let sends = plan.sends(engines, req, now);
        let in_flight = self.gateway.track_sends(sends);
        let wanted = plan.helpers.iter().filter(|h| h.held_tokens > 0);
        let wanted: Vec<(Endpoint, u64)> =
            wanted.map(|h| (candidates[h.index].clone(), h.held_tokens)).collect();
        let reservation = if wanted.is_empty() {
            None
        } else {
            let made = Reservation::make(&self.gateway, &self.caller.id, wanted).await;
            let Some(made) = made else {
                return Choice::Refused(MEMORY_AWAY, "the engines' memory is not free");
            };
            Some(made)
        };
        let mut helpers = reservation.as_ref().map(Reservation::helpers).unwrap_or_default();
        let readers = plan.helpers.iter().filter(|h| h.held_tokens == 0);
        helpers.extend(readers.map(|h| (candidates[h.index].addr.to_string(), None)));
        Choice::Placed(Box::new(Placed {
            endpoint: candidates[plan.primary].clone(),
            helpers,
            late: plan.late,
            predicted: Some(Duration::from_secs_f64(plan.first_token_ms / 1000.0)),
            reservation,
            placed_at: now,
            in_flight,
        }))
    }

    fn engine_states(&self, now: Moment, candidates: &[Endpoint]) -> Vec<EngineState> {
        let model = self.service.engine.clone().unwrap_or_default();
        let in_flight = self.gateway.in_flight.lock();
        let health = self.gateway.health.lock();
        let ids = candidates.iter().map(|e| &e.id);
        let mut states = build_states(&model, now, ids, in_flight.all());
        let (near, far) = ROUND_TRIPS_MS;
        for (state, e) in states.iter_mut().zip(candidates) {
            (state.failure_rate, state.slowness) = health.view(now, &e.id);
            state.round_trip_ms = if e.zone == self.gateway.cfg.zone { near } else { far };
        }
        states
    }
}
