//! The callers' HTTP interface.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use viz::header::HeaderValue;
use viz::{Body, Request, RequestExt, Response, Router, StatusCode};

use super::burn_meter::BurnMeter;
use super::driver::{Driver, ResponseEvent};
use super::failure::{Failure, Outcome};
use super::filter::{self, Chain, RequestState};
use super::openai::{self, AnswerShape, CompletionRequest};
use super::prefix::PrefixChain;
use super::request::{Job, Work};
use super::service_calls::call_service;
use crate::clock::wall_ms;
use crate::event;
use crate::http::{json, read_body, respond};
use crate::metrics::{ClassLabels, ReasonLabels, RequestLabels};
use crate::prompt_class::PromptClass;

/// Header that tells how a request ended.
pub const OUTCOME_HEADER: &str = "bitternlead-outcome";

/// Settings of the callers' interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallersConfig {
    /// Largest body in bytes.
    pub max_body: usize,
    /// Longest time for a body.
    pub body_limit: Duration,
}

impl Default for CallersConfig {
    fn default() -> Self {
        Self { max_body: 16 * 1024 * 1024, body_limit: Duration::from_secs(30) }
    }
}

/// What the handlers share.
pub struct Callers {
    /// Drives requests.
    pub driver: Arc<Driver>,
    /// Counts for the burn report.
    pub burn: Arc<BurnMeter>,
    /// Settings.
    pub cfg: CallersConfig,
    /// Filters before the body.
    pub head: Chain,
    /// Filters after the body.
    pub body: Chain,
    /// Cancelled when requests under way have to end.
    pub cx: CancellationToken,
}

/// A request that is counted until it ends.
pub(super) struct Ticket {
    pub(super) callers: Arc<Callers>,
    pub(super) id: SmolStr,
    pub(super) started: Instant,
}

/// Builds the routes.
pub fn build_router(callers: Arc<Callers>) -> Router {
    let completions = {
        let callers = Arc::clone(&callers);
        move |req| complete(Arc::clone(&callers), req, false)
    };
    let chat = {
        let callers = Arc::clone(&callers);
        move |req| complete(Arc::clone(&callers), req, true)
    };
    let models = {
        let callers = Arc::clone(&callers);
        move |req| list_models(Arc::clone(&callers), req)
    };
    let service = move |req| call_service(Arc::clone(&callers), req);
    Router::new()
        .post("/v1/completions", completions)
        .post("/v1/chat/completions", chat)
        .get("/v1/models", models)
        .any("/services/:name", service.clone())
        .any("/services/:name/*", service)
}

impl Ticket {
    pub(super) fn new(callers: &Arc<Callers>) -> Self {
        let id = format_smolstr!("req-{:016x}{:04x}", rand::random::<u64>(), wall_ms() as u16);
        callers.driver.node.metrics.in_flight.inc();
        Self { callers: Arc::clone(callers), id, started: Instant::now() }
    }

    pub(super) fn state(&self, req: &Request) -> RequestState {
        let bearer: Option<String> = req.header("authorization");
        let driver = &self.callers.driver;
        RequestState {
            node: Arc::clone(&driver.node),
            view: Arc::clone(&driver.view),
            limits: Arc::clone(&driver.limits),
            bearer: bearer.and_then(|b| b.strip_prefix("Bearer ").map(str::to_owned)),
            workspace: None,
            target: SmolStr::default(),
            prompt_tokens: 0,
            permit: None,
        }
    }

    pub(super) async fn read(&self, req: &mut Request) -> Result<Bytes, Failure> {
        let cfg = &self.callers.cfg;
        read_body(req, cfg.max_body, cfg.body_limit)
            .await
            .map_err(|e| Failure::not_run(e.status(), "bad_body", e.to_string()))
    }

    pub(super) fn mark(&self, response: &mut Response, outcome: Outcome) {
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert("x-request-id", id);
        }
    }

    pub(super) fn fail(&self, failure: &Failure) -> Response {
        let driver = &self.callers.driver;
        let reason = failure.code.to_owned();
        driver.node.metrics.refusals.get_or_create(&ReasonLabels { reason }).inc();
        event!(driver.node.log, RequestRefused, "request" => self.id.as_str(),
            "code" => failure.code, "message" => failure.message.clone());
        let mut response = json(failure.status, &openai::error_body(failure, &self.id));
        self.mark(&mut response, failure.outcome);
        if let Some(after) = failure.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            response.headers_mut().insert("retry-after", seconds.into());
        }
        response
    }

    /// Counts the end of a request that passed the filters.
    pub(super) fn count(&self, job: &JobFacts, outcome: &str, first_token: Option<Duration>) {
        let metrics = &self.callers.driver.node.metrics;
        let class = PromptClass::of(job.prompt_tokens).name().to_owned();
        let outcome = outcome.to_owned();
        metrics.requests.get_or_create(&RequestLabels { outcome, class: class.clone() }).inc();
        if let Some(taken) = first_token {
            let labels = ClassLabels { class };
            metrics.first_token.get_or_create(&labels).observe(taken.as_secs_f64());
        }
        self.callers.burn.count(&job.workspace, job.prompt_tokens, first_token);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.callers.driver.node.metrics.in_flight.dec();
    }
}

/// What is needed of a job after it was handed to the driver.
pub(super) struct JobFacts {
    pub(super) workspace: Arc<crate::config::Workspace>,
    pub(super) prompt_tokens: u64,
}

async fn complete(callers: Arc<Callers>, mut req: Request, chat: bool) -> viz::Result<Response> {
    let ticket = Ticket::new(&callers);
    let mut state = ticket.state(&req);
    let prepared = prepare_completion(&ticket, &mut req, &mut state, chat).await;
    let (parsed, job) = match prepared {
        Ok(prepared) => prepared,
        Err(failure) => return Ok(ticket.fail(&failure)),
    };
    let facts = JobFacts { workspace: job.workspace.clone(), prompt_tokens: job.prompt_tokens };
    let shape =
        AnswerShape { id: ticket.id.clone(), model: parsed.model, chat, created: wall_ms() / 1000 };
    let rx = callers.driver.start(job, 0, callers.cx.clone());
    Ok(match parsed.stream {
        true => stream_answer(ticket, facts, shape, rx).await,
        false => whole_answer(ticket, facts, shape, rx).await,
    })
}

async fn prepare_completion(
    ticket: &Ticket,
    req: &mut Request,
    state: &mut RequestState,
    chat: bool,
) -> Result<(CompletionRequest, Job), Failure> {
    filter::run(&ticket.callers.head, state)?;
    let body = ticket.read(req).await?;
    let parsed = openai::parse(&body, chat)?;
    drop(body);
    state.target = parsed.model.clone();
    state.prompt_tokens = parsed.prompt_tokens;
    filter::run(&ticket.callers.body, state)?;
    let work = Work::Completion { body: parsed.body.clone(), chat };
    let job = build_job(ticket, state, work, parsed.output_tokens, parsed.chain.clone())?;
    Ok((parsed, job))
}

pub(super) fn build_job(
    ticket: &Ticket,
    state: &mut RequestState,
    work: Work,
    output_tokens: u64,
    chain: PrefixChain,
) -> Result<Job, Failure> {
    let (Some(workspace), Some(permit)) = (state.workspace.take(), state.permit.take()) else {
        let text = "the filter chain granted no permit";
        return Err(Failure::not_run(StatusCode::INTERNAL_SERVER_ERROR, "internal", text));
    };
    let deadline = state.node.now() + Duration::from_millis(workspace.deadline_ms);
    Ok(Job {
        request: ticket.id.clone(),
        workspace,
        target: state.target.clone(),
        prompt_tokens: state.prompt_tokens,
        output_tokens,
        chain,
        deadline,
        work,
        permit,
    })
}

async fn whole_answer(
    ticket: Ticket,
    facts: JobFacts,
    shape: AnswerShape,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Response {
    let mut text = Vec::new();
    let mut first_token = None;
    while let Some(response_event) = rx.recv().await {
        match response_event {
            ResponseEvent::Data(data) => {
                first_token.get_or_insert_with(|| ticket.started.elapsed());
                text.extend_from_slice(&data);
            }
            ResponseEvent::Head { .. } => {}
            ResponseEvent::Done { finish, tokens } => {
                ticket.count(&facts, "done", first_token);
                let text = String::from_utf8_lossy(&text);
                let answer = shape.whole(&text, &finish, facts.prompt_tokens, tokens);
                let mut response = json(StatusCode::OK, &answer);
                ticket.mark(&mut response, Outcome::Done);
                return response;
            }
            ResponseEvent::Failed(failure) => {
                ticket.count(&facts, failure.outcome.name(), None);
                return ticket.fail(&failure);
            }
        }
    }
    ticket.fail(&broken())
}

pub(super) fn broken() -> Failure {
    let text = "the request ended without its final answer";
    Failure::unknown(StatusCode::INTERNAL_SERVER_ERROR, "internal", text)
}

/// State of a streamed answer.
struct StreamState {
    ticket: Ticket,
    facts: JobFacts,
    shape: AnswerShape,
    rx: mpsc::Receiver<ResponseEvent>,
    first: Option<ResponseEvent>,
    first_token: Duration,
    over: bool,
}

async fn stream_answer(
    ticket: Ticket,
    facts: JobFacts,
    shape: AnswerShape,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Response {
    let first = match rx.recv().await {
        Some(ResponseEvent::Failed(failure)) => {
            ticket.count(&facts, failure.outcome.name(), None);
            return ticket.fail(&failure);
        }
        Some(first) => first,
        None => return ticket.fail(&broken()),
    };
    let mut response = respond(StatusCode::OK, "text/event-stream", Bytes::new());
    if let Ok(id) = HeaderValue::from_str(&ticket.id) {
        response.headers_mut().insert("x-request-id", id);
    }
    let first_token = ticket.started.elapsed();
    let state =
        StreamState { ticket, facts, shape, rx, first: Some(first), first_token, over: false };
    let events = stream::unfold(state, next_event).map(Ok::<Bytes, std::io::Error>);
    *response.body_mut() = Body::from_stream(events);
    response
}

async fn next_event(mut state: StreamState) -> Option<(Bytes, StreamState)> {
    if state.over {
        return None;
    }
    let response_event = match state.first.take() {
        Some(first) => Some(first),
        None => state.rx.recv().await,
    };
    let text = match response_event {
        Some(ResponseEvent::Data(data)) => state.shape.event(&String::from_utf8_lossy(&data)),
        Some(ResponseEvent::Head { .. }) => String::new(),
        Some(ResponseEvent::Done { finish, tokens }) => {
            state.over = true;
            state.ticket.count(&state.facts, "done", Some(state.first_token));
            state.shape.last_events(&finish, state.facts.prompt_tokens, tokens)
        }
        Some(ResponseEvent::Failed(failure)) => state.fail(&failure),
        None => state.fail(&broken()),
    };
    Some((Bytes::from(text), state))
}

impl StreamState {
    /// The last event of a stream that failed; it is never followed by `[DONE]`.
    fn fail(&mut self, failure: &Failure) -> String {
        self.over = true;
        self.ticket.count(&self.facts, failure.outcome.name(), None);
        format!("data: {}\n\n", openai::error_body(failure, &self.ticket.id))
    }
}

async fn list_models(callers: Arc<Callers>, req: Request) -> viz::Result<Response> {
    let ticket = Ticket::new(&callers);
    let mut state = ticket.state(&req);
    if let Err(failure) = filter::run(&callers.head, &mut state) {
        return Ok(ticket.fail(&failure));
    }
    let config = callers.driver.node.config();
    let view = &callers.driver.view;
    let served = config.models.keys().filter(|m| view.serves(m));
    let data: Vec<_> = served
        .map(|m| json!({ "id": m.as_str(), "object": "model", "owned_by": "bitternlead" }))
        .collect();
    let mut response = json(StatusCode::OK, &json!({ "object": "list", "data": data }));
    ticket.mark(&mut response, Outcome::Done);
    Ok(response)
}
