//! The way of one request: route, workspace, placing, sends, and its final answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use super::answers::{AnswerBody, full, plain_answer, refuse, reject, retry_soon, spread};
use super::choose::{Choice, Placement};
use super::config::{GatewayConfig, Repeat, Route, Service};
use super::dialect::{CallerRequest, SendOptions};
use super::relay;
use super::send::{Answer, Outgoing, Sent, describe, send};
use super::state::{Endpoint, Gateway};
use crate::clock::boot_now;
use crate::event;
use crate::ids::{Moment, WorkspaceName};
use crate::prompt_class::PromptClass;

/// Pause between looks for an endpoint while none takes work.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Most connections that are tried in vain for one request.
const MOST_UNSENT: u32 = 4;

/// Rank at engines of what is most urgent and in time.
const FIRST_RANK: u8 = 1;

/// Ranks that priorities are told apart by.
const MOST_URGENT_RANKS: u32 = 5;

/// Rank at engines of what is late.
const LATE_RANK: u8 = 8;

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
        Err(_) => {
            let status = StatusCode::REQUEST_TIMEOUT;
            return Err(reject(gateway, &caller, status, "body too slow", &config));
        }
        Ok(Err(_)) => {
            let status = StatusCode::BAD_REQUEST;
            return Err(reject(gateway, &caller, status, "body not complete", &config));
        }
    };
    let entries = gateway.in_flight.lock().entry_count();
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
        let placement = match task.choose().await {
            Choice::Placed(placement) => *placement,
            Choice::NoEndpoint => {
                let waited = boot_now().saturating_sub(task.started);
                if failed.is_some() || waited >= task.route.objective / 2 {
                    return failed.unwrap_or_else(|| task.give_up("no endpoint takes work"));
                }
                sleep(LOOK_AGAIN).await;
                continue;
            }
            Choice::Wait(time) => {
                sleep(time).await;
                continue;
            }
            Choice::Refused(after, reason) => {
                return failed.unwrap_or_else(|| task.refuse(reason, after));
            }
        };
        let endpoint = placement.endpoint.clone();
        let out = task.build(&placement, task.caller.last_event);
        let limit = task.head_limit(&placement);
        let sent = send(&task.gateway, &endpoint, &out, &task.caller.id, limit).await;
        task.note(&endpoint, &sent);
        let reason = match sent {
            Sent::Answer(answer) if task.streams(&answer) => {
                return relay::start(task, placement, *answer);
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
        task.gateway.metrics.retries.inc();
        event!(task.gateway.log, AttemptRetried, "request" => task.caller.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "reason" => reason, "sends" => task.sends);
    }
}

impl Task {
    /// Time that is left.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_sub(boot_now())
    }

    /// Class of the prompt's length for metrics; plain services have their own.
    pub fn class(&self) -> &'static str {
        self.caller.tokens.map_or("plain", |t| PromptClass::of(t.prompt).name())
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

    /// Builds the request to an endpoint.
    pub fn build(&self, placement: &Placement, last_event: Option<u64>) -> Outgoing {
        let options = SendOptions {
            left: self.left(),
            endpoint: placement.endpoint.id.clone(),
            workspace: self.workspace.clone(),
            last_event,
            helpers: placement.helpers.clone(),
            rank: self.rank(placement),
        };
        Outgoing {
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers: self.gateway.dialect.encode_send(&self.head.headers, &options),
            body: self.body.clone(),
        }
    }

    /// Rank at the engine: that of the workspace or route, behind it what is late.
    fn rank(&self, placement: &Placement) -> Option<u8> {
        placement.predicted_first_token?;
        let priority = self.priority.min(MOST_URGENT_RANKS) as u8;
        Some(if placement.late { LATE_RANK } else { FIRST_RANK + priority })
    }

    /// Longest wait for the head of an answer; only what may run again is given up early.
    pub fn head_limit(&self, placement: &Placement) -> Duration {
        let left = self.left();
        let more_sends = self.sends + 1 < self.route.max_attempts;
        if self.route.repeat == Repeat::Never || !more_sends {
            return left;
        }
        match placement.predicted_first_token {
            Some(predicted_first_token) => {
                left.min(predicted_first_token * 3 + Duration::from_millis(2500))
            }
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
        let took = boot_now().saturating_sub(self.started);
        self.gateway.count("done", self.class(), took);
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
        let took = boot_now().saturating_sub(self.started);
        self.gateway.count("unknown", self.class(), took);
        event!(self.gateway.log, RequestFailed, "request" => self.caller.id.as_str(),
            "route" => self.route.name.as_str(), "reason" => reason, "sends" => self.sends,
            "ms" => boot_now().saturating_sub(self.started).as_millis() as u64);
        let late = boot_now() >= self.deadline;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        plain_answer(status, reason)
    }
}
