//! Responses that the gateway generates itself.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use rand::RngExt;

use super::config::GatewayConfig;
use super::dialect::CallerHead;
use super::reason::Reason;
use super::state::Gateway;
use crate::event;
use crate::metrics::ReasonLabels;

/// Body of a response to a caller.
pub type ResponseBody = BoxBody<Bytes, std::io::Error>;

/// Fraction of the caller's remaining time that `Retry-After` may name; callers honour up to a
/// third.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Wraps bytes as the body of a response.
pub fn body_from_bytes(body: Bytes) -> ResponseBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// Builds a response with this status and the reason as its text body.
pub fn text_response(status: StatusCode, reason: &str) -> Response<ResponseBody> {
    let mut response = Response::new(body_from_bytes(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    response
}

/// Retry delay around `after` with random jitter, so that refused callers do not return at the
/// same time. It is capped by the caller's remaining time.
pub fn jittered_retry_after(after: Duration, remaining: Duration) -> Duration {
    let longest = remaining.mul_f64(RETRY_AFTER_SHARE);
    after.mul_f64(rand::rng().random_range(0.7..1.4)).min(longest)
}

/// Retry delay of at least `time`, longer by a random amount so that callers return one by one.
pub fn spread_retry_after(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(1.0..1.2))
}

/// Retry delay while this process has no configuration or is stopping.
pub fn default_retry_after(caller: &CallerHead) -> Duration {
    let timeout = caller.timeout.unwrap_or(Duration::from_secs(1));
    jittered_retry_after(Duration::from_millis(300), timeout)
}

/// Refuses a request that no endpoint has run, so that the caller can safely retry after this
/// time.
pub fn refuse(
    gateway: &Gateway,
    id: &str,
    reason: impl Into<Reason>,
    after: Duration,
) -> Response<ResponseBody> {
    let reason = reason.into();
    event!(gateway.log, RequestRefused, "request" => id, "reason" => reason.to_string(),
        "retry_after_ms" => after.as_millis() as u64);
    let labels = ReasonLabels { reason: reason.cause().to_owned() };
    gateway.metrics.refusals.get_or_create(&labels).inc();
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason.cause());
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Rejects a request that would fail again if the caller repeated it.
pub fn reject(
    gateway: &Gateway,
    caller: &CallerHead,
    status: StatusCode,
    reason: &str,
    config: &GatewayConfig,
) -> Response<ResponseBody> {
    event!(gateway.log, RequestRejected, "request" => caller.id.as_str(), "reason" => reason,
        "status" => status.as_u16(), "version" => config.version);
    text_response(status, reason)
}
