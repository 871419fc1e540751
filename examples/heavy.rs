//! Plays seeded loads on emulated engines: the product's placing beside naive ways.

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use argh::FromArgs;

use crate::emulator::fleet::{Outcome, Summary, run_load, summarize};
use crate::emulator::load::{Preset, grown, small, with_burst};
use crate::emulator::router::Router;

/// Compare ways to place requests on emulated engines.
#[derive(FromArgs)]
struct Options {
    /// number of seeds, from 1 on (5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// also play naive ways
    #[argh(switch)]
    naive: bool,
    /// also print, by span and kind, how many were late by their first event or by a pause
    #[argh(switch)]
    detail: bool,
    /// only the preset of this name
    #[argh(option)]
    preset: Option<String>,
}

fn mean(of: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    of.iter().map(f).sum::<f64>() / of.len().max(1) as f64
}

fn spread(of: &[Summary], f: impl Fn(&Summary) -> f64) -> f64 {
    let low = of.iter().map(&f).fold(f64::INFINITY, f64::min);
    let high = of.iter().map(&f).fold(f64::NEG_INFINITY, f64::max);
    high - low
}

/// Prints how many of each kind were late, and by what, in each part of the run.
fn print_detail(preset: &Preset, outcomes: &[Outcome]) {
    let mut from = 0.0;
    for span in &preset.phases {
        let until = from + span.length_ms;
        for (at, kind) in preset.kinds.iter().enumerate() {
            let of: Vec<&Outcome> = outcomes
                .iter()
                .filter(|f| f.kind == at && f.at_ms >= from && f.at_ms < until)
                .collect();
            let late_first = |f: &&&Outcome| f.first_ms.is_some_and(|ms| ms > kind.objective_ms);
            let late_pause = |f: &&&Outcome| !late_first(f) && f.pause_ms > kind.pause_limit_ms;
            let foreseen = |f: &&&Outcome| late_first(f) && f.predicted_ms > kind.objective_ms;
            println!(
                "{:>6.1} s {:<6} {:>4}: late first {:>3} (foreseen {:>3}), late pause {:>3}, broken {:>3}, refused {:>2}",
                from / 1000.0,
                kind.name,
                of.len(),
                of.iter().filter(late_first).count(),
                of.iter().filter(foreseen).count(),
                of.iter().filter(late_pause).count(),
                of.iter().filter(|f| !f.whole && !f.refused).count(),
                of.iter().filter(|f| f.refused).count(),
            );
        }
        from = until;
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
        "| load | way | whole | worst two | short | medium | long | refused | largest tenth | fifth below | spread |"
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
            let runs: Vec<std::thread::JoinHandle<Summary>> = (1..=options.seeds)
                .map(|seed| {
                    let (preset, router) = (preset.clone(), *router);
                    std::thread::spawn(move || summarize(&run_load(&preset, router, seed)))
                })
                .collect();
            let all: Vec<Summary> = runs.into_iter().filter_map(|r| r.join().ok()).collect();
            println!(
                "| {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} |",
                preset.name,
                router.name(),
                mean(&all, |f| f.whole),
                mean(&all, |f| f.worst),
                mean(&all, |f| f.kinds[0]),
                mean(&all, |f| f.kinds[1]),
                mean(&all, |f| f.kinds[2]),
                mean(&all, |f| f.refused),
                mean(&all, |f| f.largest[0]),
                mean(&all, |f| f.largest[1]),
                spread(&all, |f| f.whole),
            );
        }
    }
}
