//! Value that callers get under seeded heavy loads on emulated engines, compared with simple
//! routing policies.

mod emulator;

use bitternlead::gateway::placement::policy::Policy;
use emulator::fleet::Outcome;
use emulator::fleet::{Summary, run_load, run_policy, summarize};
use emulator::load::{
    Preset, WORKSPACES, contended, contended_bursts, large, scaled, shortened, small, with_burst,
};
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

fn runs_without(mechanism: &str, preset: &Preset) -> Vec<Summary> {
    let policy = Policy::without(&[mechanism]).unwrap();
    let run = |seed| summarize(&run_policy(preset, Router::Gateway, seed, &policy));
    SEEDS.into_iter().map(run).collect()
}

fn runs_of(preset: &Preset) -> Vec<Summary> {
    let run = |seed| summarize(&run_load(preset, Router::Gateway, seed));
    SEEDS.into_iter().map(run).collect()
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

/// Spans of long prompts alternate with spans of short ones.
#[test]
fn long_prompts_that_wait_at_the_entry_get_more_and_cost_the_others_less() {
    let (own, impatient) = (runs_of(&load()), runs_without("wait-long", &load()));
    assert!(mean(&own, |f| f.whole) > mean(&impatient, |f| f.whole));
    assert!(mean(&own, |f| f.worst) > mean(&impatient, |f| f.worst));
    assert!(mean(&own, |f| f.refused) <= mean(&impatient, |f| f.refused));
}

/// Short prompts at one and a half times their usual peak, more than the engines have slots for.
#[test]
fn in_a_burst_beyond_all_slots_few_callers_leave_without_an_answer() {
    let burst = with_burst(small(), 1.5);
    let (own, impatient) = (runs_of(&burst), runs_without("wait-late-short", &burst));
    assert!(mean(&own, |f| f.in_time[0]) > mean(&impatient, |f| f.in_time[0]));
    let unserved = |of: &[Summary]| mean(of, |f| f.refused + f.abandoned);
    assert!(unserved(&own) < unserved(&impatient) / 2.0, "{own:?} {impatient:?}");
}

#[test]
fn plans_that_count_pauses_keep_more_streams_in_time() {
    let (own, blind) = (runs_of(&load()), runs_without("pause-cost", &load()));
    assert!(mean(&own, |f| f.in_time[0]) > mean(&blind, |f| f.in_time[0]));
    assert!(mean(&own, |f| f.worst) > mean(&blind, |f| f.worst));
}

/// 105 entries before 112 engines, each of which gets two requests a second: what one entry sends is
/// known to the others only after several of them have decided.
#[test]
fn short_requests_are_in_time_as_often_on_a_large_fleet_as_on_a_part_of_it() {
    let fleet = shortened(large(), 0.1);
    let in_time = |preset: &Preset| mean(&runs_of(preset), |f| f.in_time[0]);
    let (whole, part) = (in_time(&fleet), in_time(&scaled(fleet.clone(), 1.0 / 6.6)));
    assert!(whole >= part - 0.04, "{whole:.3} on the whole fleet, {part:.3} on a part of it");
}

#[test]
fn samples_of_engines_keep_entries_of_a_large_fleet_from_choosing_the_same_one() {
    let fleet = shortened(large(), 0.1);
    let (own, without) = (runs_of(&fleet), runs_without("engine-samples", &fleet));
    assert!(mean(&own, |f| f.in_time[0]) > mean(&without, |f| f.in_time[0]));
}

/// Guards the draw of candidates in fleets that are larger than it: a request that looks at some
/// engines of three times the fleet must be served as on the fleet, whose engines it sees all.
#[test]
fn requests_that_see_a_part_of_a_larger_fleet_are_served_as_well() {
    let fleet = shortened(large(), 0.04);
    let larger = scaled(fleet.clone(), 3.0);
    let (whole, drawn) = (runs_of(&fleet), runs_of(&larger));
    for (kind, name) in ["short", "medium", "long"].into_iter().enumerate() {
        let of = |runs: &[Summary]| mean(runs, |f| f.in_time[kind]);
        let (all, part) = (of(&whole), of(&drawn));
        assert!(part >= all - 0.05, "{name}: {part:.3} with a draw, {all:.3} with all engines");
    }
}

/// Outcomes of the contended deployment, a fifth of it in half of the time, with the queue and without.
fn contended_runs(preset: &Preset) -> [Vec<Outcome>; 2] {
    let preset = shortened(scaled(preset.clone(), 0.2), 0.5);
    let without = Policy::without(&["placement-queue"]).unwrap();
    [Policy::default(), without].map(|policy| {
        let run = |seed| run_policy(&preset, Router::Gateway, seed, &policy);
        SEEDS.into_iter().flat_map(run).collect()
    })
}

/// Share of the outcomes that a condition selects for which another holds.
fn share(
    of: &[Outcome],
    selects: impl Fn(&Outcome) -> bool,
    holds: impl Fn(&Outcome) -> bool,
) -> f64 {
    let selected: Vec<&Outcome> = of.iter().filter(|f| selects(f)).collect();
    selected.iter().filter(|f| holds(f)).count() as f64 / selected.len().max(1) as f64
}

fn is_in_time(f: &Outcome) -> bool {
    f.earned >= f.value
}

/// Earned part of the value.
fn value_share(of: &[Outcome]) -> f64 {
    of.iter().map(|f| f.earned).sum::<f64>() / of.iter().map(|f| f.value).sum::<f64>()
}

/// Prints shares in time by priority and workspace, and the time until a refusal.
fn print_shares(name: &str, of: &[Outcome]) {
    let by_kind = [0, 1, 2].map(|kind| share(of, |f| f.kind == kind, is_in_time));
    let by_workspace: Vec<f64> =
        (0..WORKSPACES).map(|w| share(of, |f| f.workspace == w, is_in_time)).collect();
    let mut refused: Vec<f64> = of.iter().filter_map(|f| f.refused_ms).collect();
    refused.sort_by(f64::total_cmp);
    let median = refused.get(refused.len() / 2);
    println!(
        "{name}: value {:.3}, in time by kind {by_kind:.3?}, by workspace {by_workspace:.3?}, \
         {} refused, after {median:.0?} ms at the median",
        value_share(of),
        refused.len()
    );
}

/// Requests that poll on their own are placed in the order of their polls, whatever their priority.
#[test]
fn the_queue_gives_callers_more_under_twice_and_four_times_the_load() {
    for times in [2.0, 4.0] {
        let [queued, polled] = contended_runs(&contended(times));
        print_shares(&format!("x{times} queue"), &queued);
        print_shares(&format!("x{times} polling"), &polled);
        assert!(value_share(&queued) > value_share(&polled));
        let urgent = |of: &[Outcome]| share(of, |f| f.kind == 0, is_in_time);
        assert!(urgent(&queued) > urgent(&polled));
    }
}

#[test]
fn the_queue_gives_callers_more_under_bursts_and_the_loss_of_engines() {
    let [queued, polled] = contended_runs(&contended_bursts(1.5));
    print_shares("bursts queue", &queued);
    print_shares("bursts polling", &polled);
    assert!(value_share(&queued) > value_share(&polled));
}

/// The bounds of the requirement on starvation, at twice the load.
#[test]
fn no_kind_workspace_or_length_is_starved_in_the_queue() {
    let [queued, _] = contended_runs(&contended(2.0));
    let served = |selects: &dyn Fn(&Outcome) -> bool| share(&queued, selects, |f| f.whole);
    let all = served(&|_| true);
    for kind in 0..3 {
        assert!(served(&|f| f.kind == kind) >= all / 4.0, "kind {kind}");
    }
    for workspace in 0..WORKSPACES {
        assert!(served(&|f| f.workspace == workspace) >= all / 4.0, "workspace {workspace}");
    }
    let mut prompts: Vec<u64> = queued.iter().filter(|f| f.kind == 2).map(|f| f.prompt).collect();
    prompts.sort_unstable();
    let largest = prompts[prompts.len() * 9 / 10];
    let (tenth, long) = (served(&|f| f.kind == 2 && f.prompt >= largest), served(&|f| f.kind == 2));
    assert!(tenth >= long / 2.0, "{tenth:.2} of {long:.2}");
}
