//! Drives a request through its attempts to one final answer.

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
use super::booking;
use super::failure::{Failure, Outcome};
use super::fleet_view::{FleetView, PendingLoad, Route};
use super::limits::WorkspaceLimits;
use super::links::Links;
use super::openai;
use super::request::{Job, Work};
use super::retry::{Execution, RetryDecision, RetryState};
use super::router::group::needs_group;
use super::router::{Candidate, Predicted, RouteRequest, Router, first_token_estimate};
use crate::config::Priority;
use crate::event;
use crate::ids::EndpointName;
use crate::node::Node;
use crate::plain;
use crate::wire::Dispatch;
use crate::wire::link::LinkError;

/// Parts that may wait for a slow caller.
const PARTS_QUEUE: usize = 64;

/// Queueing time that an interactive request accepts, in objectives.
const PATIENCE: u32 = 4;

plain! {
    /// What a request's caller gets to see.
    pub enum Progress {
        /// Status of a plain service's answer.
        Head {
            /// HTTP status.
            status: u16,
            /// Content type.
            content_type: String,
        },
        /// Next part of the answer.
        Data(Bytes),
        /// The answer is whole.
        Done {
            /// stop or length.
            finish: String,
            /// Tokens of the answer.
            tokens: u64,
        },
        /// The request failed.
        Failed(Failure),
    }
}

/// What all requests of an entry share.
pub struct Driver {
    /// This node.
    pub node: Arc<Node>,
    /// Endpoints.
    pub view: Arc<FleetView>,
    /// Links to agents.
    pub links: Links,
    /// Limits of workspaces.
    pub limits: Arc<WorkspaceLimits>,
    /// The way to choose.
    pub router: Box<dyn Router>,
    /// Random source of choices and pauses.
    pub rng: Mutex<ChaCha8Rng>,
}

/// State of one request between attempts.
pub(super) struct Course {
    pub(super) plan: RetryState,
    avoid: Vec<EndpointName>,
    pub(super) streamed: String,
    pub(super) tokens: u64,
    claim: u64,
}

/// End of an attempt that is not the end of its request.
pub(super) struct Setback {
    pub(super) execution: Execution,
    pub(super) reason: String,
}

impl Driver {
    /// Seeded random source.
    pub fn seeded(seed: u64) -> Mutex<ChaCha8Rng> {
        Mutex::new(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Starts a request; dropping the receiver gives it up.
    pub fn start(
        self: &Arc<Self>,
        job: Job,
        claim: u64,
        cx: CancellationToken,
    ) -> mpsc::Receiver<Progress> {
        let (tx, rx) = mpsc::channel(PARTS_QUEUE);
        let driver = Arc::clone(self);
        tokio::spawn(async move {
            let last = driver.drive(&job, claim, &tx, &cx).await;
            let _ = tx.send(last).await;
        });
        rx
    }

    async fn drive(
        &self,
        job: &Job,
        claim: u64,
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Progress {
        let percent = self.node.config().limits.retry_percent;
        self.limits.with_retry_budget(&job.workspace.name, |b| b.deposit(percent));
        let idempotent = job.is_idempotent();
        let plan = RetryState { idempotent, deadline: job.deadline, attempts: 0 };
        let mut course =
            Course { plan, avoid: Vec::new(), streamed: String::new(), tokens: 0, claim };
        let left = job.deadline.saturating_sub(self.node.now());
        let whole = self.attempt_until_done(job, &mut course, tx, cx);
        let ended = tokio::select! {
            ended = whole => Some(ended),
            () = sleep(left + Duration::from_millis(500)) => None,
        };
        ended.unwrap_or_else(|| Progress::Failed(late(job)))
    }

    async fn attempt_until_done(
        &self,
        job: &Job,
        course: &mut Course,
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Progress {
        loop {
            course.plan.attempts += 1;
            let setback = match self.attempt(job, course, tx, cx).await {
                Ok(last) => return last,
                Err(setback) => setback,
            };
            let next = self.limits.with_retry_budget(&job.workspace.name, |budget| {
                let mut rng = self.rng.lock();
                course.plan.decide(self.node.now(), &setback.execution, budget, &mut rng)
            });
            let RetryDecision::RetryAfter(pause) = next else {
                return Progress::Failed(self.final_failure(job, course, setback));
            };
            self.node.metrics.retries.inc();
            event!(self.node.log, AttemptRetried,
                "request" => job.request.as_str(), "reason" => setback.reason);
            sleep(pause).await;
        }
    }

    async fn attempt(
        &self,
        job: &Job,
        course: &mut Course,
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Result<Progress, Setback> {
        let (req, candidates) = self.candidates(job, course);
        if matches!(job.work, Work::Completion { .. })
            && !candidates.is_empty()
            && needs_group(&req, &candidates)
        {
            return self.attempt_group(job, course, &req, &candidates, tx, cx).await;
        }
        let route = match self.choose(job, course, &req, &candidates) {
            Ok(route) => route,
            Err(failure) => return Ok(Progress::Failed(failure)),
        };
        let (dispatch, body) = self.build_dispatch(job, course, &route);
        let sent = SentAttempt::send(&self.links, route.clone(), dispatch, body).await;
        let mut sent = match sent {
            Ok(sent) => sent,
            Err(e) => {
                self.view.record_result(self.node.now(), &route.endpoint, false);
                course.avoid.push(route.endpoint);
                let not_sent = matches!(e, LinkError::Connect { .. });
                let execution = if not_sent { Execution::NotRun } else { Execution::Unknown };
                return Err(Setback { execution, reason: e.to_string() });
            }
        };
        let read = self.read_parts(job, course, &mut sent, tx, cx).await;
        if read.is_err() {
            course.avoid.push(route.endpoint.clone());
        }
        let success = match &read {
            Ok(Progress::Done { .. }) => Some(true),
            Err(Setback { execution: Execution::Unknown, .. }) => Some(false),
            _ => None,
        };
        if let Some(success) = success {
            self.view.record_result(self.node.now(), &route.endpoint, success);
        }
        read
    }

    pub(super) async fn read_parts(
        &self,
        job: &Job,
        course: &mut Course,
        sent: &mut SentAttempt,
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Result<Progress, Setback> {
        loop {
            let left = job.deadline.saturating_sub(self.node.now());
            let part = tokio::select! {
                biased;
                () = cx.cancelled() => return Ok(self.give_up(job, sent).await),
                () = tx.closed() => return Ok(self.give_up(job, sent).await),
                () = sleep(left) => return Ok(self.give_up(job, sent).await),
                part = sent.next() => part,
            };
            let unknown =
                |reason: &str| Setback { execution: Execution::Unknown, reason: reason.to_owned() };
            match part {
                Some(FrameEvent::Data { data, len }) => {
                    course.tokens += len;
                    if matches!(job.work, Work::Completion { .. }) {
                        course.streamed.push_str(&String::from_utf8_lossy(&data));
                    }
                    let _ = tx.send(Progress::Data(data)).await;
                }
                Some(FrameEvent::Head { status, content_type }) => {
                    let _ = tx.send(Progress::Head { status, content_type }).await;
                }
                Some(FrameEvent::End { finish }) => {
                    return Ok(Progress::Done { finish, tokens: course.tokens });
                }
                Some(FrameEvent::Refused(refused)) => {
                    if let Some(load) = refused.load {
                        self.view.record_load(self.node.now(), load);
                    }
                    return Err(Setback { execution: Execution::NotRun, reason: refused.reason });
                }
                Some(FrameEvent::Failed(failed)) if !failed.ran => {
                    return Err(Setback { execution: Execution::NotRun, reason: failed.reason });
                }
                Some(FrameEvent::Failed(failed)) => return Err(unknown(&failed.reason)),
                Some(FrameEvent::Gap) | None => {
                    let may_resume = matches!(job.work, Work::Completion { .. });
                    if !may_resume || !sent.resume(&self.links).await {
                        sent.cancel().await;
                        return Err(unknown("the answer was lost on its way"));
                    }
                }
                Some(FrameEvent::Dropped | FrameEvent::Held(_)) => {}
            }
        }
    }

    /// Ends a request whose time is over or whose caller has left.
    async fn give_up(&self, job: &Job, sent: &mut SentAttempt) -> Progress {
        if job.is_idempotent() {
            sent.cancel().await;
            return Progress::Failed(late(job));
        }
        if sent.cancel_and_ask().await {
            let text = "its time was over before it started; it did not run";
            let failure = Failure::not_run(StatusCode::GATEWAY_TIMEOUT, "timeout", text);
            return Progress::Failed(failure.after(Duration::from_secs(1)));
        }
        Progress::Failed(late(job))
    }

    fn candidates(&self, job: &Job, course: &Course) -> (RouteRequest, Vec<Candidate>) {
        let config = self.node.config();
        let now = self.node.now();
        let candidates = self.view.candidates(now, &job.target, &config, &course.avoid, &job.chain);
        let req = RouteRequest {
            prompt_tokens: job.prompt_tokens + course.tokens,
            output_tokens: job.output_tokens.saturating_sub(course.tokens),
            zone: self.node.zone.clone(),
            limits: config.limits.clone(),
        };
        (req, candidates)
    }

    fn choose(
        &self,
        job: &Job,
        course: &Course,
        req: &RouteRequest,
        candidates: &[Candidate],
    ) -> Result<Route, Failure> {
        if candidates.is_empty() {
            return Err(self.no_endpoint(course, "no endpoint is there for it now"));
        }
        let chosen = {
            let mut rng = self.rng.lock();
            self.router.choose(req, candidates, &mut rng)
        };
        let Some(chosen) = chosen else {
            return Err(self.too_large(job));
        };
        let candidate = &candidates[chosen];
        self.shed(job, course, req, candidate)?;
        let prefill = job.prompt_tokens.saturating_sub(candidate.cached);
        let pending = PendingLoad { prefill, memory: job.prompt_tokens + job.output_tokens };
        let route =
            self.view.record_sent(self.node.now(), &candidate.endpoint, pending, &job.chain);
        route.ok_or_else(|| self.no_endpoint(course, "the endpoint has just left"))
    }

    /// Refuses a fresh request that would wait too long, with a spread time to come back.
    fn shed(
        &self,
        job: &Job,
        course: &Course,
        req: &RouteRequest,
        candidate: &Candidate,
    ) -> Result<(), Failure> {
        let fresh = course.plan.attempts == 1 && matches!(job.work, Work::Completion { .. });
        if !fresh {
            return Ok(());
        }
        let idle = Candidate {
            load: crate::wire::Load {
                prefill_rate: candidate.load.prefill_rate,
                kv_capacity: candidate.load.kv_capacity,
                ..Default::default()
            },
            ..candidate.clone()
        };
        let cfg = Predicted::default();
        let estimate = first_token_estimate(&cfg, req, candidate);
        let own = first_token_estimate(&cfg, req, &idle);
        let left = job.deadline.saturating_sub(self.node.now()).as_secs_f64();
        let objective = Duration::from_millis(job.workspace.objective_ms);
        let most_wait = match job.workspace.priority {
            Priority::Interactive => (objective * PATIENCE).as_secs_f64() + own * 2.0,
            Priority::Batch => left / 2.0,
        };
        let wait = estimate - own;
        if wait <= most_wait && estimate <= left {
            return Ok(());
        }
        let spread = self.rng.lock().random_range(0.5..1.5);
        let after = Duration::from_secs_f64((wait * spread).clamp(1.0, 60.0));
        let text = format!("all endpoints are busy, the first token would take {estimate:.1} s");
        Err(Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "busy", text).after(after))
    }

    fn no_endpoint(&self, course: &Course, text: &str) -> Failure {
        let after = self.spread_pause();
        let status = StatusCode::SERVICE_UNAVAILABLE;
        match course.tokens {
            0 => Failure::not_run(status, "no_endpoint", text).after(after),
            _ => Failure::unknown(status, "no_endpoint", text).after(after),
        }
    }

    pub(super) fn too_large(&self, job: &Job) -> Failure {
        let need = job.prompt_tokens + job.output_tokens;
        let most = self.view.max_kv_capacity(&job.target);
        let text = format!(
            "prompt and answer need {need} tokens of memory, the largest engine has {most}; \
             shorten the prompt"
        );
        Failure::not_run(StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_large", text)
    }

    pub(super) fn spread_pause(&self) -> Duration {
        Duration::from_millis(self.rng.lock().random_range(1000..3000))
    }

    pub(super) fn build_dispatch(
        &self,
        job: &Job,
        course: &Course,
        route: &Route,
    ) -> (Dispatch, Bytes) {
        let left = job.deadline.saturating_sub(self.node.now());
        let mut dispatch = Dispatch {
            request: job.request.to_string(),
            attempt: course.plan.attempts,
            incarnation: route.incarnation,
            endpoint: route.endpoint.to_string(),
            remaining_ms: left.as_millis() as u64,
            workspace: job.workspace.name.to_string(),
            priority: job.level(),
            weight: job.workspace.weight as u32,
            prompt_tokens: job.prompt_tokens + course.tokens,
            output_tokens: job.output_tokens.saturating_sub(course.tokens),
            claim: course.claim,
            ..Dispatch::default()
        };
        let body = match &job.work {
            Work::Completion { body, chat } => {
                dispatch.chat = *chat;
                match course.tokens {
                    0 => body.clone(),
                    _ => {
                        openai::continue_body(body, *chat, &course.streamed, dispatch.output_tokens)
                    }
                }
            }
            Work::Service { method, path, content_type, body, key, .. } => {
                dispatch.method.clone_from(method);
                dispatch.path.clone_from(path);
                dispatch.content_type.clone_from(content_type);
                dispatch.idempotency_key.clone_from(key);
                dispatch.claim_key = booking::claim_key(&job.target, key);
                body.clone()
            }
        };
        dispatch.body_len = body.len() as u64;
        dispatch.body_hash = xxh3_64(&body);
        (dispatch, body)
    }

    fn final_failure(&self, job: &Job, course: &Course, setback: Setback) -> Failure {
        let ran = course.tokens > 0 || setback.execution == Execution::Unknown;
        let outcome = if ran { Outcome::Unknown } else { Outcome::NotRun };
        event!(self.node.log, RequestFailed, "request" => job.request.as_str(),
            "outcome" => outcome.name(), "reason" => setback.reason.clone());
        match outcome {
            Outcome::NotRun => {
                Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "refused", setback.reason)
                    .after(self.spread_pause())
            }
            _ => Failure::unknown(StatusCode::BAD_GATEWAY, "lost", setback.reason)
                .after(self.spread_pause()),
        }
    }
}

fn late(job: &Job) -> Failure {
    let text = match job.is_idempotent() {
        true => "no whole answer within its time",
        false => "no answer within its time; it may have run, ask again with the same key",
    };
    Failure::unknown(StatusCode::GATEWAY_TIMEOUT, "timeout", text).after(Duration::from_secs(1))
}
