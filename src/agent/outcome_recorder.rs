//! Records the outcomes of service calls with an idempotency key in control's replicated log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::control::claims::OUTCOME_DONE;
use crate::engine::ServiceResponse;
use crate::event;
use crate::node::Node;
use crate::wire::{Command, Dispatch, Settle, command};

/// Time for which a response is delayed until its outcome is committed; after it the response is
/// sent and recording goes on in the background.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(1000);

/// Time after which recording is abandoned when no leader has acknowledged the outcome.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest response body that is stored with an outcome, in bytes; of a larger one an empty body is
/// stored.
pub const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Sends outcomes to control and retries until they are committed.
pub struct OutcomeRecorder {
    node: Arc<Node>,
    cx: CancellationToken,
}

impl OutcomeRecorder {
    /// Builds a recorder whose background tasks end when `cx` is cancelled.
    pub fn new(node: Arc<Node>, cx: CancellationToken) -> Self {
        Self { node, cx }
    }

    /// Records that a service call ran and was answered; waits as [`Self::record`] does.
    pub async fn record_done(&self, dispatch: &Dispatch, response: &ServiceResponse) {
        let body = match response.body.len() {
            len if len <= MAX_STORED_BODY_BYTES => response.body.clone(),
            _ => bytes::Bytes::new(),
        };
        self.record(Settle {
            workspace: dispatch.workspace.clone(),
            key: dispatch.claim_key.clone(),
            claim: dispatch.claim,
            outcome: OUTCOME_DONE.into(),
            status: u32::from(response.status),
            content_type: response.content_type.clone(),
            body,
        })
        .await;
    }

    /// Records an outcome; returns once it is committed, or earlier with recording continued in the
    /// background for up to two minutes.
    pub async fn record(&self, settle: Settle) {
        let node = Arc::clone(&self.node);
        let cx = self.cx.clone();
        let task = tokio::spawn(async move {
            let kind = Some(command::Kind::Settle(settle));
            let command = Command { wall_ms: 0, operation: String::new(), kind };
            let committed = tokio::select! {
                () = cx.cancelled() => return,
                committed = node.control.commit(command, COMMIT_TIMEOUT) => committed,
            };
            if committed.is_err() {
                event!(node.log, SettleDelayed, "reason" => "no leader answered, giving up");
            }
        });
        if timeout(MAX_RESPONSE_DELAY, task).await.is_err() {
            event!(self.node.log, SettleDelayed, "reason" => "not committed yet, still trying");
        }
    }
}
