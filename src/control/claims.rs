//! Claims of idempotency keys for non-idempotent calls.
//!
//! A key is granted to one attempt. It is granted again only if that attempt certainly did not run.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

use crate::ids::Index;
use crate::wire::{Claim, ClaimState, Outcome, Settle};

/// Time in milliseconds after which a claim expires and its key can be claimed anew.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Outcome of a call that was executed and answered.
pub const DONE: &str = "done";
/// Outcome of a call that was not executed and never will be; its key can be claimed again.
pub const NOT_RUN: &str = "not-run";
/// Outcome of a call that may have been executed; its key cannot be claimed again.
pub const UNKNOWN: &str = "unknown";

/// Workspace and idempotency key.
type ClaimKey = (SmolStr, SmolStr);

/// All claims that have not expired.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    by_key: HashMap<ClaimKey, ClaimState>,
    by_claim_time: VecDeque<(u64, ClaimKey)>,
}

fn key_of(workspace: &str, key: &str) -> ClaimKey {
    (SmolStr::new(workspace), SmolStr::new(key))
}

fn outcome(result: &str, number: Index, detail: &str) -> Outcome {
    Outcome { result: result.into(), number, detail: detail.into(), ..Outcome::default() }
}

impl Claims {
    /// Number of claims that have not expired.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Claims a key for a request; `index` is the log index of the command and becomes the claim's
    /// number, `wall_ms` is its wall time in milliseconds since 1970.
    ///
    /// The result is `ok` with the claim's number, `exists` with the recorded outcome, `pending`
    /// while the attempt of another request is running, or `conflict` if the key was used with a
    /// different body.
    ///
    /// ```
    /// use bitternlead::control::claims::Claims;
    /// use bitternlead::wire::Claim;
    ///
    /// let mut claims = Claims::default();
    /// let claim = Claim { key: "k".into(), request: "a".into(), ..Claim::default() };
    /// assert_eq!(claims.claim(5, 0, claim.clone()).result, "ok");
    /// let other = Claim { request: "b".into(), ..claim };
    /// assert_eq!(claims.claim(6, 0, other).result, "pending");
    /// ```
    pub fn claim(&mut self, index: Index, wall_ms: u64, claim: Claim) -> Outcome {
        self.expire(wall_ms);
        let key = key_of(&claim.workspace, &claim.key);
        if let Some(prior) = self.by_key.get_mut(&key) {
            let answer = answer_from_existing(prior, wall_ms, &claim);
            if let Some(answer) = answer {
                return answer;
            }
            *prior = ClaimState { claim: Some(claim), number: index, wall_ms, settled: None };
        } else {
            let state = ClaimState { claim: Some(claim), number: index, wall_ms, settled: None };
            self.by_key.insert(key.clone(), state);
        }
        self.by_claim_time.push_back((wall_ms, key));
        outcome("ok", index, "")
    }

    /// Records the outcome of a claimed call.
    ///
    /// The first outcome stays, except that `done` replaces `unknown`. The result is `rejected` if
    /// the key has no claim or a newer one.
    pub fn settle(&mut self, settle: Settle) -> Outcome {
        let key = key_of(&settle.workspace, &settle.key);
        let Some(prior) = self.by_key.get_mut(&key) else {
            return outcome("rejected", 0, "no such claim");
        };
        if prior.number != settle.claim {
            return outcome("rejected", prior.number, "the key has a newer claim");
        }
        let recorded = prior.settled.as_ref().map(|s| s.outcome.as_str());
        let accepts =
            matches!((recorded, settle.outcome.as_str()), (None, _) | (Some(UNKNOWN), DONE));
        if accepts {
            prior.settled = Some(settle);
        }
        outcome("ok", prior.number, "")
    }

    /// The claim of a key, if it has one.
    pub fn get(&self, workspace: &str, key: &str) -> Option<&ClaimState> {
        self.by_key.get(&key_of(workspace, key))
    }

    /// Removes claims older than [`CLAIM_RETENTION_MS`].
    fn expire(&mut self, wall_ms: u64) {
        while let Some((at, key)) = self.by_claim_time.front() {
            if at + CLAIM_RETENTION_MS > wall_ms {
                return;
            }
            let same = self.by_key.get(key).is_some_and(|c| c.wall_ms == *at);
            if same {
                self.by_key.remove(key);
            }
            self.by_claim_time.pop_front();
        }
    }

    /// All claims in the order of their numbers.
    pub fn export(&self) -> Vec<ClaimState> {
        let mut all: Vec<ClaimState> = self.by_key.values().cloned().collect();
        all.sort_by_key(|c| c.number);
        all
    }

    /// Builds the claims from the result of [`Claims::export`].
    pub fn import(all: Vec<ClaimState>) -> Self {
        let mut claims = Self::default();
        for state in all {
            let Some(claim) = state.claim.as_ref() else { continue };
            let key = key_of(&claim.workspace, &claim.key);
            claims.by_claim_time.push_back((state.wall_ms, key.clone()));
            claims.by_key.insert(key, state);
        }
        claims
    }
}

/// Answer from an existing claim; `None` when the key is free to be claimed again.
fn answer_from_existing(prior: &mut ClaimState, wall_ms: u64, claim: &Claim) -> Option<Outcome> {
    let original = prior.claim.clone().unwrap_or_default();
    if original.digest != claim.digest {
        return Some(outcome("conflict", prior.number, "the key was used with another body"));
    }
    if prior.settled.is_none() && original.request == claim.request {
        return Some(outcome("ok", prior.number, "resent"));
    }
    if prior.settled.is_none() && wall_ms > prior.wall_ms + original.patience_ms {
        prior.settled = Some(Settle {
            workspace: original.workspace,
            key: original.key,
            claim: prior.number,
            outcome: UNKNOWN.into(),
            ..Settle::default()
        });
    }
    match &prior.settled {
        None => Some(outcome("pending", prior.number, "")),
        Some(settled) if settled.outcome == NOT_RUN => None,
        Some(settled) => {
            Some(Outcome { settled: Some(settled.clone()), ..outcome("exists", prior.number, "") })
        }
    }
}
