//! Records outcomes of bookings in the replicated log.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::control::claims::DONE;
use crate::engine::ServiceAnswer;
use crate::event;
use crate::node::Node;
use crate::wire::{Command, Dispatch, Settle, command};

/// Time that the answer waits for its record.
const WAIT: Duration = Duration::from_millis(1000);

/// Time that recording goes on in the background.
const LIMIT: Duration = Duration::from_secs(120);

/// Largest answer that is kept for a repeated key, in bytes.
pub const MAX_KEPT_BODY: usize = 64 * 1024;

/// Sends outcomes to control until they are committed.
pub struct Settler {
    node: Arc<Node>,
    cx: CancellationToken,
}

impl Settler {
    /// Builds a settler that works until cancelled.
    pub fn new(node: Arc<Node>, cx: CancellationToken) -> Self {
        Self { node, cx }
    }

    /// Records that a booking ran to its answer; goes on in the background after a while.
    pub async fn settle_done(&self, dispatch: &Dispatch, answer: &ServiceAnswer) {
        let body = match answer.body.len() {
            len if len <= MAX_KEPT_BODY => answer.body.clone(),
            _ => bytes::Bytes::new(),
        };
        self.settle(Settle {
            workspace: dispatch.workspace.clone(),
            key: dispatch.claim_key.clone(),
            claim: dispatch.claim,
            outcome: DONE.into(),
            status: u32::from(answer.status),
            content_type: answer.content_type.clone(),
            body,
        })
        .await;
    }

    /// Records an outcome.
    pub async fn settle(&self, settle: Settle) {
        let node = Arc::clone(&self.node);
        let cx = self.cx.clone();
        let task = tokio::spawn(async move {
            let kind = Some(command::Kind::Settle(settle));
            let command = Command { wall_ms: 0, operation: String::new(), kind };
            let recorded = tokio::select! {
                () = cx.cancelled() => return,
                recorded = node.control.commit(command, LIMIT) => recorded,
            };
            if recorded.is_err() {
                event!(node.log, SettleDelayed, "reason" => "no leader answered, given up");
            }
        });
        if timeout(WAIT, task).await.is_err() {
            event!(self.node.log, SettleDelayed, "reason" => "no quorum yet");
        }
    }
}
