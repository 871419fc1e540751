//! Measures an open-loop load on a fleet of emulated engines, with the server's routing policies on
//! the same arrivals.

mod arrivals;
#[path = "../support/child.rs"]
mod child;
mod client;
mod report;
mod system;

use std::time::Duration;

use argh::FromArgs;

use crate::arrivals::{Arrival, generate, mean_prompt_tokens};
use crate::report::{RoutingStats, RunStats, compute_run_stats, format_table, render_plot};
use crate::system::{Cluster, ClusterConfig, PRESETS};

/// Measure time to first token by prompt length, and the slowdown of short prompts.
#[derive(FromArgs)]
struct Options {
    /// fleet: stoyanovi, symud or tiny (tiny)
    #[argh(option, default = "\"tiny\".into()")]
    preset: String,
    /// routing policies, separated by commas (all)
    #[argh(option, default = "\"predicted,round-robin,least-requests,random-two\".into()")]
    routing: String,
    /// seed of the arrivals (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// duration of a run in seconds of the engines' clock (120)
    #[argh(option, default = "120")]
    seconds: u64,
    /// load as a fraction of the fleet's capacity (0.8)
    #[argh(option, default = "0.8")]
    load: f64,
    /// factor by which the engines' clock runs faster than real time (4)
    #[argh(option, default = "4.0")]
    speed: f64,
    /// KV memory of an engine in tokens (450000)
    #[argh(option, default = "450_000")]
    kv_tokens: u64,
    /// maximum prompt length in tokens; longer prompts are removed from the mix (400000)
    #[argh(option, default = "400_000")]
    longest: u64,
    /// number of entries (2)
    #[argh(option, default = "2")]
    entries: usize,
    /// also run at capacity and at twice the capacity
    #[argh(switch)]
    overload: bool,
    /// kill one zone's agent after a third of the mixed run
    #[argh(switch)]
    kill: bool,
    /// directory for figures.json and plot.svg (none)
    #[argh(option)]
    out: Option<String>,
}

/// Prefill rate of an engine in tokens per second.
const PREFILL_TOKENS_PER_S: f64 = 30_000.0;

/// Prompt tokens per second that an engine sustains while it also generates answers: 512 per step,
/// which takes 15 ms and the time to prefill them.
const SUSTAINED_PREFILL_TOKENS_PER_S: f64 = 512.0 / (0.015 + 512.0 / PREFILL_TOKENS_PER_S);

/// Options and cluster configuration; `cfg.routing` is set to the policy that is measured next.
struct Benchmark {
    options: Options,
    cfg: ClusterConfig,
}

impl Benchmark {
    /// Returns the fleet's capacity in requests per second of the engines' clock.
    fn capacity(&self) -> f64 {
        self.cfg.preset.engines as f64 * SUSTAINED_PREFILL_TOKENS_PER_S / mean_prompt_tokens()
    }

    /// Generates the arrivals at a fraction of the fleet's capacity.
    fn arrivals(&self, load: f64) -> Vec<Arrival> {
        let duration = Duration::from_secs(self.options.seconds);
        let rate = self.capacity() * load;
        let workspaces = self.cfg.preset.workspaces;
        let mut arrivals = generate(self.options.seed, rate, duration, workspaces);
        arrivals.retain(|a| a.prompt_tokens <= self.options.longest);
        arrivals
    }

    /// Sends the arrivals to a new cluster and returns the statistics.
    fn run(&self, name: &str, arrivals: &[Arrival], kill_agent: bool) -> Result<RunStats, String> {
        let mut cluster = Cluster::start(&self.cfg)?;
        let speed = self.options.speed;
        let caller_addrs = cluster.caller_addrs.clone();
        let runtime = tokio::runtime::Runtime::new().map_err(|e| e.to_string())?;
        let results = std::thread::scope(|scope| {
            if kill_agent {
                let kill_delay_s = self.options.seconds as f64 / speed / 3.0;
                let cluster = &mut cluster;
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_secs_f64(kill_delay_s));
                    cluster.kill_agent();
                });
            }
            runtime.block_on(client::run(arrivals, self.options.seed, speed, &caller_addrs))
        });
        let duration = Duration::from_secs(self.options.seconds);
        Ok(compute_run_stats(name, &results, speed, duration))
    }

    /// Measures the selected routing policy with short prompts only, with the mix and, if
    /// requested, at and above capacity.
    fn measure_routing(&self) -> Result<RoutingStats, String> {
        let mixed_arrivals = self.arrivals(self.options.load);
        let short_arrivals: Vec<Arrival> =
            mixed_arrivals.iter().filter(|a| a.prompt_tokens <= 4096).cloned().collect();
        let short_only = self.run("short-only", &short_arrivals, false)?;
        let mixed = self.run("mixed", &mixed_arrivals, self.options.kill)?;
        let p95 = |run: &RunStats| run.classes["short"].p95_ms.max(1) as f64;
        let slowdown = p95(&mixed) / p95(&short_only);
        let (at_capacity, overload) = match self.options.overload {
            true => (
                Some(self.run("capacity", &self.arrivals(1.0), false)?),
                Some(self.run("twice", &self.arrivals(2.0), false)?),
            ),
            false => (None, None),
        };
        let routing = self.cfg.routing.clone();
        let seed = self.options.seed;
        Ok(RoutingStats { routing, seed, short_only, mixed, at_capacity, overload, slowdown })
    }
}

fn main() -> Result<(), String> {
    let mut benchmark = {
        let options: Options = argh::from_env();
        let preset = PRESETS
            .iter()
            .find(|p| p.name == options.preset)
            .cloned()
            .ok_or("--preset must be stoyanovi, symud or tiny")?;
        let cfg = ClusterConfig {
            preset,
            routing: String::new(),
            speed: options.speed,
            kv_tokens: options.kv_tokens,
            prefill_rate: PREFILL_TOKENS_PER_S,
            entries: options.entries,
        };
        Benchmark { options, cfg }
    };
    println!(
        "fleet {}: {} engines, capacity {:.2} requests/s of {:.0} tokens, seed {}, load {}",
        benchmark.cfg.preset.name,
        benchmark.cfg.preset.engines,
        benchmark.capacity(),
        mean_prompt_tokens(),
        benchmark.options.seed,
        benchmark.options.load
    );
    let mut all_stats = Vec::new();
    for routing in benchmark.options.routing.clone().split(',') {
        benchmark.cfg.routing = routing.to_owned();
        all_stats.push(benchmark.measure_routing()?);
    }
    print!("{}", format_table(&all_stats));
    for stats in &all_stats {
        for run in [&stats.mixed].into_iter().chain(&stats.overload) {
            if !run.error_codes.is_empty() {
                println!(
                    "{} {}: incomplete answers by error code: {:?}",
                    stats.routing, run.name, run.error_codes
                );
            }
        }
    }
    if let Some(out) = &benchmark.options.out {
        std::fs::create_dir_all(out).map_err(|e| e.to_string())?;
        let json = serde_json::to_string_pretty(&all_stats).map_err(|e| e.to_string())?;
        std::fs::write(format!("{out}/figures.json"), json).map_err(|e| e.to_string())?;
        std::fs::write(format!("{out}/plot.svg"), render_plot(&all_stats))
            .map_err(|e| e.to_string())?;
    }
    let lost: usize = all_stats.iter().map(|r| r.short_only.lost + r.mixed.lost).sum();
    if lost > 0 { Err(format!("{lost} requests were lost")) } else { Ok(()) }
}
