//! Calls of plain services: idempotent ones are driven at once, others claim their key first.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;
use smol_str::format_smolstr;
use tokio::sync::mpsc;
use viz::header::HeaderValue;
use viz::{Request, RequestExt, Response, StatusCode};

use super::booking::{self, Claimed};
use super::callers::{Callers, JobFacts, Ticket, broken, build_job};
use super::driver::ResponseEvent;
use super::failure::{Failure, Outcome};
use super::filter::{self, RequestState};
use super::prefix::PrefixChain;
use super::request::{Job, Work};
use crate::event;
use crate::http::{json, respond};
use crate::wire::Settle;

/// Header that names the idempotency key of a call.
pub const KEY_HEADER: &str = "idempotency-key";

/// Takes a call of a plain service.
pub(super) async fn call_service(callers: Arc<Callers>, mut req: Request) -> viz::Result<Response> {
    let ticket = Ticket::new(&callers);
    let mut state = ticket.state(&req);
    let job = match prepare_service(&ticket, &mut req, &mut state).await {
        Ok(job) => job,
        Err(failure) => return Ok(ticket.fail(&failure)),
    };
    // A booking goes on to its recorded end even if its caller leaves.
    let finished = tokio::spawn(run_service(ticket, job));
    match finished.await {
        Ok(response) => Ok(response),
        Err(_) => Ok(json(StatusCode::INTERNAL_SERVER_ERROR, &json!({ "error": "internal" }))),
    }
}

async fn run_service(ticket: Ticket, job: Job) -> Response {
    let callers = Arc::clone(&ticket.callers);
    let node = Arc::clone(&callers.driver.node);
    let facts = JobFacts { workspace: job.workspace.clone(), prompt_tokens: 0 };
    if job.is_idempotent() {
        let rx = callers.driver.start(job, 0, callers.cx.clone());
        return service_answer(&ticket, &facts, rx).await.unwrap_or_else(|f| ticket.fail(&f));
    }
    let claim = match booking::claim(&node, &job).await {
        Claimed::Granted(claim) => claim,
        Claimed::Answered(settled) => return replay(&ticket, settled),
        Claimed::Failed(failure) => return ticket.fail(&failure),
    };
    let releasing = booking::Release::of(&job, claim);
    let rx = callers.driver.start(job, claim, callers.cx.clone());
    match service_answer(&ticket, &facts, rx).await {
        Ok(response) => response,
        Err(failure) => {
            if failure.outcome == Outcome::NotRun {
                releasing.spawn(&node);
            } else {
                event!(node.log, OutcomeUnknown, "request" => ticket.id.as_str());
            }
            ticket.fail(&failure)
        }
    }
}

async fn prepare_service(
    ticket: &Ticket,
    req: &mut Request,
    state: &mut RequestState,
) -> Result<Job, Failure> {
    filter::run(&ticket.callers.head, state)?;
    let rest = req.uri().path().strip_prefix("/services/").unwrap_or_default().to_owned();
    let (name, path) = match rest.split_once('/') {
        Some((name, path)) => (name.to_owned(), format!("/{path}")),
        None => (rest, "/".to_owned()),
    };
    let body = ticket.read(req).await?;
    state.target = format_smolstr!("service:{name}");
    filter::run(&ticket.callers.body, state)?;
    let method = req.method().as_str().to_owned();
    let idempotent = state.node.config().is_idempotent(&name, &method, &path);
    let given: Option<String> = req.header(KEY_HEADER);
    let key = match given {
        Some(key) if key.is_empty() || key.len() > 255 => {
            let text = "Idempotency-Key has to have 1 to 255 bytes";
            return Err(Failure::not_run(StatusCode::BAD_REQUEST, "bad_key", text));
        }
        Some(key) => key,
        None => ticket.id.to_string(),
    };
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let content_type = req.header("content-type").unwrap_or_default();
    let work = Work::Service { method, path, content_type, body, key, idempotent };
    build_job(ticket, state, work, 0, PrefixChain::default())
}

async fn service_answer(
    ticket: &Ticket,
    facts: &JobFacts,
    mut rx: mpsc::Receiver<ResponseEvent>,
) -> Result<Response, Failure> {
    let mut head = (502, String::new());
    let mut body = Vec::new();
    while let Some(response_event) = rx.recv().await {
        match response_event {
            ResponseEvent::Head { status, content_type } => head = (status, content_type),
            ResponseEvent::Data(data) => body.extend_from_slice(&data),
            ResponseEvent::Done { .. } => {
                ticket.count(facts, "done", Some(ticket.started.elapsed()));
                return Ok(answer(ticket, head.0, &head.1, body));
            }
            ResponseEvent::Failed(failure) => {
                ticket.count(facts, failure.outcome.name(), None);
                return Err(failure);
            }
        }
    }
    Err(broken())
}

fn answer(ticket: &Ticket, status: u16, content_type: &str, body: impl Into<Bytes>) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = respond(status, content_type, body);
    ticket.mark(&mut response, Outcome::Done);
    response
}

/// The recorded answer of an earlier call with the same key.
fn replay(ticket: &Ticket, settled: Settle) -> Response {
    let status = u16::try_from(settled.status).unwrap_or(502);
    let mut response = answer(ticket, status, &settled.content_type, settled.body);
    response.headers_mut().insert("bitternlead-replayed", HeaderValue::from_static("true"));
    response
}
