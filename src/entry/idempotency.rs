//! Idempotency keys of calls that are not idempotent.
//!
//! Before such a call is sent, its key is claimed in the replicated log, so that no entry sends
//! another call with the same key that could run a second time.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use viz::StatusCode;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::failure::Failure;
use super::request::{Job, JobPayload};
use crate::control::claims::{OUTCOME_NOT_RUN, OUTCOME_UNKNOWN};
use crate::derive_value;
use crate::event;
use crate::faults;
use crate::ids::Index;
use crate::node::Node;
use crate::wire::{Claim, Command, Settle, command};

/// Longest wait for a quorum to commit the claim before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a claim that another request holds is checked.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the deadline of the call at which a claim without an outcome counts as unknown.
const CLAIM_GRACE: Duration = Duration::from_secs(5);

/// Longest time that the release of a claim is tried in the background.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns the key under which a call is claimed: the target, which keeps the keys of different
/// services apart, and the idempotency key of the client.
pub fn claim_key(target: &str, key: &str) -> String {
    format!("{target}/{key}")
}

derive_value! {
    /// Outcome of claiming a key.
    pub enum ClaimOutcome {
        /// The key is claimed under this number; the call may be sent once.
        Granted(Index),
        /// An earlier call with this key has finished; its recorded response is replayed.
        Replayed(Settle),
        /// The call is refused without being sent.
        Rejected(Failure),
    }
}

/// Claims the key of a call, and waits while an earlier request with the same key is pending.
pub async fn claim(node: &Arc<Node>, job: &Job) -> ClaimOutcome {
    let JobPayload::Service { method, path, body, key, .. } = &job.payload else {
        return ClaimOutcome::Granted(0);
    };
    let digest = xxh3_64_with_seed(body, xxh3_64_with_seed(method.as_bytes(), 0))
        ^ xxh3_64_with_seed(path.as_bytes(), 1);
    let remaining = job.deadline.saturating_sub(node.now());
    let new_claim = Claim {
        workspace: job.workspace.name.to_string(),
        key: claim_key(&job.target, key),
        digest,
        request: job.request.to_string(),
        patience_ms: (remaining + CLAIM_GRACE).as_millis() as u64,
    };
    loop {
        let kind = Some(command::Kind::Claim(new_claim.clone()));
        let command = Command { wall_ms: 0, operation: String::new(), kind };
        faults::inject("entry.claim");
        let outcome = match node.control.commit(command, CLAIM_TIMEOUT).await {
            Ok(outcome) => outcome,
            Err(e) => return ClaimOutcome::Rejected(no_quorum(&e.to_string())),
        };
        faults::inject("entry.claimed");
        match (outcome.result.as_str(), outcome.settled) {
            ("ok", _) => return ClaimOutcome::Granted(outcome.number),
            ("exists", Some(settled)) => return replayed(settled),
            ("pending", _) if node.now() + PENDING_POLL_INTERVAL < job.deadline => {
                sleep(PENDING_POLL_INTERVAL).await;
            }
            ("pending", _) => return ClaimOutcome::Rejected(still_pending()),
            _ => return ClaimOutcome::Rejected(conflict()),
        }
    }
}

fn replayed(settled: Settle) -> ClaimOutcome {
    if settled.outcome != OUTCOME_UNKNOWN {
        return ClaimOutcome::Replayed(settled);
    }
    let message =
        "an earlier call with this key may have run; check before booking under a new key";
    ClaimOutcome::Rejected(Failure::unknown(StatusCode::CONFLICT, "outcome_unknown", message))
}

fn no_quorum(reason: &str) -> Failure {
    let message = format!("{reason}; the call was not sent");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::not_run(status, "no_quorum", message).with_retry_after(Duration::from_secs(2))
}

fn still_pending() -> Failure {
    let message = "an earlier call with this key is still under way; ask again with the same key";
    Failure::unknown(StatusCode::CONFLICT, "pending", message)
        .with_retry_after(Duration::from_secs(2))
}

fn conflict() -> Failure {
    let message = "this idempotency key was used for another call; take a new key";
    Failure::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_conflict", message)
}

/// Release of a claimed key whose call did not run, so that the key can be claimed again.
pub struct ClaimRelease {
    settle: Settle,
}

impl ClaimRelease {
    /// Prepares the release before the job is handed to the driver.
    pub fn new(job: &Job, claim: Index) -> Self {
        let key = match &job.payload {
            JobPayload::Service { key, .. } => claim_key(&job.target, key),
            JobPayload::Completion { .. } => String::new(),
        };
        let workspace = job.workspace.name.to_string();
        let outcome = OUTCOME_NOT_RUN.to_owned();
        Self { settle: Settle { workspace, key, claim, outcome, ..Settle::default() } }
    }

    /// Records in the replicated log that the call did not run, in the background.
    pub fn spawn(self, node: &Arc<Node>) {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let kind = Some(command::Kind::Settle(self.settle));
            let command = Command { wall_ms: 0, operation: String::new(), kind };
            if node.control.commit(command, RELEASE_TIMEOUT).await.is_err() {
                event!(node.log, SettleDelayed, "reason" => "no leader answered");
            }
        });
    }
}
