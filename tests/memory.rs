//! The ledger and the admission queue against naive versions.

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
    fn the_ledger_agrees_with_a_sum_over_what_is_held(
        ops in prop::collection::vec((0u8..4, 0u8..6, 1u64..60), 1..80)
    ) {
        let mut ledger = Ledger::new(100);
        let mut held: BTreeMap<u8, (u64, bool)> = BTreeMap::new();
        for (op, n, tokens) in ops {
            let sum: u64 = held.values().map(|(t, _)| t).sum();
            match op {
                0 | 1 => {
                    let fits = sum + tokens <= 100 && !held.contains_key(&n);
                    prop_assert_eq!(ledger.reserve(key(n), tokens), fits);
                    if fits {
                        held.insert(n, (tokens, false));
                    }
                }
                2 => {
                    ledger.begin_release(Duration::ZERO, &key(n));
                    if let Some(h) = held.get_mut(&n) {
                        h.1 = true;
                    }
                }
                _ => {
                    let freed = held.remove(&n).map(|(t, _)| t);
                    prop_assert_eq!(ledger.confirm_release(&key(n)), freed);
                }
            }
            let sum: u64 = held.values().map(|(t, _)| t).sum();
            prop_assert_eq!(ledger.reserved(), sum);
            let releasing = held.values().filter(|h| h.1).count();
            prop_assert_eq!(ledger.releasing().len(), releasing);
            let ids: Vec<String> = (0..6).map(|n| key(n).engine_request_id()).collect();
            prop_assert_eq!(ledger.orphans(&ids).len(), 6 - held.len());
        }
    }

    #[test]
    fn the_queue_starts_only_what_fits_and_loses_nothing(
        asks in prop::collection::vec((0u8..3, 0u32..3, 1u64..70, 1u64..5000), 1..60)
    ) {
        let cfg = AdmissionConfig { max_waiting: 20, max_running: 8, ..Default::default() };
        let mut queue = AdmissionQueue::new(cfg);
        let mut waiting: BTreeMap<u64, u64> = BTreeMap::new();
        let mut running: Vec<u64> = Vec::new();
        let mut now = Duration::ZERO;
        for (workspace, priority, tokens, deadline) in asks {
            now += Duration::from_millis(50);
            let ask = AdmissionRequest {
                workspace: format!("w{workspace}").into(),
                weight: 1,
                priority,
                tokens,
                deadline: now + Duration::from_millis(deadline),
            };
            match queue.enqueue(now, ask) {
                EnqueueResult::Queued(ticket) => {
                    waiting.insert(ticket, tokens);
                }
                EnqueueResult::QueueFull => prop_assert_eq!(waiting.len(), 20),
            }
            let free = 100 - running.iter().sum::<u64>();
            let mut left = free;
            for step in queue.schedule(now, free, running.len()) {
                let (AdmissionDecision::Start(ticket) | AdmissionDecision::Expire(ticket)) = step;
                let tokens = waiting.remove(&ticket);
                prop_assert!(tokens.is_some(), "each ticket ends once");
                if let AdmissionDecision::Start(_) = step {
                    prop_assert!(tokens.unwrap() <= left);
                    left -= tokens.unwrap();
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

fn ask(workspace: &str, weight: u64, priority: u32, tokens: u64) -> AdmissionRequest {
    let deadline = Duration::from_secs(100);
    AdmissionRequest { workspace: workspace.into(), weight, priority, tokens, deadline }
}

#[test]
fn a_busy_workspace_does_not_hold_up_a_quiet_one() {
    let mut queue = AdmissionQueue::new(AdmissionConfig::default());
    for _ in 0..50 {
        queue.enqueue(Duration::ZERO, ask("busy", 1, 0, 10));
    }
    let EnqueueResult::Queued(quiet) = queue.enqueue(Duration::ZERO, ask("quiet", 1, 0, 10)) else {
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
        if let EnqueueResult::Queued(ticket) = queue.enqueue(Duration::ZERO, ask("heavy", 4, 0, 10))
        {
            heavy.push(ticket);
        }
        queue.enqueue(Duration::ZERO, ask("light", 1, 0, 10));
    }
    let started = queue.schedule(Duration::ZERO, 500, 0);
    let of_heavy =
        started.iter().filter(|s| matches!(s, AdmissionDecision::Start(t) if heavy.contains(t)));
    let share = of_heavy.count() as f64 / started.len() as f64;
    assert!((0.75..=0.85).contains(&share), "{share}");
}

#[test]
fn small_attempts_overtake_a_large_one_but_not_for_ever() {
    let cfg = AdmissionConfig::default();
    let limit = cfg.overtake_limit;
    let mut queue = AdmissionQueue::new(cfg);
    queue.enqueue(Duration::ZERO, ask("w", 1, 0, 90));
    queue.enqueue(Duration::ZERO, ask("w", 1, 0, 10));
    assert_eq!(queue.schedule(Duration::ZERO, 50, 0).len(), 1, "the small one goes ahead");
    queue.enqueue(limit, ask("w", 1, 0, 10));
    assert_eq!(queue.schedule(limit, 50, 0), [], "the large one's turn has come");
    assert_eq!(queue.schedule(limit, 100, 0).len(), 2);
}
