//! Open-loop load on a fleet of stand-in engines: ours beside the baselines, on the same seeds.

mod arrivals;
#[path = "../support/child.rs"]
mod child;
mod client;
mod report;
mod system;

use std::time::Duration;

use argh::FromArgs;

use crate::arrivals::{Arrival, draw, mean_prompt};
use crate::report::{RoutingFigures, RunFigures, figures, plot, table};
use crate::system::{PRESETS, System, SystemConfig};

/// Measure time to first token by prompt length, and the slowdown of short prompts.
#[derive(FromArgs)]
struct Options {
    /// fleet: stoyanovi, symud or tiny (tiny)
    #[argh(option, default = "\"tiny\".into()")]
    preset: String,
    /// ways to route, separated by commas (all)
    #[argh(option, default = "\"predicted,round-robin,least-requests,random-two\".into()")]
    routing: String,
    /// seed of the arrivals (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// length of a run in seconds of the engines' clock (120)
    #[argh(option, default = "120")]
    seconds: u64,
    /// load as a share of the fleet's capacity (0.8)
    #[argh(option, default = "0.8")]
    load: f64,
    /// how much faster than real the engines' clock runs (4)
    #[argh(option, default = "4.0")]
    speed: f64,
    /// KV memory of an engine in tokens (450000)
    #[argh(option, default = "450_000")]
    kv_tokens: u64,
    /// longest prompt; longer ones are left out of the mix (400000)
    #[argh(option, default = "400_000")]
    longest: u64,
    /// entries (2)
    #[argh(option, default = "2")]
    entries: usize,
    /// also run at capacity and at twice the capacity
    #[argh(switch)]
    overload: bool,
    /// end one zone's agent a third into the mixed run
    #[argh(switch)]
    kill: bool,
    /// folder for figures.json and plot.svg (none)
    #[argh(option)]
    out: Option<String>,
}

/// Prefill rate of an engine in tokens a second.
const PREFILL_RATE: f64 = 30_000.0;

/// Prompt tokens that an engine takes in a second while it also answers: 512 a step of 15 ms
/// and the time of their prefill.
const SUSTAINED: f64 = 512.0 / (0.015 + 512.0 / PREFILL_RATE);

struct Plan {
    options: Options,
    cfg: SystemConfig,
}

impl Plan {
    /// Requests a second at the fleet's capacity, on the engines' clock.
    fn capacity(&self) -> f64 {
        self.cfg.preset.engines as f64 * SUSTAINED / mean_prompt()
    }

    fn arrivals(&self, load: f64) -> Vec<Arrival> {
        let time = Duration::from_secs(self.options.seconds);
        let rate = self.capacity() * load;
        let workspaces = self.cfg.preset.workspaces;
        let mut list = draw(self.options.seed, rate, time, workspaces);
        list.retain(|a| a.prompt_tokens <= self.options.longest);
        list
    }

    fn run(&self, name: &str, list: &[Arrival], kill: bool) -> Result<RunFigures, String> {
        let mut system = System::start(&self.cfg)?;
        let speed = self.options.speed;
        let callers = system.callers.clone();
        let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
        let seen = std::thread::scope(|scope| {
            if kill {
                let after = self.options.seconds as f64 / speed / 3.0;
                let system = &mut system;
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(after));
                    system.kill_agent();
                });
            }
            runtime.block_on(client::run(list, self.options.seed, speed, &callers))
        });
        let time = Duration::from_secs(self.options.seconds);
        Ok(figures(name, &seen, speed, time))
    }

    fn measure(&self) -> Result<RoutingFigures, String> {
        let mixed_list = self.arrivals(self.options.load);
        let short: Vec<Arrival> =
            mixed_list.iter().filter(|a| a.prompt_tokens <= 4096).cloned().collect();
        let short_only = self.run("short-only", &short, false)?;
        let mixed = self.run("mixed", &mixed_list, self.options.kill)?;
        let p95 = |run: &RunFigures| run.classes["short"].p95_ms.max(1) as f64;
        let slowdown = p95(&mixed) / p95(&short_only);
        let (full, overload) = match self.options.overload {
            true => (
                Some(self.run("capacity", &self.arrivals(1.0), false)?),
                Some(self.run("twice", &self.arrivals(2.0), false)?),
            ),
            false => (None, None),
        };
        let routing = self.cfg.routing.clone();
        let seed = self.options.seed;
        Ok(RoutingFigures { routing, seed, short_only, mixed, full, overload, slowdown })
    }
}

fn main() -> Result<(), String> {
    let mut plan = {
        let options: Options = argh::from_env();
        let preset = PRESETS
            .iter()
            .find(|p| p.name == options.preset)
            .cloned()
            .ok_or("--preset is none of stoyanovi, symud, tiny")?;
        let cfg = SystemConfig {
            preset,
            routing: String::new(),
            speed: options.speed,
            kv_tokens: options.kv_tokens,
            prefill_rate: PREFILL_RATE,
            entries: options.entries,
        };
        Plan { options, cfg }
    };
    println!(
        "fleet {}: {} engines, capacity {:.2} requests/s of {:.0} tokens, seed {}, load {}",
        plan.cfg.preset.name,
        plan.cfg.preset.engines,
        plan.capacity(),
        mean_prompt(),
        plan.options.seed,
        plan.options.load
    );
    let mut all = Vec::new();
    for routing in plan.options.routing.clone().split(',') {
        plan.cfg.routing = routing.to_owned();
        all.push(plan.measure()?);
    }
    print!("{}", table(&all));
    for routing in &all {
        for run in [&routing.mixed].into_iter().chain(&routing.overload) {
            if !run.reasons.is_empty() {
                println!(
                    "{} {}: not whole because of {:?}",
                    routing.routing, run.name, run.reasons
                );
            }
        }
    }
    if let Some(out) = &plan.options.out {
        std::fs::create_dir_all(out).map_err(|e| e.to_string())?;
        let json = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        std::fs::write(format!("{out}/figures.json"), json).map_err(|e| e.to_string())?;
        std::fs::write(format!("{out}/plot.svg"), plot(&all)).map_err(|e| e.to_string())?;
    }
    let lost: usize = all.iter().map(|r| r.short_only.lost + r.mixed.lost).sum();
    if lost > 0 { Err(format!("{lost} requests were lost")) } else { Ok(()) }
}
