//! One attempt on a link: sending it, reading its frames, resuming it, cancelling it.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::assembly::{Assembly, FrameEvent};
use super::fleet_view::Route;
use super::links::Links;
use crate::faults::{self, Fault};
use crate::ids::AttemptNumber;
use crate::wire::envelope::Body;
use crate::wire::link::{Call, LinkError};
use crate::wire::{BodyPart, Cancel, Dispatch, Go, KvSource, Resume};

/// Bytes of a body in one frame.
const PART_BYTES: usize = 64 * 1024;

/// Longest wait for the answer to a cancel.
const CANCEL_LIMIT: Duration = Duration::from_millis(400);

/// An attempt that was sent.
pub struct SentAttempt {
    request: String,
    attempt: AttemptNumber,
    route: Route,
    call: Call,
    assembly: Assembly,
    resumed: bool,
}

impl SentAttempt {
    /// Sends a dispatch and its body.
    ///
    /// # Errors
    /// `Connect` means that nothing left this process; after `Lost` a part may have arrived.
    pub async fn send(
        links: &Links,
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
        for at in (0..body.len()).step_by(PART_BYTES) {
            let data = body.slice(at..(at + PART_BYTES).min(body.len()));
            sent.call.send(Body::BodyPart(BodyPart { data })).await?;
        }
        Ok(sent)
    }

    /// Next part of the answer; `None` once the link is lost.
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

    /// Attaches again after a lost link or a gap; false when the attempt cannot go on.
    pub async fn resume(&mut self, links: &Links) -> bool {
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

    /// Lets a segment be read after those whose memory it builds on.
    pub async fn start_prefill(&self, sources: Vec<KvSource>) -> bool {
        let (request, attempt) = (self.request.clone(), self.attempt);
        self.call.send(Body::Go(Go { request, attempt, sources })).await.is_ok()
    }

    fn cancel_message(&self) -> Body {
        Body::Cancel(Cancel { request: self.request.clone(), attempt: self.attempt })
    }

    /// Cancels the attempt without waiting for an answer.
    pub async fn cancel(&self) {
        let _ = timeout(CANCEL_LIMIT, self.call.send(self.cancel_message())).await;
    }

    /// Cancels the attempt and tells whether it surely did not run.
    pub async fn cancel_and_ask(&mut self) -> bool {
        self.cancel().await;
        let refused = async {
            loop {
                match self.next().await {
                    Some(FrameEvent::Refused(_)) => return true,
                    Some(FrameEvent::Failed(f)) => return !f.ran,
                    Some(FrameEvent::End { .. }) | None => return false,
                    Some(_) => {}
                }
            }
        };
        timeout(CANCEL_LIMIT, refused).await.unwrap_or(false)
    }
}

impl Drop for SentAttempt {
    fn drop(&mut self) {
        if !self.assembly.has_ended() {
            self.call.post(self.cancel_message());
        }
    }
}
