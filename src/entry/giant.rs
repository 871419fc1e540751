//! Prompts that a group of engines shares: all memory is reserved or none, then each engine
//! reads its part on top of the earlier ones, and the last one generates.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use viz::StatusCode;
use xxhash_rust::xxh3::xxh3_64;

use super::assembly::FrameEvent;
use super::attempt::SentAttempt;
use super::driver::{Course, Driver, Progress, Setback};
use super::failure::Failure;
use super::fleet_view::PendingLoad;
use super::openai;
use super::request::{Job, Work};
use super::retry::Execution;
use super::router::group::{GroupError, plan_group};
use super::router::{Candidate, RouteRequest};
use crate::ids::EndpointName;
use crate::wire::KvSource;

/// Longest wait for the memory of one segment.
const RESERVE_LIMIT: Duration = Duration::from_millis(2500);

/// Numbers of attempts that one try of a group may use.
const NUMBERS: u32 = 100;

fn not_run(reason: impl Into<String>) -> Setback {
    Setback { execution: Execution::NotRun, reason: reason.into() }
}

fn unknown(reason: impl Into<String>) -> Setback {
    Setback { execution: Execution::Unknown, reason: reason.into() }
}

impl Driver {
    /// Makes one attempt with a group; dropping a segment's attempt cancels and releases it.
    pub(super) async fn attempt_group(
        &self,
        job: &Job,
        course: &mut Course,
        req: &RouteRequest,
        candidates: &[Candidate],
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Result<Progress, Setback> {
        let members = match plan_group(req, candidates) {
            Ok(members) => members,
            Err(GroupError::TooLarge) => return Ok(Progress::Failed(self.too_large(job))),
            Err(GroupError::Busy) => return Ok(Progress::Failed(self.groups_busy())),
        };
        let Some(bodies) = self.split(job, course, members.len()) else {
            return Ok(Progress::Failed(self.too_large(job)));
        };
        let names: Vec<EndpointName> =
            members.iter().map(|i| candidates[*i].endpoint.clone()).collect();
        let mut group = self.reserve(job, course, &names, bodies).await?;
        let Some(mut last) = group.pop() else { return Err(not_run("an empty group")) };
        let mut sources: Vec<KvSource> = Vec::new();
        for segment in &mut group {
            let read = self.read_segment(job, segment, &sources, tx, cx).await?;
            sources.push(read);
        }
        if !last.go(sources).await {
            return Err(unknown("the link to the last engine was lost"));
        }
        self.read_parts(job, course, &mut last, tx, cx).await
    }

    fn split(&self, job: &Job, course: &Course, parts: usize) -> Option<Vec<Bytes>> {
        let Work::Completion { body, chat: false } = &job.work else { return None };
        let left = job.output_tokens.saturating_sub(course.tokens);
        let whole = match course.tokens {
            0 => body.clone(),
            _ => openai::continue_body(body, false, &course.streamed, left),
        };
        openai::split_body(&whole, parts)
    }

    fn groups_busy(&self) -> Failure {
        let text = "no group of engines is free for a prompt of this length now";
        let failure = Failure::not_run(StatusCode::SERVICE_UNAVAILABLE, "groups_busy", text);
        failure.after(self.spread_pause() * 5)
    }

    /// Reserves the memory of all segments, in the order of the engines' names, or of none.
    async fn reserve(
        &self,
        job: &Job,
        course: &mut Course,
        names: &[EndpointName],
        bodies: Vec<Bytes>,
    ) -> Result<Vec<SentAttempt>, Setback> {
        let segments = names.len() as u32;
        let prompt_tokens = job.prompt_tokens + course.tokens;
        let mut group = Vec::new();
        for (segment, (name, body)) in (1u32..).zip(names.iter().zip(bodies)) {
            let memory = prompt_tokens.div_ceil(u64::from(segments));
            let pending = PendingLoad { prefill: memory, memory };
            let route = self.view.record_sent(self.node.now(), name, pending, &job.chain);
            let Some(route) = route else { return Err(not_run("an engine has just left")) };
            let (mut dispatch, _) = self.build_dispatch(job, course, &route);
            dispatch.attempt = course.plan.attempts * NUMBERS + segment;
            dispatch.segment = segment;
            dispatch.segments = segments;
            dispatch.prompt_tokens = memory;
            if segment < segments {
                dispatch.output_tokens = 0;
            }
            dispatch.body_len = body.len() as u64;
            dispatch.body_hash = xxh3_64(&body);
            let sent = SentAttempt::send(&self.links, route, dispatch, body).await;
            let mut sent = sent.map_err(|e| not_run(e.to_string()))?;
            match timeout(RESERVE_LIMIT, sent.next()).await {
                Ok(Some(FrameEvent::Held(None))) => group.push(sent),
                Ok(Some(FrameEvent::Refused(refused))) => return Err(not_run(refused.reason)),
                _ => return Err(not_run("an engine did not reserve its memory in time")),
            }
        }
        Ok(group)
    }

    /// Has one segment read, and returns where its memory is held.
    async fn read_segment(
        &self,
        job: &Job,
        segment: &mut SentAttempt,
        sources: &[KvSource],
        tx: &mpsc::Sender<Progress>,
        cx: &CancellationToken,
    ) -> Result<KvSource, Setback> {
        if !segment.go(sources.to_vec()).await {
            return Err(unknown("the link to an engine of the group was lost"));
        }
        let left = job.deadline.saturating_sub(self.node.now());
        tokio::select! {
            biased;
            () = cx.cancelled() => Err(unknown("stopped")),
            () = tx.closed() => Err(unknown("the caller has left")),
            () = sleep(left) => Err(unknown("its time was over")),
            part = segment.next() => match part {
                Some(FrameEvent::Held(Some(source))) => Ok(source),
                Some(FrameEvent::Failed(failed)) => Err(unknown(failed.reason)),
                _ => Err(unknown("an engine of the group was lost")),
            },
        }
    }
}
