//! Sends arrivals at their times, whatever became of earlier ones, and watches the answers.

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

use crate::arrivals::{Arrival, prompt};

/// Longest wait for the end of an answer.
const LIMIT: Duration = Duration::from_secs(150);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Its whole own answer.
    Whole,
    /// An honest refusal: it did not run.
    Refused,
    /// An honest failure: it may have run.
    Unknown,
    /// Neither: no final answer, or one that is not whole.
    Lost,
}

/// What came of a request; times count from the intended sending.
#[derive(Clone, Debug)]
pub struct Seen {
    pub prompt_tokens: u64,
    pub end: End,
    pub code: String,
    pub first: Option<Duration>,
    pub gaps: Vec<Duration>,
    pub finished: Duration,
}

type Http = Client<HttpConnector, Full<Bytes>>;

/// Sends all arrivals and waits for their ends.
pub async fn run(arrivals: &[Arrival], seed: u64, speed: f64, callers: &[SocketAddr]) -> Vec<Seen> {
    let client: Arc<Http> =
        Arc::new(Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http());
    let start = Instant::now() + Duration::from_millis(200);
    let mut tasks = Vec::new();
    for arrival in arrivals {
        let at = start + arrival.at.div_f64(speed);
        let addr = callers[arrival.number % callers.len()];
        let body = json!({
            "model": "draft",
            "prompt": prompt(arrival, seed),
            "max_tokens": arrival.output,
            "stream": true,
        });
        let body = Bytes::from(body.to_string());
        sleep_until(at).await;
        tasks.push(tokio::spawn(ask(Arc::clone(&client), addr, arrival.clone(), body, at)));
    }
    let mut seen = Vec::new();
    for task in tasks {
        if let Ok(one) = task.await {
            seen.push(one);
        }
    }
    seen
}

async fn ask(
    client: Arc<Http>,
    addr: SocketAddr,
    arrival: Arrival,
    body: Bytes,
    intended: Instant,
) -> Seen {
    let mut seen = Seen {
        prompt_tokens: arrival.prompt_tokens,
        end: End::Lost,
        code: String::new(),
        first: None,
        gaps: Vec::new(),
        finished: Duration::ZERO,
    };
    let watched = watch(&client, addr, &arrival, body, intended, &mut seen);
    if timeout(LIMIT, watched).await.is_err() {
        seen.end = End::Lost;
        seen.code = "no end in time".into();
    }
    seen.finished = intended.elapsed();
    seen
}

async fn watch(
    client: &Http,
    addr: SocketAddr,
    arrival: &Arrival,
    body: Bytes,
    intended: Instant,
    seen: &mut Seen,
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
    let mut last = intended;
    while let Some(frame) = body.frame().await {
        let frame = frame.ok()?;
        buf.push_str(&String::from_utf8_lossy(frame.data_ref()?));
        if !status.is_success() {
            continue;
        }
        while let Some(end) = buf.find("\n\n") {
            let event: String = buf.drain(..end + 2).collect();
            let data = event.trim().strip_prefix("data: ")?;
            if data == "[DONE]" {
                seen.end = if whole(&text, arrival.output) { End::Whole } else { End::Lost };
                return Some(());
            }
            let event: Value = serde_json::from_str(data).ok()?;
            if event["error"].is_object() {
                take_error(seen, &event);
                return Some(());
            }
            let part = event["choices"][0]["text"].as_str().unwrap_or_default();
            if !part.is_empty() {
                let now = Instant::now();
                match seen.first {
                    None => seen.first = Some(now - intended),
                    Some(_) => seen.gaps.push(now - last),
                }
                last = now;
                text.push_str(part);
            }
        }
    }
    if !status.is_success() {
        take_error(seen, &serde_json::from_str(&buf).ok()?);
    }
    Some(())
}

fn take_error(seen: &mut Seen, event: &Value) {
    let error = &event["error"];
    seen.end = match error["outcome"].as_str() {
        Some("not-run") => End::Refused,
        Some("unknown") => End::Unknown,
        _ => End::Lost,
    };
    seen.code = error["code"].as_str().unwrap_or_default().to_owned();
}

fn whole(text: &str, count: u64) -> bool {
    let tokens: Vec<&str> = text.split_whitespace().collect();
    let stem = tokens.first().and_then(|t| t.split('-').next()).unwrap_or_default();
    let in_order = tokens.iter().enumerate().all(|(n, t)| *t == format!("{stem}-{n}"));
    tokens.len() as u64 == count && in_order
}
