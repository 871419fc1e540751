//! Statistics of runs, as a table, JSON and an SVG plot.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bitternlead::prompt_class::PromptClass;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::{Outcome, RequestResult};

/// Statistics of the requests of one prompt class.
///
/// Times are those to the first token of complete answers, in milliseconds of the engines' clock.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassStats {
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests with a complete answer.
    #[serde(rename = "whole")]
    pub completed: usize,
    /// Median.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
}

/// Statistics of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunStats {
    /// Name of the run: `short-only`, `mixed`, `capacity` or `twice`.
    pub name: String,
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requests: usize,
    /// Requests with a complete answer.
    #[serde(rename = "whole")]
    pub completed: usize,
    /// Requests that were rejected and did not run.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Requests that failed and may have run.
    pub unknown: usize,
    /// Requests without a complete answer or a valid error.
    pub lost: usize,
    /// Number of requests without a complete answer, by error code.
    #[serde(rename = "reasons")]
    pub error_codes: BTreeMap<String, usize>,
    /// Statistics by name of the prompt class.
    pub classes: BTreeMap<String, ClassStats>,
    /// 95th percentile of the time between tokens, in milliseconds of the engines' clock.
    pub gap_p95_ms: u64,
    /// Complete answers whose first token met its objective, per second of the engines' clock.
    #[serde(rename = "good_per_s")]
    pub within_objective_per_s: f64,
    /// Prompt tokens of completely answered requests, per second of the engines' clock.
    pub prompt_tokens_per_s: f64,
}

/// Returns a quantile in milliseconds of the engines' clock.
fn quantile_ms(times: &mut [Duration], speed: f64, q: f64) -> u64 {
    let mut histogram = Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("valid digits"));
    for time in times.iter() {
        let _ = histogram.record((time.as_secs_f64() * speed * 1e6) as u64);
    }
    histogram.value_at_quantile(q) / 1000
}

/// Returns the objective for the time to the first token, on the engines' clock.
fn first_token_objective(prompt_tokens: u64) -> Duration {
    Duration::from_millis(790 + prompt_tokens / 5)
}

/// Computes the statistics of a run that lasted `run_duration` on the engines' clock.
///
/// `speed` is the factor by which the engines' clock runs faster than real time.
pub fn compute_run_stats(
    name: &str,
    results: &[RequestResult],
    speed: f64,
    run_duration: Duration,
) -> RunStats {
    let count = |outcome: Outcome| results.iter().filter(|s| s.outcome == outcome).count();
    let mut run = RunStats {
        name: name.to_owned(),
        requests: results.len(),
        completed: count(Outcome::Complete),
        rejected: count(Outcome::Rejected),
        unknown: count(Outcome::Unknown),
        lost: count(Outcome::Lost),
        ..RunStats::default()
    };
    for incomplete in results.iter().filter(|s| s.outcome != Outcome::Complete) {
        *run.error_codes.entry(incomplete.code.clone()).or_default() += 1;
    }
    for class in PromptClass::ALL {
        let class_results: Vec<&RequestResult> =
            results.iter().filter(|s| PromptClass::of(s.prompt_tokens) == class).collect();
        let completed_results = class_results.iter().filter(|s| s.outcome == Outcome::Complete);
        let mut times: Vec<Duration> =
            completed_results.clone().filter_map(|s| s.first_token).collect();
        let mut percentile_ms = |q: f64| quantile_ms(&mut times, speed, q);
        let class_stats = ClassStats {
            requests: class_results.len(),
            completed: completed_results.count(),
            p50_ms: percentile_ms(0.5),
            p95_ms: percentile_ms(0.95),
            p99_ms: percentile_ms(0.99),
        };
        run.classes.insert(class.name().to_owned(), class_stats);
    }
    let mut token_gaps: Vec<Duration> =
        results.iter().flat_map(|s| s.token_gaps.iter().copied()).collect();
    run.gap_p95_ms = quantile_ms(&mut token_gaps, speed, 0.95);
    let within_objective = results.iter().filter(|s| {
        let first_token = s.first_token.map(|f| f.mul_f64(speed));
        s.outcome == Outcome::Complete
            && first_token.is_some_and(|f| f <= first_token_objective(s.prompt_tokens))
    });
    run.within_objective_per_s = within_objective.count() as f64 / run_duration.as_secs_f64();
    let completed_results = results.iter().filter(|s| s.outcome == Outcome::Complete);
    let tokens: u64 = completed_results.map(|s| s.prompt_tokens).sum();
    run.prompt_tokens_per_s = tokens as f64 / run_duration.as_secs_f64();
    run
}

/// Statistics of the runs of one routing policy.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoutingStats {
    /// Name of the routing policy.
    pub routing: String,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Run with only the short prompts of the mix.
    pub short_only: RunStats,
    /// Run with all prompts.
    pub mixed: RunStats,
    /// Run at the fleet's capacity, if requested.
    #[serde(rename = "full")]
    pub at_capacity: Option<RunStats>,
    /// Run at twice the fleet's capacity, if requested.
    pub overload: Option<RunStats>,
    /// Ratio of the 95th percentiles of short prompts' times to the first token: the mixed run to
    /// the run with short prompts only.
    pub slowdown: f64,
}

/// Formats all runs as a table for a terminal.
pub fn format_table(all: &[RoutingStats]) -> String {
    let mut out =
        String::from("time to first token in ms (p50/p95/p99), slowdown of short prompts at p95\n");
    let _ = writeln!(
        out,
        "{:<15} {:<11} {:>18} {:>18} {:>20} {:>20} {:>6} {:>5} {:>6} {:>6} {:>7} {:>7} {:>4}",
        "routing",
        "run",
        "short",
        "medium",
        "long",
        "huge",
        "slow",
        "gap95",
        "asked",
        "whole",
        "refused",
        "unknown",
        "lost"
    );
    for routing in all {
        let runs = [
            Some(&routing.short_only),
            Some(&routing.mixed),
            routing.at_capacity.as_ref(),
            routing.overload.as_ref(),
        ];
        for run in runs.into_iter().flatten() {
            let format_percentiles = |class: &str| {
                let c = &run.classes[class];
                format!("{}/{}/{}", c.p50_ms, c.p95_ms, c.p99_ms)
            };
            let slowdown = if run.name == "mixed" {
                format!("{:.2}", routing.slowdown)
            } else {
                String::new()
            };
            let _ = writeln!(
                out,
                "{:<15} {:<11} {:>18} {:>18} {:>20} {:>20} {:>6} {:>5} {:>6} {:>6} {:>7} {:>7} {:>4}",
                routing.routing,
                run.name,
                format_percentiles("short"),
                format_percentiles("medium"),
                format_percentiles("long"),
                format_percentiles("huge"),
                slowdown,
                run.gap_p95_ms,
                run.requests,
                run.completed,
                run.rejected,
                run.unknown,
                run.lost
            );
        }
        if let (Some(at_capacity), Some(overload)) = (&routing.at_capacity, &routing.overload) {
            let _ = writeln!(
                out,
                "{:<15} within the objective: {:.2}/s at capacity, {:.2}/s at twice ({:.0}%); \
                 prompt tokens {:.0}/s and {:.0}/s",
                routing.routing,
                at_capacity.within_objective_per_s,
                overload.within_objective_per_s,
                overload.within_objective_per_s / at_capacity.within_objective_per_s.max(1e-9)
                    * 100.0,
                at_capacity.prompt_tokens_per_s,
                overload.prompt_tokens_per_s
            );
        }
    }
    out
}

/// Renders a bar chart of the mixed runs' 95th percentiles by prompt class, as SVG.
pub fn render_plot(all: &[RoutingStats]) -> String {
    let (width, height, margin_left) = (720.0, 360.0, 60.0);
    let peak = all
        .iter()
        .flat_map(|r| r.mixed.classes.values().map(|c| c.p95_ms))
        .max()
        .unwrap_or(1)
        .max(1000) as f64;
    let y =
        |ms: f64| height - 40.0 - (ms.max(10.0) / 10.0).ln() / (peak / 10.0).ln() * (height - 80.0);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\"><rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/><text x=\"{margin_left}\" y=\"16\">first token, 95th percentile, ms \
         (logarithmic), by prompt length</text>"
    );
    let colours = ["#1660a8", "#b04010", "#2a8a3a", "#80408a", "#666666"];
    for exponent in 1..7 {
        let ms = 10f64.powi(exponent);
        if ms <= peak {
            let line_y = y(ms);
            let _ = write!(
                out,
                "<line x1=\"{margin_left}\" x2=\"{width}\" y1=\"{line_y:.1}\" y2=\"{line_y:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"4\" y=\"{line_y:.1}\">{ms}</text>"
            );
        }
    }
    let group_width = (width - margin_left) / PromptClass::ALL.len() as f64;
    for (class_index, class) in PromptClass::ALL.iter().enumerate() {
        let x = margin_left + class_index as f64 * group_width;
        let _ = write!(out, "<text x=\"{x:.1}\" y=\"{}\">{}</text>", height - 20.0, class.name());
        for (n, routing) in all.iter().enumerate() {
            let ms = routing.mixed.classes[class.name()].p95_ms as f64;
            let bar_width = group_width * 0.8 / all.len() as f64;
            let (top, bottom) = (y(ms), height - 40.0);
            let _ = write!(
                out,
                "<rect x=\"{:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{}\"/>",
                x + n as f64 * bar_width,
                bar_width - 2.0,
                (bottom - top).max(1.0),
                colours[n % colours.len()]
            );
        }
    }
    for (n, routing) in all.iter().enumerate() {
        let x = margin_left + n as f64 * 140.0;
        let _ = write!(
            out,
            "<text x=\"{x}\" y=\"{}\" fill=\"{}\">{}</text>",
            height - 4.0,
            colours[n % colours.len()],
            routing.routing
        );
    }
    out.push_str("</svg>\n");
    out
}
