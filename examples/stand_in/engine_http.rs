//! HTTP interface of an emulated engine.
//!
//! The completion paths follow the OpenAI API and stream their answers as server-sent events.

use std::sync::Arc;
use std::time::Duration;

use bitternlead::engine::{EngineOrder, KvTransfer};
use bitternlead::http::{json, parse_json, read_body, respond};
use futures::StreamExt;
use serde_json::{Value, json};
use viz::{Body, Bytes, Request, RequestExt, Response, Router, StatusCode};

use crate::engine::{CompletionEvent, CompletionRequest, EmulatedEngine};

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Deadline for reading a request body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(60);

/// Builds the HTTP routes of an engine.
///
/// `/true-load`, `/imports` and `GET /orders` exist for tests only; the server under test calls the
/// others.
pub fn build_router(engine: Arc<EmulatedEngine>) -> Router {
    let route = |f: fn(Arc<EmulatedEngine>, Request) -> HandlerFuture| {
        let engine = Arc::clone(&engine);
        move |req: Request| {
            let engine = Arc::clone(&engine);
            async move { viz::Result::Ok(f(engine, req).await) }
        }
    };
    Router::new()
        .post("/v1/completions", route(|e, r| Box::pin(complete(e, r, false))))
        .post("/v1/chat/completions", route(|e, r| Box::pin(complete(e, r, true))))
        .post("/cancel", route(|e, r| Box::pin(cancel(e, r))))
        .get("/load", route(|e, _| Box::pin(async move { ok(&e.reported_load()) })))
        .get("/true-load", route(|e, _| Box::pin(async move { ok(&e.current_load()) })))
        .get("/cache-events", route(|e, r| Box::pin(events(e, r))))
        .post("/orders", route(|e, r| Box::pin(order(e, r))))
        .get("/orders", route(|e, _| Box::pin(async move { ok(&e.accepted_orders()) })))
        .post("/kv/prefill", route(|e, r| Box::pin(prefill(e, r))))
        .get("/imports", route(|e, _| Box::pin(async move { ok(&e.imported_tokens_by_id()) })))
        .post("/kv/export", route(|e, r| Box::pin(export(e, r))))
        .post("/kv/import", route(|e, r| Box::pin(import(e, r))))
}

/// Boxed future of a handler, so that all routes have one type.
type HandlerFuture = std::pin::Pin<Box<dyn Future<Output = Response> + Send>>;

fn ok<T: serde::Serialize>(value: &T) -> Response {
    json(StatusCode::OK, value)
}

/// Reads a JSON body; a body that is incomplete or not JSON gives `null`.
async fn read_json(mut req: Request) -> Value {
    let body = read_body(&mut req, MAX_BODY_BYTES, BODY_READ_TIMEOUT).await.unwrap_or_default();
    parse_json(&body).unwrap_or_default()
}

/// Returns the prompt of a completion, or the contents of all messages of a chat, one per line.
fn extract_prompt(body: &Value, chat: bool) -> String {
    if !chat {
        return body["prompt"].as_str().unwrap_or_default().to_owned();
    }
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts = messages.iter().map(|m| m["content"].as_str().unwrap_or_default());
    texts.collect::<Vec<_>>().join("\n")
}

async fn complete(engine: Arc<EmulatedEngine>, req: Request, chat: bool) -> Response {
    let id: String = req.header("x-request-id").unwrap_or_default();
    let priority: u32 = req.header("x-priority").unwrap_or(0);
    let body = read_json(req).await;
    let prompt = extract_prompt(&body, chat);
    let output_tokens = body["max_tokens"].as_u64().unwrap_or(16);
    let rx = match engine.submit(CompletionRequest {
        id,
        prompt,
        output_tokens,
        priority,
        hold_after_prefill: false,
    }) {
        Ok(rx) => rx,
        Err(e) => return json(StatusCode::BAD_REQUEST, &json!({ "error": e })),
    };
    let stream = futures::stream::unfold(rx, |mut rx| async move {
        let completion_event = rx.recv().await?;
        Some((completion_event, rx))
    });
    let events = stream.map(move |p| Ok::<_, std::io::Error>(encode_event(p, chat)));
    let mut response = respond(StatusCode::OK, "text/event-stream", Bytes::new());
    *response.body_mut() = Body::from_stream(events);
    response
}

/// Encodes an event as a server-sent event of a completion or chat completion.
fn encode_event(completion_event: CompletionEvent, chat: bool) -> Bytes {
    let text = match completion_event {
        CompletionEvent::Token(text) if chat => {
            let choice = json!({ "delta": { "content": text }, "finish_reason": null });
            format!("data: {}\n\n", json!({ "choices": [choice] }))
        }
        CompletionEvent::Token(text) => {
            let choice = json!({ "text": text, "finish_reason": null });
            format!("data: {}\n\n", json!({ "choices": [choice] }))
        }
        CompletionEvent::Finished { reason, cached_tokens } => {
            let choice = json!({ "text": "", "finish_reason": reason });
            let usage = json!({ "prompt_tokens_details": { "cached_tokens": cached_tokens } });
            let last = json!({ "choices": [choice], "usage": usage });
            format!("data: {last}\n\ndata: [DONE]\n\n")
        }
        CompletionEvent::Cancelled => "data: {\"error\":\"cancelled\"}\n\n".to_owned(),
    };
    Bytes::from(text)
}

async fn cancel(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let body = read_json(req).await;
    engine.cancel(body["request_id"].as_str().unwrap_or_default());
    ok(&json!({ "freed": true }))
}

async fn events(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let from = query.strip_prefix("from=").and_then(|n| n.parse().ok()).unwrap_or(0);
    ok(&engine.events(from))
}

async fn order(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let body = read_json(req).await;
    let order: EngineOrder = serde_json::from_value(body).unwrap_or_default();
    match engine.order(order).await {
        true => ok(&json!({})),
        false => json(StatusCode::CONFLICT, &json!({ "error": "old order" })),
    }
}

async fn export(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let body = read_json(req).await;
    let id = body["request_id"].as_str().unwrap_or_default().to_owned();
    match engine.held_tokens(&id) {
        Some(tokens) => ok(&KvTransfer { id, from: String::new(), tokens }),
        None => json(StatusCode::NOT_FOUND, &json!({ "error": "not held" })),
    }
}

async fn import(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let body = read_json(req).await;
    let tokens = body["source"]["tokens"].as_u64().unwrap_or(0);
    engine.record_import(body["request_id"].as_str().unwrap_or_default(), tokens);
    ok(&json!({}))
}

/// Prefills a part of a prompt and responds once its KV memory is held.
async fn prefill(engine: Arc<EmulatedEngine>, req: Request) -> Response {
    let id: String = req.header("x-request-id").unwrap_or_default();
    let priority: u32 = req.header("x-priority").unwrap_or(0);
    let prompt = extract_prompt(&read_json(req).await, false);
    let submission =
        CompletionRequest { id, prompt, output_tokens: 0, priority, hold_after_prefill: true };
    let mut rx = match engine.submit(submission) {
        Ok(rx) => rx,
        Err(e) => return json(StatusCode::BAD_REQUEST, &json!({ "error": e })),
    };
    match rx.recv().await {
        Some(CompletionEvent::Finished { .. }) => ok(&json!({})),
        _ => json(StatusCode::CONFLICT, &json!({ "error": "cancelled" })),
    }
}
