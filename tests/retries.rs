//! Retry policy, retry budgets, circuit breakers and workspace limits.

use std::sync::Arc;
use std::time::Duration;

use bitternlead::config::Workspace;
use bitternlead::entry::breaker::CircuitBreaker;
use bitternlead::entry::limits::{LimitExceeded, WorkspaceLimits};
use bitternlead::entry::retry::{Execution, MAX_ATTEMPTS, RetryBudget, RetryDecision, RetryState};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn property_config() -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(15);
    ProptestConfig { cases: 500, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(property_config())]
    #[test]
    fn only_safe_retries_are_made_and_never_past_the_deadline(
        idempotent in any::<bool>(),
        unknown in any::<bool>(),
        attempts in 1u32..10,
        now_ms in 0u64..3000,
        spent in 0usize..20,
        seed in any::<u64>(),
    ) {
        let deadline = Duration::from_millis(2000);
        let now = Duration::from_millis(now_ms);
        let mut retry = RetryState { idempotent, deadline, attempts };
        let execution = if unknown { Execution::Unknown } else { Execution::NotRun };
        let mut budget = RetryBudget::default();
        let taken = (0..spent).filter(|_| budget.try_withdraw()).count();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        match retry.decide(now, &execution, &mut budget, &mut rng) {
            RetryDecision::RetryAfter(pause) => {
                prop_assert!(idempotent || !unknown, "a call that may have run");
                prop_assert!(attempts < MAX_ATTEMPTS);
                prop_assert!(now + pause < deadline);
                prop_assert!(taken < 10, "the budget is exhausted");
            }
            RetryDecision::GiveUp => {
                let safe = idempotent || !unknown;
                let can_retry = attempts < MAX_ATTEMPTS && now + Duration::from_millis(640) < deadline;
                prop_assert!(!(safe && can_retry && taken < 10), "gave up without a reason");
            }
        }
    }
}

#[test]
fn retries_stay_within_their_percentage_while_a_third_of_the_attempts_fail() {
    let mut budget = RetryBudget::default();
    let (mut fresh, mut retries) = (0u64, 0u64);
    for n in 0..10_000u64 {
        fresh += 1;
        budget.deposit(20);
        // Every third first attempt fails, and so does every third retry.
        let mut failed = n % 3 == 0;
        while failed && budget.try_withdraw() {
            retries += 1;
            failed = retries % 3 == 0;
        }
    }
    assert!(retries <= fresh * 20 / 100 + 10, "{retries} retries of {fresh} requests");
}

#[test]
fn a_breaker_lets_one_probe_through_at_a_time_and_waits_longer_each_time() {
    let mut breaker = CircuitBreaker::default();
    let mut now = Duration::ZERO;
    for _ in 0..3 {
        assert!(breaker.allows(now));
        breaker.on_failure(now);
    }
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let start = now;
        while !breaker.allows(now) {
            now += Duration::from_millis(50);
        }
        pauses.push(now - start);
        breaker.on_sent(now);
        assert!(!breaker.allows(now), "only one probe at a time");
        breaker.on_failure(now);
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(*pauses.last().unwrap() <= Duration::from_secs(10));
    breaker.on_success();
    assert!(breaker.allows(now));
}

#[test]
fn rate_and_concurrency_limits_are_enforced_over_time() {
    let limits = Arc::new(WorkspaceLimits::default());
    let workspace =
        Workspace { name: "w".into(), requests_per_s: 10, concurrency: 5, ..Workspace::default() };
    let mut admitted = 0;
    for ms in 0..20_000u64 {
        if limits.admit(Duration::from_millis(ms), &workspace, 1.0).is_ok() {
            admitted += 1;
        }
    }
    // A burst of two seconds (20 requests), then 10 per second for 20 seconds.
    assert!((200..=221).contains(&admitted), "{admitted}");
    let now = Duration::from_secs(100);
    let permits: Vec<_> = (0..5).map(|_| limits.admit(now, &workspace, 1.0).unwrap()).collect();
    assert_eq!(limits.admit(now, &workspace, 1.0).unwrap_err(), LimitExceeded::Concurrency);
    drop(permits);
    assert!(limits.admit(now, &workspace, 1.0).is_ok());
    let half_share = limits.admit(now, &workspace, 0.5);
    assert!(half_share.is_ok(), "an entry with half of the limit still admits requests");
}
