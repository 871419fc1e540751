//! Non-idempotent calls: a claim in the replicated log before the one attempt.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use viz::StatusCode;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::failure::Failure;
use super::request::{Job, Work};
use crate::control::claims::{NOT_RUN, UNKNOWN};
use crate::derive_value;
use crate::event;
use crate::faults;
use crate::ids::Index;
use crate::node::Node;
use crate::wire::{Claim, Command, Settle, command};

/// Longest wait for a quorum before a call is refused.
const CLAIM_LIMIT: Duration = Duration::from_secs(5);

/// Pause between looks at a claim of another request.
const PENDING_PAUSE: Duration = Duration::from_millis(200);

/// Time beyond its deadline after which a claim without an outcome counts as unknown.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time that recording an outcome goes on in the background.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Key of a claim: keys of different services never meet.
pub fn claim_key(target: &str, key: &str) -> String {
    format!("{target}/{key}")
}

derive_value! {
    /// What claiming came to.
    pub enum Claimed {
        /// The attempt may be made under this number.
        Granted(Index),
        /// The key has its answer already.
        Answered(Settle),
        /// The call is refused.
        Failed(Failure),
    }
}

/// Claims the key of a call, waiting for an earlier request with the same key.
pub async fn claim(node: &Arc<Node>, job: &Job) -> Claimed {
    let Work::Service { method, path, body, key, .. } = &job.work else {
        return Claimed::Granted(0);
    };
    let digest = xxh3_64_with_seed(body, xxh3_64_with_seed(method.as_bytes(), 0))
        ^ xxh3_64_with_seed(path.as_bytes(), 1);
    let left = job.deadline.saturating_sub(node.now());
    let wanted = Claim {
        workspace: job.workspace.name.to_string(),
        key: claim_key(&job.target, key),
        digest,
        request: job.request.to_string(),
        patience_ms: (left + PATIENCE).as_millis() as u64,
    };
    loop {
        let kind = Some(command::Kind::Claim(wanted.clone()));
        let command = Command { wall_ms: 0, operation: String::new(), kind };
        faults::inject("entry.claim");
        let outcome = match node.control.commit(command, CLAIM_LIMIT).await {
            Ok(outcome) => outcome,
            Err(e) => return Claimed::Failed(no_quorum(&e.to_string())),
        };
        faults::inject("entry.claimed");
        match (outcome.result.as_str(), outcome.settled) {
            ("ok", _) => return Claimed::Granted(outcome.number),
            ("exists", Some(settled)) => return answered(settled),
            ("pending", _) if node.now() + PENDING_PAUSE < job.deadline => {
                sleep(PENDING_PAUSE).await;
            }
            ("pending", _) => return Claimed::Failed(still_pending()),
            _ => return Claimed::Failed(conflict()),
        }
    }
}

fn answered(settled: Settle) -> Claimed {
    if settled.outcome != UNKNOWN {
        return Claimed::Answered(settled);
    }
    let text = "an earlier call with this key may have run; check before booking under a new key";
    Claimed::Failed(Failure::unknown(StatusCode::CONFLICT, "outcome_unknown", text))
}

fn no_quorum(reason: &str) -> Failure {
    let text = format!("{reason}; the call was not sent");
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Failure::not_run(status, "no_quorum", text).after(Duration::from_secs(2))
}

fn still_pending() -> Failure {
    let text = "an earlier call with this key is still under way; ask again with the same key";
    Failure::unknown(StatusCode::CONFLICT, "pending", text).after(Duration::from_secs(2))
}

fn conflict() -> Failure {
    let text = "this idempotency key was used for another call; take a new key";
    Failure::not_run(StatusCode::UNPROCESSABLE_ENTITY, "key_conflict", text)
}

/// Gives a claimed key back when its call did not run.
pub struct Release {
    settle: Settle,
}

impl Release {
    /// Prepares the release of a call's claim.
    pub fn of(job: &Job, claim: Index) -> Self {
        let key = match &job.work {
            Work::Service { key, .. } => claim_key(&job.target, key),
            Work::Completion { .. } => String::new(),
        };
        let workspace = job.workspace.name.to_string();
        let outcome = NOT_RUN.to_owned();
        Self { settle: Settle { workspace, key, claim, outcome, ..Settle::default() } }
    }

    /// Records that the call did not run, in the background.
    pub fn spawn(self, node: &Arc<Node>) {
        let node = Arc::clone(node);
        tokio::spawn(async move {
            let kind = Some(command::Kind::Settle(self.settle));
            let command = Command { wall_ms: 0, operation: String::new(), kind };
            if node.control.commit(command, SETTLE_LIMIT).await.is_err() {
                event!(node.log, SettleDelayed, "reason" => "no leader answered");
            }
        });
    }
}
