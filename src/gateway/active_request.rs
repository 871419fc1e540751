//! State of a request that was taken in, and what its sends mean for it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, request};
use tokio::time::timeout;

use super::choose::Placement;
use super::collect::{CollectError, Collected, collect};
use super::config::{GatewayConfig, RetryPolicy, Route, Service};
use super::crashes::recent_suspects::Suspect;
use super::crashes::watch::record_whole_answer;
use super::dialect::{CallerHead, SendOptions};
use super::eligibility::endpoints::Endpoint;
use super::eligibility::regions::RegionSet;
use super::exclusions::Exclusions;
use super::head_timeout::head_timeout;
use super::pass_through;
use super::reason::Reason;
use super::responses::{
    ResponseBody, body_from_bytes, jittered_retry_after, refuse, spread_retry_after, text_response,
};
use super::send::{EndpointResponse, OutgoingRequest, SendOutcome, error_chain};
use super::state::Gateway;
use crate::clock::boot_now;
use crate::directory::EndpointId;
use crate::event;
use crate::ids::{Moment, WorkspaceName};
use crate::prompt_class::PromptClass;

/// Rank sent to engines for requests of the highest priority that are still in time.
const HIGHEST_RANK: u8 = 1;

/// Lowest priority that still gets a rank of its own; requests of lower priority share the rank of
/// this one.
const LOWEST_DISTINCT_PRIORITY: u32 = 5;

/// Rank sent to engines for requests that already missed their objective.
const LATE_RANK: u8 = 8;

/// Maximum size of an answer that is collected, in bytes; as for requests, by default.
pub(super) const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Time without a response from an endpoint that is not an engine after which an idempotent
/// request is retried elsewhere.
const PLAIN_HEAD_TIMEOUT: Duration = Duration::from_millis(900);

/// State of one request while the gateway handles it.
pub struct ActiveRequest {
    /// Shared state of the gateway.
    pub gateway: Arc<Gateway>,
    /// Configuration in force when the request was admitted; it applies until the response ends.
    pub config: Arc<GatewayConfig>,
    /// Route that matched the host and path.
    pub route: Arc<Route>,
    /// Service selected by the route's weights.
    pub service: Arc<Service>,
    /// Fields decoded from the caller's headers.
    pub caller: CallerHead,
    /// Method, path and headers as the caller sent them.
    pub head: request::Parts,
    /// Complete request body, kept so that it can be sent again.
    pub body: Bytes,
    /// Workspace of the caller's key; `None` on public routes and when no keys are configured.
    pub workspace: Option<WorkspaceName>,
    /// Regions that both the route and the workspace allow.
    pub allowed_regions: RegionSet,
    /// Priority of the workspace or the route; 0 is the most urgent.
    pub priority: u32,
    /// When the request was admitted.
    pub started: Moment,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// Number of sends that reached an endpoint; limited by the route's `max_attempts`.
    pub sends: u32,
    /// Whether an endpoint may have run the request, so that only idempotent requests may be sent
    /// again.
    pub may_have_run: bool,
    /// Endpoints that are not used again: those that the request was sent to or that could not be
    /// connected to, helpers that failed, and for a while engines without free memory.
    pub exclusions: Exclusions,
    /// The request as a suspect if an endpoint crashes.
    pub suspect: Arc<Suspect>,
}

impl ActiveRequest {
    /// Time until the caller's deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(boot_now())
    }

    /// Metric label for the prompt's length; requests without declared tokens have a label of
    /// their own.
    pub fn prompt_class(&self) -> &'static str {
        self.caller.tokens.map_or("plain", |t| PromptClass::of(t.prompt).name())
    }

    /// Whether a stream with this time of the first event and this longest pause misses its
    /// objective or pause limit.
    pub fn is_late(&self, first_at: Option<Moment>, longest_pause: Duration) -> bool {
        let limit = self.route.pause_limit;
        let waited = first_at.map(|at| at.saturating_sub(self.started));
        let paused = !limit.is_zero() && longest_pause > limit;
        paused || waited.is_some_and(|w| w > self.route.objective)
    }

    pub(super) fn is_stream(&self, response: &EndpointResponse) -> bool {
        self.route.streams && response.parts.status.is_success()
    }

    /// Builds the request to an endpoint; `last_event` makes a stream resume after that event.
    pub fn build_send(&self, placement: &Placement, last_event: Option<u64>) -> OutgoingRequest {
        let options = SendOptions {
            remaining: self.remaining(),
            endpoint: placement.endpoint.id.clone(),
            workspace: self.workspace.clone(),
            last_event,
            helpers: placement.helpers.clone(),
            rank: self.rank(placement),
        };
        let endpoints = placement.helper_endpoints.iter().chain([&placement.endpoint]);
        let zones = endpoints.map(|e| e.zone.clone()).collect();
        OutgoingRequest {
            method: self.head.method.clone(),
            uri: self.head.uri.clone(),
            headers: self.gateway.dialect.encode_request(&self.head.headers, &options),
            body: self.body.clone(),
            zones,
            suspect: Arc::clone(&self.suspect),
        }
    }

    /// Rank sent to the engine: the priority of the workspace or the route, or the rank of late
    /// requests. Endpoints that are not engines get none.
    fn rank(&self, placement: &Placement) -> Option<u8> {
        placement.predicted_first_token?;
        let priority = self.priority.min(LOWEST_DISTINCT_PRIORITY) as u8;
        Some(if placement.late { LATE_RANK } else { HIGHEST_RANK + priority })
    }

    /// Maximum wait for the head of the response. Only requests that may be sent again are
    /// abandoned before the deadline.
    pub fn head_timeout(&self, placement: &Placement) -> Duration {
        let remaining = self.remaining();
        let more_sends = self.sends + 1 < self.route.max_attempts;
        if self.route.retry_policy == RetryPolicy::Never || !more_sends {
            return remaining;
        }
        let objective_at = self.started + self.route.objective;
        let limit = match placement.predicted_first_token {
            Some(predicted) => head_timeout(predicted, objective_at.saturating_sub(boot_now())),
            None => PLAIN_HEAD_TIMEOUT,
        };
        remaining.min(limit)
    }

    /// Records the outcome of a send in the request and in the health of the endpoint, or of the helper
    /// that failed it. Failed connections and failed helpers do not count as sends of the route.
    pub fn record_send(&mut self, endpoint: &Endpoint, outcome: &SendOutcome) {
        let now = boot_now();
        let mut health = self.gateway.health.lock();
        match outcome {
            SendOutcome::Responded(response) => {
                self.sends += 1;
                if response.parts.status.is_server_error() {
                    health.record_failure(now, &endpoint.id);
                }
            }
            SendOutcome::Withheld => return,
            SendOutcome::HelperFailed(helper, _) => {
                health.record_failure(now, helper);
                self.exclusions.exclude(helper);
                return;
            }
            SendOutcome::NotSent(_) => health.record_unreachable(now, &endpoint.id),
            SendOutcome::Refused(_) => health.record_refused(now, &endpoint.id),
            SendOutcome::NotRun(_) => {
                self.sends += 1;
                // An endpoint that named a time is known to take requests after it.
                if health.unwilling_time(now, &endpoint.id).is_zero() {
                    health.record_failure(now, &endpoint.id);
                }
            }
            SendOutcome::Unknown(_) | SendOutcome::Lost(_) => {
                self.sends += 1;
                self.may_have_run = true;
                health.record_failure(now, &endpoint.id);
            }
        }
        drop(health);
        self.exclusions.exclude(&endpoint.id);
    }

    /// Avoids endpoints for a time.
    pub(super) fn exclude_for(&mut self, time: Duration, endpoints: &[EndpointId]) {
        let until = boot_now() + time;
        endpoints.iter().for_each(|id| self.exclusions.exclude_until(until, id));
    }

    /// Whether another send is allowed by the route's attempts, by idempotency and by the shared
    /// retry budget. Takes one retry from the budget if so.
    pub fn claim_retry(&self) -> bool {
        let may_repeat = !self.may_have_run || self.route.retry_policy == RetryPolicy::Idempotent;
        may_repeat
            && self.sends < self.route.max_attempts
            && self.gateway.take_retry(&self.service.name)
    }

    pub(super) fn is_retryable(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.route.retry_policy == RetryPolicy::Idempotent
    }

    /// Reads the complete body of a response that is not a stream, or passes it on as it arrives if
    /// the memory budget has no room and the request is not retried after it.
    pub(super) async fn read_body(
        &self,
        mut response: EndpointResponse,
        placement: Placement,
    ) -> Result<Response<ResponseBody>, Reason> {
        let endpoint = &placement.endpoint;
        let (memory, limit) = (&self.gateway.memory, self.remaining());
        let may_pass = !self.is_retryable(response.parts.status);
        let wait = if may_pass { Duration::ZERO } else { limit };
        let body = &mut response.body;
        let collected = collect(memory, body, Collected::Answer, MAX_ANSWER_BYTES, wait);
        let body = match timeout(limit, collected).await {
            Ok(Ok(body)) => body,
            Ok(Err(CollectError::TooLarge)) => {
                self.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
                return Err("the answer is too large".into());
            }
            Ok(Err(CollectError::Broken(e))) => {
                self.gateway.health.lock().record_failure(boot_now(), &endpoint.id);
                response.open.lose();
                return Err(Reason::detailed("the answer broke off", error_chain(&e)));
            }
            Ok(Err(CollectError::NoRoom(collected))) if may_pass => {
                let mut passed = Response::new(body_from_bytes(Bytes::new()));
                *passed.status_mut() = response.parts.status;
                *passed.headers_mut() =
                    self.gateway.dialect.encode_response(&response.parts.headers);
                *passed.body_mut() = pass_through::start(self, response, placement, collected);
                return Ok(passed);
            }
            Ok(Err(CollectError::NoRoom(_))) => return Err("no memory for the answer".into()),
            Err(_) => return Err("the answer did not end in time".into()),
        };
        let EndpointResponse { parts, head, conn, mut open, .. } = response;
        if !head.closes_connection {
            self.gateway.pool.put(conn, head.keep_alive);
        }
        record_whole_answer(&parts, &mut open);
        if parts.status.is_success() {
            self.gateway.health.lock().record_success(boot_now(), &endpoint.id, None);
        }
        let mut passed = Response::new(body_from_bytes(body));
        *passed.status_mut() = parts.status;
        *passed.headers_mut() = self.gateway.dialect.encode_response(&parts.headers);
        Ok(passed)
    }

    pub(super) fn record_done(&self, endpoint: &Endpoint, status: StatusCode) {
        let elapsed = boot_now().saturating_sub(self.started);
        self.gateway.count_request("done", self.prompt_class(), elapsed);
        event!(self.gateway.log, RequestDone, "request" => self.caller.id.as_str(),
            "route" => self.route.name.as_str(), "endpoint" => endpoint.id.as_str(),
            "status" => status.as_u16(), "sends" => self.sends,
            "ms" => boot_now().saturating_sub(self.started).as_millis() as u64);
    }

    pub(super) fn refuse(&self, reason: &'static str, after: Duration) -> Response<ResponseBody> {
        if self.may_have_run {
            return self.fail(reason);
        }
        refuse(
            &self.gateway,
            &self.caller.id,
            reason,
            jittered_retry_after(after, self.remaining()),
        )
    }

    /// Final response to a request that is refused for a known time. Unlike an estimate, that time
    /// is told also to callers that have less time left: it would be in vain to return before.
    pub(super) fn refuse_for(
        &self,
        time: Duration,
        reason: &'static str,
    ) -> Response<ResponseBody> {
        if self.may_have_run {
            return self.fail(reason);
        }
        refuse(&self.gateway, &self.caller.id, reason, spread_retry_after(time))
    }

    /// Final response to a request that no endpoint answered: a retryable refusal if it cannot
    /// have run, otherwise an error with an unknown outcome.
    pub fn fail(&self, reason: impl Into<Reason>) -> Response<ResponseBody> {
        let reason = reason.into();
        if !self.may_have_run {
            let after = jittered_retry_after(Duration::from_millis(150), self.remaining());
            return refuse(&self.gateway, &self.caller.id, reason, after);
        }
        let elapsed = boot_now().saturating_sub(self.started);
        self.gateway.count_request("unknown", self.prompt_class(), elapsed);
        event!(self.gateway.log, RequestFailed, "request" => self.caller.id.as_str(),
            "route" => self.route.name.as_str(), "reason" => reason.to_string(), "sends" => self.sends,
            "ms" => boot_now().saturating_sub(self.started).as_millis() as u64);
        let late = boot_now() >= self.deadline;
        let status = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        text_response(status, reason.cause())
    }
}
