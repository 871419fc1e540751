//! Value that callers get under seeded heavy loads on emulated engines, compared with simple
//! routing policies.

mod emulator;

use emulator::fleet::{Summary, run_load, summarize};
use emulator::load::{Preset, shortened, small};
use emulator::router::Router;

const SEEDS: [u64; 3] = [1, 2, 3];

/// Load of the small preset with shorter phases, which keeps the test fast on a slow machine.
fn load() -> Preset {
    shortened(small(), 0.4)
}

fn runs(router: Router) -> Vec<Summary> {
    let run_seed =
        move |seed| std::thread::spawn(move || summarize(&run_load(&load(), router, seed)));
    let runs: Vec<_> = SEEDS.into_iter().map(run_seed).collect();
    runs.into_iter().map(|r| r.join().unwrap()).collect()
}

fn mean(of: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    of.iter().map(f).sum::<f64>() / of.len() as f64
}

#[test]
fn gateway_earns_more_value_than_simple_policies_overall_and_in_the_worst_windows() {
    let gateway = runs(Router::Gateway);
    for router in [Router::RoundRobin, Router::LeastRequests, Router::RandomTwo] {
        let baseline = runs(router);
        for (seed, (gateway_run, baseline_run)) in SEEDS.iter().zip(gateway.iter().zip(&baseline)) {
            let name = router.name();
            assert!(
                gateway_run.whole > baseline_run.whole,
                "{name}, seed {seed}: {gateway_run:?} {baseline_run:?}"
            );
        }
        assert!(mean(&gateway, |f| f.worst) > mean(&baseline, |f| f.worst), "{}", router.name());
    }
}

#[test]
fn short_requests_stay_in_time_beside_huge_prompts() {
    let (gateway, baseline) = (runs(Router::Gateway), runs(Router::LeastRequests));
    let late = |of: &[Summary]| 1.0 - mean(of, |f| f.in_time[0]);
    assert!(late(&gateway) < late(&baseline) / 2.0, "{} of {}", late(&gateway), late(&baseline));
}

#[test]
fn every_prompt_size_completes_at_least_half_as_often_as_its_kind() {
    for (seed, run) in SEEDS.iter().zip(runs(Router::Gateway)) {
        assert!(run.largest.iter().all(|share| *share >= 0.5), "seed {seed}: {:?}", run.largest);
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let [first, again] = [(); 2].map(|()| summarize(&run_load(&load(), Router::Gateway, 9)));
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
}
