//! Claims of non-idempotent calls: one attempt for each key, ever, unless it surely did not run.

use std::collections::{HashMap, VecDeque};

use smol_str::SmolStr;

use crate::ids::Index;
use crate::wire::{Claim, ClaimState, Outcome, Settle};

/// Longest time that a claim is remembered, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;

/// Outcome of a call that ran to its answer.
pub const DONE: &str = "done";
/// Outcome of a call that did not run and never will.
pub const NOT_RUN: &str = "not-run";
/// Outcome of a call of which it is not known whether it ran.
pub const UNKNOWN: &str = "unknown";

type ClaimKey = (SmolStr, SmolStr);

/// All claims within their retention.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claims {
    by_key: HashMap<ClaimKey, ClaimState>,
    by_age: VecDeque<(u64, ClaimKey)>,
}

fn key_of(workspace: &str, key: &str) -> ClaimKey {
    (SmolStr::new(workspace), SmolStr::new(key))
}

fn outcome(result: &str, number: Index, detail: &str) -> Outcome {
    Outcome { result: result.into(), number, detail: detail.into(), ..Outcome::default() }
}

impl Claims {
    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Claims a key at a log index and wall time.
    ///
    /// The result is `ok` with the claim's number, `exists` with the recorded outcome,
    /// `pending` while another request's attempt is under way, or `conflict`.
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
        if let Some(held) = self.by_key.get_mut(&key) {
            let answer = answer_held(held, wall_ms, &claim);
            if let Some(answer) = answer {
                return answer;
            }
            *held = ClaimState { claim: Some(claim), number: index, wall_ms, settled: None };
        } else {
            let state = ClaimState { claim: Some(claim), number: index, wall_ms, settled: None };
            self.by_key.insert(key.clone(), state);
        }
        self.by_age.push_back((wall_ms, key));
        outcome("ok", index, "")
    }

    /// Records how a claimed call ended; a recorded answer never changes.
    pub fn settle(&mut self, settle: Settle) -> Outcome {
        let key = key_of(&settle.workspace, &settle.key);
        let Some(held) = self.by_key.get_mut(&key) else {
            return outcome("rejected", 0, "no such claim");
        };
        if held.number != settle.claim {
            return outcome("rejected", held.number, "the key has a newer claim");
        }
        let recorded = held.settled.as_ref().map(|s| s.outcome.as_str());
        let accepts =
            matches!((recorded, settle.outcome.as_str()), (None, _) | (Some(UNKNOWN), DONE));
        if accepts {
            held.settled = Some(settle);
        }
        outcome("ok", held.number, "")
    }

    /// The state of a key.
    pub fn get(&self, workspace: &str, key: &str) -> Option<&ClaimState> {
        self.by_key.get(&key_of(workspace, key))
    }

    fn expire(&mut self, wall_ms: u64) {
        while let Some((at, key)) = self.by_age.front() {
            if at + CLAIM_RETENTION_MS > wall_ms {
                return;
            }
            let same = self.by_key.get(key).is_some_and(|c| c.wall_ms == *at);
            if same {
                self.by_key.remove(key);
            }
            self.by_age.pop_front();
        }
    }

    /// All claims, oldest first.
    pub fn export(&self) -> Vec<ClaimState> {
        let mut all: Vec<ClaimState> = self.by_key.values().cloned().collect();
        all.sort_by_key(|c| c.number);
        all
    }

    /// Builds the claims from an export.
    pub fn import(all: Vec<ClaimState>) -> Self {
        let mut claims = Self::default();
        for state in all {
            let Some(claim) = state.claim.as_ref() else { continue };
            let key = key_of(&claim.workspace, &claim.key);
            claims.by_age.push_back((state.wall_ms, key.clone()));
            claims.by_key.insert(key, state);
        }
        claims
    }
}

/// Answer from a held claim; `None` when the key is free to be claimed again.
fn answer_held(held: &mut ClaimState, wall_ms: u64, claim: &Claim) -> Option<Outcome> {
    let first = held.claim.clone().unwrap_or_default();
    if first.digest != claim.digest {
        return Some(outcome("conflict", held.number, "the key was used with another body"));
    }
    if held.settled.is_none() && first.request == claim.request {
        return Some(outcome("ok", held.number, "resent"));
    }
    if held.settled.is_none() && wall_ms > held.wall_ms + first.patience_ms {
        held.settled = Some(Settle {
            workspace: first.workspace,
            key: first.key,
            claim: held.number,
            outcome: UNKNOWN.into(),
            ..Settle::default()
        });
    }
    match &held.settled {
        None => Some(outcome("pending", held.number, "")),
        Some(settled) if settled.outcome == NOT_RUN => None,
        Some(settled) => {
            Some(Outcome { settled: Some(settled.clone()), ..outcome("exists", held.number, "") })
        }
    }
}
