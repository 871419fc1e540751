//! The HTTP interface of a stand-in engine.

use std::sync::Arc;
use std::time::Duration;

use bitternlead::engine::{EngineOrder, KvTransfer};
use bitternlead::http::{json, parse_json, read_body, respond};
use futures::StreamExt;
use serde_json::{Value, json};
use viz::{Body, Bytes, Request, RequestExt, Response, Router, StatusCode};

use crate::engine::{Ask, Produced, StandInEngine};

const MAX_BODY: usize = 64 * 1024 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(60);

/// Builds the routes of an engine.
pub fn build_router(engine: Arc<StandInEngine>) -> Router {
    let route = |f: fn(Arc<StandInEngine>, Request) -> Reply| {
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
        .get("/load", route(|e, _| Box::pin(async move { ok(&e.lagged_load()) })))
        .get("/true-load", route(|e, _| Box::pin(async move { ok(&e.true_load()) })))
        .get("/cache-events", route(|e, r| Box::pin(events(e, r))))
        .post("/orders", route(|e, r| Box::pin(order(e, r))))
        .get("/orders", route(|e, _| Box::pin(async move { ok(&e.order_log()) })))
        .post("/kv/prefill", route(|e, r| Box::pin(prefill(e, r))))
        .get("/imports", route(|e, _| Box::pin(async move { ok(&e.imports()) })))
        .post("/kv/export", route(|e, r| Box::pin(export(e, r))))
        .post("/kv/import", route(|e, r| Box::pin(import(e, r))))
}

type Reply = std::pin::Pin<Box<dyn Future<Output = Response> + Send>>;

fn ok<T: serde::Serialize>(value: &T) -> Response {
    json(StatusCode::OK, value)
}

async fn read(mut req: Request) -> Value {
    let body = read_body(&mut req, MAX_BODY, BODY_LIMIT).await.unwrap_or_default();
    parse_json(&body).unwrap_or_default()
}

fn prompt_of(body: &Value, chat: bool) -> String {
    if !chat {
        return body["prompt"].as_str().unwrap_or_default().to_owned();
    }
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    let texts = messages.iter().map(|m| m["content"].as_str().unwrap_or_default());
    texts.collect::<Vec<_>>().join("\n")
}

async fn complete(engine: Arc<StandInEngine>, req: Request, chat: bool) -> Response {
    let id: String = req.header("x-request-id").unwrap_or_default();
    let priority: u32 = req.header("x-priority").unwrap_or(0);
    let body = read(req).await;
    let prompt = prompt_of(&body, chat);
    let output = body["max_tokens"].as_u64().unwrap_or(16);
    let rx = match engine.ask(Ask { id, prompt, output, priority, hold: false }) {
        Ok(rx) => rx,
        Err(e) => return json(StatusCode::BAD_REQUEST, &json!({ "error": e })),
    };
    let stream = futures::stream::unfold(rx, |mut rx| async move {
        let produced = rx.recv().await?;
        Some((produced, rx))
    });
    let events = stream.map(move |p| Ok::<_, std::io::Error>(event(p, chat)));
    let mut response = respond(StatusCode::OK, "text/event-stream", Bytes::new());
    *response.body_mut() = Body::from_stream(events);
    response
}

fn event(produced: Produced, chat: bool) -> Bytes {
    let text = match produced {
        Produced::Token(text) if chat => {
            let choice = json!({ "delta": { "content": text }, "finish_reason": null });
            format!("data: {}\n\n", json!({ "choices": [choice] }))
        }
        Produced::Token(text) => {
            let choice = json!({ "text": text, "finish_reason": null });
            format!("data: {}\n\n", json!({ "choices": [choice] }))
        }
        Produced::End { reason, cached } => {
            let choice = json!({ "text": "", "finish_reason": reason });
            let usage = json!({ "prompt_tokens_details": { "cached_tokens": cached } });
            let last = json!({ "choices": [choice], "usage": usage });
            format!("data: {last}\n\ndata: [DONE]\n\n")
        }
        Produced::Cancelled => "data: {\"error\":\"cancelled\"}\n\n".to_owned(),
    };
    Bytes::from(text)
}

async fn cancel(engine: Arc<StandInEngine>, req: Request) -> Response {
    let body = read(req).await;
    engine.cancel(body["request_id"].as_str().unwrap_or_default());
    ok(&json!({ "freed": true }))
}

async fn events(engine: Arc<StandInEngine>, req: Request) -> Response {
    let query = req.uri().query().unwrap_or_default();
    let from = query.strip_prefix("from=").and_then(|n| n.parse().ok()).unwrap_or(0);
    ok(&engine.events(from))
}

async fn order(engine: Arc<StandInEngine>, req: Request) -> Response {
    let body = read(req).await;
    let order: EngineOrder = serde_json::from_value(body).unwrap_or_default();
    match engine.order(order).await {
        true => ok(&json!({})),
        false => json(StatusCode::CONFLICT, &json!({ "error": "old order" })),
    }
}

async fn export(engine: Arc<StandInEngine>, req: Request) -> Response {
    let body = read(req).await;
    let id = body["request_id"].as_str().unwrap_or_default().to_owned();
    match engine.held_tokens(&id) {
        Some(tokens) => ok(&KvTransfer { id, from: String::new(), tokens }),
        None => json(StatusCode::NOT_FOUND, &json!({ "error": "not held" })),
    }
}

async fn import(engine: Arc<StandInEngine>, req: Request) -> Response {
    let body = read(req).await;
    let tokens = body["source"]["tokens"].as_u64().unwrap_or(0);
    engine.import(body["request_id"].as_str().unwrap_or_default(), tokens);
    ok(&json!({}))
}

/// Reads a part of a prompt and answers once it is held.
async fn prefill(engine: Arc<StandInEngine>, req: Request) -> Response {
    let id: String = req.header("x-request-id").unwrap_or_default();
    let priority: u32 = req.header("x-priority").unwrap_or(0);
    let prompt = prompt_of(&read(req).await, false);
    let ask = Ask { id, prompt, output: 0, priority, hold: true };
    let mut rx = match engine.ask(ask) {
        Ok(rx) => rx,
        Err(e) => return json(StatusCode::BAD_REQUEST, &json!({ "error": e })),
    };
    match rx.recv().await {
        Some(Produced::End { .. }) => ok(&json!({})),
        _ => json(StatusCode::CONFLICT, &json!({ "error": "cancelled" })),
    }
}
