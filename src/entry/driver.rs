//! Runs a request through its attempts to exactly one final result.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use viz::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::assembly::FrameEvent;
use super::attempt::SentAttempt;
use super::failure::{Failure, Outcome};
use super::fleet_view::{FleetView, PendingLoad, Route};
use super::idempotency;
use super::limits::WorkspaceLimits;
use super::link_pool::LinkPool;
use super::openai;
use super::request::{Job, JobPayload};
use super::retry::{Execution, RetryDecision, RetryState};
use super::router::group::needs_group;
use super::router::{Candidate, Predicted, RouteRequest, Router, first_token_estimate};
use crate::clock::duration_from_s;
use crate::config::Priority;
use crate::derive_value;
use crate::event;
use crate::ids::EndpointName;
use crate::node::Node;
use crate::wire::Dispatch;
use crate::wire::link::LinkError;

/// Capacity of the channel to the client handler, in response events; a slow client blocks the
/// attempt when it is full.
const RESPONSE_QUEUE_LEN: usize = 64;

/// Longest queueing time of an interactive request, in multiples of the objective of its
/// workspace; a longer predicted wait is refused.
const MAX_QUEUEING_OBJECTIVES: u32 = 4;

/// Maximum wait of a long prompt for the first load reports of the endpoints.
const FIRST_REPORT_WAIT: Duration = Duration::from_millis(1000);

/// Interval at which a long prompt checks for these reports.
const FIRST_REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

derive_value! {
    /// Event of a response, passed from the driver to the client handler.
    pub enum ResponseEvent {
        /// Status line of a service response.
        Head {
            /// HTTP status sent by the service.
            status: u16,
            /// Content type sent by the service.
            content_type: String,
        },
        /// Next part of the response body.
        Data(Bytes),
        /// The response is complete.
        Done {
            /// Finish reason of the engine: `stop` or `length`.
            finish: String,
            /// Number of generated tokens, over all attempts; for a service, bytes of the body.
            tokens: u64,
        },
        /// The request failed; nothing follows.
        Failed(Failure),
    }
}

/// Runs requests; shared by all requests of an entry.
pub struct Driver {
    /// Node state: configuration, clock, metrics and log.
    pub node: Arc<Node>,
    /// Endpoints with their load, the source of candidates.
    pub view: Arc<FleetView>,
    /// Connections to agents, shared by all requests.
    pub links: LinkPool,
    /// Limits and retry budgets of the workspaces.
    pub limits: Arc<WorkspaceLimits>,
    /// Routing policy chosen in the settings.
    pub router: Box<dyn Router>,
    /// Random number generator for routing and jitter; its seed is a setting.
    pub rng: Mutex<ChaCha8Rng>,
}

/// State of one request that is kept between attempts.
pub(super) struct RequestProgress {
    pub(super) retry: RetryState,
    avoid: Vec<EndpointName>,
    pub(super) streamed: String,
    pub(super) tokens: u64,
    claim: u64,
}

/// Failure of an attempt after which the request may be retried.
pub(super) struct AttemptError {
    pub(super) execution: Execution,
    pub(super) reason: String,
}

impl Driver {
    /// Builds the random number generator from the seed in the settings.
    pub fn seeded_rng(seed: u64) -> Mutex<ChaCha8Rng> {
        Mutex::new(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Starts a request in the background and returns its response events.
    ///
    /// Dropping the receiver abandons the request. `claim` is the number of its idempotency claim,
    /// or 0.
    pub fn start(
        self: &Arc<Self>,
        job: Job,
        claim: u64,
        cx: CancellationToken,
    ) -> mpsc::Receiver<ResponseEvent> {
        let (tx, rx) = mpsc::channel(RESPONSE_QUEUE_LEN);
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let last = driver.run_request(&job, claim, &tx, &cx).await;
            let _ = tx.send(last).await;
        });
        rx
    }

    async fn run_request(
        &self,
        job: &Job,
        claim: u64,
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> ResponseEvent {
        let percent = self.node.config().limits.retry_percent;
        self.limits.with_retry_budget(&job.workspace.name, |b| b.deposit(percent));
        let idempotent = job.is_idempotent();
        let retry = RetryState { idempotent, deadline: job.deadline, attempts: 0 };
        let mut progress =
            RequestProgress { retry, avoid: Vec::new(), streamed: String::new(), tokens: 0, claim };
        // Backstop for steps that do not watch the deadline, such as connecting to an agent.
        let remaining = job.deadline.saturating_sub(self.node.now());
        let all_attempts = self.attempt_until_final(job, &mut progress, tx, cx);
        let final_event = tokio::select! {
            final_event = all_attempts => Some(final_event),
            () = sleep(remaining + Duration::from_millis(500)) => None,
        };
        final_event.unwrap_or_else(|| ResponseEvent::Failed(deadline_exceeded(job)))
    }

    async fn attempt_until_final(
        &self,
        job: &Job,
        progress: &mut RequestProgress,
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> ResponseEvent {
        loop {
            progress.retry.attempts += 1;
            let error = match self.attempt(job, progress, tx, cx).await {
                Ok(last) => return last,
                Err(error) => error,
            };
            let next = self.limits.with_retry_budget(&job.workspace.name, |budget| {
                let mut rng = self.rng.lock();
                progress.retry.decide(self.node.now(), &error.execution, budget, &mut rng)
            });
            let RetryDecision::RetryAfter(pause) = next else {
                return ResponseEvent::Failed(self.final_failure(job, progress, error));
            };
            self.node.metrics.retries.inc();
            event!(self.node.log, AttemptRetried,
                "request" => job.request.as_str(), "reason" => error.reason);
            sleep(pause).await;
        }
    }

    async fn attempt(
        &self,
        job: &Job,
        progress: &mut RequestProgress,
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> Result<ResponseEvent, AttemptError> {
        let (req, candidates) = self.candidates_for(job, progress).await;
        if matches!(job.payload, JobPayload::Completion { .. })
            && !candidates.is_empty()
            && needs_group(&req, &candidates)
        {
            return self.attempt_group(job, progress, &req, &candidates, tx, cx).await;
        }
        let route = match self.choose(job, progress, &req, &candidates) {
            Ok(route) => route,
            Err(failure) => return Ok(ResponseEvent::Failed(failure)),
        };
        let (dispatch, body) = self.build_dispatch(job, progress, &route);
        let sent = SentAttempt::send(&self.links, route.clone(), dispatch, body).await;
        let mut sent = match sent {
            Ok(sent) => sent,
            Err(e) => {
                self.view.record_result(self.node.now(), &route.endpoint, false);
                progress.avoid.push(route.endpoint);
                let not_sent = matches!(e, LinkError::Connect { .. });
                let execution = if not_sent { Execution::NotRun } else { Execution::Unknown };
                return Err(AttemptError { execution, reason: e.to_string() });
            }
        };
        let read = self.read_response(job, progress, &mut sent, tx, cx).await;
        if read.is_err() {
            progress.avoid.push(route.endpoint.clone());
        }
        let success = match &read {
            Ok(ResponseEvent::Done { .. }) => Some(true),
            Err(AttemptError { execution: Execution::Unknown, .. }) => Some(false),
            _ => None,
        };
        if let Some(success) = success {
            self.view.record_result(self.node.now(), &route.endpoint, success);
        }
        read
    }

    pub(super) async fn read_response(
        &self,
        job: &Job,
        progress: &mut RequestProgress,
        sent: &mut SentAttempt,
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> Result<ResponseEvent, AttemptError> {
        loop {
            let remaining = job.deadline.saturating_sub(self.node.now());
            let frame_event = tokio::select! {
                biased;
                () = cx.cancelled() => return Ok(self.abandon(job, sent).await),
                () = tx.closed() => return Ok(self.abandon(job, sent).await),
                () = sleep(remaining) => return Ok(self.abandon(job, sent).await),
                frame_event = sent.next() => frame_event,
            };
            let unknown = |reason: &str| AttemptError {
                execution: Execution::Unknown,
                reason: reason.to_owned(),
            };
            match frame_event {
                Some(FrameEvent::Data { data, len }) => {
                    progress.tokens += len;
                    if matches!(job.payload, JobPayload::Completion { .. }) {
                        progress.streamed.push_str(&String::from_utf8_lossy(&data));
                    }
                    let _ = tx.send(ResponseEvent::Data(data)).await;
                }
                Some(FrameEvent::Head { status, content_type }) => {
                    let _ = tx.send(ResponseEvent::Head { status, content_type }).await;
                }
                Some(FrameEvent::End { finish }) => {
                    return Ok(ResponseEvent::Done { finish, tokens: progress.tokens });
                }
                Some(FrameEvent::Refused(refused)) => {
                    if let Some(load) = refused.load {
                        self.view.record_load(self.node.now(), load);
                    }
                    return Err(AttemptError {
                        execution: Execution::NotRun,
                        reason: refused.reason,
                    });
                }
                Some(FrameEvent::Failed(failed)) if !failed.ran => {
                    return Err(AttemptError {
                        execution: Execution::NotRun,
                        reason: failed.reason,
                    });
                }
                Some(FrameEvent::Failed(failed)) => return Err(unknown(&failed.reason)),
                Some(FrameEvent::Gap) | None => {
                    let can_resume = matches!(job.payload, JobPayload::Completion { .. });
                    if !can_resume || !sent.resume(&self.links).await {
                        sent.cancel().await;
                        return Err(unknown("the answer was lost on its way"));
                    }
                }
                Some(FrameEvent::Dropped | FrameEvent::Held(_)) => {}
            }
        }
    }

    /// Abandons an attempt after the deadline, a disconnect of the client, or the shutdown.
    ///
    /// A call that is not idempotent is reported as not run only if the agent says so.
    async fn abandon(&self, job: &Job, sent: &mut SentAttempt) -> ResponseEvent {
        if job.is_idempotent() {
            sent.cancel().await;
            return ResponseEvent::Failed(deadline_exceeded(job));
        }
        if sent.cancel_and_check_not_run().await {
            let message = "its time was over before it started; it did not run";
            let failure = Failure::not_run(StatusCode::GATEWAY_TIMEOUT, "timeout", message);
            return ResponseEvent::Failed(failure.with_retry_after(Duration::from_secs(1)));
        }
        ResponseEvent::Failed(deadline_exceeded(job))
    }

    /// Candidates for a request. For a long prompt, waits a moment for the first load report of each
    /// endpoint: without its memory and prefill rate the prompt would be refused as too slow.
    async fn candidates_for(
        &self,
        job: &Job,
        progress: &RequestProgress,
    ) -> (RouteRequest, Vec<Candidate>) {
        let started = self.node.now();
        loop {
            let (req, candidates) = self.candidates(job, progress);
            let is_long = matches!(job.payload, JobPayload::Completion { .. })
                && req.prompt_tokens > req.limits.long_prompt_tokens;
            let unknown = candidates.iter().any(|c| c.load.kv_capacity == 0);
            let waited = self.node.now().saturating_sub(started);
            if !is_long || !unknown || waited >= FIRST_REPORT_WAIT {
                return (req, candidates);
            }
            tokio::time::sleep(FIRST_REPORT_CHECK_INTERVAL).await;
        }
    }

    fn candidates(&self, job: &Job, progress: &RequestProgress) -> (RouteRequest, Vec<Candidate>) {
        let config = self.node.config();
        let now = self.node.now();
        let candidates =
            self.view.candidates(now, &job.target, &config, &progress.avoid, &job.chain);
        let req = RouteRequest {
            prompt_tokens: job.prompt_tokens + progress.tokens,
            output_tokens: job.output_tokens.saturating_sub(progress.tokens),
            zone: self.node.zone.clone(),
            limits: config.limits.clone(),
        };
        (req, candidates)
    }

    fn choose(
        &self,
        job: &Job,
        progress: &RequestProgress,
        req: &RouteRequest,
        candidates: &[Candidate],
    ) -> Result<Route, Failure> {
        if candidates.is_empty() {
            return Err(self.no_endpoint(progress, "no endpoint is there for it now"));
        }
        let chosen = {
            let mut rng = self.rng.lock();
            self.router.choose(req, candidates, &mut rng)
        };
        let Some(chosen) = chosen else {
            return Err(self.too_large(job));
        };
        let candidate = &candidates[chosen];
        self.shed(job, progress, req, candidate)?;
        let prefill_tokens = job.prompt_tokens.saturating_sub(candidate.cached);
        let pending = PendingLoad {
            prefill_tokens,
            kv_reserved_tokens: job.prompt_tokens + job.output_tokens,
        };
        let route =
            self.view.record_sent(self.node.now(), &candidate.endpoint, pending, &job.chain);
        route.ok_or_else(|| self.no_endpoint(progress, "the endpoint has just left"))
    }

    /// Sheds load: refuses a new request whose predicted wait is too long.
    ///
    /// The retry delay is jittered, so that refused clients do not return at the same moment.
    fn shed(
        &self,
        job: &Job,
        progress: &RequestProgress,
        req: &RouteRequest,
        candidate: &Candidate,
    ) -> Result<(), Failure> {
        let fresh =
            progress.retry.attempts == 1 && matches!(job.payload, JobPayload::Completion { .. });
        if !fresh {
            return Ok(());
        }
        let unloaded_candidate = Candidate {
            load: crate::wire::Load {
                prefill_rate: candidate.load.prefill_rate,
                kv_capacity: candidate.load.kv_capacity,
                ..Default::default()
            },
            ..candidate.clone()
        };
        let cfg = Predicted::default();
        let estimate = first_token_estimate(&cfg, req, candidate);
        let unloaded_estimate = first_token_estimate(&cfg, req, &unloaded_candidate);
        let remaining = job.deadline.saturating_sub(self.node.now()).as_secs_f64();
        let objective = Duration::from_millis(job.workspace.objective_ms);
        let max_wait = match job.workspace.priority {
            Priority::Interactive => {
                (objective * MAX_QUEUEING_OBJECTIVES).as_secs_f64() + unloaded_estimate * 2.0
            }
            Priority::Batch => remaining / 2.0,
        };
        let wait = estimate - unloaded_estimate;
        if wait <= max_wait && estimate <= remaining {
            return Ok(());
        }
        let jitter = self.rng.lock().random_range(0.5..1.5);
        let after = duration_from_s((wait * jitter).clamp(1.0, 60.0));
        let message = format!("all endpoints are busy, the first token would take {estimate:.1} s");
        Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy", message)
            .with_retry_after(after))
    }

    fn no_endpoint(&self, progress: &RequestProgress, message: &str) -> Failure {
        let after = self.retry_delay();
        let status = StatusCode::SERVICE_UNAVAILABLE;
        match progress.tokens {
            0 => Failure::not_run(status, "no_endpoint", message).with_retry_after(after),
            _ => Failure::unknown(status, "no_endpoint", message).with_retry_after(after),
        }
    }

    pub(super) fn too_large(&self, job: &Job) -> Failure {
        let need = job.prompt_tokens + job.output_tokens;
        let max_capacity = self.view.max_kv_capacity(&job.target);
        let message = format!(
            "prompt and answer need {need} tokens of memory, the largest engine has \
             {max_capacity}; shorten the prompt"
        );
        Failure::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_large", message)
    }

    pub(super) fn retry_delay(&self) -> Duration {
        Duration::from_millis(self.rng.lock().random_range(1000..3000))
    }

    pub(super) fn build_dispatch(
        &self,
        job: &Job,
        progress: &RequestProgress,
        route: &Route,
    ) -> (Dispatch, Bytes) {
        let remaining = job.deadline.saturating_sub(self.node.now());
        let mut dispatch = Dispatch {
            request: job.request.to_string(),
            attempt: progress.retry.attempts,
            incarnation: route.incarnation,
            endpoint: route.endpoint.to_string(),
            remaining_ms: remaining.as_millis() as u64,
            workspace: job.workspace.name.to_string(),
            priority: job.priority_level(),
            weight: job.workspace.weight as u32,
            prompt_tokens: job.prompt_tokens + progress.tokens,
            output_tokens: job.output_tokens.saturating_sub(progress.tokens),
            claim: progress.claim,
            ..Dispatch::default()
        };
        let body = match &job.payload {
            JobPayload::Completion { body, chat } => {
                dispatch.chat = *chat;
                match progress.tokens {
                    0 => body.clone(),
                    _ => openai::continuation_body(
                        body,
                        *chat,
                        &progress.streamed,
                        dispatch.output_tokens,
                    ),
                }
            }
            JobPayload::Service { method, path, content_type, body, key, .. } => {
                dispatch.method.clone_from(method);
                dispatch.path.clone_from(path);
                dispatch.content_type.clone_from(content_type);
                dispatch.idempotency_key.clone_from(key);
                dispatch.claim_key = idempotency::claim_key(&job.target, key);
                body.clone()
            }
        };
        dispatch.body_len = body.len() as u64;
        dispatch.body_hash = xxh3_64(&body);
        (dispatch, body)
    }

    fn final_failure(&self, job: &Job, progress: &RequestProgress, error: AttemptError) -> Failure {
        let ran = progress.tokens > 0 || error.execution == Execution::Unknown;
        let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
        event!(self.node.log, RequestFailed, "request" => job.request.as_str(),
            "outcome" => outcome.name(), "reason" => error.reason.clone());
        match outcome {
            Outcome::NotRun => {
                Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused", error.reason)
                    .with_retry_after(self.retry_delay())
            }
            _ => Failure::unknown(StatusCode::BAD_GATEWAY, "lost", error.reason)
                .with_retry_after(self.retry_delay()),
        }
    }
}

fn deadline_exceeded(job: &Job) -> Failure {
    let message = match job.is_idempotent() {
        true => "no whole answer within its time",
        false => "no answer within its time; it may have run, ask again with the same key",
    };
    Failure::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", message)
        .with_retry_after(Duration::from_secs(1))
}
