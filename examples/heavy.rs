//! Simulates seeded loads on emulated engines in virtual time, to compare the server's placement of
//! requests with simple load-balancing policies.

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use argh::FromArgs;

use bitternlead::gateway::placement::policy::Policy;

use crate::emulator::fleet::{Outcome, Placed, Summary, run_policy, summarize};
use crate::emulator::load::{
    Preset, contended, contended_bursts, grown, large, scaled, short_bursts, small, with_burst,
};
use crate::emulator::router::Router;

/// Compare placement policies on emulated engines.
#[derive(FromArgs)]
struct Options {
    /// number of seeds, from 1 on (5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// also simulate round robin, least requests and random two
    #[argh(switch)]
    naive: bool,
    /// print late, incomplete and refused requests of seed 1 by span and kind instead of table rows
    #[argh(switch)]
    detail: bool,
    /// switch off the mechanism with this name, or each in turn with "each" (none)
    #[argh(option)]
    without: Option<String>,
    /// only the load with this name (all)
    #[argh(option)]
    preset: Option<String>,
}

/// Returns the mean of a figure over the runs.
fn mean(runs: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    runs.iter().map(f).sum::<f64>() / runs.len().max(1) as f64
}

/// Returns the difference between the highest and the lowest value of a figure over the runs.
fn range(runs: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    let low = runs.iter().map(&f).fold(f64::INFINITY, f64::min);
    let high = runs.iter().map(&f).fold(f64::NEG_INFINITY, f64::max);
    high - low
}

/// Prints, for each span of the load and each kind of request, how many were late, incomplete or
/// refused.
///
/// A request counts as late by its first event or, if that was in time, by a pause. Predicted are
/// those late first events that the placement had predicted to be late.
fn print_detail(preset: &Preset, outcomes: &[Outcome]) {
    let mut start_ms = 0.0;
    for span in &preset.phases {
        let end_ms = start_ms + span.length_ms;
        for (kind_index, kind) in preset.kinds.iter().enumerate() {
            let span_fates: Vec<&Outcome> = outcomes
                .iter()
                .filter(|f| f.kind == kind_index && f.at_ms >= start_ms && f.at_ms < end_ms)
                .collect();
            let is_late_first = |f: &&&Outcome| f.first_ms.is_some_and(|ms| ms > kind.objective_ms);
            let is_late_pause =
                |f: &&&Outcome| !is_late_first(f) && f.pause_ms > kind.pause_limit_ms;
            let is_predicted_late =
                |f: &&&Outcome| is_late_first(f) && f.predicted_ms > kind.objective_ms;
            println!(
                "{:>6.1} s {:<6} {:>4}: late first event {:>3} (predicted {:>3}), late pause {:>3}, incomplete {:>3}, refused {:>2}",
                start_ms / 1000.0,
                kind.name,
                span_fates.len(),
                span_fates.iter().filter(is_late_first).count(),
                span_fates.iter().filter(is_predicted_late).count(),
                span_fates.iter().filter(is_late_pause).count(),
                span_fates.iter().filter(|f| !f.whole && !f.refused).count(),
                span_fates.iter().filter(|f| f.refused).count(),
            );
        }
        start_ms = end_ms;
    }
}

/// Prints, for each phase, the state of the engines when its short prompts were placed, for those that
/// were in time, those that were late although their plan was in time, and those placed as late.
fn print_placements(preset: &Preset, outcomes: &[Outcome]) {
    let mut start_ms = 0.0;
    for span in &preset.phases {
        let end_ms = start_ms + span.length_ms;
        let in_span = |f: &&Outcome| f.kind == 0 && f.at_ms >= start_ms && f.at_ms < end_ms;
        let of_span: Vec<(&Outcome, Placed)> =
            outcomes.iter().filter(in_span).filter_map(|f| Some((f, f.placed?))).collect();
        for group in ["in time", "late", "placed late"] {
            let of: Vec<&(&Outcome, Placed)> = of_span
                .iter()
                .filter(|(f, placed)| match group {
                    "in time" => f.earned >= f.value,
                    "late" => f.earned < f.value && !placed.late,
                    _ => f.earned < f.value && placed.late,
                })
                .collect();
            let mean = |figure: &dyn Fn(&Placed) -> f64| {
                of.iter().map(|(_, p)| figure(p)).sum::<f64>() / of.len().max(1) as f64
            };
            let share = |holds: &dyn Fn(&Placed) -> bool| mean(&|p| f64::from(u8::from(holds(p))));
            println!(
                "{:>6.1} s {group:<11} {:>4}: placed after {:>4.0} ms, free slots {:>3.0}, none at the engine {:.2} (known {:.2}), waited for a slot {:.2}, others unseen {:.2}, late holders {:.2}, other zone {:.2}",
                start_ms / 1000.0,
                of.len(),
                mean(&|p| p.after_ms),
                mean(&|p| p.free_slots.0 as f64),
                share(&|p| p.free_slots.1 == 0),
                share(&|p| p.known_free == 0),
                share(&|p| p.waited_for_slot),
                share(&|p| p.unseen > 0),
                mean(&|p| p.late_holders as f64),
                share(&|p| p.cross_zone),
            );
        }
        start_ms = end_ms;
    }
}

/// Runs a preset with each of the seeds.
fn run_seeds(preset: &Preset, router: Router, policy: &Policy, seeds: u64) -> Vec<Summary> {
    let spawn = |seed| {
        let (preset, policy) = (preset.clone(), policy.clone());
        std::thread::spawn(move || summarize(&run_policy(&preset, router, seed, &policy)))
    };
    let threads: Vec<std::thread::JoinHandle<Summary>> = (1..=seeds).map(spawn).collect();
    threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
}

fn print_row(preset: &Preset, name: &str, runs: &[Summary]) {
    println!(
        "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} |",
        preset.name,
        name,
        mean(runs, |f| f.whole),
        mean(runs, |f| f.worst),
        mean(runs, |f| f.kinds[0]),
        mean(runs, |f| f.kinds[1]),
        mean(runs, |f| f.kinds[2]),
        mean(runs, |f| f.refused),
        mean(runs, |f| f.abandoned),
        mean(runs, |f| f.largest[0]),
        mean(runs, |f| f.largest[1]),
        range(runs, |f| f.whole),
    );
}

/// Returns the policies to simulate with their names; fails with the known names if one is
/// unknown.
fn select_policies(without: Option<&str>) -> Result<Vec<(String, Policy)>, String> {
    let own = ("own".to_owned(), Policy::default());
    let build = |name: &str| Ok((format!("without {name}"), Policy::without(&[name])?));
    match without {
        None => Ok(vec![own]),
        Some("each") => {
            let others = Policy::names().into_iter().map(build);
            std::iter::once(Ok(own)).chain(others).collect()
        }
        Some(name) => Ok(vec![build(name)?]),
    }
}

fn main() -> Result<(), String> {
    let options: Options = argh::from_env();
    let mut burst = with_burst(small(), 1.5);
    burst.name = "small burst";
    let mut grown_burst = with_burst(grown(), 1.5);
    grown_burst.name = "grown burst";
    let mut part = scaled(large(), 1.0 / 6.6);
    part.name = "large part";
    let mut presets: Vec<Preset> =
        vec![small(), burst, grown(), grown_burst, large(), part, short_bursts()];
    for (name, preset) in [
        ("contended x1", contended(1.0)),
        ("contended x2", contended(2.0)),
        ("contended x4", contended(4.0)),
        ("contended bursts x1", contended_bursts(1.0)),
        ("contended bursts x2", contended_bursts(2.0)),
    ] {
        // A third of the fleet: the whole one takes minutes for each run at four times the load.
        presets.push(Preset { name, ..scaled(preset, 1.0 / 3.0) });
    }
    let policies = select_policies(options.without.as_deref())?;
    println!(
        "| load | policy | whole | worst two windows | short | medium | long | refused | abandoned | largest tenth | fifth below | range |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for preset in &presets {
        if options.preset.as_ref().is_some_and(|p| p != preset.name) {
            continue;
        }
        if options.detail {
            let policy = &policies[0].1;
            let outcomes = run_policy(preset, Router::Gateway, 1, policy);
            print_detail(preset, &outcomes);
            print_placements(preset, &outcomes);
            continue;
        }
        for (name, policy) in &policies {
            let runs = run_seeds(preset, Router::Gateway, policy, options.seeds);
            print_row(preset, name, &runs);
        }
        if options.naive {
            for router in [Router::RoundRobin, Router::LeastRequests, Router::RandomTwo] {
                let runs = run_seeds(preset, router, &Policy::default(), options.seeds);
                print_row(preset, router.name(), &runs);
            }
        }
    }
    Ok(())
}
