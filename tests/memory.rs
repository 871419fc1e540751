//! Property tests of the KV ledger and the admission queue against simple models, and tests of the
//! queue's fairness.

use std::collections::BTreeMap;
use std::time::Duration;

use bitternlead::agent::admission::{
    AdmissionConfig, AdmissionDecision, AdmissionQueue, AdmissionRequest, EnqueueResult,
};
use bitternlead::agent::ledger::{AttemptKey, Ledger};
use proptest::prelude::*;

fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(12);
    ProptestConfig { cases, rng_seed, ..ProptestConfig::default() }
}

fn key(n: u8) -> AttemptKey {
    AttemptKey::new(&format!("r{n}"), 1)
}

proptest! {
    #![proptest_config(config(500))]
    #[test]
    fn ledger_matches_sum_of_reservations(
        ops in prop::collection::vec((0u8..4, 0u8..6, 1u64..60), 1..80)
    ) {
        let mut ledger = Ledger::new(100);
        // Tokens of each reservation, and whether its release is pending.
        let mut reservations: BTreeMap<u8, (u64, bool)> = BTreeMap::new();
        for (op, n, tokens) in ops {
            let sum: u64 = reservations.values().map(|(t, _)| t).sum();
            match op {
                0 | 1 => {
                    let fits = sum + tokens <= 100 && !reservations.contains_key(&n);
                    prop_assert_eq!(ledger.reserve(key(n), tokens), fits);
                    if fits {
                        reservations.insert(n, (tokens, false));
                    }
                }
                2 => {
                    ledger.begin_release(Duration::ZERO, &key(n));
                    if let Some(r) = reservations.get_mut(&n) {
                        r.1 = true;
                    }
                }
                _ => {
                    let freed = reservations.remove(&n).map(|(t, _)| t);
                    prop_assert_eq!(ledger.release(&key(n)), freed);
                }
            }
            let sum: u64 = reservations.values().map(|(t, _)| t).sum();
            prop_assert_eq!(ledger.reserved(), sum);
            let releasing = reservations.values().filter(|r| r.1).count();
            prop_assert_eq!(ledger.releasing().len(), releasing);
            let ids: Vec<String> = (0..6).map(|n| key(n).engine_request_id()).collect();
            prop_assert_eq!(ledger.orphans(&ids).len(), 6 - reservations.len());
        }
    }

    #[test]
    fn queue_starts_only_fitting_attempts_and_loses_none(
        requests in prop::collection::vec((0u8..3, 0u32..3, 1u64..70, 1u64..5000), 1..60)
    ) {
        let cfg = AdmissionConfig { max_waiting: 20, max_running: 8, ..Default::default() };
        let mut queue = AdmissionQueue::new(cfg);
        let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
        let mut running: Vec<u64> = Vec::new();
        let mut now = Duration::ZERO;
        for (workspace, priority, tokens, deadline) in requests {
            now += Duration::from_millis(50);
            let req = AdmissionRequest {
                workspace: format!("w{workspace}").into(),
                weight: 1,
                priority,
                tokens,
                deadline: now + Duration::from_millis(deadline),
            };
            match queue.enqueue(now, req) {
                EnqueueResult::Queued(ticket) => {
                    waiting.insert(ticket, tokens);
                }
                EnqueueResult::QueueFull => prop_assert_eq!(waiting.len(), 20),
            }
            let free = 100 - running.iter().sum::<u64>();
            let mut remaining = free;
            for decision in queue.schedule(now, free, running.len()) {
                let (AdmissionDecision::Start(ticket) | AdmissionDecision::Expire(ticket)) = decision;
                let tokens = waiting.remove(&ticket);
                prop_assert!(tokens.is_some(), "each ticket ends once");
                if let AdmissionDecision::Start(_) = decision {
                    prop_assert!(tokens.unwrap() <= remaining);
                    remaining -= tokens.unwrap();
                    running.push(tokens.unwrap());
                }
            }
            prop_assert!(running.len() <= 8);
            prop_assert_eq!(queue.waiting(), waiting.len());
            prop_assert_eq!(queue.waiting_tokens(), waiting.values().sum::<u64>());
            if running.len() > 3 {
                running.remove(0);
            }
        }
    }
}

fn request(workspace: &str, weight: u64, priority: u32, tokens: u64) -> AdmissionRequest {
    let deadline = Duration::from_secs(100);
    AdmissionRequest { workspace: workspace.into(), weight, priority, tokens, deadline }
}

#[test]
fn busy_workspace_does_not_delay_others() {
    let mut queue = AdmissionQueue::new(AdmissionConfig::default());
    for _ in 0..50 {
        queue.enqueue(Duration::ZERO, request("busy", 1, 0, 10));
    }
    let EnqueueResult::Queued(quiet) = queue.enqueue(Duration::ZERO, request("quiet", 1, 0, 10))
    else {
        panic!("full")
    };
    let started = queue.schedule(Duration::ZERO, 30, 0);
    assert!(started.contains(&AdmissionDecision::Start(quiet)), "{started:?}");
}

#[test]
fn shares_follow_weights() {
    let mut queue = AdmissionQueue::new(AdmissionConfig::default());
    let mut heavy = Vec::new();
    for _ in 0..100 {
        if let EnqueueResult::Queued(ticket) =
            queue.enqueue(Duration::ZERO, request("heavy", 4, 0, 10))
        {
            heavy.push(ticket);
        }
        queue.enqueue(Duration::ZERO, request("light", 1, 0, 10));
    }
    let started = queue.schedule(Duration::ZERO, 500, 0);
    let of_heavy =
        started.iter().filter(|s| matches!(s, AdmissionDecision::Start(t) if heavy.contains(t)));
    let share = of_heavy.count() as f64 / started.len() as f64;
    assert!((0.75..=0.85).contains(&share), "{share}");
}

#[test]
fn small_attempts_overtake_large_one_only_until_limit() {
    let cfg = AdmissionConfig::default();
    let limit = cfg.overtake_limit;
    let mut queue = AdmissionQueue::new(cfg);
    queue.enqueue(Duration::ZERO, request("w", 1, 0, 90));
    queue.enqueue(Duration::ZERO, request("w", 1, 0, 10));
    assert_eq!(
        queue.schedule(Duration::ZERO, 50, 0).len(),
        1,
        "the small attempt overtakes the large one"
    );
    queue.enqueue(limit, request("w", 1, 0, 10));
    assert_eq!(queue.schedule(limit, 50, 0), [], "the large attempt is no longer overtaken");
    assert_eq!(queue.schedule(limit, 100, 0).len(), 2);
}
