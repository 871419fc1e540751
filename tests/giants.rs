//! Engine groups for prompts that exceed the memory of every single engine: responses, limits, and
//! the release of memory after failures.

mod testenv;

use std::time::Duration;

use bitternlead::entry::router::group::{GroupError, needs_group, plan_group};
use bitternlead::entry::router::{Candidate, RouteRequest};
use bitternlead::wire::Load;
use proptest::prelude::*;
use testenv::{SystemConfig, TestEnv, check_tokens, streamed_text};

const KV_TOKENS: u64 = 300_000;

fn fleet_shape() -> SystemConfig {
    SystemConfig {
        agents: 6,
        kv_tokens: KV_TOKENS,
        prefill_rate: 1_000_000.0,
        speed: 30.0,
        deadline_ms: 20_000,
        ..SystemConfig::default()
    }
}

/// Prompt of 700,000 tokens, more than twice the memory of one engine.
fn group_prompt() -> String {
    "z".repeat(4 * 700_000)
}

/// Token counts of all KV imports by the engines, in ascending order.
fn imported_tokens(env: &TestEnv) -> Vec<u64> {
    let mut all = Vec::new();
    for stand_in in &env.stand_ins {
        let held = env.get(stand_in.address("engine-0"), "/imports").json();
        all.extend(
            held.as_object().cloned().unwrap_or_default().values().filter_map(|v| v.as_u64()),
        );
    }
    all.sort_unstable();
    all
}

/// Whether neither the engines nor the ledgers of the agents hold any memory.
fn all_released(env: &TestEnv) -> bool {
    env.engine_kv() == 0 && env.ledger_kv() == 0
}

#[test]
fn a_prompt_over_twice_the_memory_is_answered_by_a_group_and_released() {
    let env = TestEnv::start(fleet_shape());
    let answer = env.complete(0, &group_prompt(), 30, true);
    let text = streamed_text(&answer.body).unwrap_or_else(|| panic!("{}", answer.body));
    check_tokens(&text, 30).unwrap();
    let imported = imported_tokens(&env);
    assert_eq!(
        imported.len(),
        2,
        "the second and third engine import the KV caches of earlier ones"
    );
    assert!(imported[1] > 400_000, "the last engine imports both other segments: {imported:?}");
    env.wait("all memory is released", all_released);
    let short = env.complete(0, "a short question", 3, false);
    assert_eq!(short.status, 200);
}

#[test]
fn a_second_group_is_refused_at_once_while_half_of_the_engines_must_stay_ungrouped() {
    let env = TestEnv::start(SystemConfig { speed: 4.0, ..fleet_shape() });
    let (first, second) = std::thread::scope(|scope| {
        let env = &env;
        let first = scope.spawn(|| env.complete(0, &group_prompt(), 30, true));
        std::thread::sleep(Duration::from_millis(2500));
        let second = env.complete(0, &group_prompt(), 30, false);
        (first.join().unwrap(), second)
    });
    assert!(streamed_text(&first.body).is_some(), "{}", first.body);
    assert_eq!((second.status, second.outcome.as_str()), (503, "not-run"), "{}", second.body);
    assert!(second.retry_after.is_some());
    env.wait("all memory is released", all_released);
}

#[test]
fn group_memory_is_released_after_an_entry_or_agents_are_killed_or_frozen() {
    for round in 0..4 {
        let mut env = TestEnv::start(fleet_shape());
        let answer = std::thread::scope(|scope| {
            let shared = &env;
            let pending = scope.spawn(|| shared.complete(0, &group_prompt(), 400, true));
            std::thread::sleep(Duration::from_millis(1200));
            let sigkill = nix::sys::signal::Signal::SIGKILL;
            match round {
                0 => shared.entries[0].signal(sigkill),
                1 => shared.agents[0].signal(sigkill),
                2 => shared.agents.iter().take(4).for_each(|a| a.signal(sigkill)),
                _ => shared.agents.iter().for_each(testenv::Process::suspend),
            }
            if round == 3 {
                std::thread::sleep(Duration::from_millis(4500));
                shared.agents.iter().for_each(testenv::Process::resume);
            }
            pending.join().unwrap()
        });
        if let Some(text) = streamed_text(&answer.body) {
            check_tokens(&text, 400).unwrap();
        } else {
            let reported = answer.status == 0
                || answer.outcome == "broken"
                || answer.body.contains("\"outcome\":");
            assert!(reported, "{answer:?}");
        }
        for at in 0..6 {
            if env.agents[at].exit_code().is_some() {
                env.agents[at].restart();
            }
        }
        if env.entries[0].exit_code().is_some() {
            env.entries[0].restart();
        }
        env.wait("all memory is released", all_released);
    }
}

fn engine(n: usize, reserved: u64, giants: u64) -> Candidate {
    let load = Load { kv_capacity: KV_TOKENS, kv_reserved: reserved, giants, ..Load::default() };
    Candidate { endpoint: format!("e{n:02}").into(), load, ..Candidate::default() }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(18),
        ..ProptestConfig::default()
    })]
    #[test]
    fn a_planned_group_fits_leaves_half_ungrouped_and_is_ordered(
        engines in prop::collection::vec((0u64..KV_TOKENS, 0u64..2), 1..24),
        prompt in 1u64..3_000_000,
        output in 1u64..2000,
    ) {
        let fleet: Vec<Candidate> =
            engines.iter().enumerate().map(|(n, (r, g))| engine(n, *r, *g)).collect();
        let req = RouteRequest {
            prompt_tokens: prompt,
            output_tokens: output,
            ..RouteRequest::default()
        };
        prop_assert_eq!(needs_group(&req, &fleet), prompt + output > KV_TOKENS);
        if !needs_group(&req, &fleet) {
            return Ok(());
        }
        let grouped = engines.iter().filter(|e| e.1 > 0).count();
        match plan_group(&req, &fleet) {
            Ok(group) => {
                prop_assert!(grouped + group.len() <= fleet.len() / 2, "half stay ungrouped");
                let names: Vec<_> = group.iter().map(|i| &fleet[*i].endpoint).collect();
                prop_assert!(names.is_sorted_by(|a, b| a < b), "the same order on every entry");
                let need = prompt.div_ceil(group.len() as u64) + output;
                for i in group {
                    prop_assert_eq!(fleet[i].load.giants, 0);
                    prop_assert!(fleet[i].load.kv_reserved + need <= KV_TOKENS);
                }
            }
            Err(GroupError::TooLarge) => {
                let most = (fleet.len() / 2) as u64;
                prop_assert!(prompt > (KV_TOKENS * 9 / 10 - output) * most || most < 2);
            }
            Err(GroupError::Busy) => {}
        }
    }
}
