//! Answers that the gateway gives itself.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use rand::RngExt;

use super::config::GatewayConfig;
use super::dialect::CallerRequest;
use super::state::Gateway;
use crate::event;
use crate::metrics::ReasonLabels;

/// Body of an answer to a caller.
pub type AnswerBody = BoxBody<Bytes, std::io::Error>;

/// Part of the caller's time that a `Retry-After` may name; callers honour a third.
const RETRY_AFTER_SHARE: f64 = 0.3;

/// Wraps bytes as the body of an answer.
pub fn full(body: Bytes) -> AnswerBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

/// A final answer with a reason as its body.
pub fn plain_answer(status: StatusCode, reason: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(full(Bytes::from(format!("{reason}\n"))));
    *answer.status_mut() = status;
    answer
}

/// Time after which a caller may come back, spread so that callers do not return together.
pub fn spread(after: Duration, left: Duration) -> Duration {
    let most = left.mul_f64(RETRY_AFTER_SHARE);
    after.mul_f64(rand::rng().random_range(0.7..1.4)).min(most)
}

/// Time after which a caller may come back when this process cannot serve yet.
pub fn retry_soon(caller: &CallerRequest) -> Duration {
    let patience = caller.patience.unwrap_or(Duration::from_secs(1));
    spread(Duration::from_millis(300), patience)
}

/// Refuses a request that did not run and never will.
pub fn refuse(gateway: &Gateway, id: &str, reason: &str, after: Duration) -> Response<AnswerBody> {
    event!(gateway.log, RequestRefused, "request" => id, "reason" => reason,
        "retry_after_ms" => after.as_millis() as u64);
    let labels = ReasonLabels { reason: reason.to_owned() };
    gateway.metrics.refusals.get_or_create(&labels).inc();
    let mut answer = plain_answer(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Rejects a request that callers should not send again.
pub fn reject(
    gateway: &Gateway,
    caller: &CallerRequest,
    status: StatusCode,
    reason: &str,
    config: &GatewayConfig,
) -> Response<AnswerBody> {
    event!(gateway.log, RequestRejected, "request" => caller.id.as_str(), "reason" => reason,
        "status" => status.as_u16(), "version" => config.version);
    plain_answer(status, reason)
}
