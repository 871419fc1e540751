//! Calls to services. Idempotent calls are sent at once; others claim their idempotency key first.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;
use smol_str::format_smolstr;
use tokio::sync::mpsc;
use viz::header::HeaderValue;
use viz::{Request, RequestExt, Response, StatusCode};

use super::client_api::{ClientApi, JobInfo, RequestContext, build_job, missing_result};
use super::driver::ResponseEvent;
use super::failure::{Failure, Outcome};
use super::filter::{self, FilterState};
use super::idempotency::{self, ClaimOutcome};
use super::prefix::PrefixChain;
use super::request::{Job, JobPayload};
use crate::event;
use crate::http::{json, respond};
use crate::wire::Settle;

/// Request header with the idempotency key of a call; without it, the request id is the key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Handles a call to a service.
pub(super) async fn call_service(api: Arc<ClientApi>, mut req: Request) -> viz::Result<Response> {
    let context = RequestContext::new(&api);
    let mut state = context.state(&req);
    let job = match prepare_service(&context, &mut req, &mut state).await {
        Ok(job) => job,
        Err(failure) => return Ok(context.fail(&failure)),
    };
    // A separate task, so that the call continues until its outcome is recorded even if the client
    // disconnects.
    let task = tokio::spawn(run_service(context, job));
    match task.await {
        Ok(response) => Ok(response),
        Err(_) => Ok(json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": "internal" }))),
    }
}

async fn run_service(context: RequestContext, job: Job) -> Response {
    let api = Arc::clone(&context.api);
    let node = Arc::clone(&api.driver.node);
    let info = JobInfo { workspace: job.workspace.clone(), prompt_tokens: 0 };
    if job.is_idempotent() {
        let rx = api.driver.start(job, 0, api.cx.clone());
        return collect_service_response(&context, &info, rx)
            .await
            .unwrap_or_else(|f| context.fail(&f));
    }
    let claim = match idempotency::claim(&node, &job).await {
        ClaimOutcome::Granted(claim) => claim,
        ClaimOutcome::Replayed(settled) => return replay_response(&context, settled),
        ClaimOutcome::Rejected(failure) => return context.fail(&failure),
    };
    let release = idempotency::ClaimRelease::new(&job, claim);
    let rx = api.driver.start(job, claim, api.cx.clone());
    match collect_service_response(&context, &info, rx).await {
        Ok(response) => response,
        Err(failure) => {
            if failure.outcome == Outcome::NotRun {
                release.spawn(&node);
            } else {
                event!(node.log, OutcomeUnknown, "request" => context.id.as_str());
            }
            context.fail(&failure)
        }
    }
}

async fn prepare_service(
    context: &RequestContext,
    req: &mut Request,
    state: &mut FilterState,
) -> Result<Job, Failure> {
    filter::run(&context.api.header_filters, state)?;
    let name_and_path = req.uri().path().strip_prefix("/services/").unwrap_or_default().to_owned();
    let (name, path) = match name_and_path.split_once('/') {
        Some((name, path)) => (name.to_owned(), format!("/{path}")),
        None => (name_and_path, "/".to_owned()),
    };
    let body = context.read(req).await?;
    state.target = format_smolstr!("service:{name}");
    filter::run(&context.api.body_filters, state)?;
    let method = req.method().as_str().to_owned();
    let idempotent = state.node.config().is_idempotent(&name, &method, &path);
    let given: Option<String> = req.header(IDEMPOTENCY_KEY_HEADER);
    let key = match given {
        Some(key) if key.is_empty() || key.len() > 255 => {
            let text = "Idempotency-Key has to have 1 to 255 bytes";
            return Err(Failure::not_run(StatusCode::BAD_REQUEST, "bad_key", text));
        }
        Some(key) => key,
        None => context.id.to_string(),
    };
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let content_type = req.header("content-type").unwrap_or_default();
    let payload = JobPayload::Service { method, path, content_type, body, key, idempotent };
    build_job(context, state, payload, 0, PrefixChain::default())
}

async fn collect_service_response(
    context: &RequestContext,
    info: &JobInfo,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Result<Response, Failure> {
    let mut head = (502, String::new());
    let mut body = Vec::new();
    while let Some(response_event) = rx.recv().await {
        match response_event {
            ResponseEvent::Head { status, content_type } => head = (status, content_type),
            ResponseEvent::Data(data) => body.extend_from_slice(&data),
            ResponseEvent::Done { .. } => {
                context.record_end(info, "done", Some(context.started.elapsed()));
                return Ok(build_response(context, head.0, &head.1, body));
            }
            ResponseEvent::Failed(failure) => {
                context.record_end(info, failure.outcome.name(), None);
                return Err(failure);
            }
        }
    }
    Err(missing_result())
}

fn build_response(
    context: &RequestContext,
    status: u16,
    content_type: &str,
    body: impl Into<Bytes>,
) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = respond(status, content_type, body);
    context.add_headers(&mut response, Outcome::Done);
    response
}

/// Builds the response from the recorded one of an earlier call with the same key.
fn replay_response(context: &RequestContext, settled: Settle) -> Response {
    let status = u16::try_from(settled.status).unwrap_or(502);
    let mut response = build_response(context, status, &settled.content_type, settled.body);
    response.headers_mut().insert("bitternlead-replayed", HeaderValue::from_static("true"));
    response
}
