//! Client of a model engine with an OpenAI-style HTTP API.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream::{self, BoxStream, StreamExt};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::http_client::{HttpClient, build_request, interrupted, read_body};
use super::sse::SseReader;
use super::{
    CacheEvent, CallError, Engine, EngineLoad, EngineOrder, GenerateRequest, GeneratedPart,
    KvTransfer,
};
use crate::faults;

/// Timeout for all requests except completions and prefills.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time without data in a completion's stream before it counts as interrupted.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Client of the engine at an address.
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Builds a client; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: HttpClient::new(addr) }
    }

    /// Sends a request and returns the body of a response with status 200.
    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Bytes, CallError> {
        let (status, data) =
            self.client.send_pooled(build_request(method, path, body)?, REQUEST_TIMEOUT).await?;
        if status == 200 { Ok(data) } else { Err(status_error(status, &data)) }
    }

    async fn send_json<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, CallError> {
        let data = self.send(method, path, body).await?;
        serde_json::from_slice(&data).map_err(interrupted)
    }

    /// Sends a completion request and returns the stream of its parts.
    async fn start_completion(
        &self,
        req: GenerateRequest,
    ) -> Result<BoxStream<'static, Result<GeneratedPart, CallError>>, CallError> {
        let path = if req.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let response = self.send_prompt(path, req).await?;
        if response.status() != 200 {
            let (status, data) = read_body(response).await?;
            return Err(status_error(status, &data));
        }
        let state = CompletionState::new(response.into_body());
        Ok(stream::unfold(state, CompletionState::next).boxed())
    }
}

impl HttpEngine {
    /// Imports the KV memory that a prompt builds on, then sends the prompt.
    async fn send_prompt(
        &self,
        path: &str,
        req: GenerateRequest,
    ) -> Result<Response<Incoming>, CallError> {
        for source in req.sources {
            self.import_kv(&req.id, source).await?;
        }
        let mut http = build_request("POST", path, req.body)?;
        let headers = http.headers_mut();
        let id = req.id.parse().map_err(interrupted)?;
        headers.insert("x-request-id", id);
        headers.insert("x-priority", req.priority.into());
        faults::inject("agent.engine.send");
        self.client.send_on_new_connection(http).await
    }

    /// Prefills a segment and makes its memory available to other engines.
    async fn prefill_segment(&self, req: GenerateRequest) -> Result<KvTransfer, CallError> {
        let id = req.id.clone();
        let response = self.send_prompt("/kv/prefill", req).await?;
        let (status, data) = read_body(response).await?;
        if status != 200 {
            return Err(status_error(status, &data));
        }
        self.export_kv(&id).await
    }
}

/// Builds the error for a response whose status isn't 200, with the start of its body.
fn status_error(status: u16, data: &[u8]) -> CallError {
    let reason = String::from_utf8_lossy(&data[..data.len().min(300)]).into_owned();
    if says_not_executed(status) {
        return CallError::Refused { status, reason };
    }
    interrupted(format_args!("status {status}: {reason}"))
}

/// Whether an engine returns this status only for a request that it has not begun to execute.
///
/// Other errors may come after the start: a fault of the engine, a timeout, or a conflict with a
/// request of the same id that runs already.
fn says_not_executed(status: u16) -> bool {
    matches!(status, 400 | 401 | 403..=405 | 411 | 413 | 415 | 422 | 429 | 503)
}

#[derive(Deserialize)]
struct Event {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    error: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    delta: Option<Delta>,
    finish_reason: Option<String>,
}

#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// Reads a completion's stream. It ends regularly only with a finish reason and a `[DONE]` event;
/// otherwise the completion counts as interrupted.
struct CompletionState {
    body: Incoming,
    reader: SseReader,
    parsed: VecDeque<GeneratedPart>,
    finish_reason: Option<String>,
    cached_tokens: u64,
    ended: bool,
}

impl CompletionState {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            reader: SseReader::default(),
            parsed: VecDeque::new(),
            finish_reason: None,
            cached_tokens: 0,
            ended: false,
        }
    }

    /// Returns the next part with the state to continue from; `None` after the end or an error.
    async fn next(mut self) -> Option<(Result<GeneratedPart, CallError>, Self)> {
        loop {
            if let Some(part) = self.parsed.pop_front() {
                return Some((Ok(part), self));
            }
            if self.ended {
                return None;
            }
            if let Err(e) = self.read_frame().await {
                self.ended = true;
                return Some((Err(e), self));
            }
        }
    }

    /// Reads one frame of the body and parses the events that it completes.
    async fn read_frame(&mut self) -> Result<(), CallError> {
        let frame = tokio::time::timeout(STREAM_IDLE_TIMEOUT, self.body.frame()).await;
        let frame = frame.map_err(|_| interrupted("the engine fell silent"))?;
        let Some(frame) = frame else {
            return Err(interrupted("the answer ended without its final event"));
        };
        let frame = frame.map_err(interrupted)?;
        let Some(data) = frame.data_ref() else { return Ok(()) };
        if !self.reader.push(data) {
            return Err(interrupted("an event of the answer is too long"));
        }
        while let Some(event) = self.reader.next_event() {
            self.handle_event(&event)?;
        }
        Ok(())
    }

    /// Parses one event. Each text counts as one token.
    fn handle_event(&mut self, event: &str) -> Result<(), CallError> {
        if event == "[DONE]" {
            let Some(reason) = self.finish_reason.take() else {
                return Err(interrupted("the final event came without a finish reason"));
            };
            self.parsed
                .push_back(GeneratedPart::Finished { reason, cached_tokens: self.cached_tokens });
            self.ended = true;
            return Ok(());
        }
        let event: Event = serde_json::from_str(event).map_err(interrupted)?;
        if let Some(error) = event.error {
            return Err(interrupted(error));
        }
        if let Some(details) = event.usage.and_then(|u| u.prompt_tokens_details) {
            self.cached_tokens = details.cached_tokens;
        }
        for choice in event.choices {
            let content = choice.delta.and_then(|d| d.content);
            if let Some(text) = choice.text.or(content).filter(|t| !t.is_empty()) {
                self.parsed.push_back(GeneratedPart::Text { text, tokens: 1 });
            }
            if choice.finish_reason.is_some() {
                self.finish_reason = choice.finish_reason;
            }
        }
        Ok(())
    }
}

fn to_json<T: serde::Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

impl Engine for HttpEngine {
    fn generate(
        &self,
        req: GenerateRequest,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<GeneratedPart, CallError>>, CallError>>
    {
        Box::pin(self.start_completion(req))
    }

    fn cancel(&self, id: &str) -> BoxFuture<'_, Result<(), CallError>> {
        let body = to_json(&serde_json::json!({ "request_id": id }));
        Box::pin(async move { self.send("POST", "/cancel", body).await.map(|_| ()) })
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, CallError>> {
        Box::pin(self.send_json("GET", "/load", Vec::new()))
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, CallError>> {
        Box::pin(async move {
            let path = format!("/cache-events?from={from}");
            self.send_json("GET", &path, Vec::new()).await
        })
    }

    fn send_order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), CallError>> {
        let body = to_json(&order);
        Box::pin(async move { self.send("POST", "/orders", body).await.map(|_| ()) })
    }

    fn prefill(&self, req: GenerateRequest) -> BoxFuture<'_, Result<KvTransfer, CallError>> {
        Box::pin(self.prefill_segment(req))
    }

    fn export_kv(&self, id: &str) -> BoxFuture<'_, Result<KvTransfer, CallError>> {
        let body = to_json(&serde_json::json!({ "request_id": id }));
        Box::pin(async move {
            let transfer: KvTransfer = self.send_json("POST", "/kv/export", body).await?;
            Ok(KvTransfer { from: self.client.addr().to_string(), ..transfer })
        })
    }

    fn import_kv(&self, id: &str, from: KvTransfer) -> BoxFuture<'_, Result<(), CallError>> {
        let body = to_json(&serde_json::json!({ "request_id": id, "source": from }));
        Box::pin(async move { self.send("POST", "/kv/import", body).await.map(|_| ()) })
    }
}
