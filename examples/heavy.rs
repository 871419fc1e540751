//! Simulates seeded loads on emulated engines in virtual time, to compare the server's placement of
//! requests with simple load-balancing policies.

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use argh::FromArgs;

use crate::emulator::fleet::{Outcome, Summary, run_load, summarize};
use crate::emulator::load::{Preset, grown, small, with_burst};
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

fn main() {
    let options: Options = argh::from_env();
    let mut burst = with_burst(small(), 1.5);
    burst.name = "small burst";
    let mut grown_burst = with_burst(grown(), 1.5);
    grown_burst.name = "grown burst";
    let presets: Vec<Preset> = vec![small(), burst, grown(), grown_burst];
    let mut routers = vec![Router::Gateway];
    if options.naive {
        routers.extend([Router::RoundRobin, Router::LeastRequests, Router::RandomTwo]);
    }
    println!(
        "| load | router | whole | worst two windows | short | medium | long | refused | largest tenth | fifth below | range |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for preset in &presets {
        if options.preset.as_ref().is_some_and(|p| p != preset.name) {
            continue;
        }
        if options.detail {
            print_detail(preset, &run_load(preset, Router::Gateway, 1));
            continue;
        }
        for router in &routers {
            let threads: Vec<std::thread::JoinHandle<Summary>> = (1..=options.seeds)
                .map(|seed| {
                    let (preset, router) = (preset.clone(), *router);
                    std::thread::spawn(move || summarize(&run_load(&preset, router, seed)))
                })
                .collect();
            let runs: Vec<Summary> = threads.into_iter().filter_map(|r| r.join().ok()).collect();
            println!(
                "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} |",
                preset.name,
                router.name(),
                mean(&runs, |f| f.whole),
                mean(&runs, |f| f.worst),
                mean(&runs, |f| f.kinds[0]),
                mean(&runs, |f| f.kinds[1]),
                mean(&runs, |f| f.kinds[2]),
                mean(&runs, |f| f.refused),
                mean(&runs, |f| f.largest[0]),
                mean(&runs, |f| f.largest[1]),
                range(&runs, |f| f.whole),
            );
        }
    }
}
