//! Claims and the run-once table against naive versions, and small cases explored whole.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bitternlead::agent::dedup::{self, DedupTable, StartDecision};
use bitternlead::agent::ledger::AttemptKey;
use bitternlead::control::claims::{CLAIM_RETENTION_MS, Claims, DONE, NOT_RUN, UNKNOWN};
use bitternlead::wire::{Claim, Settle};
use proptest::prelude::*;

/// One call on the claims.
#[derive(Clone, Debug)]
enum Op {
    Claim { key: u8, digest: u64, request: u8 },
    Settle { key: u8, claim: usize, outcome: &'static str },
    Wait(u64),
}

const PATIENCE_MS: u64 = 1000;

/// The plainest version: the whole history of each key, looked through from its start.
#[derive(Default)]
struct Naive {
    history: BTreeMap<u8, Vec<Attempt>>,
}

#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    at: u64,
    digest: u64,
    request: u8,
    outcome: Option<&'static str>,
}

impl Naive {
    fn claim(&mut self, index: u64, now: u64, key: u8, digest: u64, request: u8) -> (String, u64) {
        let attempts = self.history.entry(key).or_default();
        let fresh = Attempt { number: index, at: now, digest, request, outcome: None };
        let Some(last) = attempts.last_mut() else {
            attempts.push(fresh);
            return ("ok".into(), index);
        };
        if now >= last.at + CLAIM_RETENTION_MS {
            attempts.push(fresh);
            return ("ok".into(), index);
        }
        if last.digest != digest {
            return ("conflict".into(), last.number);
        }
        if last.outcome.is_none() && last.request == request {
            return ("ok".into(), last.number);
        }
        if last.outcome.is_none() && now > last.at + PATIENCE_MS {
            last.outcome = Some(UNKNOWN);
        }
        match last.outcome {
            None => ("pending".into(), last.number),
            Some(NOT_RUN) => {
                attempts.push(fresh);
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
            (None, _) | (Some(UNKNOWN), DONE) => last.outcome = Some(outcome),
            _ => {}
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let outcome = prop_oneof![Just(DONE), Just(NOT_RUN), Just(UNKNOWN)];
    prop_oneof![
        4 => (0u8..3, 0u64..2, 0u8..3)
            .prop_map(|(key, digest, request)| Op::Claim { key, digest, request }),
        3 => (0u8..3, 0usize..6, outcome)
            .prop_map(|(key, claim, outcome)| Op::Settle { key, claim, outcome }),
        2 => (1u64..800).prop_map(Op::Wait),
        1 => Just(Op::Wait(CLAIM_RETENTION_MS / 2)),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(11);
    ProptestConfig { cases, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(600))]
    #[test]
    fn claims_agree_with_the_naive_version(ops in prop::collection::vec(op(), 1..60)) {
        let mut claims = Claims::default();
        let mut naive = Naive::default();
        let mut now = 0;
        let mut numbers = vec![0];
        for (index, op) in ops.into_iter().enumerate() {
            let index = index as u64 + 1;
            match op {
                Op::Wait(ms) => now += ms,
                Op::Claim { key, digest, request } => {
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
                    let want = naive.claim(index, now, key, digest, request);
                    if want.0 == "ok" {
                        numbers.push(want.1);
                    }
                    prop_assert_eq!(got, want);
                }
                Op::Settle { key, claim, outcome } => {
                    let claim = numbers[claim % numbers.len()];
                    let settle = Settle {
                        workspace: "w".into(),
                        key: key.to_string(),
                        claim,
                        outcome: outcome.into(),
                        ..Settle::default()
                    };
                    claims.settle(settle);
                    naive.settle(key, claim, outcome);
                }
            }
            let copy = Claims::import(claims.export());
            prop_assert_eq!(copy.export(), claims.export());
        }
    }
}

/// Steps of one attempt that may come in any order and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Arrival {
    Dispatch,
    Cancel,
    Refuse,
}

/// All sequences of up to `len` arrivals.
fn sequences(len: usize) -> Vec<Vec<Arrival>> {
    let kinds = [Arrival::Dispatch, Arrival::Cancel, Arrival::Refuse];
    let mut all = vec![Vec::new()];
    let mut last = all.clone();
    for _ in 0..len {
        last = last
            .iter()
            .flat_map(|s: &Vec<Arrival>| {
                kinds.map(|k| s.iter().copied().chain([k]).collect::<Vec<_>>())
            })
            .collect();
        all.extend(last.clone());
    }
    all
}

#[test]
fn every_order_of_arrivals_starts_at_most_once_and_never_after_a_true_refusal() {
    let mut ends = BTreeSet::new();
    for sequence in sequences(7) {
        let mut table = DedupTable::default();
        let key = AttemptKey::new("r", 1);
        let (mut starts, mut refused) = (0, false);
        for (at, arrival) in sequence.iter().enumerate() {
            let now = Duration::from_secs(at as u64);
            match arrival {
                Arrival::Dispatch => {
                    if table.start(now, &key) == StartDecision::Start {
                        assert!(!refused, "started after a refusal: {sequence:?}");
                        starts += 1;
                    }
                }
                Arrival::Cancel | Arrival::Refuse => refused |= table.reject(now, &key),
            }
        }
        assert!(starts <= 1, "{sequence:?}");
        assert!(!(starts == 1 && refused), "ran and was refused: {sequence:?}");
        ends.insert((starts, refused));
    }
    assert_eq!(ends.len(), 3, "nothing, one start, and one refusal were all seen");
}

#[test]
fn the_table_is_bounded_and_remembers_long_enough() {
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
