//! Parts of the HTTP servers that all roles share: bodies, responses, probes and the server loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use viz::{Body, Bytes, Request, Response, Router, StatusCode, header};

use crate::metrics::Metrics;

/// Why the body of a request could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The body exceeds the size limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Size limit in bytes.
        limit: usize,
    },
    /// The body did not arrive completely in time.
    #[snafu(display("the body did not arrive within {} ms", limit.as_millis()))]
    TooSlow {
        /// Timeout that was exceeded.
        limit: Duration,
    },
    /// The connection failed while the body was read.
    #[snafu(display("the body could not be read"))]
    Broken,
}

impl BodyError {
    /// HTTP status of the response to such a request.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole body of at most `max` bytes within `limit`.
///
/// # Errors
/// Fails if the body is too large or too slow, or if the connection breaks.
pub async fn read_body(req: &mut Request, max: usize, limit: Duration) -> Result<Bytes, BodyError> {
    let body = std::mem::take(req.body_mut());
    let collected = timeout(limit, Limited::new(body, max).collect()).await;
    match collected {
        Err(_) => Err(BodyError::TooSlow { limit }),
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(e)) if is_length_error(e.as_ref()) => Err(BodyError::TooLarge { limit: max }),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

fn is_length_error(e: &(dyn std::error::Error + 'static)) -> bool {
    e.downcast_ref::<LengthLimitError>().is_some() || e.source().is_some_and(is_length_error)
}

/// Parses a body as JSON.
///
/// # Errors
/// Fails with a text that names the line and column of the problem.
pub fn parse_json<T: DeserializeOwned>(data: &[u8]) -> Result<T, String> {
    serde_json::from_slice(data).map_err(|e| format!("the body is not the expected JSON: {e}"))
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let text = serde_json::to_vec(value).unwrap_or_default();
    respond(status, "application/json", text)
}

/// Builds a response with the given content type; an invalid one is omitted.
pub fn respond(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Body::from(Full::new(body.into())));
    *response.status_mut() = status;
    if let Ok(value) = header::HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Readiness of a process, which `/readyz` returns.
#[derive(Clone, Debug, Default)]
pub struct Readiness(Arc<AtomicBool>);

impl Readiness {
    /// Sets whether the process accepts new requests.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Whether the process accepts new requests.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Adds the routes `/healthz`, `/readyz` and `/metrics` to a router.
pub fn add_probes(router: Router, readiness: Readiness, metrics: Arc<Metrics>) -> Router {
    let health = |_| async { viz::Result::Ok(respond(StatusCode::OK, "text/plain", "ok\n")) };
    let ready = move |_: Request| {
        let readiness = readiness.clone();
        async move {
            viz::Result::Ok(match readiness.get() {
                true => respond(StatusCode::OK, "text/plain", "ready\n"),
                false => respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
            })
        }
    };
    let metrics = move |_: Request| {
        let metrics = Arc::clone(&metrics);
        async move {
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            viz::Result::Ok(respond(StatusCode::OK, kind, metrics.encode()))
        }
    };
    let router = router.get("/healthz", health).get("/readyz", ready).get("/metrics", metrics);
    add_fault_endpoint(router)
}

#[cfg(not(feature = "failpoints"))]
fn add_fault_endpoint(router: Router) -> Router {
    router
}

/// Adds the route `/faults`, through which tests set the fail points of a running process with a
/// body of the form `NAME=ACTIONS`.
#[cfg(feature = "failpoints")]
fn add_fault_endpoint(router: Router) -> Router {
    router.post("/faults", |mut req: Request| async move {
        let limit = Duration::from_secs(1);
        let body = read_body(&mut req, 4096, limit).await.unwrap_or_default();
        let text = String::from_utf8_lossy(&body).into_owned();
        let set = text.split_once('=').map(|(name, actions)| fail::cfg(name, actions));
        viz::Result::Ok(match set {
            Some(Ok(())) => respond(StatusCode::OK, "text/plain", "set\n"),
            _ => respond(StatusCode::BAD_REQUEST, "text/plain", "not like NAME=ACTIONS\n"),
        })
    })
}

/// Timeout for reading the headers of a request; a slow client can't hold a connection open.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves HTTP on a listener until cancelled.
pub async fn serve(listener: TcpListener, router: Router, cx: CancellationToken) {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    let server = viz::Server::with_builder(listener, router, builder);
    let _ = server.signal(cx.cancelled_owned()).await;
}
