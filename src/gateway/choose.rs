//! Selects the endpoint for a request, and for engines also the helpers and their memory
//! reservations.

use std::time::Duration;

use rand::RngExt;
use smol_str::SmolStr;
use xxhash_rust::xxh3::xxh3_64;

use super::active_request::ActiveRequest;
use super::config::RetryPolicy;
use super::eligibility::SendContext;
use super::eligibility::endpoints::Endpoint;
use super::load::in_flight::InFlightSend;
use super::placement::admission::mean_backlog_ms;
use super::placement::engine_model::EngineModel;
use super::placement::engine_source::{EngineSource, KnownEngines};
use super::placement::engine_state::EngineState;
use super::placement::fleet_sample::{MAX_CANDIDATES, draw_candidates};
use super::placement::plan_search::is_worth_splitting;
use super::placement::queue::Attempt;
use super::placement::queue_order::QueuedRequest;
use super::placement::value::value;
use super::placement::{self, Decision, PlacementRequest, Plan};
use super::queueing::{QueuePlace, Turn};
use super::reservation::Reservation;
use super::responses::default_retry_after;
use super::tracked_sends::InFlightGuard;
use crate::clock::{boot_now, duration_from_ms};
use crate::directory::EndpointId;
use crate::event;
use crate::ids::Moment;

/// Upper bound of the random amount added to each cost. Costs that differ by less count as equal,
/// and the choice between such endpoints is random.
const COST_JITTER: f64 = 0.01;

/// Fraction of its slots by which an endpoint in another availability zone has to be ahead to be
/// preferred, for endpoints that are not engines.
const CROSS_ZONE_COST: f64 = 0.05;

/// Assumed round trip within an availability zone and across zones, in milliseconds.
const ROUND_TRIPS_MS: (f64, f64) = (0.3, 3.0);

/// Minimum retry delay suggested to callers while the engines are busy.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Fraction of the route's timeout below which a caller's own timeout shows that it was refused
/// before and retries with the rest of its time.
const RETRY_TIMEOUT_SHARE: f64 = 0.97;

/// Fraction of the drawn endpoints below which so few may be sent to that all endpoints are asked.
const MIN_USABLE_SHARE: f64 = 0.25;

/// Time after which a request is placed again whose endpoint lost its room to another request at the
/// same moment.
const NO_ROOM_RETRY: Duration = Duration::from_millis(10);

/// Retry delay suggested when all endpoints are in drained zones; operators drain zones for longer.
const DRAINED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay suggested when no endpoint in an allowed region is ready.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Destination of one send.
pub struct Placement {
    /// Endpoint that receives the request.
    pub endpoint: Endpoint,
    /// Addresses of the helper engines, each with its reservation id if it holds KV cache.
    pub helpers: Vec<(String, Option<SmolStr>)>,
    /// The helper engines.
    pub helper_endpoints: Vec<Endpoint>,
    /// Whether the request already missed its objective and is queued behind others at the engine.
    pub late: bool,
    /// Predicted time to the first token; `None` for endpoints that are not engines.
    pub predicted_first_token: Option<Duration>,
    /// KV cache reserved at the helpers, released when the placement is dropped.
    pub reservation: Option<Reservation>,
    /// When the placement was made.
    pub placed_at: Moment,
    /// Entries that the send adds to the shared load, removed when the guard is dropped.
    pub in_flight: InFlightGuard,
}

/// Outcome of [`ActiveRequest::choose`].
pub enum Choice {
    /// Send the request as placed.
    Placed(Box<Placement>),
    /// No endpoint is ready and reachable.
    NoEndpoint,
    /// Place the request again after this time.
    Wait(Duration),
    /// These engines did not grant the memory that the request needs; others may.
    NoMemory(Vec<EndpointId>),
    /// The request cannot be served now; the caller may retry after this time, for this reason.
    Refused(Duration, &'static str),
    /// The request is refused for this time, which is known, for this reason.
    RefusedFor(Duration, &'static str),
}

impl ActiveRequest {
    /// Selects the destination of another attempt; `None` if there is none right now.
    pub async fn choose_next(&self) -> Option<Placement> {
        match self.choose().await {
            Choice::Placed(placement) => Some(*placement),
            Choice::NoEndpoint
            | Choice::Wait(_)
            | Choice::NoMemory(_)
            | Choice::Refused(..)
            | Choice::RefusedFor(..) => None,
        }
    }

    /// Ready endpoints that this request does not avoid and that all rules allow: in a large
    /// fleet some of them, the same ones each time that this request is placed.
    fn candidates(&self, now: Moment) -> Vec<Endpoint> {
        let endpoints = self.gateway.endpoints.lock().ready_endpoints(&self.service.name);
        let entries = self.gateway.in_flight.lock().entry_count();
        let allowed_regions = self.allowed_regions.clone();
        let cx = SendContext { now, entries, allowed_regions };
        let is_usable = |e: &&Endpoint| {
            !self.exclusions.contains(now, &e.id) && self.gateway.is_eligible(&cx, e)
        };
        let hash = xxh3_64(self.caller.id.as_bytes());
        let usable: Vec<Endpoint> =
            draw_candidates(&endpoints, hash).filter(is_usable).cloned().collect();
        let is_enough = usable.len() as f64 >= MAX_CANDIDATES as f64 * MIN_USABLE_SHARE;
        if is_enough || endpoints.len() <= MAX_CANDIDATES {
            return usable;
        }
        let usable: Vec<&Endpoint> = endpoints.iter().filter(is_usable).collect();
        draw_candidates(&usable, hash).map(|e| (*e).clone()).collect()
    }

    /// Selects an endpoint that can take over a stream, if the route and the retry budget allow
    /// it.
    pub async fn choose_failover(&self) -> Option<Placement> {
        if self.may_fail_over() { self.choose_next().await } else { None }
    }

    fn may_fail_over(&self) -> bool {
        self.route.retry_policy == RetryPolicy::Idempotent
            && self.sends < self.route.max_attempts
            && !self.candidates(boot_now()).is_empty()
            && self.gateway.has_retry(&self.service.name)
    }

    /// Selects the destination of the request when it is its turn, if its service has an order; as
    /// [`Self::choose`] otherwise.
    pub async fn choose_in_turn(&self) -> Choice {
        let Some(req) = self.queued_request() else { return self.choose().await };
        let name = &self.service.name;
        let mut place = QueuePlace::enter(&self.gateway, name, &self.caller.id, req);
        loop {
            let turn = tokio::select! {
                biased;
                turn = place.next_turn() => turn,
                () = self.gateway.stopping.cancelled() => None,
            };
            match turn {
                Some(Turn::Try) => {}
                Some(Turn::Refuse(after, cause)) => return refused_after(after, cause.text()),
                // A wait may be longer than the rest of the grace period.
                None => {
                    let after = default_retry_after(&self.caller);
                    return Choice::Refused(after, "this process is ending");
                }
            }
            match self.choose_at(Some(&place)).await {
                Choice::Wait(_) => place.record(Attempt::Waits, ""),
                Choice::Refused(after, reason) => {
                    place.record(Attempt::Refused, reason);
                    return Choice::Refused(after, reason);
                }
                choice => return choice,
            }
        }
    }

    /// The request as the queue of its service sees it; `None` if the service has no order.
    fn queued_request(&self) -> Option<QueuedRequest> {
        let has_order =
            self.gateway.cfg.policy.placement_queue && self.config.has_order(&self.service.name);
        let (model, tokens) = (self.service.engine.as_ref()?, self.caller.tokens?);
        let shared_parts = self.caller.prompt_parts.split_last().map_or(&[][..], |(_, s)| s);
        has_order.then(|| QueuedRequest {
            priority: self.priority,
            workspace: self.workspace.clone().unwrap_or_default(),
            prompt_parts: shared_parts.iter().map(|p| xxh3_64(p.as_bytes())).collect(),
            arrived_at: self.started,
            objective_at: self.started + self.route.objective,
            deadline: self.deadline,
            prefill_ms: model.prefill_ms(tokens.prompt),
            value: value(tokens.prompt, tokens.output),
        })
    }

    /// Selects the destination of the request, or says why there is none.
    pub async fn choose(&self) -> Choice {
        self.choose_at(None).await
    }

    async fn choose_at(&self, place: Option<&QueuePlace>) -> Choice {
        let now = boot_now();
        if let Some(left) = self.gateway.quarantine.lock().time_left(now, &self.suspect.keys) {
            return Choice::RefusedFor(left, "such requests crash endpoints");
        }
        let candidates = self.candidates(now);
        if candidates.is_empty() {
            return self.choose_later(now);
        }
        match (self.service.engine.is_some(), self.caller.tokens) {
            (true, Some(_)) => self.choose_engine(now, candidates, place).await,
            _ => self.choose_least_loaded(now, candidates),
        }
    }

    /// Refuses the request if no endpoint of the service is ready in an allowed region, or if all of
    /// them are in drained zones or want no requests now, until the first of them takes some again;
    /// otherwise one may be ready or reachable soon.
    fn choose_later(&self, now: Moment) -> Choice {
        let endpoints = self.gateway.endpoints.lock().ready_endpoints(&self.service.name);
        let regions = &self.gateway.cfg.regions;
        let allowed: Vec<&Endpoint> =
            endpoints.iter().filter(|e| regions.allow(&self.allowed_regions, e)).collect();
        if allowed.is_empty() && self.allowed_regions.is_restricted() {
            let reason = "no endpoint in an allowed region is ready";
            return Choice::Refused(NO_REGION_RETRY_AFTER, reason);
        }
        let in_service: Vec<&Endpoint> =
            allowed.iter().filter(|e| !self.gateway.is_zone_drained(e)).copied().collect();
        if in_service.is_empty() && !allowed.is_empty() {
            return Choice::Refused(DRAINED_RETRY_AFTER, "the zones of all endpoints are drained");
        }
        let health = self.gateway.health.lock();
        let times = in_service.iter().map(|e| health.unwilling_time(now, &e.id));
        match times.min() {
            Some(time) if !time.is_zero() => {
                Choice::RefusedFor(time, "the endpoints want no requests now")
            }
            _ => Choice::NoEndpoint,
        }
    }

    /// Selects the endpoint with the lowest cost: in-flight requests per slot, scaled by its
    /// slowness, plus its failure rate.
    fn choose_least_loaded(&self, now: Moment, candidates: Vec<Endpoint>) -> Choice {
        let load: Vec<f64> = {
            let in_flight = self.gateway.in_flight.lock();
            candidates.iter().map(|e| in_flight.count_at(&e.id) as f64).collect()
        };
        let mut rng = rand::rng();
        let cost = |index: usize| {
            let e = &candidates[index];
            let (failure_rate, slowness) = self.gateway.estimate(now, &e.id);
            let cross_zone = if e.zone == self.gateway.cfg.zone { 0.0 } else { CROSS_ZONE_COST };
            (load[index] + 0.2) * slowness / f64::from(e.slots.max(1)) + failure_rate + cross_zone
        };
        // The random amount distributes requests over equal endpoints.
        let costs: Vec<f64> = (0..candidates.len())
            .map(|index| cost(index) + rng.random_range(0.0..COST_JITTER))
            .collect();
        let best = (0..candidates.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        let Some(index) = best else { return Choice::NoEndpoint };
        let endpoint = candidates[index].clone();
        let send =
            InFlightSend { endpoint: endpoint.id.clone(), sent_at: now, ..InFlightSend::default() };
        let Some(in_flight) = self.gateway.track_sends(vec![send]) else {
            return Choice::Wait(NO_ROOM_RETRY);
        };
        Choice::Placed(Box::new(Placement {
            endpoint,
            helpers: Vec::new(),
            helper_endpoints: Vec::new(),
            late: false,
            predicted_first_token: None,
            reservation: None,
            placed_at: now,
            in_flight,
        }))
    }

    async fn choose_engine(
        &self,
        now: Moment,
        candidates: Vec<Endpoint>,
        place: Option<&QueuePlace>,
    ) -> Choice {
        let (Some(model), Some(tokens)) = (&self.service.engine, self.caller.tokens) else {
            return Choice::NoEndpoint;
        };
        let waited_ms = now.saturating_sub(self.started).as_secs_f64() * 1000.0;
        let objective_ms = self.route.objective.as_secs_f64() * 1000.0;
        let mut req = PlacementRequest {
            request_hash: xxh3_64(self.caller.id.as_bytes()),
            prompt_tokens: tokens.prompt,
            output_tokens: tokens.output,
            objective_ms: (objective_ms - waited_ms).max(1.0),
            route_objective_ms: objective_ms,
            waited_ms,
            pause_limit_ms: self.route.pause_limit.as_secs_f64() * 1000.0,
            smoothed_backlog_ms: 0.0,
            is_retry: self.is_retry(),
            remaining_ms: self.remaining().as_secs_f64() * 1000.0,
        };
        match self.decide(now, model, &candidates, &mut req, place) {
            Decision::Send(plan) => {
                let sends = plan.sends_to(|index| &candidates[index].id, &req, now);
                let Some(in_flight) = self.gateway.track_sends(sends) else {
                    return Choice::Wait(NO_ROOM_RETRY);
                };
                // The next request sees these sends; a reservation takes a round trip.
                if let Some(place) = place {
                    place.record(Attempt::Placed, "");
                }
                self.reserve_and_place(now, &candidates, in_flight, plan).await
            }
            Decision::Wait(time) => Choice::Wait(time),
            Decision::Refuse { retry_after, cause } => refused_after(retry_after, cause.text()),
            Decision::TooLarge => {
                Choice::Refused(Duration::from_secs(1), "the engines' memory is not free")
            }
        }
    }

    /// Whether the caller was probably refused before: its timeout is shorter than the route's.
    fn is_retry(&self) -> bool {
        self.caller.timeout.is_some_and(|p| p < self.route.timeout.mul_f64(RETRY_TIMEOUT_SHARE))
    }

    /// Logs the chosen engine and the state that the choice was based on.
    fn log_placed(&self, engines: &impl EngineSource, req: &PlacementRequest, plan: &Plan) {
        let engine = engines.state(plan.primary);
        let helpers: Vec<&str> =
            plan.helpers.iter().map(|h| engines.id(h.index).as_str()).collect();
        event!(self.gateway.log, RequestPlaced, "request" => self.caller.id.as_str(),
            "endpoint" => engine.id.as_str(), "prompt" => req.prompt_tokens,
            "helpers" => helpers.join(","), "predicted_ms" => plan.first_token_ms as u64,
            "read_ms" => plan.part_ms as u64, "backlog_ms" => engine.backlog_ms() as u64,
            "writers" => engine.decoding.len(), "flights" => engine.request_count,
            "memory_used" => engine.memory_used_tokens, "slowness" => engine.slowness,
            "failing" => engine.failure_rate, "objective_ms" => req.objective_ms as u64,
            "waited_ms" => req.waited_ms as u64);
    }

    /// Logs the inputs of a refusal; the refusal itself is logged with its reason.
    fn log_refused(&self, engines: &[EngineState], req: &PlacementRequest, retry_after: Duration) {
        let free = engines.iter().filter(|e| e.request_count == 0 && e.pending.is_empty()).count();
        event!(self.gateway.log, PlacementRefused, "request" => self.caller.id.as_str(),
            "prompt" => req.prompt_tokens, "waited_ms" => req.waited_ms as u64,
            "remaining_ms" => req.remaining_ms as u64, "retried" => req.is_retry,
            "engines" => engines.len(), "free_engines" => free,
            "mean_backlog_ms" => mean_backlog_ms(engines) as u64,
            "smoothed_backlog_ms" => req.smoothed_backlog_ms as u64,
            "wanted_retry_after_ms" => retry_after.as_millis() as u64);
    }

    /// Reserves KV cache at the helpers of a plan whose sends are registered.
    async fn reserve_and_place(
        &self,
        now: Moment,
        candidates: &[Endpoint],
        in_flight: InFlightGuard,
        plan: Plan,
    ) -> Choice {
        let parts = plan.helpers.iter().filter(|h| h.held_tokens > 0);
        let parts: Vec<(Endpoint, u64)> =
            parts.map(|h| (candidates[h.index].clone(), h.held_tokens)).collect();
        let reservation = if parts.is_empty() {
            None
        } else {
            in_flight.mark_helpers_called();
            let reserved = Reservation::acquire(&self.gateway, &self.caller.id, parts).await;
            in_flight.mark_helpers_called();
            match reserved {
                Ok(reserved) => Some(reserved),
                Err(engines) => return Choice::NoMemory(engines),
            }
        };
        let mut helpers = reservation.as_ref().map(Reservation::helpers).unwrap_or_default();
        let helper_endpoints = plan.helpers.iter().map(|h| candidates[h.index].clone()).collect();
        let compute_helpers = plan.helpers.iter().filter(|h| h.held_tokens == 0);
        helpers.extend(compute_helpers.map(|h| (candidates[h.index].addr.to_string(), None)));
        Choice::Placed(Box::new(Placement {
            endpoint: candidates[plan.primary].clone(),
            helpers,
            helper_endpoints,
            late: plan.late,
            predicted_first_token: Some(duration_from_ms(plan.first_token_ms)),
            reservation,
            placed_at: now,
            in_flight,
        }))
    }

    /// Decides where to place the request and logs what the decision was based on.
    fn decide(
        &self,
        now: Moment,
        model: &EngineModel,
        candidates: &[Endpoint],
        req: &mut PlacementRequest,
        place: Option<&QueuePlace>,
    ) -> Decision {
        let (gateway, policy) = (&self.gateway, &self.gateway.cfg.policy);
        let order = place.map(|p| p.order(now));
        let in_flight = gateway.in_flight.lock();
        let (same_zone_ms, cross_zone_ms) = ROUND_TRIPS_MS;
        let usual_per_s = model.usual_requests_per_s();
        let complete = |index: usize, state: &mut EngineState| {
            let e: &Endpoint = &candidates[index];
            if policy.health_estimates {
                (state.failure_rate, state.slowness) = gateway.estimate(now, &e.id);
            }
            let is_same_zone = e.zone == gateway.cfg.zone;
            state.round_trip_ms = if is_same_zone { same_zone_ms } else { cross_zone_ms };
            let mut cold = gateway.cold.lock();
            state.cold_reduction = 1.0 - cold.load_share(now, &e.id, usual_per_s);
            state.room = cold.room(now, &e.id);
        };
        let ids = candidates.iter().map(|e| &e.id);
        let load_share =
            |index: usize| gateway.cold.lock().load_share(now, &candidates[index].id, usual_per_s);
        let engines = KnownEngines::new(model, now, ids, &in_flight, complete, load_share);
        let mut smoothed_backlog = gateway.smoothed_backlog.lock();
        let backlog_ms =
            is_worth_splitting(model, req.prompt_tokens).then(|| mean_backlog_ms(engines.all()));
        req.smoothed_backlog_ms = match backlog_ms {
            Some(backlog_ms) => smoothed_backlog.record(now, backlog_ms),
            None => smoothed_backlog.record_due(now, || mean_backlog_ms(engines.all())),
        };
        drop(smoothed_backlog);
        if let Some(place) = place {
            place.set_capacity(candidates.len(), backlog_ms.unwrap_or(req.smoothed_backlog_ms));
        }
        let decision = placement::decide_among(policy, model, &engines, req, order.as_ref());
        match &decision {
            Decision::Send(plan) => self.log_placed(&engines, req, plan),
            Decision::Refuse { retry_after, .. } => {
                self.log_refused(engines.all(), req, *retry_after);
            }
            Decision::Wait(_) | Decision::TooLarge => {}
        }
        decision
    }
}

/// Refusal with a retry delay of at least [`MIN_RETRY_AFTER`].
fn refused_after(after: Duration, reason: &'static str) -> Choice {
    Choice::Refused(after.max(MIN_RETRY_AFTER), reason)
}
