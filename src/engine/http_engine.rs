//! A model engine behind an OpenAI-style HTTP interface.

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

use super::http_client::{HttpClient, broken, read_whole, request};
use super::sse::SseReader;
use super::{
    CacheEvent, Engine, EngineError, EngineLoad, EngineOrder, Generate, Generated, KvTransfer,
};
use crate::faults;

/// Longest time for an answer to anything but a completion.
const ASK_LIMIT: Duration = Duration::from_secs(2);

/// Longest silence within a completion before the engine counts as broken.
const SILENCE_LIMIT: Duration = Duration::from_secs(600);

/// An engine at an address.
pub struct HttpEngine {
    client: HttpClient,
}

impl HttpEngine {
    /// Builds an engine; nothing is connected yet.
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: HttpClient::new(addr) }
    }

    async fn ask(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Bytes, EngineError> {
        let (status, data) = self.client.ask(request(method, path, body)?, ASK_LIMIT).await?;
        if status == 200 { Ok(data) } else { Err(refused(status, &data)) }
    }

    async fn ask_json<T: DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, EngineError> {
        let data = self.ask(method, path, body).await?;
        serde_json::from_slice(&data).map_err(broken)
    }

    async fn start(
        &self,
        req: Generate,
    ) -> Result<BoxStream<'static, Result<Generated, EngineError>>, EngineError> {
        let path = if req.chat { "/v1/chat/completions" } else { "/v1/completions" };
        let response = self.send_prompt(path, req).await?;
        if response.status() != 200 {
            let (status, data) = read_whole(response).await?;
            return Err(refused(status, &data));
        }
        let state = AnswerState::new(response.into_body());
        Ok(stream::unfold(state, AnswerState::next).boxed())
    }
}

impl HttpEngine {
    /// Imports the memory that a prompt builds on, then sends the prompt.
    async fn send_prompt(
        &self,
        path: &str,
        req: Generate,
    ) -> Result<Response<Incoming>, EngineError> {
        for source in req.sources {
            self.import_kv(&req.id, source).await?;
        }
        let mut http = request("POST", path, req.body)?;
        let headers = http.headers_mut();
        let id = req.id.parse().map_err(broken)?;
        headers.insert("x-request-id", id);
        headers.insert("x-priority", req.priority.into());
        faults::inject("agent.engine.send");
        self.client.send_fresh(http).await
    }

    async fn read_segment(&self, req: Generate) -> Result<KvTransfer, EngineError> {
        let id = req.id.clone();
        let response = self.send_prompt("/kv/prefill", req).await?;
        let (status, data) = read_whole(response).await?;
        if status != 200 {
            return Err(refused(status, &data));
        }
        self.export_kv(&id).await
    }
}

fn refused(status: u16, data: &[u8]) -> EngineError {
    let reason = String::from_utf8_lossy(&data[..data.len().min(300)]).into_owned();
    EngineError::Refused { status, reason }
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

/// A completion's answer as it is read; it ends well only with the final event.
struct AnswerState {
    body: Incoming,
    reader: SseReader,
    ready: VecDeque<Generated>,
    finish: Option<String>,
    cached: u64,
    over: bool,
}

impl AnswerState {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            reader: SseReader::default(),
            ready: VecDeque::new(),
            finish: None,
            cached: 0,
            over: false,
        }
    }

    async fn next(mut self) -> Option<(Result<Generated, EngineError>, Self)> {
        loop {
            if let Some(part) = self.ready.pop_front() {
                return Some((Ok(part), self));
            }
            if self.over {
                return None;
            }
            if let Err(e) = self.read_more().await {
                self.over = true;
                return Some((Err(e), self));
            }
        }
    }

    async fn read_more(&mut self) -> Result<(), EngineError> {
        let frame = tokio::time::timeout(SILENCE_LIMIT, self.body.frame()).await;
        let frame = frame.map_err(|_| broken("the engine fell silent"))?;
        let Some(frame) = frame else {
            return Err(broken("the answer ended without its final event"));
        };
        let frame = frame.map_err(broken)?;
        let Some(data) = frame.data_ref() else { return Ok(()) };
        if !self.reader.push(data) {
            return Err(broken("an event of the answer is too long"));
        }
        while let Some(event) = self.reader.next_event() {
            self.take_event(&event)?;
        }
        Ok(())
    }

    fn take_event(&mut self, event: &str) -> Result<(), EngineError> {
        if event == "[DONE]" {
            let Some(reason) = self.finish.take() else {
                return Err(broken("the final event came without a finish reason"));
            };
            self.ready.push_back(Generated::Finished { reason, cached: self.cached });
            self.over = true;
            return Ok(());
        }
        let event: Event = serde_json::from_str(event).map_err(broken)?;
        if let Some(error) = event.error {
            return Err(broken(error));
        }
        if let Some(details) = event.usage.and_then(|u| u.prompt_tokens_details) {
            self.cached = details.cached_tokens;
        }
        for choice in event.choices {
            let content = choice.delta.and_then(|d| d.content);
            if let Some(text) = choice.text.or(content).filter(|t| !t.is_empty()) {
                self.ready.push_back(Generated::Text { text, tokens: 1 });
            }
            if choice.finish_reason.is_some() {
                self.finish = choice.finish_reason;
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
        req: Generate,
    ) -> BoxFuture<'_, Result<BoxStream<'static, Result<Generated, EngineError>>, EngineError>>
    {
        Box::pin(self.start(req))
    }

    fn cancel(&self, id: &str) -> BoxFuture<'_, Result<(), EngineError>> {
        let body = to_json(&serde_json::json!({ "request_id": id }));
        Box::pin(async move { self.ask("POST", "/cancel", body).await.map(|_| ()) })
    }

    fn load(&self) -> BoxFuture<'_, Result<EngineLoad, EngineError>> {
        Box::pin(self.ask_json("GET", "/load", Vec::new()))
    }

    fn cache_events(&self, from: u64) -> BoxFuture<'_, Result<Vec<CacheEvent>, EngineError>> {
        Box::pin(async move {
            let path = format!("/cache-events?from={from}");
            self.ask_json("GET", &path, Vec::new()).await
        })
    }

    fn order(&self, order: EngineOrder) -> BoxFuture<'_, Result<(), EngineError>> {
        let body = to_json(&order);
        Box::pin(async move { self.ask("POST", "/orders", body).await.map(|_| ()) })
    }

    fn prefill(&self, req: Generate) -> BoxFuture<'_, Result<KvTransfer, EngineError>> {
        Box::pin(self.read_segment(req))
    }

    fn export_kv(&self, id: &str) -> BoxFuture<'_, Result<KvTransfer, EngineError>> {
        let body = to_json(&serde_json::json!({ "request_id": id }));
        Box::pin(async move {
            let transfer: KvTransfer = self.ask_json("POST", "/kv/export", body).await?;
            Ok(KvTransfer { from: self.client.addr().to_string(), ..transfer })
        })
    }

    fn import_kv(&self, id: &str, from: KvTransfer) -> BoxFuture<'_, Result<(), EngineError>> {
        let body = to_json(&serde_json::json!({ "request_id": id, "source": from }));
        Box::pin(async move { self.ask("POST", "/kv/import", body).await.map(|_| ()) })
    }
}
