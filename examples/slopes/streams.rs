//! Open streams of completions, whose tokens are counted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

/// Client of all streams.
pub type Http = Client<HttpConnector, Full<Bytes>>;

static TOKENS: AtomicU64 = AtomicU64::new(0);

/// Tokens received so far.
pub fn tokens() -> u64 {
    TOKENS.load(Ordering::Relaxed)
}

/// Builds the client.
pub fn build_client() -> Http {
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http()
}

/// Asks for a long answer and counts its tokens.
pub async fn open(
    client: Http,
    addr: SocketAddr,
    number: usize,
    prompt_tokens: usize,
) -> Option<()> {
    let line = format!("stream {number} says so ");
    let prompt = line.repeat(prompt_tokens * 4 / line.len());
    let body = json!({
        "model": "model-0", "prompt": prompt, "max_tokens": 20_000, "stream": true,
    });
    let req = Request::post(format!("http://{addr}/v1/completions"))
        .header("authorization", "Bearer key-number-1")
        .body(Full::new(Bytes::from(body.to_string())))
        .ok()?;
    let mut body = client.request(req).await.ok()?.into_body();
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.into_data().unwrap_or_default();
        let events = data.windows(6).filter(|w| *w == b"data: ").count();
        TOKENS.fetch_add(events as u64, Ordering::Relaxed);
    }
    Some(())
}
