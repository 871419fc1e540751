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
    let play_one =
        move |seed| std::thread::spawn(move || summarize(&run_load(&load(), router, seed)));
    let runs: Vec<_> = SEEDS.into_iter().map(play_one).collect();
    runs.into_iter().map(|r| r.join().unwrap()).collect()
}

fn mean(of: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    of.iter().map(f).sum::<f64>() / of.len() as f64
}

#[test]
fn callers_earn_more_than_with_naive_ways_in_the_whole_and_in_the_worst_seconds() {
    let own = runs(Router::Gateway);
    for router in [Router::RoundRobin, Router::LeastRequests, Router::RandomTwo] {
        let naive = runs(router);
        for (seed, (ours, theirs)) in SEEDS.iter().zip(own.iter().zip(&naive)) {
            let name = router.name();
            assert!(ours.whole > theirs.whole, "{name}, seed {seed}: {ours:?} {theirs:?}");
        }
        assert!(mean(&own, |f| f.worst) > mean(&naive, |f| f.worst), "{}", router.name());
    }
}

#[test]
fn short_questions_stay_in_time_beside_huge_prompts() {
    let (own, naive) = (runs(Router::Gateway), runs(Router::LeastRequests));
    let late = |of: &[Summary]| 1.0 - mean(of, |f| f.in_time[0]);
    assert!(late(&own) < late(&naive) / 2.0, "{} of {}", late(&own), late(&naive));
}

#[test]
fn no_size_of_prompt_is_served_less_than_half_as_often_as_its_kind() {
    for (seed, run) in SEEDS.iter().zip(runs(Router::Gateway)) {
        assert!(run.largest.iter().all(|share| *share >= 0.5), "seed {seed}: {:?}", run.largest);
    }
}

#[test]
fn a_run_with_the_same_seed_repeats() {
    let [first, again] = [(); 2].map(|()| summarize(&run_load(&load(), Router::Gateway, 9)));
    assert_eq!(format!("{first:?}"), format!("{again:?}"));
}
