//! Passes an answer on as it arrives, where the memory budget has no room to collect it.
//!
//! Collected answers of callers that do not read may use up their share for seconds. Answers to other
//! callers need no more than the window of a stream then; what is lost is that a broken one could be
//! retried.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::active_request::{ActiveRequest, MAX_ANSWER_BYTES};
use super::choose::Placement;
use super::crashes::watch::record_whole_answer;
use super::request_watch::RequestWatch;
use super::responses::ResponseBody;
use super::send::EndpointResponse;
use super::state::Gateway;
use super::stream_window::{EventSender, Forwarded, SLOW_CALLER_WAIT, event_queue};
use crate::clock::boot_now;
use crate::ids::Moment;
use crate::panics::work_on_request;

/// An answer on its way from an endpoint to a caller.
struct PassedAnswer {
    gateway: Arc<Gateway>,
    response: EndpointResponse,
    /// Keeps the send counted until the answer ends.
    placement: Placement,
    deadline: Moment,
}

/// Starts to pass an answer on, and returns the body for the caller. `collected` is what was read of
/// it before.
pub fn start(
    req: &ActiveRequest,
    response: EndpointResponse,
    placement: Placement,
    collected: Bytes,
) -> ResponseBody {
    let (tx, body) = event_queue(Arc::clone(&req.gateway.memory));
    let answer = PassedAnswer {
        gateway: Arc::clone(&req.gateway),
        response,
        placement,
        deadline: req.deadline,
    };
    let (watch, id) = (RequestWatch::new(req), req.caller.id.clone());
    tokio::spawn(async move {
        if work_on_request(id, answer.run(tx, collected)).await.is_err() {
            watch.record_panic();
        }
    });
    body
}

impl PassedAnswer {
    async fn run(mut self, tx: EventSender, collected: Bytes) {
        let mut passed_bytes = collected.len();
        if !collected.is_empty() && tx.send_held(collected).await != Forwarded::Queued {
            return;
        }
        let mut longest_caller_wait = Duration::ZERO;
        let endpoint = self.placement.endpoint.id.clone();
        loop {
            let limit = self.remaining();
            let frame = tokio::select! {
                biased;
                () = tx.closed() => return,
                frame = timeout(limit, self.response.body.frame()) => frame,
            };
            let chunk = match frame {
                Ok(None) => break,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Err(_) => return tx.fail("the answer did not end in time").await,
                Ok(Some(Err(_))) => {
                    // An endpoint cuts off an answer that its caller leaves unread.
                    if longest_caller_wait < SLOW_CALLER_WAIT {
                        self.gateway.health.lock().record_failure(boot_now(), &endpoint);
                        self.response.open.lose();
                    }
                    return tx.fail("the answer broke off").await;
                }
            };
            passed_bytes += chunk.len();
            if passed_bytes > MAX_ANSWER_BYTES {
                self.gateway.health.lock().record_failure(boot_now(), &endpoint);
                return tx.fail("the answer is too large").await;
            }
            let sent_at = boot_now();
            if tx.send(chunk, self.remaining()).await != Forwarded::Queued {
                return tx.fail("no memory for the answer").await;
            }
            longest_caller_wait = longest_caller_wait.max(boot_now().saturating_sub(sent_at));
        }
        tx.finish().await;
        self.finish();
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(boot_now())
    }

    /// Records that the answer is complete, and keeps the connection.
    fn finish(self) {
        let EndpointResponse { parts, head, conn, mut open, .. } = self.response;
        if !head.closes_connection {
            self.gateway.pool.put(conn, head.keep_alive);
        }
        record_whole_answer(&parts, &mut open);
        if parts.status.is_success() {
            let endpoint = &self.placement.endpoint.id;
            self.gateway.health.lock().record_success(boot_now(), endpoint, None);
        }
    }
}
