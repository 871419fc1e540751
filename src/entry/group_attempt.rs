//! Attempts with a group of engines, for prompts that exceed the memory of every single one.
//!
//! The prompt is split into segments, one per engine. First the memory of all segments is
//! reserved, or of none. Then each engine prefills its segment on top of the KV caches of the
//! earlier ones, and the last engine generates the response.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use viz::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::assembly::FrameEvent;
use super::attempt::SentAttempt;
use super::driver::{AttemptError, Driver, RequestProgress, ResponseEvent};
use super::failure::Failure;
use super::fleet_view::PendingLoad;
use super::openai;
use super::request::{Job, JobPayload};
use super::retry::Execution;
use super::router::group::{GroupError, plan_group};
use super::router::{Candidate, RouteRequest};
use crate::ids::EndpointName;
use crate::wire::KvSource;

/// Longest wait for the reservation of one segment's memory.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Attempt numbers set aside for one group attempt: each segment is an attempt with its own number.
const ATTEMPT_NUMBERS_PER_GROUP: u32 = 100;

/// Failure of an attempt that did not run.
fn not_run(reason: impl Into<String>) -> AttemptError {
    AttemptError { execution: Execution::NotRun, reason: reason.into() }
}

/// Failure of an attempt that may have run.
fn unknown(reason: impl Into<String>) -> AttemptError {
    AttemptError { execution: Execution::Unknown, reason: reason.into() }
}

impl Driver {
    /// Makes one attempt with a group of engines.
    ///
    /// Dropping the attempt of a segment cancels it and releases its memory, so that every early
    /// return frees the whole group.
    pub(super) async fn attempt_group(
        &self,
        job: &Job,
        progress: &mut RequestProgress,
        req: &RouteRequest,
        candidates: &[Candidate],
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> Result<ResponseEvent, AttemptError> {
        let members = match plan_group(req, candidates) {
            Ok(members) => members,
            Err(GroupError::TooLarge) => return Ok(ResponseEvent::Failed(self.too_large(job))),
            Err(GroupError::Busy) => return Ok(ResponseEvent::Failed(self.groups_busy())),
        };
        let Some(bodies) = self.split_prompt(job, progress, members.len()) else {
            return Ok(ResponseEvent::Failed(self.too_large(job)));
        };
        let names: Vec<EndpointName> =
            members.iter().map(|i| candidates[*i].endpoint.clone()).collect();
        let mut group = self.reserve_segments(job, progress, &names, bodies).await?;
        let Some(mut last) = group.pop() else { return Err(not_run("an empty group")) };
        let mut sources: Vec<KvSource> = Vec::new();
        for segment in &mut group {
            let held = self.prefill_segment(job, segment, &sources, tx, cx).await?;
            sources.push(held);
        }
        if !last.start_prefill(sources).await {
            return Err(unknown("the link to the last engine was lost"));
        }
        self.read_response(job, progress, &mut last, tx, cx).await
    }

    fn split_prompt(
        &self,
        job: &Job,
        progress: &RequestProgress,
        segments: usize,
    ) -> Option<Vec<Bytes>> {
        let JobPayload::Completion { body, chat: false } = &job.payload else { return None };
        let remaining = job.output_tokens.saturating_sub(progress.tokens);
        let full_body = match progress.tokens {
            0 => body.clone(),
            _ => openai::continuation_body(body, false, &progress.streamed, remaining),
        };
        openai::split_body(&full_body, segments)
    }

    fn groups_busy(&self) -> Failure {
        let text = "no group of engines is free for a prompt of this length now";
        let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "groups_busy", text);
        failure.with_retry_after(self.retry_delay() * 5)
    }

    /// Reserves the memory of all segments, or of none.
    ///
    /// Engines are asked in the order of their names, the same on every entry.
    async fn reserve_segments(
        &self,
        job: &Job,
        progress: &mut RequestProgress,
        names: &[EndpointName],
        bodies: Vec<Bytes>,
    ) -> Result<Vec<SentAttempt>, AttemptError> {
        let segments = names.len() as u32;
        let prompt_tokens = job.prompt_tokens + progress.tokens;
        let mut group = Vec::new();
        for (segment, (name, body)) in (1u32..).zip(names.iter().zip(bodies)) {
            let segment_tokens = prompt_tokens.div_ceil(u64::from(segments));
            let pending =
                PendingLoad { prefill_tokens: segment_tokens, kv_reserved_tokens: segment_tokens };
            let route = self.view.record_sent(self.node.now(), name, pending, &job.chain);
            let Some(route) = route else { return Err(not_run("an engine has just left")) };
            let (mut dispatch, _) = self.build_dispatch(job, progress, &route);
            dispatch.attempt = progress.retry.attempts * ATTEMPT_NUMBERS_PER_GROUP + segment;
            dispatch.segment = segment;
            dispatch.segments = segments;
            dispatch.prompt_tokens = segment_tokens;
            if segment < segments {
                dispatch.output_tokens = 0;
            }
            dispatch.body_len = body.len() as u64;
            dispatch.body_hash = xxh3_64(&body);
            let sent = SentAttempt::send(&self.links, route, dispatch, body).await;
            let mut sent = sent.map_err(|e| not_run(e.to_string()))?;
            match timeout(RESERVE_TIMEOUT, sent.next()).await {
                Ok(Some(FrameEvent::Held(None))) => group.push(sent),
                Ok(Some(FrameEvent::Refused(refused))) => return Err(not_run(refused.reason)),
                _ => return Err(not_run("an engine did not reserve its memory in time")),
            }
        }
        Ok(group)
    }

    /// Starts the prefill of one segment and returns where its KV cache is held.
    async fn prefill_segment(
        &self,
        job: &Job,
        segment: &mut SentAttempt,
        sources: &[KvSource],
        tx: &mpsc::Sender<ResponseEvent>,
        cx: &CancellationToken,
    ) -> Result<KvSource, AttemptError> {
        if !segment.start_prefill(sources.to_vec()).await {
            return Err(unknown("the link to an engine of the group was lost"));
        }
        let remaining = job.deadline.saturating_sub(self.node.now());
        tokio::select! {
            biased;
            () = cx.cancelled() => Err(unknown("stopped")),
            () = tx.closed() => Err(unknown("the caller has left")),
            () = sleep(remaining) => Err(unknown("its time was over")),
            frame_event = segment.next() => match frame_event {
                Some(FrameEvent::Held(Some(source))) => Ok(source),
                Some(FrameEvent::Failed(failed)) => Err(unknown(failed.reason)),
                _ => Err(unknown("an engine of the group was lost")),
            },
        }
    }
}
