//! HTTP API for clients: completions, chat completions, the list of models, and services.

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
use super::filter::{self, FilterChain, FilterState};
use super::openai::{self, CompletionRequest, ResponseFormat};
use super::prefix::PrefixChain;
use super::request::{Job, JobPayload};
use super::service_calls::call_service;
use crate::clock::wall_ms;
use crate::event;
use crate::http::{json, read_body, respond};
use crate::metrics::{ClassLabels, ReasonLabels, RequestLabels};
use crate::prompt_class::PromptClass;

/// Response header with the outcome of the request: `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "bitternlead-outcome";

/// Configuration of the client API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClientApiConfig {
    /// Largest accepted request body, in bytes.
    pub max_body: usize,
    /// Longest time to receive a request body.
    pub body_timeout: Duration,
}

impl Default for ClientApiConfig {
    fn default() -> Self {
        Self { max_body: 16 * 1024 * 1024, body_timeout: Duration::from_secs(30) }
    }
}

/// State shared by all HTTP handlers.
pub struct ClientApi {
    /// Runs the requests that pass the filters.
    pub driver: Arc<Driver>,
    /// Counts requests and missed objectives for the burn rates.
    pub burn: Arc<BurnMeter>,
    /// Limits for request bodies.
    pub cfg: ClientApiConfig,
    /// Filters that run before the body is read.
    pub header_filters: FilterChain,
    /// Filters that need the parsed body.
    pub body_filters: FilterChain,
    /// Cancelled at shutdown; in-flight requests are abandoned then.
    pub cx: CancellationToken,
}

/// Id and start time of an HTTP request; counts as in flight until dropped.
pub(super) struct RequestContext {
    pub(super) api: Arc<ClientApi>,
    pub(super) id: SmolStr,
    pub(super) started: Instant,
}

/// Builds the HTTP router of the client API.
pub fn build_router(api: Arc<ClientApi>) -> Router {
    let completions = {
        let api = Arc::clone(&api);
        move |req| complete(Arc::clone(&api), req, false)
    };
    let chat = {
        let api = Arc::clone(&api);
        move |req| complete(Arc::clone(&api), req, true)
    };
    let models = {
        let api = Arc::clone(&api);
        move |req| list_models(Arc::clone(&api), req)
    };
    let service = move |req| call_service(Arc::clone(&api), req);
    Router::new()
        .post("/v1/completions", completions)
        .post("/v1/chat/completions", chat)
        .get("/v1/models", models)
        .any("/services/:name", service.clone())
        .any("/services/:name/*", service)
}

impl RequestContext {
    pub(super) fn new(api: &Arc<ClientApi>) -> Self {
        let id = format_smolstr!("req-{:016x}{:04x}", rand::random::<u64>(), wall_ms() as u16);
        api.driver.node.metrics.in_flight.inc();
        Self { api: Arc::clone(api), id, started: Instant::now() }
    }

    /// Builds the input of the filter chain.
    pub(super) fn state(&self, req: &Request) -> FilterState {
        let bearer: Option<String> = req.header("authorization");
        let driver = &self.api.driver;
        FilterState {
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
        let cfg = &self.api.cfg;
        read_body(req, cfg.max_body, cfg.body_timeout)
            .await
            .map_err(|e| Failure::not_run(e.status(), "bad_body", e.to_string()))
    }

    /// Adds the outcome and the request id to the response headers.
    pub(super) fn add_headers(&self, response: &mut Response, outcome: Outcome) {
        let headers = response.headers_mut();
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
        if let Ok(id) = HeaderValue::from_str(&self.id) {
            headers.insert("x-request-id", id);
        }
    }

    /// Logs and counts a failure, and builds its error response.
    pub(super) fn fail(&self, failure: &Failure) -> Response {
        let driver = &self.api.driver;
        let reason = failure.code.to_owned();
        driver.node.metrics.refusals.get_or_create(&ReasonLabels { reason }).inc();
        event!(driver.node.log, RequestRefused, "request" => self.id.as_str(),
            "code" => failure.code, "message" => failure.message.clone());
        let mut response = json(failure.status, &openai::error_body(failure, &self.id));
        self.add_headers(&mut response, failure.outcome);
        if let Some(after) = failure.retry_after {
            let seconds = after.as_secs_f64().ceil().max(1.0) as u64;
            response.headers_mut().insert("retry-after", seconds.into());
        }
        response
    }

    /// Records the result of a request that passed the filters in the metrics and burn counts.
    pub(super) fn record_end(&self, job: &JobInfo, outcome: &str, first_token: Option<Duration>) {
        let metrics = &self.api.driver.node.metrics;
        let class = PromptClass::of(job.prompt_tokens).name().to_owned();
        let outcome = outcome.to_owned();
        metrics.requests.get_or_create(&RequestLabels { outcome, class: class.clone() }).inc();
        if let Some(ttft) = first_token {
            let labels = ClassLabels { class };
            metrics.first_token.get_or_create(&labels).observe(ttft.as_secs_f64());
        }
        self.api.burn.record(&job.workspace, job.prompt_tokens, first_token);
    }
}

impl Drop for RequestContext {
    fn drop(&mut self) {
        self.api.driver.node.metrics.in_flight.dec();
    }
}

/// Properties of a job that metrics need after the driver has taken the job.
pub(super) struct JobInfo {
    pub(super) workspace: Arc<crate::config::Workspace>,
    pub(super) prompt_tokens: u64,
}

async fn complete(api: Arc<ClientApi>, mut req: Request, chat: bool) -> viz::Result<Response> {
    let context = RequestContext::new(&api);
    let mut state = context.state(&req);
    let prepared = prepare_completion(&context, &mut req, &mut state, chat).await;
    let (parsed, job) = match prepared {
        Ok(prepared) => prepared,
        Err(failure) => return Ok(context.fail(&failure)),
    };
    let info = JobInfo { workspace: job.workspace.clone(), prompt_tokens: job.prompt_tokens };
    let response_format = ResponseFormat {
        id: context.id.clone(),
        model: parsed.model,
        chat,
        created: wall_ms() / 1000,
    };
    let rx = api.driver.start(job, 0, api.cx.clone());
    Ok(match parsed.stream {
        true => streamed_response(context, info, response_format, rx).await,
        false => full_response(context, info, response_format, rx).await,
    })
}

async fn prepare_completion(
    context: &RequestContext,
    req: &mut Request,
    state: &mut FilterState,
    chat: bool,
) -> Result<(CompletionRequest, Job), Failure> {
    filter::run(&context.api.header_filters, state)?;
    let body = context.read(req).await?;
    let parsed = openai::parse(&body, chat)?;
    drop(body);
    state.target = parsed.model.clone();
    state.prompt_tokens = parsed.prompt_tokens;
    filter::run(&context.api.body_filters, state)?;
    let payload = JobPayload::Completion { body: parsed.body.clone(), chat };
    let job = build_job(context, state, payload, parsed.output_tokens, parsed.chain.clone())?;
    Ok((parsed, job))
}

/// Builds the job of a request that passed all filters.
pub(super) fn build_job(
    context: &RequestContext,
    state: &mut FilterState,
    payload: JobPayload,
    output_tokens: u64,
    chain: PrefixChain,
) -> Result<Job, Failure> {
    let (Some(workspace), Some(permit)) = (state.workspace.take(), state.permit.take()) else {
        let text = "the filter chain granted no permit";
        return Err(Failure::not_run(StatusCode::INTERNAL_SERVER_ERROR, "internal", text));
    };
    let deadline = state.node.now() + Duration::from_millis(workspace.deadline_ms);
    Ok(Job {
        request: context.id.clone(),
        workspace,
        target: state.target.clone(),
        prompt_tokens: state.prompt_tokens,
        output_tokens,
        chain,
        deadline,
        payload,
        permit,
    })
}

async fn full_response(
    context: RequestContext,
    info: JobInfo,
    response_format: ResponseFormat,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Response {
    let mut text = Vec::new();
    let mut first_token = None;
    while let Some(response_event) = rx.recv().await {
        match response_event {
            ResponseEvent::Data(data) => {
                first_token.get_or_insert_with(|| context.started.elapsed());
                text.extend_from_slice(&data);
            }
            ResponseEvent::Head { .. } => {}
            ResponseEvent::Done { finish, tokens } => {
                context.record_end(&info, "done", first_token);
                let text = String::from_utf8_lossy(&text);
                let answer =
                    response_format.full_object(&text, &finish, info.prompt_tokens, tokens);
                let mut response = json(StatusCode::OK, &answer);
                context.add_headers(&mut response, Outcome::Done);
                return response;
            }
            ResponseEvent::Failed(failure) => {
                context.record_end(&info, failure.outcome.name(), None);
                return context.fail(&failure);
            }
        }
    }
    context.fail(&missing_result())
}

/// Failure of a request whose driver task ended without a final event.
pub(super) fn missing_result() -> Failure {
    let text = "the request ended without its final answer";
    Failure::unknown(StatusCode::INTERNAL_SERVER_ERROR, "internal", text)
}

/// State of a streamed response between two events.
struct StreamState {
    context: RequestContext,
    info: JobInfo,
    response_format: ResponseFormat,
    rx: mpsc::Receiver<ResponseEvent>,
    first: Option<ResponseEvent>,
    first_token: Duration,
    ended: bool,
}

async fn streamed_response(
    context: RequestContext,
    info: JobInfo,
    response_format: ResponseFormat,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Response {
    let first = match rx.recv().await {
        Some(ResponseEvent::Failed(failure)) => {
            context.record_end(&info, failure.outcome.name(), None);
            return context.fail(&failure);
        }
        Some(first) => first,
        None => return context.fail(&missing_result()),
    };
    let mut response = respond(StatusCode::OK, "text/event-stream", Bytes::new());
    if let Ok(id) = HeaderValue::from_str(&context.id) {
        response.headers_mut().insert("x-request-id", id);
    }
    let first_token = context.started.elapsed();
    let state = StreamState {
        context,
        info,
        response_format,
        rx,
        first: Some(first),
        first_token,
        ended: false,
    };
    let events = stream::unfold(state, next_event).map(Ok::<Bytes, std::io::Error>);
    *response.body_mut() = Body::from_stream(events);
    response
}

async fn next_event(mut state: StreamState) -> Option<(Bytes, StreamState)> {
    if state.ended {
        return None;
    }
    let response_event = match state.first.take() {
        Some(first) => Some(first),
        None => state.rx.recv().await,
    };
    let text = match response_event {
        Some(ResponseEvent::Data(data)) => {
            state.response_format.event(&String::from_utf8_lossy(&data))
        }
        Some(ResponseEvent::Head { .. }) => String::new(),
        Some(ResponseEvent::Done { finish, tokens }) => {
            state.ended = true;
            state.context.record_end(&state.info, "done", Some(state.first_token));
            state.response_format.final_events(&finish, state.info.prompt_tokens, tokens)
        }
        Some(ResponseEvent::Failed(failure)) => state.fail(&failure),
        None => state.fail(&missing_result()),
    };
    Some((Bytes::from(text), state))
}

impl StreamState {
    /// Returns the last event of a failed stream, which is never followed by `[DONE]`.
    fn fail(&mut self, failure: &Failure) -> String {
        self.ended = true;
        self.context.record_end(&self.info, failure.outcome.name(), None);
        format!("data: {}\n\n", openai::error_body(failure, &self.context.id))
    }
}

async fn list_models(api: Arc<ClientApi>, req: Request) -> viz::Result<Response> {
    let context = RequestContext::new(&api);
    let mut state = context.state(&req);
    if let Err(failure) = filter::run(&api.header_filters, &mut state) {
        return Ok(context.fail(&failure));
    }
    let config = api.driver.node.config();
    let view = &api.driver.view;
    let served = config.models.keys().filter(|m| view.serves(m));
    let data: Vec<_> = served
        .map(|m| json!({ "id": m.as_str(), "object": "model", "owned_by": "bitternlead" }))
        .collect();
    let mut response = json(StatusCode::OK, &json!({ "object": "list", "data": data }));
    context.add_headers(&mut response, Outcome::Done);
    Ok(response)
}
