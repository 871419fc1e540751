//! Tables, JSON and a plot of runs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use bitternlead::prompt_class::PromptClass;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::client::{End, Seen};

/// Figures of one prompt class; times in milliseconds of the engines' clock.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassFigures {
    pub asked: usize,
    pub whole: usize,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub p99_ms: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunFigures {
    pub name: String,
    pub asked: usize,
    pub whole: usize,
    pub refused: usize,
    pub unknown: usize,
    pub lost: usize,
    pub reasons: BTreeMap<String, usize>,
    pub classes: BTreeMap<String, ClassFigures>,
    pub gap_p95_ms: u64,
    /// Answered within the objective, a second of the engines' clock.
    pub good_per_s: f64,
    /// Tokens of whole answers' prompts, a second of the engines' clock.
    pub prompt_tokens_per_s: f64,
}

fn quantile(times: &mut [Duration], speed: f64, q: f64) -> u64 {
    let mut histogram = Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!("valid digits"));
    for time in times.iter() {
        let _ = histogram.record((time.as_secs_f64() * speed * 1e6) as u64);
    }
    histogram.value_at_quantile(q) / 1000
}

/// Objective for the first token of a prompt on the engines' clock.
fn objective(prompt_tokens: u64) -> Duration {
    Duration::from_millis(790 + prompt_tokens / 5)
}

/// Builds the figures of a run that lasted `time` of the engines' clock.
pub fn figures(name: &str, seen: &[Seen], speed: f64, time: Duration) -> RunFigures {
    let count = |end: End| seen.iter().filter(|s| s.end == end).count();
    let mut run = RunFigures {
        name: name.to_owned(),
        asked: seen.len(),
        whole: count(End::Whole),
        refused: count(End::Refused),
        unknown: count(End::Unknown),
        lost: count(End::Lost),
        ..RunFigures::default()
    };
    for one in seen.iter().filter(|s| s.end != End::Whole) {
        *run.reasons.entry(one.code.clone()).or_default() += 1;
    }
    for class in PromptClass::ALL {
        let of_class: Vec<&Seen> =
            seen.iter().filter(|s| PromptClass::of(s.prompt_tokens) == class).collect();
        let whole = of_class.iter().filter(|s| s.end == End::Whole);
        let mut times: Vec<Duration> = whole.clone().filter_map(|s| s.first).collect();
        let mut at = |q: f64| quantile(&mut times, speed, q);
        let figures = ClassFigures {
            asked: of_class.len(),
            whole: whole.count(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
        };
        run.classes.insert(class.name().to_owned(), figures);
    }
    let mut gaps: Vec<Duration> = seen.iter().flat_map(|s| s.gaps.iter().copied()).collect();
    run.gap_p95_ms = quantile(&mut gaps, speed, 0.95);
    let good = seen.iter().filter(|s| {
        let first = s.first.map(|f| f.mul_f64(speed));
        s.end == End::Whole && first.is_some_and(|f| f <= objective(s.prompt_tokens))
    });
    run.good_per_s = good.count() as f64 / time.as_secs_f64();
    let whole = seen.iter().filter(|s| s.end == End::Whole);
    let tokens: u64 = whole.map(|s| s.prompt_tokens).sum();
    run.prompt_tokens_per_s = tokens as f64 / time.as_secs_f64();
    run
}

/// Figures of one way to route.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RoutingFigures {
    pub routing: String,
    pub seed: u64,
    pub short_only: RunFigures,
    pub mixed: RunFigures,
    pub full: Option<RunFigures>,
    pub overload: Option<RunFigures>,
    /// 95th percentile of short prompts' first token, mixed over short only.
    pub slowdown: f64,
}

/// A table for a terminal.
pub fn table(all: &[RoutingFigures]) -> String {
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
            routing.full.as_ref(),
            routing.overload.as_ref(),
        ];
        for run in runs.into_iter().flatten() {
            let cell = |class: &str| {
                let c = &run.classes[class];
                format!("{}/{}/{}", c.p50_ms, c.p95_ms, c.p99_ms)
            };
            let slow = if run.name == "mixed" {
                format!("{:.2}", routing.slowdown)
            } else {
                String::new()
            };
            let _ = writeln!(
                out,
                "{:<15} {:<11} {:>18} {:>18} {:>20} {:>20} {:>6} {:>5} {:>6} {:>6} {:>7} {:>7} {:>4}",
                routing.routing,
                run.name,
                cell("short"),
                cell("medium"),
                cell("long"),
                cell("huge"),
                slow,
                run.gap_p95_ms,
                run.asked,
                run.whole,
                run.refused,
                run.unknown,
                run.lost
            );
        }
        if let (Some(full), Some(over)) = (&routing.full, &routing.overload) {
            let _ = writeln!(
                out,
                "{:<15} within the objective: {:.2}/s at capacity, {:.2}/s at twice ({:.0}%); \
                 prompt tokens {:.0}/s and {:.0}/s",
                routing.routing,
                full.good_per_s,
                over.good_per_s,
                over.good_per_s / full.good_per_s.max(1e-9) * 100.0,
                full.prompt_tokens_per_s,
                over.prompt_tokens_per_s
            );
        }
    }
    out
}

/// A plot of the 95th percentiles by prompt class, as SVG.
pub fn plot(all: &[RoutingFigures]) -> String {
    let (width, height, left) = (720.0, 360.0, 60.0);
    let most = all
        .iter()
        .flat_map(|r| r.mixed.classes.values().map(|c| c.p95_ms))
        .max()
        .unwrap_or(1)
        .max(1000) as f64;
    let y =
        |ms: f64| height - 40.0 - (ms.max(10.0) / 10.0).ln() / (most / 10.0).ln() * (height - 80.0);
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\"><rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/><text x=\"{left}\" y=\"16\">first token, 95th percentile, ms \
         (logarithmic), by prompt length</text>"
    );
    let colours = ["#1660a8", "#b04010", "#2a8a3a", "#80408a", "#666666"];
    for exponent in 1..7 {
        let ms = 10f64.powi(exponent);
        if ms <= most {
            let at = y(ms);
            let _ = write!(
                out,
                "<line x1=\"{left}\" x2=\"{width}\" y1=\"{at:.1}\" y2=\"{at:.1}\" stroke=\"#ddd\"/>\
                 <text x=\"4\" y=\"{at:.1}\">{ms}</text>"
            );
        }
    }
    let group = (width - left) / PromptClass::ALL.len() as f64;
    for (at, class) in PromptClass::ALL.iter().enumerate() {
        let x = left + at as f64 * group;
        let _ = write!(out, "<text x=\"{x:.1}\" y=\"{}\">{}</text>", height - 20.0, class.name());
        for (n, routing) in all.iter().enumerate() {
            let ms = routing.mixed.classes[class.name()].p95_ms as f64;
            let bar = group * 0.8 / all.len() as f64;
            let (top, bottom) = (y(ms), height - 40.0);
            let _ = write!(
                out,
                "<rect x=\"{:.1}\" y=\"{top:.1}\" width=\"{:.1}\" height=\"{:.1}\" fill=\"{}\"/>",
                x + n as f64 * bar,
                bar - 2.0,
                (bottom - top).max(1.0),
                colours[n % colours.len()]
            );
        }
    }
    for (n, routing) in all.iter().enumerate() {
        let x = left + n as f64 * 140.0;
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
