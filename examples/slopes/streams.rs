//! Client that keeps streaming completions open and counts their tokens.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

/// HTTP client that all streams share.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Number of tokens that all streams have received.
static RECEIVED_TOKENS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of tokens that all streams have received so far.
pub fn received_tokens() -> u64 {
    RECEIVED_TOKENS.load(Ordering::Relaxed)
}

/// Builds the client; it does not retry, so that each stream is one request.
pub fn build_client() -> HttpClient {
    Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build_http()
}

/// Requests a long answer and counts its tokens until it ends.
///
/// Returns `None` if the request can't be sent.
pub async fn read_stream(
    client: HttpClient,
    addr: SocketAddr,
    stream_number: usize,
    prompt_tokens: usize,
) -> Option<()> {
    let line = format!("stream {stream_number} says so ");
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
        let event_count = data.windows(6).filter(|w| *w == b"data: ").count();
        RECEIVED_TOKENS.fetch_add(event_count as u64, Ordering::Relaxed);
    }
    Some(())
}
