//! Open-loop client: sends each request at its time, whether or not earlier ones have finished, and
//! checks the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep_until, timeout};

use crate::arrivals::{Arrival, build_prompt};

/// Maximum time from the intended sending to the end of an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(150);

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Every token of its answer was received, in order.
    Complete,
    /// It was rejected with an error that says that it did not run.
    Rejected,
    /// It failed with an error that says that it may have run.
    Unknown,
    /// The answer is incomplete or wrong, or there is no valid error.
    Lost,
}

/// Result of a request.
///
/// Times are real time, counted from the intended sending, so that a delayed client is not hidden.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Prompt length in tokens.
    pub prompt_tokens: u64,
    /// How the request ended.
    pub outcome: Outcome,
    /// Error code; empty for a complete answer.
    pub code: String,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub token_gaps: Vec<Duration>,
    /// Time to the end of the answer.
    pub duration: Duration,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Sends all requests, in turn to the entries at `caller_addrs`, and waits for their results.
///
/// `speed` is the factor by which the engines' clock runs faster than real time.
pub async fn run(
    arrivals: &[Arrival],
    seed: u64,
    speed: f64,
    caller_addrs: &[SocketAddr],
) -> Vec<RequestResult> {
    let client: Arc<Http> =
        Arc::new(Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http());
    let start = Instant::now() + Duration::from_millis(200);
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let send_at = start + arrival.at.div_f64(speed);
        let addr = caller_addrs[arrival.number % caller_addrs.len()];
        let body = json!({
            "model": "draft",
            "prompt": build_prompt(arrival, seed),
            "max_tokens": arrival.output_tokens,
            "stream": true,
        });
        let body = Bytes::from(body.to_string());
        sleep_until(send_at).await;
        tasks.push(tokio::spawn(send(Arc::clone(&client), addr, arrival.clone(), body, send_at)));
    }
    let mut results = Vec::new();
    for task in tasks {
        if let Ok(completed) = task.await {
            results.push(completed);
        }
    }
    results
}

async fn send(
    client: Arc<Http>,
    addr: SocketAddr,
    arrival: Arrival,
    body: Bytes,
    intended_at: Instant,
) -> RequestResult {
    let mut result = RequestResult {
        prompt_tokens: arrival.prompt_tokens,
        outcome: Outcome::Lost,
        code: String::new(),
        first_token: None,
        token_gaps: Vec::new(),
        duration: Duration::ZERO,
    };
    let receiving = receive(&client, addr, &arrival, body, intended_at, &mut result);
    if timeout(REQUEST_TIMEOUT, receiving).await.is_err() {
        result.outcome = Outcome::Lost;
        result.code = "no end in time".into();
    }
    result.duration = intended_at.elapsed();
    result
}

/// Sends a request and reads its answer into `result`; `None` if the connection or the answer is
/// broken.
async fn receive(
    client: &Http,
    addr: SocketAddr,
    arrival: &Arrival,
    body: Bytes,
    intended_at: Instant,
    result: &mut RequestResult,
) -> Option<()> {
    let req = Request::post(format!("http://{addr}/v1/completions"))
        .header("authorization", format!("Bearer key-of-w{}", arrival.workspace))
        .header("content-type", "application/json")
        .body(Full::new(body))
        .ok()?;
    let response = client.request(req).await.ok()?;
    let status = response.status();
    let mut body = response.into_body();
    let mut buf = String::new();
    let mut text = String::new();
    let mut last_token_at = intended_at;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        buf.push_str(&String::from_utf8_lossy(frame.data_ref()?));
        if !status.is_success() {
            continue;
        }
        while let Some(event_end) = buf.find("\n\n") {
            let event: String = buf.drain(..event_end + 2).collect();
            let data = event.trim().strip_prefix("data: ")?;
            if data == "[DONE]" {
                result.outcome = if is_complete(&text, arrival.output_tokens) {
                    Outcome::Complete
                } else {
                    Outcome::Lost
                };
                return Some(());
            }
            let event: Value = serde_json::from_str(data).ok()?;
            if event["error"].is_object() {
                record_error(result, &event);
                return Some(());
            }
            let token_text = event["choices"][0]["text"].as_str().unwrap_or_default();
            if !token_text.is_empty() {
                let now = Instant::now();
                match result.first_token {
                    None => result.first_token = Some(now - intended_at),
                    Some(_) => result.token_gaps.push(now - last_token_at),
                }
                last_token_at = now;
                text.push_str(token_text);
            }
        }
    }
    if !status.is_success() {
        record_error(result, &serde_json::from_str(&buf).ok()?);
    }
    Some(())
}

fn record_error(result: &mut RequestResult, event: &Value) {
    let error = &event["error"];
    result.outcome = match error["outcome"].as_str() {
        Some("not-run") => Outcome::Rejected,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Lost,
    };
    result.code = error["code"].as_str().unwrap_or_default().to_owned();
}

/// Returns whether an answer has all its tokens: one prefix, numbers from 0 without gaps.
fn is_complete(text: &str, expected_tokens: u64) -> bool {
    let tokens: Vec<&str> = text.split_whitespace().collect();
    let token_prefix = tokens.first().and_then(|t| t.split('-').next()).unwrap_or_default();
    let in_order = tokens.iter().enumerate().all(|(n, t)| *t == format!("{token_prefix}-{n}"));
    tokens.len() as u64 == expected_tokens && in_order
}
