//! Tests of at-most-once execution: claims of idempotency keys against a reference model, and the
//! deduplication of attempts against all short sequences of messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlead::agent::dedup::{self, DedupTable, StartDecision};
use bitternlead::agent::ledger::AttemptKey;
use bitternlead::control::claims::{
    CLAIM_RETENTION_MS, Claims, OUTCOME_DONE, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN,
};
use bitternlead::wire::{Claim, Settle};
use proptest::prelude::*;

/// One operation on the claims.
#[derive(Clone, Debug)]
enum Operation {
    Claim { key: u8, digest: u64, request: u8 },
    Settle { key: u8, claim: usize, outcome: &'static str },
    Wait(u64),
}

const PATIENCE_MS: u64 = 1000;

/// Reference model of the claims: keeps all claims of each key instead of dropping old ones.
#[derive(Default)]
struct ReferenceClaims {
    history: BTreeMap<u8, Vec<GrantedClaim>>,
}

#[derive(Clone, Debug)]
/// One granted claim of a key.
struct GrantedClaim {
    number: u64,
    claimed_at_ms: u64,
    digest: u64,
    request: u8,
    outcome: Option<&'static str>,
}

impl ReferenceClaims {
    fn claim(&mut self, index: u64, now: u64, key: u8, digest: u64, request: u8) -> (String, u64) {
        let granted = self.history.entry(key).or_default();
        let fresh =
            GrantedClaim { number: index, claimed_at_ms: now, digest, request, outcome: None };
        let Some(last) = granted.last_mut() else {
            granted.push(fresh);
            return ("ok".into(), index);
        };
        if now >= last.claimed_at_ms + CLAIM_RETENTION_MS {
            granted.push(fresh);
            return ("ok".into(), index);
        }
        if last.digest != digest {
            return ("conflict".into(), last.number);
        }
        if last.outcome.is_none() && last.request == request {
            return ("ok".into(), last.number);
        }
        if last.outcome.is_none() && now > last.claimed_at_ms + PATIENCE_MS {
            last.outcome = Some(OUTCOME_UNKNOWN);
        }
        match last.outcome {
            None => ("pending".into(), last.number),
            Some(OUTCOME_NOT_RUN) => {
                granted.push(fresh);
                ("ok".into(), index)
            }
            Some(outcome) => (format!("exists {outcome}"), last.number),
        }
    }

    fn settle(&mut self, key: u8, claim: u64, outcome: &'static str) {
        let Some(last) = self.history.get_mut(&key).and_then(|a| a.last_mut()) else { return };
        if last.number != claim {
            return;
        }
        match (last.outcome, outcome) {
            (None, _) | (Some(OUTCOME_UNKNOWN), OUTCOME_DONE) => last.outcome = Some(outcome),
            _ => {}
        }
    }
}

fn operation() -> impl Strategy<Value = Operation> {
    let outcome = prop_oneof![Just(OUTCOME_DONE), Just(OUTCOME_NOT_RUN), Just(OUTCOME_UNKNOWN)];
    prop_oneof![
        4 => (0u8..3, 0u64..2, 0u8..3)
            .prop_map(|(key, digest, request)| Operation::Claim { key, digest, request }),
        3 => (0u8..3, 0usize..6, outcome)
            .prop_map(|(key, claim, outcome)| Operation::Settle { key, claim, outcome }),
        2 => (1u64..800).prop_map(Operation::Wait),
        1 => Just(Operation::Wait(CLAIM_RETENTION_MS / 2)),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(11);
    ProptestConfig { cases, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(600))]
    #[test]
    fn claims_match_reference_model(operations in prop::collection::vec(operation(), 1..60)) {
        let mut claims = Claims::default();
        let mut reference = ReferenceClaims::default();
        let mut now = 0;
        let mut numbers = vec![0];
        for (index, operation) in operations.into_iter().enumerate() {
            let index = index as u64 + 1;
            match operation {
                Operation::Wait(ms) => now += ms,
                Operation::Claim { key, digest, request } => {
                    let claim = Claim {
                        workspace: "w".into(),
                        key: key.to_string(),
                        digest,
                        request: request.to_string(),
                        patience_ms: PATIENCE_MS,
                    };
                    let got = claims.claim(index, now, claim);
                    let settled = got.settled.map(|s| format!(" {}", s.outcome));
                    let got = (got.result + &settled.unwrap_or_default(), got.number);
                    let want = reference.claim(index, now, key, digest, request);
                    if want.0 == "ok" {
                        numbers.push(want.1);
                    }
                    prop_assert_eq!(got, want);
                }
                Operation::Settle { key, claim, outcome } => {
                    let claim = numbers[claim % numbers.len()];
                    let settle = Settle {
                        workspace: "w".into(),
                        key: key.to_string(),
                        claim,
                        outcome: outcome.into(),
                        ..Settle::default()
                    };
                    claims.settle(settle);
                    reference.settle(key, claim, outcome);
                }
            }
            let copy = Claims::import(claims.export());
            prop_assert_eq!(copy.export(), claims.export());
        }
    }
}

/// Messages about one attempt, which may arrive in any order and repeatedly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Dispatch,
    Cancel,
    Refuse,
}

/// Returns all sequences of up to `len` messages.
fn sequences(len: usize) -> Vec<Vec<Message>> {
    let kinds = [Message::Dispatch, Message::Cancel, Message::Refuse];
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..len {
        last = last
            .iter()
            .flat_map(|s: &Vec<Message>| {
                kinds.map(|k| s.iter().copied().chain([k]).collect::<Vec<_>>())
            })
            .collect();
        all.extend(last.clone());
    }
    all
}

#[test]
/// A dispatch that is delivered twice, or after its cancellation or refusal, must not execute the
/// attempt again. Covers all sequences of up to seven messages.
fn attempt_starts_at_most_once_and_never_after_rejection() {
    let mut ends = BTreeSet::new();
    for sequence in sequences(7) {
        let mut table = DedupTable::default();
        let key = AttemptKey::new("r", 1);
        let (mut starts, mut refused) = (0, false);
        for (at, message) in sequence.iter().enumerate() {
            let now = Duration::from_secs(at as u64);
            match message {
                Message::Dispatch => {
                    if table.start(now, &key) == StartDecision::Start {
                        assert!(!refused, "started after a rejection: {sequence:?}");
                        starts += 1;
                    }
                }
                Message::Cancel | Message::Refuse => refused |= table.reject(now, &key),
            }
        }
        assert!(starts <= 1, "{sequence:?}");
        assert!(!(starts == 1 && refused), "started and was rejected: {sequence:?}");
        ends.insert((starts, refused));
    }
    assert_eq!(ends.len(), 3, "sequences end with no message, a start, or a rejection");
}

#[test]
fn dedup_table_is_bounded_and_remembers_for_retention() {
    let mut table = DedupTable::default();
    let key = AttemptKey::new("first", 1);
    table.start(Duration::ZERO, &key);
    let before = dedup::RETENTION - Duration::from_millis(1);
    assert_eq!(table.start(before, &key), StartDecision::Duplicate);
    for n in 0..dedup::MAX_REMEMBERED_ATTEMPTS + 10 {
        table.start(before, &AttemptKey::new(&format!("r{n}"), 1));
    }
    assert_eq!(table.status(&key), None);
}
