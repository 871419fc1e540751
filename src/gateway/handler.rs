//! The way of one request: route, workspace, placing, sends, and its final answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use super::config::{GatewayConfig, Repeat, Route, Service};
use super::dialect::{CallerRequest, SendOptions};
use super::flights::Flight;
use super::placement::{self, Ask, Decision, EngineState, Plan};
use super::relay;
use super::reservation::Reservation;
use super::send::{Answer, Outgoing, Sent, describe, send};
use super::state::{Endpoint, FlightGuard, Gateway};
use crate::clock::boot_now;
use crate::event;
use crate::ids::{Moment, WorkspaceName};

/// Body of an answer to a caller.
pub type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Pause between looks for an endpoint while none takes work.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Most connections that are tried in vain for one request.
const MOST_UNSENT: u32 = 4;

/// Part of the caller's time that a `Retry-After` may name; callers honour a third.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Rank at engines of what is most urgent and in time.
const FIRST_RANK: u8 = 1;

/// Ranks that priorities are told apart by.
const MOST_URGENT_RANKS: u32 = 5;

/// Rank at engines of what is late.
const LATE_RANK: u8 = 8;

/// Largest difference of costs that counts as equal.
const TIE: f64 = 0.01;

/// Longest silence of a plain service before an idempotent request goes elsewhere.
const PLAIN_SILENCE: Duration = Duration::from_millis(900);

/// One request on its way.
pub struct Task {
    /// Gateway.
    pub gateway: Arc<Gateway>,
    /// Configuration that it was taken under.
    pub config: Arc<GatewayConfig>,
    /// Route.
    pub route: Arc<Route>,
    /// Service that it goes to.
    pub service: Arc<Service>,
    /// What its head says.
    pub caller: CallerRequest,
    /// Its head.
    pub head: request::Parts,
    /// Its whole body.
    pub body: Bytes,
    /// Workspace.
    pub workspace: Option<WorkspaceName>,
    /// Rank of the workspace or route; 0 is the most urgent.
    pub priority: u32,
    /// When it was taken.
    pub started: Moment,
    /// When it has to be answered.
    pub deadline: Moment,
    /// Sends that reached an endpoint.
    pub sends: u32,
    /// Whether one of them may have run.
    pub may_have_run: bool,
    /// Endpoints that were tried.
    pub tried: Vec<SmolStr>,
}

/// Where a request goes next.
pub struct Placed {
    /// Endpoint.
    pub endpoint: Endpoint,
    /// Addresses of engines that share the reading.
    pub helpers: Vec<(String, Option<SmolStr>)>,
    /// Whether it is late already, and so waits for others at the engine.
    pub late: bool,
    /// Predicted time to the first token, for engines.
    pub predicted: Option<Duration>,
    /// Memory held at the helpers.
    pub reservation: Option<Reservation>,
    /// When it was placed.
    pub placed_at: Moment,
    /// Sends that it adds to the load.
    pub flights: FlightGuard,
}

enum Choice {
    Placed(Box<Placed>),
    Nowhere,
    Refused(Duration, &'static str),
}

/// Answers one request of a caller.
pub async fn handle(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (head, body) = req.into_parts();
    let caller = gateway.dialect.decode_request(&head);
    let id = caller.id.clone();
    let mut answer = match admit(&gateway, head, body, caller).await {
        Ok(task) => serve(task).await,
        Err(refusal) => refusal,
    };
    if answer.headers().get(header::CONNECTION).is_none() && gateway.stopping.is_cancelled() {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    gateway.dialect.mark_answer(&id, answer.headers_mut());
    Ok(answer)
}

async fn admit(
    gateway: &Arc<Gateway>,
    head: request::Parts,
    body: Incoming,
    caller: CallerRequest,
) -> Result<Task, Response<AnswerBody>> {
    let started = boot_now();
    if gateway.closing.is_cancelled() {
        return Err(refuse(gateway, &caller.id, "this process is ending", retry_soon(&caller)));
    }
    let Some(config) = gateway.config.load_full() else {
        return Err(refuse(gateway, &caller.id, "no configuration yet", retry_soon(&caller)));
    };
    let Some(route) = config.find_route(&caller.host, head.uri.path()).cloned() else {
        let status = StatusCode::NOT_FOUND;
        return Err(reject(gateway, &caller, status, "no such route", &config));
    };
    let workspace = match &config.keys {
        Some(keys) if !route.public => {
            let found = caller.key.as_ref().and_then(|key| keys.get(key));
            let Some(found) = found else {
                let status = StatusCode::UNAUTHORIZED;
                return Err(reject(gateway, &caller, status, "unknown key", &config));
            };
            Some(Arc::clone(found))
        }
        _ => None,
    };
    let Some(service) = choose_service(&config, &route) else {
        return Err(refuse(gateway, &caller.id, "no service", retry_soon(&caller)));
    };
    let priority = workspace.as_ref().and_then(|w| w.priority).unwrap_or(route.priority);
    let patience = caller.patience.unwrap_or(route.timeout).min(route.timeout);
    let limits = &config.limits;
    let whole = timeout(patience, Limited::new(body, limits.body_bytes).collect()).await;
    let body = match whole {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            return Err(reject(gateway, &caller, status, "body too large", &config));
        }
        Ok(Err(_)) | Err(_) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(reject(gateway, &caller, status, "body not complete", &config));
        }
    };
    let entries = gateway.flights.lock().entries();
    gateway.budget.lock().request(started, &service.name, entries);
    Ok(Task {
        gateway: Arc::clone(gateway),
        config,
        route,
        service,
        caller,
        head,
        body,
        priority,
        workspace: workspace.map(|w| w.name.clone()),
        started,
        deadline: started + patience,
        sends: 0,
        may_have_run: false,
        tried: Vec::new(),
    })
}

fn choose_service(config: &GatewayConfig, route: &Route) -> Option<Arc<Service>> {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return None;
    }
    let mut at = rand::rng().random_range(0..total);
    for (name, weight) in &route.targets {
        if at < *weight {
            return config.services.get(name).cloned();
        }
        at -= weight;
    }
    None
}

async fn serve(mut task: Task) -> Response<AnswerBody> {
    let mut unsent = 0;
    let mut failed: Option<Response<AnswerBody>> = None;
    loop {
        if boot_now() >= task.deadline {
            return failed.unwrap_or_else(|| task.give_up("deadline passed"));
        }
        let placed = match task.choose().await {
            Choice::Placed(placed) => *placed,
            Choice::Nowhere => {
                let waited = boot_now().saturating_sub(task.started);
                if failed.is_some() || waited >= task.route.objective / 2 {
                    return failed.unwrap_or_else(|| task.give_up("no endpoint takes work"));
                }
                sleep(LOOK_AGAIN).await;
                continue;
            }
            Choice::Refused(after, reason) => {
                return failed.unwrap_or_else(|| task.refuse(reason, after));
            }
        };
        let endpoint = placed.endpoint.clone();
        let out = task.build(&placed, task.caller.last_event);
        let limit = task.head_limit(&placed);
        let sent = send(&task.gateway, &endpoint, &out, &task.caller.id, limit).await;
        task.note(&endpoint, &sent);
        let reason = match sent {
            Sent::Answer(answer) if task.streams(&answer) => {
                return relay::start(task, placed, *answer);
            }
            Sent::Answer(answer) => match task.finish_plain(*answer, &endpoint).await {
                Ok(answer) if task.is_worth_retrying(&answer) => {
                    failed = Some(answer);
                    "the endpoint failed it".to_owned()
                }
                Ok(answer) => {
                    task.log_done(&endpoint, answer.status());
                    return answer;
                }
                Err(reason) => {
                    task.may_have_run = true;
                    reason
                }
            },
            Sent::NotSent(reason) => {
                unsent += 1;
                if unsent < MOST_UNSENT {
                    continue;
                }
                return failed.unwrap_or_else(|| task.give_up(&reason));
            }
            Sent::NotRun(reason) | Sent::Unknown(reason) => reason,
        };
        if !task.may_send_again() {
            return failed.unwrap_or_else(|| task.give_up(&reason));
        }
        event!(task.gateway.log, AttemptRetried, "request" => task.caller.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "reason" => reason, "sends" => task.sends);
    }
}

impl Task {
    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(boot_now())
    }

    /// Whether a stream that began then, with such a pause, is late.
    pub fn is_late(&self, first_at: Option<Moment>, longest_pause: Duration) -> bool {
        let limit = self.route.pause_limit;
        let waited = first_at.map(|at| at.saturating_sub(self.started));
        let paused = !limit.is_zero() && longest_pause > limit;
        paused || waited.is_some_and(|w| w > self.route.objective)
    }

    fn streams(&self, answer: &Answer) -> bool {
        self.route.streams && answer.parts.status.is_success()
    }

    /// Chooses where the request goes next.
    pub async fn choose_next(&self) -> Option<Placed> {
        match self.choose().await {
            Choice::Placed(placed) => Some(*placed),
            Choice::Nowhere | Choice::Refused(..) => None,
        }
    }

    /// Endpoints that were not tried yet and can be reached.
    fn candidates(&self, now: Moment) -> Vec<Endpoint> {
        let listed = self.gateway.endpoints.lock().of(&self.service.name);
        let health = self.gateway.health.lock();
        let usable = |e: &&Endpoint| !self.tried.contains(&e.id) && health.allows(now, &e.id);
        listed.iter().filter(usable).cloned().collect()
    }

    /// Whether a stream may be moved to another endpoint now.
    pub fn may_move(&self) -> bool {
        self.route.repeat == Repeat::Idempotent
            && self.sends < self.route.max_attempts
            && !self.candidates(boot_now()).is_empty()
            && self.gateway.has_retry(&self.service.name)
    }

    async fn choose(&self) -> Choice {
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

    /// The endpoint with the fewest sends under way for its slots, failures counted in.
    fn choose_plain(&self, now: Moment, candidates: Vec<Endpoint>) -> Choice {
        let mut under_way = vec![0.0f64; candidates.len()];
        for f in self.gateway.flights.lock().all() {
            if let Some(at) = candidates.iter().position(|e| e.id == f.endpoint) {
                under_way[at] += 1.0;
            }
        }
        let health = self.gateway.health.lock();
        let mut rng = rand::rng();
        let cost = |at: usize| {
            let e = &candidates[at];
            let (failing, slowness) = health.view(now, &e.id);
            let elsewhere = if e.zone == self.gateway.cfg.zone { 0.0 } else { 0.05 };
            (under_way[at] + 0.2) * slowness / f64::from(e.slots.max(1)) + failing + elsewhere
        };
        // Equal endpoints take turns by chance.
        let costs: Vec<f64> =
            (0..candidates.len()).map(|at| cost(at) + rng.random_range(0.0..TIE)).collect();
        let best = (0..candidates.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        let Some(at) = best else { return Choice::Nowhere };
        drop(health);
        let endpoint = candidates[at].clone();
        let flight = Flight { endpoint: endpoint.id.clone(), sent_at: now, ..Flight::default() };
        let flights = self.gateway.start_flights(vec![flight]);
        Choice::Placed(Box::new(Placed {
            endpoint,
            helpers: Vec::new(),
            late: false,
            predicted: None,
            reservation: None,
            placed_at: now,
            flights,
        }))
    }

    async fn choose_engine(&self, now: Moment, candidates: Vec<Endpoint>) -> Choice {
        let (Some(model), Some(tokens)) = (&self.service.engine, self.caller.tokens) else {
            return Choice::Nowhere;
        };
        let waited = now.saturating_sub(self.started).as_secs_f64() * 1000.0;
        let objective = self.route.objective.as_secs_f64() * 1000.0;
        let ask = Ask {
            prompt: tokens.prompt,
            output: tokens.output,
            objective_ms: (objective - waited).max(1.0),
            pause_limit_ms: self.route.pause_limit.as_secs_f64() * 1000.0,
            left_ms: self.left().as_secs_f64() * 1000.0,
        };
        let engines = self.engine_states(now, &candidates);
        match placement::decide(model, &engines, &ask) {
            Decision::Send(plan) => {
                self.log_placed(&engines[plan.first], &ask, &plan);
                self.place(now, &candidates, &ask, plan).await
            }
            Decision::Refuse { free_in_ms } => {
                let after = Duration::from_secs_f64(free_in_ms.max(100.0) / 1000.0);
                Choice::Refused(after, "no engine can serve it in time")
            }
            Decision::TooLarge => {
                Choice::Refused(Duration::from_secs(1), "the engines' memory is not free")
            }
        }
    }

    /// Logs where a request goes, and what decided it.
    fn log_placed(&self, engine: &EngineState, ask: &Ask, plan: &Plan) {
        event!(self.gateway.log, RequestPlaced, "request" => self.caller.id.as_str(),
            "endpoint" => engine.id.as_str(), "prompt" => ask.prompt,
            "helpers" => plan.helpers.len(), "predicted_ms" => plan.first_token_ms as u64,
            "read_ms" => plan.part_ms as u64, "backlog_ms" => engine.backlog_ms as u64,
            "writers" => engine.writers.len(), "flights" => engine.flights,
            "memory_used" => engine.memory_used, "slowness" => engine.slowness,
            "failing" => engine.failing, "objective_ms" => ask.objective_ms as u64);
    }

    /// Notes the sends of a plan and reserves the memory that it needs at helpers.
    async fn place(&self, now: Moment, candidates: &[Endpoint], ask: &Ask, plan: Plan) -> Choice {
        let need = ask.prompt + ask.output;
        let at_helpers: u64 = plan.helpers.iter().map(|h| h.held_tokens).sum();
        let width = (plan.helpers.len() + 1) as u64;
        let flight = |at: usize, helps: bool, held_tokens: u64| Flight {
            endpoint: candidates[at].id.clone(),
            prompt: ask.prompt,
            output: ask.output,
            read_tokens: ask.prompt / width,
            read_ms: plan.part_ms,
            sent_at: now,
            written: 0,
            pause_limit_ms: ask.pause_limit_ms,
            held_tokens,
            helps,
            late: plan.late,
        };
        let mut flights = vec![flight(plan.first, false, need.saturating_sub(at_helpers))];
        flights.extend(plan.helpers.iter().map(|h| flight(h.at, true, h.held_tokens)));
        let flights = self.gateway.start_flights(flights);
        let wanted = plan.helpers.iter().filter(|h| h.held_tokens > 0);
        let wanted: Vec<(Endpoint, u64)> =
            wanted.map(|h| (candidates[h.at].clone(), h.held_tokens)).collect();
        let reservation = if wanted.is_empty() {
            None
        } else {
            let made = Reservation::make(&self.gateway, &self.caller.id, wanted).await;
            let Some(made) = made else {
                let after = Duration::from_millis(400);
                return Choice::Refused(after, "the engines' memory is not free");
            };
            Some(made)
        };
        let mut helpers = reservation.as_ref().map(Reservation::helpers).unwrap_or_default();
        let readers = plan.helpers.iter().filter(|h| h.held_tokens == 0);
        helpers.extend(readers.map(|h| (candidates[h.at].addr.to_string(), None)));
        Choice::Placed(Box::new(Placed {
            endpoint: candidates[plan.first].clone(),
            helpers,
            late: plan.late,
            predicted: Some(Duration::from_secs_f64(plan.first_token_ms / 1000.0)),
            reservation,
            placed_at: now,
            flights,
        }))
    }

    fn engine_states(&self, now: Moment, candidates: &[Endpoint]) -> Vec<EngineState> {
        let model = self.service.engine.clone().unwrap_or_default();
        let flights = self.gateway.flights.lock();
        let health = self.gateway.health.lock();
        let mut by_endpoint: std::collections::HashMap<&str, Vec<&Flight>> =
            std::collections::HashMap::new();
        for f in flights.all() {
            by_endpoint.entry(f.endpoint.as_str()).or_default().push(f);
        }
        let none = Vec::new();
        let build = |e: &Endpoint| {
            let there = by_endpoint.get(e.id.as_str()).unwrap_or(&none);
            let (failing, slowness) = health.view(now, &e.id);
            let round_trip_ms = if e.zone == self.gateway.cfg.zone { 0.3 } else { 3.0 };
            let state = EngineState::of(e.id.clone(), &model, now, there);
            EngineState { failing, slowness, round_trip_ms, ..state }
        };
        candidates.iter().map(build).collect()
    }

    /// Builds the request to an endpoint.
    pub fn build(&self, placed: &Placed, last_event: Option<u64>) -> Outgoing {
        let options = SendOptions {
            left: self.left(),
            endpoint: placed.endpoint.id.clone(),
            workspace: self.workspace.clone(),
            last_event,
            helpers: placed.helpers.clone(),
            rank: self.rank(placed),
        };
        Outgoing {
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers: self.gateway.dialect.encode_send(&self.head.headers, &options),
            body: self.body.clone(),
        }
    }

    /// Rank at the engine: that of the workspace or route, behind it what is late.
    fn rank(&self, placed: &Placed) -> Option<u8> {
        placed.predicted?;
        let priority = self.priority.min(MOST_URGENT_RANKS) as u8;
        Some(if placed.late { LATE_RANK } else { FIRST_RANK + priority })
    }

    /// Longest wait for the head of an answer; only what may run again is given up early.
    pub fn head_limit(&self, placed: &Placed) -> Duration {
        let left = self.left();
        let more_sends = self.sends + 1 < self.route.max_attempts;
        if self.route.repeat == Repeat::Never || !more_sends {
            return left;
        }
        match placed.predicted {
            Some(predicted) => left.min(predicted * 3 + Duration::from_millis(2500)),
            None => left.min(PLAIN_SILENCE),
        }
    }

    /// Notes a send and what it says about the endpoint.
    pub fn note(&mut self, endpoint: &Endpoint, sent: &Sent) {
        let now = boot_now();
        let mut health = self.gateway.health.lock();
        self.tried.push(endpoint.id.clone());
        match sent {
            Sent::Answer(answer) => {
                self.sends += 1;
                if answer.parts.status.is_server_error() {
                    health.failed(now, &endpoint.id);
                }
            }
            Sent::NotSent(_) => health.unreachable(now, &endpoint.id),
            Sent::NotRun(_) => {
                self.sends += 1;
                health.failed(now, &endpoint.id);
            }
            Sent::Unknown(_) => {
                self.sends += 1;
                self.may_have_run = true;
                health.failed(now, &endpoint.id);
            }
        }
    }

    /// Whether another send is allowed: attempts, what may run again, and the shared budget.
    pub fn may_send_again(&self) -> bool {
        let repeatable = !self.may_have_run || self.route.repeat == Repeat::Idempotent;
        repeatable
            && self.sends < self.route.max_attempts
            && self.gateway.take_retry(&self.service.name)
    }

    fn is_worth_retrying(&self, answer: &Response<AnswerBody>) -> bool {
        answer.status().is_server_error() && self.route.repeat == Repeat::Idempotent
    }

    /// Reads the whole body of an answer that is no stream.
    async fn finish_plain(
        &self,
        answer: Answer,
        endpoint: &Endpoint,
    ) -> Result<Response<AnswerBody>, String> {
        let Answer { parts, head, body, conn } = answer;
        let whole = timeout(self.left(), body.collect()).await;
        let body = match whole {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                self.gateway.health.lock().failed(boot_now(), &endpoint.id);
                return Err(describe(&e));
            }
            Err(_) => return Err("the answer did not end in time".into()),
        };
        if !head.closes {
            self.gateway.pool.give_back(conn, head.keep_alive);
        }
        if parts.status.is_success() {
            self.gateway.health.lock().succeeded(boot_now(), &endpoint.id, None);
        }
        let mut passed = Response::new(full(body));
        *passed.status_mut() = parts.status;
        *passed.headers_mut() = self.gateway.dialect.pass_answer(&parts.headers);
        Ok(passed)
    }

    fn log_done(&self, endpoint: &Endpoint, status: StatusCode) {
        event!(self.gateway.log, RequestDone, "request" => self.caller.id.as_str(),
            "route" => self.route.name.as_str(), "endpoint" => endpoint.id.as_str(),
            "status" => status.as_u16(), "sends" => self.sends,
            "ms" => boot_now().saturating_sub(self.started).as_millis() as u64);
    }

    fn refuse(&self, reason: &str, after: Duration) -> Response<AnswerBody> {
        if self.may_have_run {
            return self.give_up(reason);
        }
        refuse(&self.gateway, &self.caller.id, reason, spread(after, self.left()))
    }

    /// Final failure of a request that no endpoint answered.
    pub fn give_up(&self, reason: &str) -> Response<AnswerBody> {
        if !self.may_have_run {
            let after = spread(Duration::from_millis(150), self.left());
            return refuse(&self.gateway, &self.caller.id, reason, after);
        }
        event!(self.gateway.log, RequestFailed, "request" => self.caller.id.as_str(),
            "route" => self.route.name.as_str(), "reason" => reason, "sends" => self.sends,
            "ms" => boot_now().saturating_sub(self.started).as_millis() as u64);
        let late = boot_now() >= self.deadline;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        plain_answer(status, reason)
    }
}

/// Wraps bytes as the body of an answer.
pub fn full(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

fn plain_answer(status: StatusCode, reason: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(full(Bytes::from(format!("{reason}\n"))));
    *answer.status_mut() = status;
    answer
}

/// Time after which a caller may come back, spread so that callers do not return together.
fn spread(after: Duration, left: Duration) -> Duration {
    let most = left.mul_f64(RETRY_AFTER_SHARE);
    after.mul_f64(rand::rng().random_range(0.7..1.4)).min(most)
}

fn retry_soon(caller: &CallerRequest) -> Duration {
    let patience = caller.patience.unwrap_or(Duration::from_secs(1));
    spread(Duration::from_millis(300), patience)
}

/// Refuses a request that did not run and never will.
fn refuse(gateway: &Gateway, id: &str, reason: &str, after: Duration) -> Response<AnswerBody> {
    event!(gateway.log, RequestRefused, "request" => id, "reason" => reason,
        "retry_after_ms" => after.as_millis() as u64);
    let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

fn reject(
    gateway: &Gateway,
    caller: &CallerRequest,
    status: StatusCode,
    reason: &str,
    config: &GatewayConfig,
) -> Response<AnswerBody> {
    event!(gateway.log, RequestRejected, "request" => caller.id.as_str(), "reason" => reason,
        "status" => status.as_u16(), "version" => config.version);
    plain_answer(status, reason)
}
