//! Serves one request: places it, sends it, and sends it again where that is allowed.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::time::sleep;

use super::active_request::ActiveRequest;
use super::caller_stream::CallerConnection;
use super::choose::Choice;
use super::intake;
use super::relay;
use super::request_watch::RequestWatch;
use super::responses::{ResponseBody, default_retry_after, text_response};
use super::send::{SendOutcome, send};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::event;
use crate::faults::inject;
use crate::panics::{Panicked, work_on_request};

/// Interval at which placement is repeated while no endpoint is ready.
const NO_ENDPOINT_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of failed connection attempts for one request.
const MAX_FAILED_CONNECTS: u32 = 4;

/// Maximum number of sends of one request that fail because of a helper engine.
const MAX_FAILED_HELPERS: u32 = 4;

/// Maximum number of attempts to reserve memory for one request.
const MAX_RESERVATION_ATTEMPTS: u32 = 4;

/// Time for which a request avoids an engine that did not grant it memory, and retry delay suggested
/// once all attempts failed.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Handles one request of a caller and returns the response, which may be an event stream.
pub async fn handle(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let (head, body) = req.into_parts();
    let caller = gateway.dialect.decode_caller(&head);
    let id = caller.id.clone();
    if let Some(connection) = head.extensions.get::<Arc<CallerConnection>>() {
        connection.set_request(&id);
    }
    let mut response = match intake::admit(&gateway, head, body, caller).await {
        Ok(req) => serve_or_fail(req).await,
        Err(refusal) => refusal,
    };
    if response.headers().get(header::CONNECTION).is_none() && gateway.stopping.is_cancelled() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    gateway.dialect.mark_response(&id, response.headers_mut());
    Ok(response)
}

/// Serves a request; a panic ends it with an honest failure, since an endpoint may have run it.
async fn serve_or_fail(req: ActiveRequest) -> Response<ResponseBody> {
    let watch = RequestWatch::new(&req);
    match work_on_request(req.caller.id.clone(), serve(req)).await {
        Ok(response) => response,
        Err(Panicked) => {
            watch.record_panic();
            text_response(StatusCode::BAD_GATEWAY, "a fault of this process")
        }
    }
}

async fn serve(mut req: ActiveRequest) -> Response<ResponseBody> {
    let (mut failed_connects, mut failed_helpers, mut failed_reservations) = (0, 0, 0);
    let mut failed: Option<Response<ResponseBody>> = None;
    loop {
        inject("gateway.serve");
        if boot_now() >= req.deadline {
            return failed.unwrap_or_else(|| req.fail("deadline passed"));
        }
        // What is sent so late in the grace period may be cut off at its end.
        if req.gateway.closing.is_cancelled() && !req.may_have_run {
            let after = default_retry_after(&req.caller);
            return failed.unwrap_or_else(|| req.refuse("this process is ending", after));
        }
        let placement = match req.choose_in_turn().await {
            Choice::Placed(placement) => *placement,
            Choice::NoEndpoint => {
                let waited = boot_now().saturating_sub(req.started);
                if failed.is_some() || waited >= req.route.objective / 2 {
                    return failed.unwrap_or_else(|| req.fail("no endpoint takes work"));
                }
                sleep(NO_ENDPOINT_RETRY_INTERVAL).await;
                continue;
            }
            Choice::Wait(time) => {
                tokio::select! {
                    () = sleep(time) => continue,
                    // A wait may be longer than the rest of the grace period.
                    () = req.gateway.stopping.cancelled() => {}
                }
                let after = default_retry_after(&req.caller);
                return failed.unwrap_or_else(|| req.refuse("this process is ending", after));
            }
            Choice::NoMemory(engines) => {
                failed_reservations += 1;
                if failed_reservations < MAX_RESERVATION_ATTEMPTS {
                    req.exclude_for(MEMORY_RETRY_AFTER, &engines);
                    continue;
                }
                let reason = "the engines' memory is not free";
                return failed.unwrap_or_else(|| req.refuse(reason, MEMORY_RETRY_AFTER));
            }
            Choice::Refused(after, reason) => {
                return failed.unwrap_or_else(|| req.refuse(reason, after));
            }
            Choice::RefusedFor(time, reason) => {
                return failed.unwrap_or_else(|| req.refuse_for(time, reason));
            }
        };
        let endpoint = placement.endpoint.clone();
        let out = req.build_send(&placement, req.caller.last_event);
        let limit = req.head_timeout(&placement);
        let outcome = send(&req.gateway, &placement, &out, &req.caller.id, limit).await;
        req.record_send(&endpoint, &outcome);
        let reason = match outcome {
            SendOutcome::Responded(response) if req.is_stream(&response) => {
                return relay::start(req, placement, *response);
            }
            SendOutcome::Responded(response) => match req.read_body(*response, placement).await {
                Ok(response) if req.is_retryable(response.status()) => {
                    failed = Some(response);
                    "the endpoint returned a server error".into()
                }
                Ok(response) => {
                    req.record_done(&endpoint, response.status());
                    return response;
                }
                Err(reason) => {
                    req.may_have_run = true;
                    reason
                }
            },
            SendOutcome::Withheld => continue,
            SendOutcome::NotSent(reason) | SendOutcome::Refused(reason) => {
                failed_connects += 1;
                if failed_connects < MAX_FAILED_CONNECTS {
                    continue;
                }
                return failed.unwrap_or_else(|| req.fail(reason));
            }
            SendOutcome::HelperFailed(_, reason) => {
                failed_helpers += 1;
                if failed_helpers >= MAX_FAILED_HELPERS {
                    return failed.unwrap_or_else(|| req.fail(reason));
                }
                reason
            }
            SendOutcome::NotRun(reason)
            | SendOutcome::Unknown(reason)
            | SendOutcome::Lost(reason) => reason,
        };
        if !req.claim_retry() {
            return failed.unwrap_or_else(|| req.fail(reason));
        }
        req.gateway.metrics.retries.inc();
        event!(req.gateway.log, AttemptRetried, "request" => req.caller.id.as_str(),
            "endpoint" => endpoint.id.as_str(), "reason" => reason.to_string(),
            "sends" => req.sends);
    }
}
