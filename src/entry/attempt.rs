//! One attempt on a connection to an agent: sending, reading frames, resuming, cancelling.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::assembly::{Assembly, FrameEvent};
use super::fleet_view::Route;
use super::link_pool::LinkPool;
use crate::faults::{self, Fault};
use crate::ids::AttemptNumber;
use crate::wire::envelope::Body;
use crate::wire::link::{Call, LinkError};
use crate::wire::{BodyPart, Cancel, Dispatch, Go, KvSource, Resume};

/// Largest part of a request body in one frame, in bytes.
const BODY_PART_BYTES: usize = 64 * 1024;

/// Longest wait for sending a cancellation, and for the reply to it.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(400);

/// An attempt that was sent to an agent.
///
/// Dropping it cancels the attempt unless its last frame was received.
pub struct SentAttempt {
    request: String,
    attempt: AttemptNumber,
    route: Route,
    call: Call,
    assembly: Assembly,
    resumed: bool,
}

impl SentAttempt {
    /// Sends the dispatch message and the request body in parts.
    ///
    /// # Errors
    /// `Connect` if the dispatch was not sent, so the attempt cannot run; `Lost` if the connection
    /// broke later, so the attempt may run.
    pub async fn send(
        links: &LinkPool,
        route: Route,
        dispatch: Dispatch,
        body: Bytes,
    ) -> Result<Self, LinkError> {
        let link = links.get(route.address).await?;
        let call = link.open();
        let request = dispatch.request.clone();
        let attempt = dispatch.attempt;
        faults::inject("entry.dispatch");
        call.send(Body::Dispatch(dispatch)).await.map_err(|_| LinkError::Connect {
            addr: route.address,
            reason: "link lost before the dispatch".into(),
        })?;
        faults::inject("entry.dispatched");
        let assembly = Assembly::new(&request, attempt);
        let sent = Self { request, attempt, route, call, assembly, resumed: false };
        for start in (0..body.len()).step_by(BODY_PART_BYTES) {
            let data = body.slice(start..(start + BODY_PART_BYTES).min(body.len()));
            sent.call.send(Body::BodyPart(BodyPart { data })).await?;
        }
        Ok(sent)
    }

    /// Returns the next frame event of this attempt, or `None` once the connection is lost.
    pub async fn next(&mut self) -> Option<FrameEvent> {
        loop {
            let body = self.call.next().await?;
            if faults::inject("entry.frame") == Some(Fault::Drop) {
                continue;
            }
            match self.assembly.accept(body) {
                FrameEvent::Dropped => {}
                part => return Some(part),
            }
        }
    }

    /// Resumes the response at the current offset after a lost connection or a gap.
    ///
    /// Returns false if that fails, or if the attempt was resumed before.
    pub async fn resume(&mut self, links: &LinkPool) -> bool {
        if std::mem::replace(&mut self.resumed, true) {
            return false;
        }
        let Ok(link) = links.get(self.route.address).await else { return false };
        let call = link.open();
        let resume = Resume {
            request: self.request.clone(),
            attempt: self.attempt,
            incarnation: self.route.incarnation,
            offset: self.assembly.offset(),
        };
        if call.send(Body::Resume(resume)).await.is_err() {
            return false;
        }
        self.call = call;
        true
    }

    /// Starts the prefill of a segment on top of the KV caches in `sources`.
    ///
    /// Returns false if the connection is lost.
    pub async fn start_prefill(&self, sources: Vec<KvSource>) -> bool {
        let (request, attempt) = (self.request.clone(), self.attempt);
        self.call.send(Body::Go(Go { request, attempt, sources })).await.is_ok()
    }

    fn cancel_message(&self) -> Body {
        Body::Cancel(Cancel { request: self.request.clone(), attempt: self.attempt })
    }

    /// Cancels the attempt without waiting for a reply.
    pub async fn cancel(&self) {
        let _ = timeout(CANCEL_TIMEOUT, self.call.send(self.cancel_message())).await;
    }

    /// Cancels the attempt and returns true only if the agent replies in time that it did not run.
    pub async fn cancel_and_check_not_run(&mut self) -> bool {
        self.cancel().await;
        let did_not_run = async {
            loop {
                match self.next().await {
                    Some(FrameEvent::Refused(_)) => return true,
                    Some(FrameEvent::Failed(f)) => return !f.ran,
                    Some(FrameEvent::End { .. }) | None => return false,
                    Some(_) => {}
                }
            }
        };
        timeout(CANCEL_TIMEOUT, did_not_run).await.unwrap_or(false)
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.assembly.has_ended() {
            self.call.try_send(self.cancel_message());
        }
    }
}
